/**
 * The control port: trpc over HTTP for operators and peers.
 * @module
 */
import type * as http from 'node:http';
import * as standalone from '@trpc/server/adapters/standalone';
import { controlRouter } from './control-router.js';
import type { DaemonApi } from './types.js';

/** Largest control request, in bytes. */
const maxBodyBytes = 2 * 1024 * 1024;

export function createControlServer(api: DaemonApi): http.Server {
	return standalone.createHTTPServer({
		router: controlRouter,
		maxBodySize: maxBodyBytes,
		createContext: ({ req }) => ({ api, token: bearerOf(req) }),
	});
}

function bearerOf(req: http.IncomingMessage): string {
	return /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')?.[1] ?? '';
}

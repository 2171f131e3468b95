/**
 * HTTP server of the control port: tRPC for operators and peers.
 * @module
 */
import type * as http from 'node:http';
import * as standalone from '@trpc/server/adapters/standalone';
import { controlRouter } from './control-router.js';
import type { DaemonApi } from './types.js';

const maxBodyBytes = 2 * 1024 * 1024;

export function createControlServer(api: DaemonApi): http.Server {
	return standalone.createHTTPServer({
		router: controlRouter,
		maxBodySize: maxBodyBytes,
		createContext: ({ req }) => ({ api, token: readBearerToken(req) }),
	});
}

function readBearerToken(req: http.IncomingMessage): string {
	return /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')?.[1] ?? '';
}

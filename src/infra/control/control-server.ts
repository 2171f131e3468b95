/**
 * HTTP server of the control port: tRPC for operators and peers.
 * @module
 */
import type * as http from 'node:http';
import * as standalone from '@trpc/server/adapters/standalone';
import type { ConnectionMeter } from '../connections/metered-server.js';
import { createMeteredServer } from '../connections/metered-server.js';
import { controlRouter } from './control-router.js';
import type { DaemonApi } from './types.js';

const maxBodyBytes = 2 * 1024 * 1024;

export function createControlServer(meter: ConnectionMeter, api: DaemonApi): http.Server {
	const handle = standalone.createHTTPHandler({
		router: controlRouter,
		createContext: ({ req }) => ({ api, token: readBearerToken(req) }),
	});
	return createMeteredServer(meter, (req, res, connections) => {
		if (!connections.canRun()) {
			connections.refuse(req, res, 503, {}, 'no memory or sockets for further requests\n');
			return;
		}
		// tRPC takes the body from here, as it would keep each chunk of it for itself.
		connections.readBody(req, res, maxBodyBytes, {
			onBody: (body) => {
				const text = body.length > 0 ? body.toString() : undefined;
				handle(Object.assign(req, { body: text }), res);
			},
			onTooLarge: () => connections.refuse(req, res, 413, {}, 'the body is too large\n'),
		});
	});
}

function readBearerToken(req: http.IncomingMessage): string {
	return /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')?.[1] ?? '';
}

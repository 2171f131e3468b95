/**
 * HTTP servers for ports whose requests are short, with bounds on what their clients hold.
 * @module
 */
import * as http from 'node:http';
import type { ConnectionLedger } from '../../core/connections/connection-ledger.js';
import type { ReadTurns } from '../../core/connections/read-turns.js';
import type { ClientError, ErrorAnswer } from '../caller-connections.js';
import {
	CallerConnections,
	clientErrorCodes,
	meteredServerOptions,
} from '../caller-connections.js';

const headTimeoutMs = 3000;
const headCheckIntervalMs = 1000;
/** Larger bodies are refused where no body is expected. */
const maxIgnoredBytes = 64 * 1024;

/** What the clients of one port may hold. */
export interface ConnectionMeter {
	ledger: ConnectionLedger;
	/** Shared by all ports of a process. */
	turns: ReadTurns;
}

export type MeteredHandler = (
	req: http.IncomingMessage,
	res: http.ServerResponse,
	connections: CallerConnections,
) => void;

export function createMeteredServer(
	meter: ConnectionMeter,
	handle: MeteredHandler,
	maxHeaderSize?: number,
): http.Server {
	const server = http.createServer(
		{
			...meteredServerOptions,
			maxHeaderSize,
			headersTimeout: headTimeoutMs,
			connectionsCheckingInterval: headCheckIntervalMs,
		},
		(req, res) => {
			if (!connections.take(req, res)) {
				return;
			}
			if (isHostMissing(req)) {
				connections.refuse(req, res, 400, {}, 'the head names no host\n');
			} else {
				handle(req, res, connections);
			}
		},
	);
	const connections = new CallerConnections(server, { ...meter, answerError });
	return server;
}

/** Lets a handler that ignores bodies answer the requests for which there is room. */
export function ignoringBodies(handle: http.RequestListener): MeteredHandler {
	return (req, res, connections) => {
		if (!connections.canRun()) {
			connections.refuse(req, res, 503, {}, 'no memory or sockets for further requests\n');
			return;
		}
		connections.readBody(req, res, maxIgnoredBytes, {
			onBody: () => handle(req, res),
			onTooLarge: () => connections.refuse(req, res, 413, {}, 'no body is expected\n'),
		});
	};
}

/** HTTP/1.1 requires the header. */
export function isHostMissing(req: http.IncomingMessage): boolean {
	return req.httpVersion === '1.1' && req.headers.host === undefined;
}

function answerError({ code }: ClientError): ErrorAnswer {
	switch (code) {
		case clientErrorCodes.headTooLarge:
			return { status: 431, reason: 'Request Header Fields Too Large' };
		case clientErrorCodes.late:
			return { status: 408, reason: 'Request Timeout' };
		case clientErrorCodes.overloaded:
			return { status: 503, reason: 'Service Unavailable' };
		default:
			return { status: 400, reason: 'Bad Request' };
	}
}

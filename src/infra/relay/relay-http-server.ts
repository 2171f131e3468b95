/**
 * HTTP server for callers of the relay: buffers requests and streams answers.
 * @module
 */
import * as http from 'node:http';
import type { ConnectionLedger } from '../../core/connections/connection-ledger.js';
import type { ReadTurns } from '../../core/connections/read-turns.js';
import type { Clock, Log } from '../../core/definitions.js';
import type { CallerRequest, CallerResponse, RawHeaders } from '../../core/relay/definitions.js';
import type { CallerLimits } from '../../core/routing/types.js';
import type { ClientError, ErrorAnswer } from '../caller-connections.js';
import {
	CallerConnections,
	clientErrorCodes,
	maxHeadBytes,
	meteredServerOptions,
} from '../caller-connections.js';
import { HttpCallerResponse } from './http-caller-response.js';

/** Interval between checks for heads that exceed their time-out. */
const headCheckIntervalMs = 1000;
/** In force until a configuration is loaded. */
const defaultLimits: CallerLimits = {
	headBytes: 16_384,
	bodyBytes: 4_194_304,
	headTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};
/** Retry time of a request that is refused for want of memory or sockets, in seconds. */
const overloadedRetryS = '0.2';

/**
 * Decodes a request head, as defined by the platform adapter.
 * @returns undefined for a head without a request ID or host
 */
export type RequestDecoder = (
	head: { method: string; target: string; rawHeaders: RawHeaders; arrivedAt: number },
	body: Buffer,
) => CallerRequest | undefined;

export interface RelayHttpServerOptions {
	clock: Clock;
	log: Log;
	/** What callers may hold. */
	ledger: ConnectionLedger;
	turns: ReadTurns;
	decode: RequestDecoder;
	/** Whether the event loop lags so much that callers may have disconnected unnoticed. */
	isEventLoopLagging: () => boolean;
	handle: (req: CallerRequest, res: CallerResponse) => void;
	/** Id of the request with this head, for the log; empty without one. */
	requestIdOf: (raw: RawHeaders) => string;
	/** Called for each request that is refused before it is handled. */
	onRefused: (status: number) => void;
}

export class RelayHttpServer {
	readonly server: http.Server;
	private readonly connections: CallerConnections;
	private limits = defaultLimits;
	private isKeepAliveDisabled = false;
	private isTaking = true;
	private openCount = 0;

	constructor(private readonly opts: RelayHttpServerOptions) {
		this.server = http.createServer(
			{
				...meteredServerOptions,
				maxHeaderSize: maxHeadBytes,
				headersTimeout: defaultLimits.headTimeoutMs,
				requestTimeout: 0,
				keepAliveTimeout: defaultLimits.idleTimeoutMs,
				connectionsCheckingInterval: headCheckIntervalMs,
				noDelay: true,
			},
			(req, res) => this.accept(req, res),
		);
		const { ledger, turns } = opts;
		this.connections = new CallerConnections(this.server, {
			ledger,
			turns,
			answerError: (err) => {
				const answer = answerError(err);
				this.recordRefusal(answer.status, err.message, []);
				return answer;
			},
		});
	}

	/** Requests whose answer has not ended. */
	get openRequests(): number {
		return this.openCount;
	}

	configure(limits: CallerLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** Closes each connection after the answers to the requests that were taken. */
	disableKeepAlive(): void {
		this.isKeepAliveDisabled = true;
	}

	closeIdleConnections(): void {
		this.server.closeIdleConnections();
	}

	/** Closes the port, and each connection without an open request: later requests are not read. */
	stopTaking(): void {
		this.isTaking = false;
		this.server.close();
		this.server.closeIdleConnections();
	}

	private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
		if (!this.connections.take(req, res)) {
			return;
		}
		if (!this.isTaking) {
			req.socket.destroy();
			return;
		}
		this.openCount++;
		res.on('close', () => {
			this.openCount--;
		});
		const arrivedAt = this.opts.clock.sinceBoot();
		if (headBytes(req.rawHeaders) > this.limits.headBytes) {
			this.refuse(req, res, 431, 'the head is too large');
			return;
		}
		if (Number(req.headers['content-length'] ?? 0) > this.limits.bodyBytes) {
			this.refuse(req, res, 413, 'the body is too large');
			return;
		}
		if (!this.connections.canRun()) {
			const { totalBytes: held_bytes, sockets } = this.opts.ledger;
			this.opts.log.warn('callers.memory-full', { held_bytes, sockets });
			this.refuse(req, res, 503, 'no memory or sockets for further requests', true);
			return;
		}
		this.connections.readBody(req, res, this.limits.bodyBytes, {
			onBody: (body) => this.unlessDisconnected(req, () => this.forward(req, res, body, arrivedAt)),
			onTooLarge: () => this.refuse(req, res, 413, 'the body is too large'),
			onBroken: ({ message: error }, bytes) =>
				this.opts.log.debug('callers.body-broken', { error, body_bytes: bytes }),
		});
	}

	/**
	 * Drops requests whose callers disconnected before a lagging event loop read them. The disconnect is
	 * read in the next iteration of the loop, so the request is forwarded in the one after.
	 */
	private unlessDisconnected(req: http.IncomingMessage, forward: () => void): void {
		if (!this.opts.isEventLoopLagging()) {
			forward();
			return;
		}
		setImmediate(() => {
			setImmediate(() => {
				if (!req.socket.readableEnded && !req.socket.destroyed) {
					forward();
				}
			});
		});
	}

	private forward(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		body: Buffer,
		arrivedAt: number,
	): void {
		if (this.connections.isDropped(res)) {
			return;
		}
		const { method = 'GET', url: target = '/', rawHeaders } = req;
		const request = this.opts.decode({ method, target, rawHeaders, arrivedAt }, body);
		if (!request) {
			this.refuse(req, res, 400, 'the head names no request or host');
			return;
		}
		const response = new HttpCallerResponse(
			res,
			() => this.shouldClose(res),
			() => this.connections.recordBackpressure(res),
		);
		this.opts.handle(request, response);
	}

	/** Whether the answer that begins is the last of its connection: requests behind it may be at engines. */
	private shouldClose(res: http.ServerResponse): boolean {
		const isLast = this.isKeepAliveDisabled && this.connections.isNewest(res);
		if (isLast) {
			this.connections.takeNoneAfter(res);
		}
		return isLast;
	}

	/** Refuses a request and closes its connection, since its body may be unread. */
	private refuse(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		status: number,
		reason: string,
		shouldRetry = false,
	): void {
		const headers: http.OutgoingHttpHeaders = { 'content-type': 'text/plain' };
		if (shouldRetry) {
			headers['retry-after'] = overloadedRetryS;
		}
		this.recordRefusal(status, reason, req.rawHeaders);
		this.connections.refuse(req, res, status, headers, `${reason}\n`);
	}

	private recordRefusal(status: number, reason: string, rawHeaders: RawHeaders): void {
		const request = this.opts.requestIdOf(rawHeaders) || undefined;
		this.opts.log.warn('callers.refused', { request, status, reason });
		this.opts.onRefused(status);
	}
}

function headBytes(rawHeaders: readonly string[]): number {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length + 2;
	}
	return bytes;
}

/** Answers a request that is late, too large or given up while it was read, or bytes that are no valid HTTP request. */
function answerError(err: ClientError): ErrorAnswer {
	switch (err.code) {
		case clientErrorCodes.headTooLarge:
			return { status: 431, reason: 'Request Header Fields Too Large' };
		case clientErrorCodes.late:
			return { status: 408, reason: 'Request Timeout' };
		case clientErrorCodes.overloaded: {
			const headers = { 'retry-after': overloadedRetryS };
			return { status: 503, reason: 'Service Unavailable', headers };
		}
		default:
			return { status: 400, reason: 'Bad Request' };
	}
}

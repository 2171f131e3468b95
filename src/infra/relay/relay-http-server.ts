/**
 * HTTP server for callers of the relay: buffers requests and streams answers.
 * @module
 */
import * as http from 'node:http';
import type { Clock, Log } from '../../core/definitions.js';
import type { CallerRequest, CallerResponse, RawHeaders } from '../../core/relay/definitions.js';
import type { CallerLimits } from '../../core/routing/types.js';
import type { ClientError, ErrorAnswer } from '../caller-connections.js';
import { CallerConnections, clientErrorCodes } from '../caller-connections.js';
import { BodyCollector } from '../connections/body-collector.js';
import { HttpCallerResponse } from './http-caller-response.js';

/** Upper bound for request heads; the configured limit may be lower. */
export const maxHeadBytes = 65_536;
/** Interval between checks for heads that exceed their time-out. */
const headCheckIntervalMs = 1000;
/** In force until a configuration is loaded. */
const defaultLimits: CallerLimits = {
	headBytes: 16_384,
	bodyBytes: 4_194_304,
	headTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};
/** Bound for the bodies of all open requests together; new requests are refused above it. */
const maxBufferedBytes = 40 * 1024 * 1024;

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
	private bufferedBytes = 0;
	private isKeepAliveDisabled = false;
	private isTaking = true;
	private openCount = 0;

	constructor(private readonly opts: RelayHttpServerOptions) {
		this.server = http.createServer(
			{
				maxHeaderSize: maxHeadBytes,
				headersTimeout: defaultLimits.headTimeoutMs,
				requestTimeout: 0,
				keepAliveTimeout: defaultLimits.idleTimeoutMs,
				connectionsCheckingInterval: headCheckIntervalMs,
				noDelay: true,
			},
			(req, res) => this.accept(req, res),
		);
		this.connections = new CallerConnections(this.server, (err) => {
			const answer = answerError(err);
			this.recordRefusal(answer.status, err.message, []);
			return answer;
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
		const bodySize = { bytes: 0 };
		res.on('close', () => {
			this.openCount--;
			this.bufferedBytes -= bodySize.bytes;
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
		if (this.bufferedBytes > maxBufferedBytes) {
			this.opts.log.warn('callers.memory-full', { held_bytes: this.bufferedBytes });
			this.refuse(req, res, 503, 'too many bodies are held', true);
			return;
		}
		this.readBody(req, res, bodySize, (body) =>
			this.unlessDisconnected(req, () => this.forward(req, res, body, arrivedAt)),
		);
	}

	private readBody(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		bodySize: { bytes: number },
		done: (body: Buffer) => void,
	): void {
		const body = new BodyCollector();
		req.on('data', (chunk: Buffer) => {
			bodySize.bytes += chunk.length;
			this.bufferedBytes += chunk.length;
			if (bodySize.bytes > this.limits.bodyBytes && !res.headersSent) {
				body.clear();
				this.refuse(req, res, 413, 'the body is too large');
				return;
			}
			body.add(chunk);
		});
		req.on('end', () => {
			if (!res.headersSent) {
				done(body.take());
			}
		});
		req.on('error', (err) => {
			this.opts.log.debug('callers.body-broken', {
				error: err.message,
				body_bytes: bodySize.bytes,
			});
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
		this.opts.handle(request, new HttpCallerResponse(res, () => this.shouldClose(res)));
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
			headers['retry-after'] = '0.2';
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

/** Answers a head that is late or too large, or bytes that are no valid HTTP request. */
function answerError(err: ClientError): ErrorAnswer {
	switch (err.code) {
		case clientErrorCodes.headTooLarge:
			return { status: 431, reason: 'Request Header Fields Too Large' };
		case clientErrorCodes.late:
			return { status: 408, reason: 'Request Timeout' };
		default:
			return { status: 400, reason: 'Bad Request' };
	}
}

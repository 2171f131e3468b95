/**
 * The callers' side of the relay: reads whole requests, writes answers as they come.
 * @module
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type { Clock, Log } from '../../core/definitions.js';
import type { CallerRequest, CallerResponse, RawHeaders } from '../../core/relay/definitions.js';
import type { CallerLimits } from '../../core/routing/types.js';
import { sendWithLingeringClose } from '../lingering-close.js';

/** Largest head that is read at all; the configuration's own bound may be lower. */
const maxHeadBytes = 65_536;
/** How often unfinished heads are looked for, in milliseconds. */
const headCheckMs = 1000;
/** Bounds until a configuration is in force. */
const firstLimits: CallerLimits = {
	headBytes: 16_384,
	bodyBytes: 4_194_304,
	headTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};
/** Bodies of all requests that are being read or forwarded, in bytes; a sixth of the smallest VM. */
const maxHeldBytes = 40 * 1024 * 1024;

/** Reads a head; belongs to the adapter of the platform. */
export type RequestDecoder = (
	head: { method: string; target: string; rawHeaders: RawHeaders; arrivedAt: number },
	body: Buffer,
) => CallerRequest | undefined;

export interface RelayHttpServerOptions {
	clock: Clock;
	log: Log;
	decode: RequestDecoder;
	/** Whether the loop is so late that callers may have left meanwhile. */
	isEventLoopLagging: () => boolean;
	handle: (req: CallerRequest, res: CallerResponse) => void;
}

export class RelayHttpServer {
	readonly server: http.Server;
	private limits = firstLimits;
	private heldBytes = 0;
	private stopping = false;
	private inFlight = 0;

	constructor(private readonly opts: RelayHttpServerOptions) {
		this.server = http.createServer(
			{
				maxHeaderSize: maxHeadBytes,
				headersTimeout: firstLimits.headTimeoutMs,
				requestTimeout: 0,
				keepAliveTimeout: firstLimits.idleTimeoutMs,
				connectionsCheckingInterval: headCheckMs,
				noDelay: true,
			},
			(req, res) => this.accept(req, res),
		);
		this.server.on('clientError', refuseSocket);
	}

	/** Requests whose answer has not ended. */
	get openRequests(): number {
		return this.inFlight;
	}

	configure(limits: CallerLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** From now on each answer is the last on its connection. */
	disableKeepAlive(): void {
		this.stopping = true;
	}

	/** Closes connections that carry no request. */
	closeIdleConnections(): void {
		this.server.closeIdleConnections();
	}

	private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
		this.inFlight++;
		const held = { bytes: 0 };
		res.on('close', () => {
			this.inFlight--;
			this.heldBytes -= held.bytes;
		});
		const arrivedAt = this.opts.clock.sinceBoot();
		if (headBytes(req.rawHeaders) > this.limits.headBytes) {
			refuse(req, res, 431, 'the head is too large');
			return;
		}
		if (Number(req.headers['content-length'] ?? 0) > this.limits.bodyBytes) {
			refuse(req, res, 413, 'the body is too large');
			return;
		}
		if (this.heldBytes > maxHeldBytes) {
			this.opts.log.warn('callers.memory-full', { held_bytes: this.heldBytes });
			refuse(req, res, 503, 'too many bodies are held', true);
			return;
		}
		this.readBody(req, res, held, (body) =>
			this.whenStillThere(req, () => this.handOn(req, res, body, arrivedAt)),
		);
	}

	private readBody(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		held: { bytes: number },
		done: (body: Buffer) => void,
	): void {
		const chunks: Buffer[] = [];
		req.on('data', (chunk: Buffer) => {
			held.bytes += chunk.length;
			this.heldBytes += chunk.length;
			if (held.bytes > this.limits.bodyBytes && !res.headersSent) {
				chunks.length = 0;
				refuse(req, res, 413, 'the body is too large');
				return;
			}
			chunks.push(chunk);
		});
		req.on('end', () => {
			if (!res.headersSent) {
				done(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
			}
		});
		req.on('error', (err) => {
			this.opts.log.debug('callers.body-broken', { error: err.message, body_bytes: held.bytes });
		});
	}

	/**
	 * A VM short of processor reads a request seconds late, and its caller's hang-up right after: in an overload ten requests
	 * in a row went to engines half a second and more after their callers had left. The hang-up is read in the next turn of
	 * the loop, so the request is handed on in the one after.
	 */
	private whenStillThere(req: http.IncomingMessage, handOn: () => void): void {
		if (!this.opts.isEventLoopLagging()) {
			handOn();
			return;
		}
		setImmediate(() => {
			setImmediate(() => {
				if (!req.socket.readableEnded && !req.socket.destroyed) {
					handOn();
				}
			});
		});
	}

	private handOn(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		body: Buffer,
		arrivedAt: number,
	): void {
		const { method = 'GET', url: target = '/', rawHeaders } = req;
		const request = this.opts.decode({ method, target, rawHeaders, arrivedAt }, body);
		if (!request) {
			refuse(req, res, 400, 'the head names no request or host');
			return;
		}
		this.opts.handle(request, new HttpCallerResponse(res, () => this.stopping));
	}
}

/**
 * One answer on Node's server. Chunks behind the first go to the socket in one piece each: the server would write their length, bytes and
 * end one by one, gather them, and join them again in the next step of the loop.
 */
class HttpCallerResponse implements CallerResponse {
	/** The socket, once the head has left on it and chunks may follow. */
	private socket?: net.Socket;

	constructor(
		private readonly res: http.ServerResponse,
		private readonly isLast: () => boolean,
	) {}

	writeHead(status: number, headers: RawHeaders): void {
		if (this.isLast()) {
			this.res.shouldKeepAlive = false;
		}
		this.res.writeHead(status, headers);
	}

	write(chunk: Buffer): boolean {
		const { res, socket } = this;
		if (socket && !socket.destroyed) {
			return chunk.length === 0 || socket.write(framed(chunk));
		}
		const isTaken = res.write(chunk);
		// A caller who asked for several answers at once gets this one's socket when those before it have ended.
		if (res.socket && res.chunkedEncoding && res.req.method !== 'HEAD') {
			this.socket = res.socket;
		}
		return isTaken;
	}

	end(chunk?: Buffer): void {
		this.res.end(chunk);
	}

	abort(): void {
		this.res.destroy();
	}

	onDrain(callback: () => void): void {
		(this.socket ?? this.res).once('drain', callback);
	}

	onDisconnect(callback: () => void): void {
		this.res.on('close', () => {
			if (!this.res.writableFinished) {
				callback();
			}
		});
	}
}

const lineEnd = '\r\n';

/** A chunk as it goes over the wire (RFC 9112, section 7.1). */
function framed(chunk: Buffer): Buffer {
	const size = chunk.length.toString(16) + lineEnd;
	const frame = Buffer.allocUnsafe(size.length + chunk.length + lineEnd.length);
	frame.write(size, 'latin1');
	chunk.copy(frame, size.length);
	frame.write(lineEnd, size.length + chunk.length, 'latin1');
	return frame;
}

function headBytes(rawHeaders: readonly string[]): number {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length + 2;
	}
	return bytes;
}

/** Refuses a request that was not read whole or cannot be read; its connection ends. */
function refuse(
	req: http.IncomingMessage,
	res: http.ServerResponse,
	status: number,
	why: string,
	comeBack = false,
): void {
	const headers: http.OutgoingHttpHeaders = { 'content-type': 'text/plain' };
	if (comeBack) {
		headers['retry-after'] = '0.2';
	}
	sendWithLingeringClose(
		req,
		res,
		status,
		headers,
		`${why}
`,
	);
}

/** Bytes that are no request never become one. */
function refuseSocket(err: Error & { code?: string }, socket: stream.Duplex): void {
	if (!socket.writable || err.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}
	const status =
		err.code === 'HPE_HEADER_OVERFLOW'
			? '431 Request Header Fields Too Large'
			: err.code === 'ERR_HTTP_REQUEST_TIMEOUT'
				? '408 Request Timeout'
				: '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
}

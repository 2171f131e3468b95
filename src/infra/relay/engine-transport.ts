/**
 * Connections to engines by undici: one request at a time on each, kept between requests.
 * @module
 */
import * as net from 'node:net';
import * as undici from 'undici';
import type {
	AnswerHead,
	AnswerListener,
	EngineCall,
	EngineTransport,
	RawHeaders,
	RunningCall,
} from '../../core/relay/definitions.js';

/** A connection between VMs comes up in 2 to 4 ms; one that takes longer is likely dead. */
const connectTimeoutMs = 400;
/** Unused connections are closed after this time unless the engine names another, in milliseconds. */
const idleMs = 4000;
/** Longest time that an engine's own word keeps an unused connection, in milliseconds. */
const maxIdleMs = 60_000;
/** Closed so long before the engine would close it, in milliseconds. */
const idleMarginMs = 500;

/** Code of the error when nothing listens at a port. */
const refusedCode = 'ECONNREFUSED';

/** Translates heads; belongs to the adapter of the platform. */
export interface HeadCodec {
	encodeCall(call: EngineCall): RawHeaders;
	decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
}

export class UndiciEngineTransport implements EngineTransport {
	private readonly pools = new Map<string, undici.Pool>();

	constructor(private readonly codec: HeadCodec) {}

	send(call: EngineCall, listener: AnswerListener): RunningCall {
		const handler = new CallHandler(this.codec, listener);
		const { req } = call;
		try {
			const opts: TrackedOptions = {
				method: req.method as undici.Dispatcher.HttpMethod,
				path: req.target,
				headers: this.codec.encodeCall(call),
				body: req.body.length > 0 ? req.body : undefined,
				onConnection: (connection) => handler.onConnection(connection),
			};
			this.pool(call.address).dispatch(opts, handler);
		} catch (err) {
			// undici refuses heads that it cannot write; nothing left this process.
			setImmediate(() => handler.refused(err as Error));
		}
		return handler;
	}

	hasFree(address: string): boolean {
		return (this.pools.get(address)?.stats.free ?? 0) > 0;
	}

	isDeserted(address: string): Promise<boolean> {
		const [host, port] = address.split(':');
		return new Promise((done) => {
			const socket = net.connect({ host, port: Number(port), timeout: connectTimeoutMs });
			const end = (isRefused: boolean) => {
				socket.destroy();
				done(isRefused);
			};
			socket.on('connect', () => end(false));
			socket.on('timeout', () => end(false));
			socket.on('error', (err: NodeJS.ErrnoException) => end(err.code === refusedCode));
		});
	}

	forget(address: string): void {
		const pool = this.pools.get(address);
		if (pool) {
			this.pools.delete(address);
			// Calls that run may end; unused connections are closed at once.
			pool.close().catch(() => {});
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	private pool(address: string): undici.Pool {
		let pool = this.pools.get(address);
		if (!pool) {
			pool = new undici.Pool(`http://${address}`, {
				pipelining: 1,
				factory: (origin, opts) => new TrackedClient(origin, opts as undici.Client.Options),
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: idleMs,
				keepAliveMaxTimeout: maxIdleMs,
				keepAliveTimeoutThreshold: idleMarginMs,
			});
			this.pools.set(address, pool);
		}
		return pool;
	}
}

/** What the transport knows of one connection. */
interface Connection {
	/** It ended by an error, not by the engine's orderly close. */
	broken: boolean;
	/** Settles once it is known how the connection ended. */
	ended?: Promise<void>;
}

/** Code of the errors with which undici closes a connection that it no longer needs. */
const ownClose = 'UND_ERR_INFO';
/** An empty line between two requests; servers pass over it (RFC 9112, section 2.2). */
const emptyLine = '\r\n';

/**
 * Learns how a connection ends. A reset that comes together with the last bytes is read as an
 * orderly end: the event loop takes the hang-up for the end of the stream without asking for the
 * error behind it. Writing asks: it fails after a reset and succeeds after an orderly end.
 */
function watchEnd(socket: net.Socket, connection: Connection): void {
	socket.on('error', (err: NodeJS.ErrnoException) => {
		connection.broken ||= err.code !== ownClose;
	});
	socket.prependListener('end', () => {
		connection.ended = new Promise((done) => {
			socket.write(emptyLine, (err) => {
				const { code } = (err ?? {}) as NodeJS.ErrnoException;
				connection.broken ||= code === 'EPIPE' || code === 'ECONNRESET';
				done();
			});
		});
	});
}

interface TrackedOptions extends undici.Dispatcher.DispatchOptions {
	onConnection: (connection: Connection) => void;
}

const connect = undici.buildConnector({ timeout: connectTimeoutMs });

/**
 * A connection that remembers whether it broke: undici takes a reset for the end of an answer that
 * has no length, which may cut that answer short unseen.
 */
class TrackedClient extends undici.Client {
	private readonly connection: Connection;

	constructor(origin: URL, opts: undici.Client.Options) {
		const connection: Connection = { broken: false };
		super(origin, {
			...opts,
			connect: (options, callback) =>
				connect(options, (...result) => {
					const [, socket] = result;
					connection.broken = false;
					connection.ended = undefined;
					if (socket) {
						watchEnd(socket, connection);
					}
					callback(...result);
				}),
		});
		this.connection = connection;
	}

	override dispatch(
		opts: undici.Dispatcher.DispatchOptions,
		handler: undici.Dispatcher.DispatchHandler,
	): boolean {
		(opts as TrackedOptions).onConnection(this.connection);
		return super.dispatch(opts, handler);
	}
}

/** Turns one undici dispatch into calls of the listener. */
class CallHandler implements undici.Dispatcher.DispatchHandler, RunningCall {
	private controller?: undici.Dispatcher.DispatchController;
	private connection?: Connection;
	private framed = true;
	private done = false;

	constructor(
		private readonly codec: HeadCodec,
		private readonly listener: AnswerListener,
	) {}

	pause(): void {
		this.controller?.pause();
	}

	resume(): void {
		this.controller?.resume();
	}

	abort(): void {
		if (!this.done) {
			this.done = true;
			this.controller?.abort(new Error('no longer wanted'));
		}
	}

	onConnection(connection: Connection): void {
		this.connection = connection;
	}

	refused(err: Error): void {
		this.fail(err);
	}

	/** undici calls this before it writes the first byte. */
	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.done) {
			controller.abort(new Error('no longer wanted'));
			return;
		}
		if (!this.listener.maySend()) {
			this.done = true;
			controller.abort(new Error('no longer wanted there'));
			// Not from inside undici's queue: the request goes to another engine's.
			setImmediate(() => this.listener.withdrawn());
			return;
		}
		this.listener.sent();
	}

	onResponseStart(controller: undici.Dispatcher.DispatchController, status: number): void {
		if (this.done || status < 200) {
			return;
		}
		const raw = (controller as unknown as { rawHeaders: Buffer[] }).rawHeaders;
		const headers = raw.map((value) => value.toString('latin1'));
		const head = this.codec.decodeAnswer(status, headers);
		this.framed = head.framed;
		this.listener.head(head);
	}

	onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
		if (!this.done) {
			this.listener.data(chunk);
		}
	}

	onResponseEnd(): void {
		if (this.framed || !this.connection?.ended) {
			this.finish();
			return;
		}
		this.connection.ended.then(
			() => this.finish(),
			(err: Error) => this.fail(err),
		);
	}

	private finish(): void {
		if (!this.framed && this.connection?.broken) {
			this.fail(new Error('an answer without a length was reset'));
		} else if (!this.done) {
			this.done = true;
			this.listener.end();
		}
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController, err: Error): void {
		this.fail(err);
	}

	private fail(err: NodeJS.ErrnoException): void {
		if (!this.done) {
			this.done = true;
			this.listener.fail(err.message, err.code === refusedCode);
		}
	}
}

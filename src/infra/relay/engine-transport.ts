/**
 * Sends calls to engines with undici.
 * @module
 */
import * as net from 'node:net';
import type * as undici from 'undici';
import type {
	AnswerHead,
	AnswerListener,
	EngineCall,
	EngineTransport,
	RawHeaders,
	RunningCall,
} from '../../core/relay/definitions.js';
import type { EngineConnection } from './engine-connection-pool.js';
import { connectTimeoutMs, EngineConnectionPool } from './engine-connection-pool.js';

const connectionRefusedCode = 'ECONNREFUSED';

/** Encodes heads of calls and decodes heads of answers, as defined by the platform adapter. */
export interface HeadCodec {
	encodeCall(call: EngineCall): RawHeaders;
	decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
}

export class UndiciEngineTransport implements EngineTransport {
	/** By the engine's address. */
	private readonly pools = new Map<string, EngineConnectionPool>();

	constructor(private readonly codec: HeadCodec) {}

	send(call: EngineCall, listener: AnswerListener): RunningCall {
		const { address, req } = call;
		const running = new EngineRunningCall(this.codec, listener, this.poolFor(address));
		running.start({
			method: req.method as undici.Dispatcher.HttpMethod,
			path: req.target,
			headers: this.codec.encodeCall(call),
			body: req.body.length > 0 ? req.body : undefined,
		});
		return running;
	}

	hasIdleConnection(address: string): boolean {
		return this.pools.get(address)?.hasIdle === true;
	}

	async isPortClosed(address: string): Promise<boolean> {
		return (await probePort(address)) === portStates.closed;
	}

	async canConnect(address: string): Promise<boolean> {
		return (await probePort(address)) === portStates.open;
	}

	closeIdleConnections(address: string): void {
		this.pools.get(address)?.close();
		this.pools.delete(address);
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	private poolFor(address: string): EngineConnectionPool {
		let pool = this.pools.get(address);
		if (!pool) {
			pool = new EngineConnectionPool(address);
			this.pools.set(address, pool);
		}
		return pool;
	}
}

const portStates = {
	open: 'open',
	/** The host refuses connections. */
	closed: 'closed',
	/** Another error, or no answer in time. */
	unreachable: 'unreachable',
} as const;
type PortState = (typeof portStates)[keyof typeof portStates];

/** Opens and closes a connection. */
function probePort(address: string): Promise<PortState> {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const socket = net.connect({ host, port: Number(port), timeout: connectTimeoutMs });
		const end = (state: PortState) => {
			socket.destroy();
			resolve(state);
		};
		socket.on('connect', () => end(portStates.open));
		socket.on('timeout', () => end(portStates.unreachable));
		socket.on('error', ({ code }: NodeJS.ErrnoException) =>
			end(code === connectionRefusedCode ? portStates.closed : portStates.unreachable),
		);
	});
}

/**
 * One call to an engine. Uses undici's legacy handler methods: the newer ones wrap them and parse all
 * headers a second time.
 */
class EngineRunningCall implements undici.Dispatcher.DispatchHandler, RunningCall {
	private readonly connection: EngineConnection;
	private abortCall?: (err?: Error) => void;
	private resumeReading?: () => void;
	private isPaused = false;
	private isStarting = true;
	private isFramed = true;
	private isDone = false;

	constructor(
		private readonly codec: HeadCodec,
		private readonly listener: AnswerListener,
		private readonly pool: EngineConnectionPool,
	) {
		this.connection = pool.acquire();
	}

	start(opts: undici.Dispatcher.DispatchOptions): void {
		this.connection.dispatch(opts, this);
		this.isStarting = false;
	}

	pause(): void {
		this.isPaused = true;
	}

	resume(): void {
		if (this.isPaused) {
			this.isPaused = false;
			this.resumeReading?.();
		}
	}

	abort(): void {
		if (!this.isDone) {
			this.discard();
			this.abortCall?.(new Error('call aborted'));
		}
	}

	/** Called by undici before it writes the first byte. */
	onConnect(abort: (err?: Error) => void): void {
		this.abortCall = abort;
		if (this.isDone) {
			abort(new Error('call aborted'));
			return;
		}
		if (!this.listener.shouldSend()) {
			this.discard();
			abort(new Error('call withdrawn before it was sent'));
			// Deferred, since the listener may dispatch the request to another engine.
			setImmediate(() => this.listener.onWithdrawn());
			return;
		}
		this.listener.onSent();
	}

	onHeaders(status: number, rawHeaders: Buffer[], resume: () => void): boolean {
		this.resumeReading = resume;
		if (!this.isDone && status >= 200) {
			const headers: RawHeaders = [];
			for (const value of rawHeaders) {
				headers.push(value.toString('latin1'));
			}
			const head = this.codec.decodeAnswer(status, headers);
			this.isFramed = head.isFramed;
			this.listener.onHead(head);
		}
		return !this.isPaused;
	}

	onData(chunk: Buffer): boolean {
		if (!this.isDone) {
			this.listener.onData(chunk);
		}
		return !this.isPaused;
	}

	onComplete(): void {
		if (this.isFramed || !this.connection.resetChecked) {
			this.finish();
			return;
		}
		this.connection.resetChecked.then(
			() => this.finish(),
			(err: Error) => this.fail(err),
		);
	}

	onError(err: Error): void {
		if (this.isStarting) {
			// undici rejects an invalid head inside dispatch(), before anything is sent.
			setImmediate(() => this.fail(err));
		} else {
			this.fail(err);
		}
	}

	private finish(): void {
		if (!this.isFramed && this.connection.isBroken) {
			this.fail(new Error('connection reset during an answer without a length'));
		} else if (!this.isDone) {
			this.isDone = true;
			this.pool.release(this.connection);
			this.listener.onEnd();
		}
	}

	private fail(err: NodeJS.ErrnoException): void {
		if (!this.isDone) {
			this.discard();
			this.listener.onError(err.message, err.code === connectionRefusedCode);
		}
	}

	private discard(): void {
		this.isDone = true;
		this.pool.discard(this.connection);
	}
}

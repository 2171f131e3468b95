/**
 * Sends calls to engines by undici.
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

/** Code of the error when nothing listens at a port. */
const refusedCode = 'ECONNREFUSED';

/** Translates heads; belongs to the adapter of the platform. */
export interface HeadCodec {
	encodeCall(call: EngineCall): RawHeaders;
	decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
}

export class UndiciEngineTransport implements EngineTransport {
	private readonly engines = new Map<string, EngineConnectionPool>();

	constructor(private readonly codec: HeadCodec) {}

	send(call: EngineCall, listener: AnswerListener): RunningCall {
		const { address, req } = call;
		const running = new EngineRunningCall(this.codec, listener, this.connectionsTo(address));
		running.start({
			method: req.method as undici.Dispatcher.HttpMethod,
			path: req.target,
			headers: this.codec.encodeCall(call),
			body: req.body.length > 0 ? req.body : undefined,
		});
		return running;
	}

	hasIdleConnection(address: string): boolean {
		return this.engines.get(address)?.hasIdle === true;
	}

	isPortClosed(address: string): Promise<boolean> {
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

	closeIdleConnections(address: string): void {
		this.engines.get(address)?.close();
		this.engines.delete(address);
	}

	async close(): Promise<void> {
		await Promise.all([...this.engines.values()].map((engine) => engine.destroy()));
	}

	private connectionsTo(address: string): EngineConnectionPool {
		let engine = this.engines.get(address);
		if (!engine) {
			engine = new EngineConnectionPool(address);
			this.engines.set(address, engine);
		}
		return engine;
	}
}

/**
 * One call. It takes undici's answers in the form of its own core: the newer one wraps this one, and reads all headers a second time
 * into a table that nothing here needs.
 */
class EngineRunningCall implements undici.Dispatcher.DispatchHandler, RunningCall {
	private readonly connection: EngineConnection;
	private abortCall?: (err?: Error) => void;
	private resumeReading?: () => void;
	private isPaused = false;
	private isStarting = true;
	private framed = true;
	private done = false;

	constructor(
		private readonly codec: HeadCodec,
		private readonly listener: AnswerListener,
		private readonly engine: EngineConnectionPool,
	) {
		this.connection = engine.acquire();
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
		if (!this.done) {
			this.drop();
			this.abortCall?.(new Error('no longer wanted'));
		}
	}

	/** undici calls this before it writes the first byte. */
	onConnect(abort: (err?: Error) => void): void {
		this.abortCall = abort;
		if (this.done) {
			abort(new Error('no longer wanted'));
			return;
		}
		if (!this.listener.shouldSend()) {
			this.drop();
			abort(new Error('no longer wanted there'));
			// Not from inside undici's queue: the request goes to another engine's.
			setImmediate(() => this.listener.onWithdrawn());
			return;
		}
		this.listener.onSent();
	}

	onHeaders(status: number, rawHeaders: Buffer[], resume: () => void): boolean {
		this.resumeReading = resume;
		if (!this.done && status >= 200) {
			const headers: RawHeaders = [];
			for (const value of rawHeaders) {
				headers.push(value.toString('latin1'));
			}
			const head = this.codec.decodeAnswer(status, headers);
			this.framed = head.isFramed;
			this.listener.onHead(head);
		}
		return !this.isPaused;
	}

	onData(chunk: Buffer): boolean {
		if (!this.done) {
			this.listener.onData(chunk);
		}
		return !this.isPaused;
	}

	onComplete(): void {
		if (this.framed || !this.connection.resetChecked) {
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
			// undici refuses heads that it cannot write; nothing left this process.
			setImmediate(() => this.fail(err));
		} else {
			this.fail(err);
		}
	}

	private finish(): void {
		if (!this.framed && this.connection.isBroken) {
			this.fail(new Error('an answer without a length was reset'));
		} else if (!this.done) {
			this.done = true;
			this.engine.release(this.connection);
			this.listener.onEnd();
		}
	}

	private fail(err: NodeJS.ErrnoException): void {
		if (!this.done) {
			this.drop();
			this.listener.onError(err.message, err.code === refusedCode);
		}
	}

	private drop(): void {
		this.done = true;
		this.engine.discard(this.connection);
	}
}

/**
 * One HTTP call to an engine, or to a VM that forwards it, on a connection of its own.
 * @module
 */
import type * as undici from 'undici';
import type {
	AnswerHead,
	AnswerListener,
	RawHeaders,
	RunningCall,
} from '../../core/relay/definitions.js';
import { ChunkBatch } from '../chunk-batch.js';
import type { EngineConnection, EngineConnectionPool } from './engine-connection-pool.js';

export const connectionRefusedCode = 'ECONNREFUSED';
/** undici compares the length in a head with the bytes of the body, also where there is none by definition. */
const lengthMismatchCode = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';
const notModifiedStatus = 304;

/** Decodes the head of an answer. */
export type AnswerDecoder = (status: number, rawHeaders: RawHeaders) => AnswerHead;

/**
 * One call to an engine. Uses undici's legacy handler methods: the newer ones wrap them and parse all
 * headers a second time.
 */
export class EngineRunningCall implements undici.Dispatcher.DispatchHandler, RunningCall {
	private readonly connection: EngineConnection;
	private abortCall?: (err?: Error) => void;
	private resumeReading?: () => void;
	private isPaused = false;
	private isStarting = true;
	private status = 0;
	private isDone = false;
	private readonly batch = new ChunkBatch((bytes) => this.handleBytes(bytes));

	constructor(
		private readonly decodeAnswer: AnswerDecoder,
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
			const head = this.decodeAnswer(status, headers);
			this.status = status;
			this.listener.onHead(head);
		}
		return !this.isPaused;
	}

	onData(chunk: Buffer): boolean {
		this.batch.add(chunk);
		return !this.isPaused;
	}

	onComplete(): void {
		this.batch.flush();
		if (!this.isDone) {
			this.isDone = true;
			this.pool.release(this.connection);
			this.listener.onEnd();
		}
	}

	onError(err: Error): void {
		if (this.isStarting) {
			// undici rejects an invalid head inside dispatch(), before anything is sent.
			setImmediate(() => this.fail(err));
		} else {
			this.fail(err);
		}
	}

	private handleBytes(bytes: Buffer): void {
		if (!this.isDone) {
			this.listener.onData(bytes);
		}
	}

	private fail(err: NodeJS.ErrnoException): void {
		this.batch.flush();
		if (this.isDone) {
			return;
		}
		this.discard();
		if (this.status === notModifiedStatus && err.code === lengthMismatchCode) {
			// The length is that of the answer that was not modified (RFC 9110, section 8.6).
			this.listener.onEnd();
		} else {
			this.listener.onError(err.message, err.code === connectionRefusedCode);
		}
	}

	private discard(): void {
		this.isDone = true;
		this.pool.discard(this.connection);
	}
}

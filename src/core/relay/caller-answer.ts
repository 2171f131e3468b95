/**
 * The answer to one caller: sends the head once, applies backpressure to the engine, and allows a started answer only to end or abort.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { AnswerHead, CallerResponse, RawHeaders } from './definitions.js';

export class CallerAnswer {
	private firstWriteAt?: number;
	private lastWriteAt?: number;
	private maxPause?: number;
	private isBlocked = false;

	/** @param onDrain called when the caller has caught up with reading */
	constructor(
		private readonly res: CallerResponse,
		private readonly clock: Clock,
		private readonly onDrain: () => void,
	) {}

	/** Whether the head was sent: status and headers can no longer change. */
	get hasStarted(): boolean {
		return this.firstWriteAt !== undefined;
	}

	/** Time of the first byte, in milliseconds since boot. */
	get firstByteAt(): number | undefined {
		return this.firstWriteAt;
	}

	/** Longest time between two writes. */
	get maxPauseMs(): number | undefined {
		return this.maxPause;
	}

	/** Whether the caller reads too slowly; the engine should be paused until it has caught up. */
	get isPaused(): boolean {
		return this.isBlocked;
	}

	/** Sends an engine's head, unless one was sent before. */
	writeHead(head: AnswerHead): void {
		if (!this.hasStarted) {
			this.firstWriteAt = this.clock.sinceBoot();
			this.res.writeHead(head.status, head.headers);
		}
	}

	/** @returns false when this write filled the caller's buffer */
	write(bytes: Buffer): boolean {
		this.recordPause();
		if (this.res.write(bytes) || this.isBlocked) {
			return true;
		}
		this.isBlocked = true;
		this.res.onDrain(() => {
			this.isBlocked = false;
			this.onDrain();
		});
		return false;
	}

	end(body?: Buffer): void {
		this.res.end(body);
	}

	/** Closes the connection, so that the answer is recognisably incomplete. */
	abort(): void {
		this.res.abort();
	}

	/** Sends a complete plain-text answer of the router. */
	sendText(status: number, text: string, headers: RawHeaders): void {
		const body = Buffer.from(`${text}\n`);
		const ownHeaders = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
		this.res.writeHead(status, [...ownHeaders, ...headers]);
		this.res.end(body);
	}

	private recordPause(): void {
		const now = this.clock.monotonic();
		if (this.lastWriteAt !== undefined) {
			this.maxPause = Math.max(this.maxPause ?? 0, now - this.lastWriteAt);
		}
		this.lastWriteAt = now;
	}
}

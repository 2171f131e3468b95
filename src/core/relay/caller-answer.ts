/**
 * The answer to one caller as far as it went: its head is sent once, slow readers hold the engine
 * back, and an answer that has started can only be ended or cut.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { AnswerHead, CallerResponse, RawHeaders } from './definitions.js';

export class CallerAnswer {
	private firstAt?: number;
	private lastAt?: number;
	private worstPause?: number;
	private isHeld = false;

	/** @param onDrain the caller reads again */
	constructor(
		private readonly res: CallerResponse,
		private readonly clock: Clock,
		private readonly onDrain: () => void,
	) {}

	/** Its head left: status and headers can no longer change. */
	get hasStarted(): boolean {
		return this.firstAt !== undefined;
	}

	/** Monotonic milliseconds of its first byte. */
	get firstByteAt(): number | undefined {
		return this.firstAt;
	}

	/** Longest time between two writes, in milliseconds. */
	get maxPauseMs(): number | undefined {
		return this.worstPause;
	}

	/** The caller reads too slowly: nothing more should come until it has caught up. */
	get isPaused(): boolean {
		return this.isHeld;
	}

	/** An engine's own head; one that came before stays. */
	writeHead(head: AnswerHead): void {
		if (!this.hasStarted) {
			this.firstAt = this.clock.sinceBoot();
			this.res.writeHead(head.status, head.headers);
		}
	}

	/** @returns false when the caller just began to read too slowly */
	write(bytes: Buffer): boolean {
		this.notePause();
		if (this.res.write(bytes) || this.isHeld) {
			return true;
		}
		this.isHeld = true;
		this.res.onDrain(() => {
			this.isHeld = false;
			this.onDrain();
		});
		return false;
	}

	end(body?: Buffer): void {
		this.res.end(body);
	}

	/** Ends a started answer so that it does not look whole. */
	abort(): void {
		this.res.abort();
	}

	/** A short answer of our own, whole. */
	sendText(status: number, text: string, headers: RawHeaders): void {
		const body = Buffer.from(`${text}\n`);
		const own = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
		this.res.writeHead(status, [...own, ...headers]);
		this.res.end(body);
	}

	private notePause(): void {
		const now = this.clock.monotonic();
		if (this.lastAt !== undefined) {
			this.worstPause = Math.max(this.worstPause ?? 0, now - this.lastAt);
		}
		this.lastAt = now;
	}
}

/**
 * What the answers of one engine say about it: whether it may be given work.
 * @module
 */

/** Failures in a row after which the engine is closed. */
const failuresToClose = 3;
/** First and longest time that it stays closed before one request tries it, in milliseconds. */
const firstCloseMs = 500;
const maxCloseMs = 4000;
/** An engine that rejects as often in a row is passed over for so long, in milliseconds: its queue drains faster. */
const busyCloseMs = 200;
/** An engine with requests under way that sends nothing for so long is not chosen, in milliseconds. */
const silenceMs = 600;
/** Reading prompts explains silence for so many times as long as it should take. */
const readingMargin = 2;

export class EngineHealth {
	private failuresInRow = 0;
	private closedUntil = 0;
	private closeMs = firstCloseMs;
	private trial = false;
	/** Something is under way and nothing was heard since. */
	private awaitingSince?: number;
	private running = 0;
	/** What reading the prompts under way should take, in milliseconds. */
	private readingMsAwaited = 0;

	/** Whether it may be given a request now. */
	isAvailable(now: number): boolean {
		return !this.isCircuitOpen(now) && !this.isSilent(now);
	}

	isCircuitOpen(now: number): boolean {
		return now < this.closedUntil || this.trial;
	}

	isSilent(now: number): boolean {
		const allowed = silenceMs + this.readingMsAwaited * readingMargin;
		return this.awaitingSince !== undefined && now - this.awaitingSince > allowed;
	}

	/**
	 * A request left for it.
	 * @param readingMs what reading its prompt should take
	 */
	recordSent(now: number, readingMs: number): void {
		this.running++;
		this.readingMsAwaited += readingMs;
		this.awaitingSince ??= now;
		this.trial = this.closedUntil > 0;
	}

	/** Bytes came. */
	recordActivity(now: number): void {
		this.awaitingSince = this.running > 0 ? now : undefined;
	}

	/** A request that was sent has ended, however; `readingMs` as it was when it was sent. */
	recordEnd(readingMs: number): void {
		this.running--;
		this.readingMsAwaited -= readingMs;
		// A trial that ended without a verdict, such as by its caller leaving, may be repeated.
		this.trial = false;
		if (this.running === 0) {
			this.awaitingSince = undefined;
		}
	}

	recordSuccess(): void {
		this.failuresInRow = 0;
		this.closedUntil = 0;
		this.closeMs = firstCloseMs;
		this.trial = false;
	}

	/** @returns true when the engine is closed by this failure */
	recordFailure(now: number): boolean {
		this.failuresInRow++;
		this.trial = false;
		return this.failuresInRow >= failuresToClose && this.close(now);
	}

	/** It says that it is too busy; it did not run the request. */
	recordRejection(now: number): void {
		this.failuresInRow++;
		this.trial = false;
		if (this.failuresInRow >= failuresToClose) {
			this.closedUntil = Math.max(this.closedUntil, now + busyCloseMs);
		}
	}

	/** Nothing listens at its address, or nothing answers there. */
	recordUnreachable(now: number): boolean {
		this.failuresInRow++;
		this.trial = false;
		return this.close(now);
	}

	private close(now: number): boolean {
		const wasClosed = now < this.closedUntil;
		this.closedUntil = now + this.closeMs;
		this.closeMs = Math.min(this.closeMs * 2, maxCloseMs);
		return !wasClosed;
	}
}

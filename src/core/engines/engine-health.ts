/**
 * Health of one engine as this VM observes it: a circuit breaker over failures, and detection of silence.
 * @module
 */

/** Consecutive failures that open the circuit. */
const failuresToOpen = 3;
/** Initial and maximum time that the circuit stays open before a trial request, in milliseconds. */
const initialOpenMs = 500;
const maxOpenMs = 4000;
/** How long an engine that keeps rejecting requests is skipped, in milliseconds: its queue drains quickly. */
const rejectionOpenMs = 200;
/** An engine with requests in flight counts as silent after this time without any bytes, in milliseconds. */
const silenceMs = 600;
/**
 * A longer silence is evidence against an engine, in milliseconds. Sound engines are silent for up to 1,500 ms, and their last event
 * may have been sent one interval before.
 */
const maxSoundSilenceMs = 1800;
/** Silence is excused for this multiple of the estimated reading time of the prompts in flight. */
const readingMargin = 2;

export class EngineHealth {
	private consecutiveFailures = 0;
	private openUntil = 0;
	private openMs = initialOpenMs;
	/** A trial request is in flight: the circuit is half-open. */
	private isTrialRunning = false;
	/** Since when requests are in flight without any bytes received. */
	private awaitingSince?: number;
	private lastBytesAt = Number.NEGATIVE_INFINITY;
	private running = 0;
	/** Estimated reading time of the prompts in flight, in milliseconds. */
	private pendingReadingMs = 0;

	/** Whether the engine may be given a request now. */
	isAvailable(now: number): boolean {
		return !this.isCircuitOpen(now) && !this.isSilent(now);
	}

	isCircuitOpen(now: number): boolean {
		return now < this.openUntil || this.isTrialRunning;
	}

	isSilent(now: number): boolean {
		const allowedMs = silenceMs + this.pendingReadingMs * readingMargin;
		return this.awaitingSince !== undefined && now - this.awaitingSince > allowedMs;
	}

	/** Whether nothing but a silence that sound engines may have speaks against the engine. */
	isBrieflySilent(now: number): boolean {
		return !this.isCircuitOpen(now) && this.isSilent(now) && this.silentMs(now) < maxSoundSilenceMs;
	}

	/** Whether requests are in flight. */
	get isAwaiting(): boolean {
		return this.awaitingSince !== undefined;
	}

	/** When bytes last arrived from the engine, in monotonic milliseconds. */
	get activeAt(): number {
		return this.lastBytesAt;
	}

	/** Milliseconds without any bytes while requests are in flight; 0 while none are. */
	silentMs(now: number): number {
		return this.awaitingSince === undefined ? 0 : now - this.awaitingSince;
	}

	/** @param readingMs estimated time to read the prompt of the request */
	recordSent(now: number, readingMs: number): void {
		this.running++;
		this.pendingReadingMs += readingMs;
		this.awaitingSince ??= now;
		this.isTrialRunning = this.openUntil > 0;
	}

	/** Records that bytes arrived from the engine. */
	recordActivity(now: number): void {
		this.lastBytesAt = now;
		this.awaitingSince = this.running > 0 ? now : undefined;
	}

	/**
	 * Records that a request ended, whatever its outcome.
	 * @param readingMs as passed to `recordSent`
	 */
	recordEnd(readingMs: number): void {
		this.running--;
		this.pendingReadingMs -= readingMs;
		// An inconclusive trial, such as one whose caller left, may be repeated.
		this.isTrialRunning = false;
		if (this.running === 0) {
			this.awaitingSince = undefined;
		}
	}

	recordSuccess(): void {
		this.consecutiveFailures = 0;
		this.openUntil = 0;
		this.openMs = initialOpenMs;
		this.isTrialRunning = false;
	}

	/** @returns whether this failure opened the circuit */
	recordFailure(now: number): boolean {
		this.consecutiveFailures++;
		this.isTrialRunning = false;
		return this.consecutiveFailures >= failuresToOpen && this.open(now);
	}

	/** The link works again: what was observed while it was down says nothing about the engine. */
	handleLinkRestored(now: number): void {
		this.recordSuccess();
		this.recordActivity(now);
	}

	/** Records that the engine was too busy and did not run the request. */
	recordRejection(now: number): void {
		this.consecutiveFailures++;
		this.isTrialRunning = false;
		if (this.consecutiveFailures >= failuresToOpen) {
			this.openUntil = Math.max(this.openUntil, now + rejectionOpenMs);
		}
	}

	/**
	 * Records that the engine could not be reached, which opens the circuit at once.
	 * @returns whether the circuit was not open before
	 */
	recordUnreachable(now: number): boolean {
		this.consecutiveFailures++;
		this.isTrialRunning = false;
		return this.open(now);
	}

	private open(now: number): boolean {
		const wasOpen = now < this.openUntil;
		this.openUntil = now + this.openMs;
		this.openMs = Math.min(this.openMs * 2, maxOpenMs);
		return !wasOpen;
	}
}

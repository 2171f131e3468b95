/**
 * Health of one engine as this VM observes it: circuit breakers over failures and over silence, and detection of silence.
 * @module
 */
import { CircuitBreaker } from './circuit-breaker.js';

/** How long an engine that keeps rejecting requests is skipped, in milliseconds: its queue drains quickly. */
const rejectionOpenMs = 200;
/** An engine with requests in flight counts as silent after this time without any bytes, in milliseconds. */
const silenceMs = 600;
/**
 * A longer silence is evidence against an engine, in milliseconds. Sound engines are silent for up to 1,500 ms, and their last event
 * may have been sent one interval before.
 */
const maxSoundSilenceMs = 1800;
/** Requests that are further apart tell of two silences, in milliseconds: the engine may have spoken between them. */
const maxUnansweredGapMs = 700;
/** Maximum time that a circuit stays open before a trial, in milliseconds: after failures, and after silences, which end sooner. */
const maxFailureOpenMs = 4000;
const maxSilenceOpenMs = 500;
/** Silence is excused for this multiple of the estimated reading time of the prompts in flight. */
const readingMargin = 2;

export class EngineHealth {
	private readonly failures = new CircuitBreaker(maxFailureOpenMs);
	/** Over requests that other engines answered first; any byte closes it, as silence proves no failure. */
	private readonly silences = new CircuitBreaker(maxSilenceOpenMs);
	/** Since when requests are in flight without any bytes received. */
	private awaitingSince?: number;
	/** Requests that ended unanswered in a silence, since the last byte or the last call of `takeUnanswered`. */
	private unanswered = 0;
	/** When the silence began in which they ended, and when the last one did, in monotonic milliseconds. */
	private unansweredSince?: number;
	private lastUnansweredAt = Number.NEGATIVE_INFINITY;
	private lastBytesAt = Number.NEGATIVE_INFINITY;
	/** Length of the last silence that was long enough to count, and when it ended. */
	private lastSilence = { ms: 0, endedAt: Number.NEGATIVE_INFINITY };
	private running = 0;
	/** Estimated reading time of the prompts in flight, in milliseconds. */
	private pendingReadingMs = 0;

	/** Whether the engine may be given a request now. */
	isAvailable(now: number): boolean {
		return !this.isCircuitOpen(now) && !this.isSilent(now);
	}

	isCircuitOpen(now: number): boolean {
		return this.failures.isOpen(now) || this.silences.isOpen(now);
	}

	isSilent(now: number): boolean {
		return this.unexcusedSilenceMs(now) > silenceMs;
	}

	/** Whether nothing but a silence that sound engines may have speaks against the engine. */
	isBrieflySilent(now: number): boolean {
		return this.isSilent(now) && !this.isSilentForLong(now) && !this.failures.isOpen(now);
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

	/**
	 * Whether the engine sent nothing to any request for longer than its work explains.
	 * @param since start of the time to look at, in monotonic milliseconds
	 * @param workMs estimated time of the work that was ahead then
	 */
	wasSilentSince(since: number, workMs: number): boolean {
		const { ms, endedAt } = this.lastSilence;
		return endedAt >= since && ms > silenceMs + workMs * readingMargin;
	}

	/** @param readingMs estimated time to read the prompt of the request */
	recordSent(now: number, readingMs: number): void {
		this.running++;
		this.pendingReadingMs += readingMs;
		this.awaitingSince ??= now;
		this.failures.recordSent();
		this.silences.recordSent();
	}

	/** Records that bytes arrived from the engine. */
	recordActivity(now: number): void {
		if (this.silentMs(now) > silenceMs) {
			this.lastSilence = { ms: this.silentMs(now), endedAt: now };
		}
		this.lastBytesAt = now;
		this.awaitingSince = this.running > 0 ? now : undefined;
		this.unanswered = 0;
		this.unansweredSince = undefined;
		this.silences.close();
	}

	/**
	 * Records that a request ended, whatever its outcome.
	 * @param readingMs as passed to `recordSent`
	 */
	recordEnd(readingMs: number): void {
		this.running--;
		this.pendingReadingMs -= readingMs;
		this.failures.recordEnd();
		this.silences.recordEnd();
		if (this.running === 0) {
			this.awaitingSince = undefined;
		}
	}

	recordSuccess(): void {
		this.failures.close();
		this.silences.close();
	}

	/** @returns whether this failure opened the circuit */
	recordFailure(now: number): boolean {
		return this.failures.recordFailure(now);
	}

	/**
	 * Records that a request ended unanswered while the engine sent nothing to any request.
	 * @param silentMs how long that had been
	 * @returns whether this silence opened the circuit
	 */
	recordSilence(now: number, silentMs: number): boolean {
		const since = now - silentMs;
		if (since - this.lastUnansweredAt > maxUnansweredGapMs) {
			this.unansweredSince = since;
			this.unanswered = 0;
		}
		this.unansweredSince = Math.min(this.unansweredSince ?? since, since);
		this.lastUnansweredAt = now;
		this.unanswered++;
		return this.silences.recordFailure(now);
	}

	/** Whether the engine sent nothing for longer than sound engines are silent, as far as requests tell. */
	isSilentForLong(now: number): boolean {
		const unansweredMs = this.unansweredSince === undefined ? 0 : now - this.unansweredSince;
		return Math.max(unansweredMs, this.unexcusedSilenceMs(now)) >= maxSoundSilenceMs;
	}

	/** Number of requests that ended unanswered since the last byte; each is returned once. */
	takeUnanswered(): number {
		const count = this.unanswered;
		this.unanswered = 0;
		return count;
	}

	/** The link works again: what was observed while it was down says nothing about the engine. */
	handleLinkRestored(now: number): void {
		this.recordSuccess();
		this.recordActivity(now);
	}

	/** Records that the engine was too busy and did not run the request. */
	recordRejection(now: number): void {
		this.failures.recordShortFailure(now, rejectionOpenMs);
	}

	/**
	 * Records that the engine could not be reached, which opens the circuit at once.
	 * @returns whether the circuit was not open before
	 */
	recordUnreachable(now: number): boolean {
		return this.failures.recordCertainFailure(now);
	}

	/** Silence beyond the time that the engine may take to read prompts, in milliseconds. */
	private unexcusedSilenceMs(now: number): number {
		return Math.max(0, this.silentMs(now) - this.pendingReadingMs * readingMargin);
	}
}

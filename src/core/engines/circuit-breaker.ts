/**
 * Circuit breaker over consecutive failures: once open, it lets one trial through at a time.
 * @module
 */

/** Consecutive failures that open the circuit. */
const failuresToOpen = 3;
/** Initial time that the circuit stays open before a trial, in milliseconds; it doubles with each failed trial. */
const initialOpenMs = 500;

export class CircuitBreaker {
	private consecutiveFailures = 0;
	private openUntil = 0;
	private openMs = initialOpenMs;
	/** A trial request is in flight: the circuit is half-open. */
	private isTrialRunning = false;

	/** @param maxOpenMs maximum time that it stays open before a trial, in milliseconds */
	constructor(private readonly maxOpenMs: number) {}

	isOpen(now: number): boolean {
		return now < this.openUntil || this.isTrialRunning;
	}

	recordSent(): void {
		this.isTrialRunning = this.openUntil > 0;
	}

	/** An inconclusive trial, such as one whose caller left, may be repeated. */
	recordEnd(): void {
		this.isTrialRunning = false;
	}

	/** @returns whether this failure opened the circuit */
	recordFailure(now: number): boolean {
		this.countFailure();
		return this.consecutiveFailures >= failuresToOpen && this.open(now);
	}

	/**
	 * Records a failure that passes soon.
	 * @param openMs how long the circuit stays open if there were several, in milliseconds
	 */
	recordShortFailure(now: number, openMs: number): void {
		this.countFailure();
		if (this.consecutiveFailures >= failuresToOpen) {
			this.openUntil = Math.max(this.openUntil, now + openMs);
		}
	}

	/**
	 * Records a failure that opens the circuit at once.
	 * @returns whether it was not open before
	 */
	recordCertainFailure(now: number): boolean {
		this.countFailure();
		return this.open(now);
	}

	close(): void {
		this.consecutiveFailures = 0;
		this.openUntil = 0;
		this.openMs = initialOpenMs;
		this.isTrialRunning = false;
	}

	private countFailure(): void {
		this.consecutiveFailures++;
		this.isTrialRunning = false;
	}

	private open(now: number): boolean {
		const wasOpen = now < this.openUntil;
		this.openUntil = now + this.openMs;
		this.openMs = Math.min(this.openMs * 2, this.maxOpenMs);
		return !wasOpen;
	}
}

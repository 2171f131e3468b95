/**
 * Runs a callback at a deadline that may move, with a single timer.
 * @module
 */
import type { Clock } from '../../core/definitions.js';

/** A timer that would fire at least this early is rescheduled, since an extra wake-up costs more. */
const earlyToleranceMs = 20;
/** Delays of at least this length are rounded up. */
const longDelayMs = 50;
/** Added to long delays, since a timer may fire early by the age of the event loop's cached time. */
const loopClockSlackMs = 2;

export class DueTimer {
	private timer?: NodeJS.Timeout;
	/** Deadline that the timer is set for, in monotonic milliseconds; infinite while none is set. */
	private firesAt = Number.POSITIVE_INFINITY;
	private isStopped = false;

	/**
	 * @param dueAt returns the next deadline in monotonic milliseconds; infinite for none
	 * @param run called when the timer fires, which may be slightly before a deadline that moved
	 * @param minDelayMs minimum delay before the next run
	 */
	constructor(
		private readonly clock: Clock,
		private readonly dueAt: () => number,
		private readonly run: () => void,
		private readonly minDelayMs = 0,
	) {}

	/** Reschedules the timer if the deadline has moved; must be called after each change of the deadline. */
	arm(): void {
		const dueAt = this.dueAt();
		if (this.isStopped || this.firesAt === dueAt) {
			return;
		}
		if (this.firesAt < dueAt && dueAt - this.firesAt < earlyToleranceMs) {
			return;
		}
		clearTimeout(this.timer);
		this.firesAt = dueAt;
		if (dueAt < Number.POSITIVE_INFINITY) {
			this.timer = setTimeout(() => this.fire(), this.delayMs(dueAt));
		}
	}

	private delayMs(dueAt: number): number {
		const delayMs = Math.max(this.minDelayMs, dueAt - this.clock.monotonic());
		return delayMs < longDelayMs ? delayMs : Math.ceil(delayMs) + loopClockSlackMs;
	}

	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
	}

	private fire(): void {
		this.firesAt = Number.POSITIVE_INFINITY;
		this.run();
		this.arm();
	}
}

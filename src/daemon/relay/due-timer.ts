/**
 * One timer for whatever is due next.
 * @module
 */
import type { Clock } from '../../core/definitions.js';

/** A timer that would fire so much before something is due is set anew, in milliseconds; moving it costs less than a wake-up. */
const looseMs = 20;
/** Waits from here on are rounded up, in milliseconds. */
const longWaitMs = 50;
/** So much is added to them, in milliseconds: a timer may fire early by the age of the loop's clock, and would be set once more. */
const earlyMs = 2;

export class DueTimer {
	private timer?: NodeJS.Timeout;
	/** When the timer fires, in monotonic milliseconds. */
	private firesAt = Number.POSITIVE_INFINITY;
	private isStopped = false;

	/**
	 * @param dueAt monotonic milliseconds at which something is due next
	 * @param leastMs shortest time to the next run, in milliseconds
	 */
	constructor(
		private readonly clock: Clock,
		private readonly dueAt: () => number,
		private readonly run: () => void,
		private readonly leastMs = 0,
	) {}

	/** Sets the timer anew, unless it fires in time already. */
	arm(): void {
		const dueAt = this.dueAt();
		if (this.isStopped || this.firesAt === dueAt) {
			return;
		}
		if (this.firesAt < dueAt && dueAt - this.firesAt < looseMs) {
			return;
		}
		clearTimeout(this.timer);
		this.firesAt = dueAt;
		if (dueAt < Number.POSITIVE_INFINITY) {
			this.timer = setTimeout(() => this.fire(), this.waitMs(dueAt));
		}
	}

	private waitMs(dueAt: number): number {
		const waitMs = Math.max(this.leastMs, dueAt - this.clock.monotonic());
		return waitMs < longWaitMs ? waitMs : Math.ceil(waitMs) + earlyMs;
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

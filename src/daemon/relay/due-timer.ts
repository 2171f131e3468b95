/**
 * One timer for whatever is due next.
 * @module
 */
import type { Clock } from '../../core/definitions.js';

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
		if (this.isStopped || this.firesAt <= dueAt) {
			return;
		}
		clearTimeout(this.timer);
		this.firesAt = dueAt;
		const waitMs = Math.max(this.leastMs, dueAt - this.clock.monotonic());
		this.timer = setTimeout(() => this.fire(), waitMs);
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

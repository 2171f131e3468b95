/**
 * Unix time that all VMs agree on, whatever their clocks do. It runs with the steady clock from the process's start on: a
 * VM's time of day may jump by seconds, and back. A process that started during such a jump is set right by the holder
 * of the duty, which takes the median of what all VMs think.
 * @module
 */
import type { Clock } from '../definitions.js';

/** Smaller differences from the VM's own clock are followed, in milliseconds: the steady clock drifts. */
const followedMs = 100;
/** Share of such a difference that is taken up with each look. */
const followShare = 0.05;
/**
 * Differences from the other VMs that are set right, in milliseconds: a busy VM reads a message 300 ms late. A smaller one moves
 * a seventh of a window of five seconds at the most.
 */
const wrongMs = 700;

export class FleetClock {
	private offsetMs: number;

	constructor(private readonly clock: Clock) {
		this.offsetMs = clock.wall() - clock.monotonic();
	}

	/** Unix milliseconds. */
	now(): number {
		return this.clock.monotonic() + this.offsetMs;
	}

	/** Follows the drift of the VM's own clock, and no jump; called several times a second. */
	update(): void {
		const differenceMs = this.clock.wall() - this.now();
		if (Math.abs(differenceMs) < followedMs) {
			this.offsetMs += differenceMs * followShare;
		}
	}

	/**
	 * Others think that it is so much later.
	 * @returns whether the clock was set
	 */
	correct(differenceMs: number): boolean {
		if (Math.abs(differenceMs) < wrongMs) {
			return false;
		}
		this.offsetMs += differenceMs;
		return true;
	}
}

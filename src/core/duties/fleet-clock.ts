/**
 * Unix time shared by all VMs. It follows the monotonic clock from process start, because the wall clock of a VM may jump.
 * The duty holder corrects a process that started with a wrong clock, using the median of all VMs.
 * @module
 */
import type { Clock } from '../definitions.js';

/** Smaller differences from the wall clock count as drift of the monotonic clock and are corrected gradually. */
const maxDriftMs = 100;
/** Share of the drift that each update corrects. */
const driftCorrectionRatio = 0.05;
/**
 * Smaller differences from other VMs are ignored, since message delays cause them: a busy VM may read a message 300 ms late. A
 * smaller one misplaces at most a seventh of a usage window of five seconds.
 */
const minCorrectionMs = 700;

export class FleetClock {
	private offsetMs: number;

	constructor(private readonly clock: Clock) {
		this.offsetMs = clock.wall() - clock.monotonic();
	}

	/** Unix milliseconds. */
	now(): number {
		return this.clock.monotonic() + this.offsetMs;
	}

	/** Corrects drift, but follows no jump of the wall clock; called several times a second. */
	update(): void {
		const differenceMs = this.clock.wall() - this.now();
		if (Math.abs(differenceMs) < maxDriftMs) {
			this.offsetMs += differenceMs * driftCorrectionRatio;
		}
	}

	/**
	 * Adjusts the clock to the other VMs.
	 * @param differenceMs how far the other VMs are ahead
	 * @returns whether the clock was adjusted
	 */
	correct(differenceMs: number): boolean {
		if (Math.abs(differenceMs) < minCorrectionMs) {
			return false;
		}
		this.offsetMs += differenceMs;
		return true;
	}
}

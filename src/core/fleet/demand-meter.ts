/**
 * Work that callers bring to this VM, over the last seconds, in engines kept busy by it.
 * @module
 */
import type { Demand } from './types.js';

/** Time constant of the mean, in milliseconds: follows a burst within a second or two. */
const meanMs = 1500;

export class DemandMeter {
	private long = 0;
	private short = 0;
	private at = 0;

	/** @param workMs how long the request keeps an engine busy */
	add(workMs: number, isLong: boolean, now: number): void {
		this.decay(now);
		const rate = workMs / meanMs;
		if (isLong) {
			this.long += rate;
		} else {
			this.short += rate;
		}
	}

	read(now: number): Demand {
		this.decay(now);
		return { long: this.long, short: this.short };
	}

	private decay(now: number): void {
		const factor = Math.exp((this.at - now) / meanMs);
		this.at = now;
		this.long *= factor;
		this.short *= factor;
	}
}

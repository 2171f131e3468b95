/**
 * Exponential moving average of the work that arrives from callers at this VM, as the number of engines it keeps busy.
 * @module
 */
import type { Demand } from './types.js';

/** Time constant of the average. */
const timeConstantMs = 1500;

export class DemandMeter {
	private long = 0;
	private short = 0;
	private updatedAt = 0;

	/** @param workMs time for which the request keeps an engine busy */
	add(workMs: number, isLong: boolean, now: number): void {
		this.decay(now);
		const rate = workMs / timeConstantMs;
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
		const factor = Math.exp((this.updatedAt - now) / timeConstantMs);
		this.updatedAt = now;
		this.long *= factor;
		this.short *= factor;
	}
}

/**
 * Work that came lately, as a rate: a sum that forgets.
 * @module
 */

/**
 * Time constant in milliseconds. Longer than news between VMs take to tell of a rush, and short enough that callers who are refused for
 * one come back within their deadlines to a fleet that has forgotten most of it.
 */
export const memoryMs = 3000;

export class DecayingSum {
	private rate = 0;
	private at = 0;

	/** @param workMs how long the work keeps an engine busy */
	add(workMs: number, now: number): void {
		this.rate = this.read(now) + workMs / memoryMs;
		this.at = now;
	}

	/** In engines kept busy. */
	read(now: number): number {
		return this.rate * Math.exp((this.at - now) / memoryMs);
	}
}

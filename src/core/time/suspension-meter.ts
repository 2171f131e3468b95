/**
 * How long a VM was suspended, from two clocks: the steady one stands still meanwhile, the time of day does not. A step of the time
 * of day looks the same, so ages are at times taken for greater than they are, never for less.
 * @module
 */

/**
 * The time of day gained so much on the steady clock between two looks, in milliseconds: corrections of it by a time service are a
 * few milliseconds, and no lease or age here is counted finer.
 */
const leastMs = 250;

export class SuspensionMeter {
	private total = 0;
	private lastDifference?: number;

	/** All suspensions since the start, in milliseconds. */
	get totalMs(): number {
		return this.total;
	}

	/**
	 * @param steadyMs as the steady clock has it
	 * @param wallMs as the time of day has it
	 */
	sample(steadyMs: number, wallMs: number): void {
		const difference = wallMs - steadyMs;
		const gained = difference - (this.lastDifference ?? difference);
		this.lastDifference = difference;
		if (gained >= leastMs) {
			this.total += gained;
		}
	}
}

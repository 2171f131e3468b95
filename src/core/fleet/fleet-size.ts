/**
 * How many VMs share the retry budget. Taken too small, the fleet as a whole would retry too often, so
 * a VM that hears nobody, such as one that has just started or is cut off, counts those it knew.
 * @module
 */

/** A VM that was not heard of for so long no longer counts, in milliseconds. */
const rememberedMs = 60_000;

export class FleetSize {
	private largest = 0;
	private largestAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param heard VMs heard of now, this one included
	 * @param registered VMs that the store lists, this one included; undefined before the first read
	 * @returns VMs to share with; undefined while that is not known
	 */
	count(heard: number, registered: number | undefined, now: number): number | undefined {
		const seen = Math.max(heard, registered ?? 0);
		if (seen >= this.largest || now - this.largestAt > rememberedMs) {
			this.largest = seen;
			this.largestAt = now;
		}
		return registered === undefined && heard <= 1 ? undefined : this.largest;
	}
}

/**
 * Number of VMs that share the retry budget. A VM that is isolated or has just started counts the VMs it knew before, since
 * too low a count would let the fleet retry too often.
 * @module
 */

/** Time for which the largest count stays in force. */
const retentionMs = 60_000;

export class FleetSize {
	private largest = 0;
	private largestAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param live VMs in the gossip view, this one included
	 * @param registered VMs registered in the store, this one included; undefined before the first read
	 * @returns VMs that share the budget; undefined while that is unknown
	 */
	count(live: number, registered: number | undefined, now: number): number | undefined {
		const current = Math.max(live, registered ?? 0);
		if (current >= this.largest || now - this.largestAt > retentionMs) {
			this.largest = current;
			this.largestAt = now;
		}
		return registered === undefined && live <= 1 ? undefined : this.largest;
	}
}

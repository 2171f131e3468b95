/**
 * The order of waiting work, the same at an entry and at an endpoint's owner: tier strictly
 * first; inside a tier, requests that can still meet their first-token target, then customers
 * within their fair share, then the earliest deadline.
 * @module
 */

/** What the order looks at. */
export interface Orderable {
	tier: number;
	/** The first-token target can no longer be met. */
	late: boolean;
	/** Running requests of the customer over its weight; fewer go first when shares are unequal. */
	share: number;
	/** Milliseconds until the first token is due; negative when past. */
	slack: number;
}

/** Running requests of a customer that count as equal to another's. */
const shareTolerance = 1;

/** Negative when `a` runs before `b`. */
export function compare(a: Orderable, b: Orderable): number {
	if (a.tier !== b.tier) {
		return a.tier - b.tier;
	}
	if (a.late !== b.late) {
		return a.late ? 1 : -1;
	}
	if (Math.abs(a.share - b.share) > shareTolerance) {
		return a.share - b.share;
	}
	return a.slack - b.slack;
}

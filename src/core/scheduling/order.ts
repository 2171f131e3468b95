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

/** Shares within one step of this size count as equal, so that the deadline decides. */
const shareStep = 2;

/** Negative when `a` runs before `b`. */
export function compare(a: Orderable, b: Orderable): number {
	if (a.tier !== b.tier) {
		return a.tier - b.tier;
	}
	if (a.late !== b.late) {
		return a.late ? 1 : -1;
	}
	const shares = Math.floor(a.share / shareStep) - Math.floor(b.share / shareStep);
	return shares === 0 ? a.slack - b.slack : shares;
}

/** Position of the item that runs first; -1 for none. */
export function first<T>(items: readonly T[], orderOf: (item: T) => Orderable): number {
	let best = -1;
	let bestOrder: Orderable | undefined;
	for (const [at, item] of items.entries()) {
		const itemOrder = orderOf(item);
		if (!bestOrder || compare(itemOrder, bestOrder) < 0) {
			best = at;
			bestOrder = itemOrder;
		}
	}
	return best;
}

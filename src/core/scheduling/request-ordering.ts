/**
 * The order of waiting work, the same at an entry and at an endpoint's owner: tier strictly
 * first; inside a tier, requests that can still meet their first-token target, then customers
 * within their fair share, then the earliest deadline.
 * @module
 */

/** What the order looks at. */
export interface OrderingKey {
	tier: number;
	/** The first-token target can no longer be met. */
	isLate: boolean;
	/** Running requests of the customer over its weight; fewer go first when shares are unequal. */
	customerShare: number;
	/** Milliseconds until the first token is due; negative when past. */
	slackMs: number;
}

/** Shares within one step of this size count as equal, so that the deadline decides. */
const shareStep = 2;

/** Negative when `a` runs before `b`. */
export function compare(a: OrderingKey, b: OrderingKey): number {
	if (a.tier !== b.tier) {
		return a.tier - b.tier;
	}
	if (a.isLate !== b.isLate) {
		return a.isLate ? 1 : -1;
	}
	const shares = Math.floor(a.customerShare / shareStep) - Math.floor(b.customerShare / shareStep);
	return shares === 0 ? a.slackMs - b.slackMs : shares;
}

/** Position of the item that runs first; -1 for none. */
export function indexOfFirst<T>(items: readonly T[], orderOf: (item: T) => OrderingKey): number {
	let best = -1;
	let bestOrder: OrderingKey | undefined;
	for (const [at, item] of items.entries()) {
		const itemOrder = orderOf(item);
		if (!bestOrder || compare(itemOrder, bestOrder) < 0) {
			best = at;
			bestOrder = itemOrder;
		}
	}
	return best;
}

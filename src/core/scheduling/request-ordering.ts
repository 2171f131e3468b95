/**
 * Ordering of waiting requests, shared by request queues and endpoint owners: by tier, then
 * requests that can still meet their first-token target, then fair share, then earliest deadline.
 * @module
 */

/** Attributes that determine the order of a waiting request. */
export interface OrderingKey {
	tier: number;
	/** The request can no longer meet its first-token target. */
	isLate: boolean;
	/** Running requests of the customer divided by its weight; lower values go first. */
	customerShare: number;
	/** Time left until the first token is due; negative once it is overdue. */
	slackMs: number;
}

/** Shares within one step of this size compare as equal, so that the deadline decides. */
const customerShareStep = 2;

/** Comparator for sorting: negative if `a` runs before `b`. */
export function compare(a: OrderingKey, b: OrderingKey): number {
	if (a.tier !== b.tier) {
		return a.tier - b.tier;
	}
	if (a.isLate !== b.isLate) {
		return a.isLate ? 1 : -1;
	}
	const shareDifference =
		Math.floor(a.customerShare / customerShareStep) -
		Math.floor(b.customerShare / customerShareStep);
	return shareDifference === 0 ? a.slackMs - b.slackMs : shareDifference;
}

/** Index of the item that runs first; -1 if `items` is empty. */
export function indexOfFirst<T>(items: readonly T[], keyOf: (item: T) => OrderingKey): number {
	let bestIndex = -1;
	let bestKey: OrderingKey | undefined;
	for (const [index, item] of items.entries()) {
		const key = keyOf(item);
		if (!bestKey || compare(key, bestKey) < 0) {
			bestIndex = index;
			bestKey = key;
		}
	}
	return bestIndex;
}

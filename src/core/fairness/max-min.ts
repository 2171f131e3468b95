/**
 * Max-min fairness: who asks for no more than its share gets all of it, and what that leaves is shared by the others alike.
 * @module
 */
import type { CustomerWork } from './types.js';

/** Halvings of the range in which the share lies: to a thousandth of the most that anyone asks for. */
const halvings = 10;

/**
 * @param customers those that ask
 * @param room what they can have together, in engines
 * @returns the most that one of them can have, in engines; without bound where all get what they ask for
 */
export function maxMinShare(customers: readonly CustomerWork[], room: number): number {
	const usedAt = (share: number) => customers.reduce((sum, each) => sum + used(each, share), 0);
	let most = Math.max(0, ...customers.map(({ asked }) => asked));
	if (usedAt(most) <= room) {
		return Number.POSITIVE_INFINITY;
	}
	let least = 0;
	for (let halving = 0; halving < halvings; halving++) {
		const middle = (least + most) / 2;
		if (usedAt(middle) > room) {
			most = middle;
		} else {
			least = middle;
		}
	}
	return most;
}

/** Part of a customer's refusable work that it can have within the share. */
export function partWithin({ asked, urgent }: CustomerWork, share: number): number {
	if (asked <= share) {
		return 1;
	}
	return share <= urgent ? 0 : (share - urgent) / (asked - urgent);
}

function used({ asked, urgent }: CustomerWork, share: number): number {
	return Math.max(urgent, Math.min(asked, share));
}

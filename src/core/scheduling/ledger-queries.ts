/**
 * Queries over all slot holders of an endpoint.
 * @module
 */

import type { OrderingKey } from './request-ordering.js';
import type { SlotHolder, WaitingRequest } from './slot-holder.js';
import type { NameHash, RunningSlot } from './types.js';

type Holders = Iterable<SlotHolder>;

/** The request of a class that has waited longest. */
export function findLongestWaiting(holders: Holders, cls: NameHash): WaitingRequest | undefined {
	let longest: WaitingRequest | undefined;
	for (const holder of holders) {
		for (const waiting of holder.waiting) {
			if (
				waiting.slotRequest.classHash === cls &&
				(!longest || waiting.waitingSince < longest.waitingSince)
			) {
				longest = waiting;
			}
		}
	}
	return longest;
}

/** The request of the highest tier that requests preemption. */
export function findPreemptionRequest(
	waiting: readonly WaitingRequest[],
): WaitingRequest | undefined {
	let best: WaitingRequest | undefined;
	for (const item of waiting) {
		if (
			item.slotRequest.requestsPreemption &&
			(!best || item.slotRequest.tier < best.slotRequest.tier)
		) {
			best = item;
		}
	}
	return best;
}

/** The preemptable run of the lowest tier. */
export function findLowestPreemptable(
	holders: Holders,
): { holder: SlotHolder; slot: RunningSlot } | undefined {
	let lowest: { holder: SlotHolder; slot: RunningSlot } | undefined;
	for (const holder of holders) {
		for (const slot of holder.running) {
			const isCandidate =
				slot.isPreemptable && !slot.isFloor && !holder.preemptTickets.has(slot.ticket);
			if (isCandidate && (!lowest || slot.tier > lowest.slot.tier)) {
				lowest = { holder, slot };
			}
		}
	}
	return lowest;
}

/** Running and granted requests by customer. */
export function countRunningByCustomer(holders: Holders): Map<NameHash, number> {
	const counts = new Map<NameHash, number>();
	const add = (customer: NameHash) => counts.set(customer, (counts.get(customer) ?? 0) + 1);
	for (const holder of holders) {
		for (const slot of holder.running) {
			add(slot.customerHash);
		}
		for (const grant of holder.pendingGrants) {
			add(grant.slotRequest.customerHash);
		}
	}
	return counts;
}

export function countWaitingByTier(holders: Holders): [tier: number, count: number][] {
	const byTier = new Map<number, number>();
	for (const holder of holders) {
		for (const [tier, count] of holder.waitingByTier) {
			byTier.set(tier, (byTier.get(tier) ?? 0) + count);
		}
	}
	return [...byTier.entries()];
}

/** Ordering key of a waiting request; `shares` holds the running requests by customer. */
export function orderingKeyOf(
	waiting: WaitingRequest,
	shares: ReadonlyMap<NameHash, number>,
	now: number,
): OrderingKey {
	const slackMs = waiting.firstTokenDueAt - now;
	return {
		tier: waiting.slotRequest.tier,
		isLate: waiting.slotRequest.isLate || slackMs < 0,
		customerShare: shares.get(waiting.slotRequest.customerHash) ?? 0,
		slackMs,
	};
}

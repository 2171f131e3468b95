/**
 * Questions over all entries of an endpoint's ledger.
 * @module
 */

import type { OrderingKey } from './request-ordering.js';
import type { SlotHolder, WaitingRequest } from './slot-holder.js';
import type { NameHash, RunningSlot } from './types.js';

type Holders = Iterable<SlotHolder>;

/** The request of a class that waits longest. */
export function findLongestWaiting(holders: Holders, cls: NameHash): WaitingRequest | undefined {
	let oldest: WaitingRequest | undefined;
	for (const holder of holders) {
		for (const waiting of holder.waiting) {
			if (
				waiting.slotRequest.classHash === cls &&
				(!oldest || waiting.waitingSince < oldest.waitingSince)
			) {
				oldest = waiting;
			}
		}
	}
	return oldest;
}

/** The request of the highest tier that asks for a preemption. */
export function findPreemptionRequest(
	waiting: readonly WaitingRequest[],
): WaitingRequest | undefined {
	let urgent: WaitingRequest | undefined;
	for (const item of waiting) {
		if (
			item.slotRequest.requestsPreemption &&
			(!urgent || item.slotRequest.tier < urgent.slotRequest.tier)
		) {
			urgent = item;
		}
	}
	return urgent;
}

/** The run of the lowest tier that may be cut off. */
export function findLowestPreemptable(
	holders: Holders,
): { holder: SlotHolder; slot: RunningSlot } | undefined {
	let lowest: { holder: SlotHolder; slot: RunningSlot } | undefined;
	for (const holder of holders) {
		for (const slot of holder.running) {
			const open = slot.isPreemptable && !slot.isFloor && !holder.preemptTickets.has(slot.ticket);
			if (open && (!lowest || slot.tier > lowest.slot.tier)) {
				lowest = { holder, slot };
			}
		}
	}
	return lowest;
}

/** Requests of each customer that run or will. */
export function countRunningByCustomer(holders: Holders): Map<NameHash, number> {
	const counts = new Map<NameHash, number>();
	const add = (customer: NameHash) => counts.set(customer, (counts.get(customer) ?? 0) + 1);
	for (const holder of holders) {
		for (const slot of holder.running) {
			add(slot.customerHash);
		}
		for (const grant of holder.pendingGrants) {
			add(grant.ticket.customerHash);
		}
	}
	return counts;
}

/** Waiting requests by tier. */
export function countWaitingByTier(holders: Holders): [tier: number, count: number][] {
	const byTier = new Map<number, number>();
	for (const holder of holders) {
		for (const [tier, count] of holder.waitingByTier) {
			byTier.set(tier, (byTier.get(tier) ?? 0) + count);
		}
	}
	return [...byTier.entries()];
}

/** Place of a waiting request in the order over all entries. */
export function orderingKeyOf(
	waiting: WaitingRequest,
	shares: ReadonlyMap<NameHash, number>,
	now: number,
): OrderingKey {
	const slack = waiting.firstTokenDueAt - now;
	return {
		tier: waiting.slotRequest.tier,
		isLate: waiting.slotRequest.isLate || slack < 0,
		customerShare: shares.get(waiting.slotRequest.customerHash) ?? 0,
		slackMs: slack,
	};
}

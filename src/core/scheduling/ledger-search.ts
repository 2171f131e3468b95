/**
 * Questions over all entries of an endpoint's ledger.
 * @module
 */
import type { LedgerHolder, Waiting } from './ledger-holder.js';
import type { Orderable } from './order.js';
import type { NameHash, RunningSlot } from './types.js';

type Holders = Iterable<LedgerHolder>;

/** The request of a class that waits longest. */
export function oldestOf(holders: Holders, cls: NameHash): Waiting | undefined {
	let oldest: Waiting | undefined;
	for (const holder of holders) {
		for (const waiting of holder.waiting) {
			if (waiting.ticket.cls === cls && (!oldest || waiting.since < oldest.since)) {
				oldest = waiting;
			}
		}
	}
	return oldest;
}

/** The request of the highest tier that asks for a preemption. */
export function mostUrgent(waiting: readonly Waiting[]): Waiting | undefined {
	let urgent: Waiting | undefined;
	for (const item of waiting) {
		if (item.ticket.urgent && (!urgent || item.ticket.tier < urgent.ticket.tier)) {
			urgent = item;
		}
	}
	return urgent;
}

/** The run of the lowest tier that may be cut off. */
export function lowestRunning(
	holders: Holders,
): { holder: LedgerHolder; slot: RunningSlot } | undefined {
	let lowest: { holder: LedgerHolder; slot: RunningSlot } | undefined;
	for (const holder of holders) {
		for (const slot of holder.running) {
			const open = slot.preemptable && !slot.floor && !holder.preempt.has(slot.ticket);
			if (open && (!lowest || slot.tier > lowest.slot.tier)) {
				lowest = { holder, slot };
			}
		}
	}
	return lowest;
}

/** Requests of each customer that run or will. */
export function runningByCustomer(holders: Holders): Map<NameHash, number> {
	const counts = new Map<NameHash, number>();
	const add = (customer: NameHash) => counts.set(customer, (counts.get(customer) ?? 0) + 1);
	for (const holder of holders) {
		for (const slot of holder.running) {
			add(slot.customer);
		}
		for (const grant of holder.grants) {
			add(grant.ticket.customer);
		}
	}
	return counts;
}

/** Waiting requests by tier. */
export function aheadByTier(holders: Holders): [tier: number, count: number][] {
	const byTier = new Map<number, number>();
	for (const holder of holders) {
		for (const [tier, count] of holder.backlog) {
			byTier.set(tier, (byTier.get(tier) ?? 0) + count);
		}
	}
	return [...byTier.entries()];
}

/** Place of a waiting request in the order over all entries. */
export function orderOf(
	waiting: Waiting,
	shares: ReadonlyMap<NameHash, number>,
	now: number,
): Orderable {
	const slack = waiting.dueAt - now;
	return {
		tier: waiting.ticket.tier,
		late: waiting.ticket.late || slack < 0,
		share: shares.get(waiting.ticket.customer) ?? 0,
		slack,
	};
}

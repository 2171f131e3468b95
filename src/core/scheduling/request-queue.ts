/**
 * Requests that wait on one daemon, bounded in number and bytes. Groups of one class, customer
 * and target keep their own deadline order, so that picking looks at group heads only.
 * @module
 */
import type { Request } from '../requests/types.js';
import * as order from './request-ordering.js';

interface Group {
	/** By `firstTokenBy`, earliest first. */
	items: Request[];
}

/** Bounds of the queue. */
export interface QueueLimits {
	requests: number;
	bytes: number;
}

/** What the queue has to know of running work to put waiting work in order. */
export interface OrderingContext {
	/** Running requests of the customer, over its weight. */
	customerShare(customer: string): number;
	/** Estimated milliseconds from a dispatch to the first token. */
	firstTokenLeadMs(req: Request): number;
}

/** A waiting request with what decides its place. */
export interface Candidate extends order.OrderingKey {
	req: Request;
}

export class RequestQueue {
	private readonly groups = new Map<string, Group>();
	private count = 0;
	private bytes = 0;

	constructor(private readonly limits: QueueLimits) {}

	get size(): number {
		return this.count;
	}

	/**
	 * Adds a request. When the queue is over a bound, the last of the lowest tier is taken out and
	 * returned; it may be the request itself.
	 */
	add(req: Request): Request[] {
		this.insert(req);
		const evicted: Request[] = [];
		while (this.count > this.limits.requests || this.bytes > this.limits.bytes) {
			const victim = this.lastOfLowestTier();
			if (!victim) {
				break;
			}
			this.remove(victim);
			evicted.push(victim);
		}
		return evicted;
	}

	/** Puts back a request that had a place already, whatever the bounds. */
	requeue(req: Request): void {
		this.insert(req);
	}

	remove(req: Request): boolean {
		const key = groupKey(req);
		const group = this.groups.get(key);
		const at = group ? group.items.indexOf(req) : -1;
		if (!group || at < 0) {
			return false;
		}
		group.items.splice(at, 1);
		if (group.items.length === 0) {
			this.groups.delete(key);
		}
		this.count--;
		this.bytes -= req.bytes;
		return true;
	}

	*[Symbol.iterator](): IterableIterator<Request> {
		for (const group of this.groups.values()) {
			yield* group.items;
		}
	}

	/** Best waiting requests that pass `accepts`, in order; at most `perGroup` of each group. */
	selectBest(
		now: number,
		shares: OrderingContext,
		perGroup: number,
		accepts: (head: Request) => boolean,
	): Candidate[] {
		const found: Candidate[] = [];
		for (const group of this.groups.values()) {
			const head = group.items[0];
			if (head && accepts(head)) {
				this.collect(group, now, shares, perGroup, found);
			}
		}
		return found.sort(order.compare);
	}

	/** Waiting requests by tier, of those whose group passes `accepts`. */
	countByTier(accepts: (head: Request) => boolean): Map<number, number> {
		const byTier = new Map<number, number>();
		for (const group of this.groups.values()) {
			const head = group.items[0];
			if (head && accepts(head)) {
				byTier.set(head.cls.tier, (byTier.get(head.cls.tier) ?? 0) + group.items.length);
			}
		}
		return byTier;
	}

	/** Late requests of a group come after those that can still be in time. */
	private collect(
		group: Group,
		now: number,
		shares: OrderingContext,
		perGroup: number,
		found: Candidate[],
	): void {
		const leadMs = shares.firstTokenLeadMs(group.items[0] as Request);
		const start = firstDueFrom(group.items, now + leadMs) % group.items.length;
		for (let taken = 0; taken < Math.min(perGroup, group.items.length); taken++) {
			const req = group.items[(start + taken) % group.items.length];
			if (req) {
				const slack = req.firstTokenBy - now;
				const share = shares.customerShare(req.customer) + taken / req.weight;
				found.push({
					req,
					tier: req.cls.tier,
					isLate: slack < leadMs,
					customerShare: share,
					slackMs: slack,
				});
			}
		}
	}

	private insert(req: Request): void {
		const key = groupKey(req);
		let group = this.groups.get(key);
		if (!group) {
			group = { items: [] };
			this.groups.set(key, group);
		}
		let at = group.items.length;
		while (at > 0 && (group.items[at - 1]?.firstTokenBy ?? 0) > req.firstTokenBy) {
			at--;
		}
		group.items.splice(at, 0, req);
		this.count++;
		this.bytes += req.bytes;
	}

	private lastOfLowestTier(): Request | undefined {
		let victim: Request | undefined;
		for (const group of this.groups.values()) {
			const last = group.items.at(-1);
			if (last && (!victim || isLower(last, victim))) {
				victim = last;
			}
		}
		return victim;
	}
}

function isLower(a: Request, b: Request): boolean {
	if (a.cls.tier !== b.cls.tier) {
		return a.cls.tier > b.cls.tier;
	}
	return a.firstTokenBy > b.firstTokenBy;
}

function groupKey(req: Request): string {
	return `${req.cls.name} ${req.customer} ${req.target}`;
}

/** Position of the first request due at `time` or later; the length when there is none. */
function firstDueFrom(items: readonly Request[], time: number): number {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = (low + high) >> 1;
		if ((items[middle]?.firstTokenBy ?? 0) < time) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}
	return low;
}

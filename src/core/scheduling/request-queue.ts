/**
 * Queue of the requests that wait on this daemon, bounded in number and bytes. Requests of the same
 * class, customer and target form a group in deadline order, so that selection checks group heads.
 * @module
 */
import type { Request } from '../requests/types.js';
import * as ordering from './request-ordering.js';

interface RequestGroup {
	/** In ascending order of `firstTokenBy`. */
	requests: Request[];
}

export interface QueueLimits {
	requests: number;
	bytes: number;
}

/** Information about running requests that the ordering of waiting requests needs. */
export interface OrderingContext {
	/** Running requests of the customer divided by its weight. */
	getCustomerShare(customer: string): number;
	/** Estimated time from dispatch to the first token. */
	estimateFirstTokenLeadMs(req: Request): number;
}

/** A waiting request with its ordering key. */
export interface Candidate extends ordering.OrderingKey {
	req: Request;
}

export class RequestQueue {
	private readonly groups = new Map<string, RequestGroup>();
	private count = 0;
	private bytes = 0;

	constructor(private readonly limits: QueueLimits) {}

	get size(): number {
		return this.count;
	}

	/**
	 * Adds a request. While the queue exceeds a limit, evicts the last request of the lowest tier,
	 * which may be the added one. Returns the evicted requests.
	 */
	add(req: Request): Request[] {
		this.insert(req);
		const evicted: Request[] = [];
		while (this.count > this.limits.requests || this.bytes > this.limits.bytes) {
			const victim = this.findEvictionVictim();
			if (!victim) {
				break;
			}
			this.remove(victim);
			evicted.push(victim);
		}
		return evicted;
	}

	/** Adds a request that was admitted before, regardless of the limits. */
	requeue(req: Request): void {
		this.insert(req);
	}

	remove(req: Request): boolean {
		const key = groupKey(req);
		const group = this.groups.get(key);
		const index = group ? group.requests.indexOf(req) : -1;
		if (!group || index < 0) {
			return false;
		}
		group.requests.splice(index, 1);
		if (group.requests.length === 0) {
			this.groups.delete(key);
		}
		this.count--;
		this.bytes -= req.heldBytes;
		return true;
	}

	*[Symbol.iterator](): IterableIterator<Request> {
		for (const group of this.groups.values()) {
			yield* group.requests;
		}
	}

	/** Up to `maxPerGroup` requests of each group whose head passes `accepts`, best first. */
	selectBest(
		now: number,
		context: OrderingContext,
		maxPerGroup: number,
		accepts: (head: Request) => boolean,
	): Candidate[] {
		const candidates: Candidate[] = [];
		for (const group of this.groups.values()) {
			const head = group.requests[0];
			if (head && accepts(head)) {
				this.collect(group, now, context, maxPerGroup, candidates);
			}
		}
		return candidates.sort(ordering.compare);
	}

	/** Number of waiting requests by tier in groups whose head passes `accepts`. */
	countByTier(accepts: (head: Request) => boolean): Map<number, number> {
		const byTier = new Map<number, number>();
		for (const group of this.groups.values()) {
			const head = group.requests[0];
			if (head && accepts(head)) {
				byTier.set(head.cls.tier, (byTier.get(head.cls.tier) ?? 0) + group.requests.length);
			}
		}
		return byTier;
	}

	/** Within a group, requests that can still meet their target come before late ones. */
	private collect(
		group: RequestGroup,
		now: number,
		context: OrderingContext,
		maxPerGroup: number,
		candidates: Candidate[],
	): void {
		const leadMs = context.estimateFirstTokenLeadMs(group.requests[0] as Request);
		const start = indexOfFirstDue(group.requests, now + leadMs) % group.requests.length;
		for (let offset = 0; offset < Math.min(maxPerGroup, group.requests.length); offset++) {
			const req = group.requests[(start + offset) % group.requests.length];
			if (req) {
				const slackMs = req.firstTokenBy - now;
				const customerShare = context.getCustomerShare(req.customer) + offset / req.weight;
				candidates.push({
					req,
					tier: req.cls.tier,
					isLate: slackMs < leadMs,
					customerShare,
					slackMs,
				});
			}
		}
	}

	private insert(req: Request): void {
		const key = groupKey(req);
		let group = this.groups.get(key);
		if (!group) {
			group = { requests: [] };
			this.groups.set(key, group);
		}
		let index = group.requests.length;
		while (index > 0 && (group.requests[index - 1]?.firstTokenBy ?? 0) > req.firstTokenBy) {
			index--;
		}
		group.requests.splice(index, 0, req);
		this.count++;
		this.bytes += req.heldBytes;
	}

	private findEvictionVictim(): Request | undefined {
		let victim: Request | undefined;
		for (const group of this.groups.values()) {
			const last = group.requests.at(-1);
			if (last && (!victim || isLowerPriority(last, victim))) {
				victim = last;
			}
		}
		return victim;
	}
}

function isLowerPriority(a: Request, b: Request): boolean {
	if (a.cls.tier !== b.cls.tier) {
		return a.cls.tier > b.cls.tier;
	}
	return a.firstTokenBy > b.firstTokenBy;
}

function groupKey(req: Request): string {
	return `${req.cls.name} ${req.customer} ${req.target}`;
}

/** Index of the first request due at `time` or later; `items.length` if there is none. */
function indexOfFirstDue(items: readonly Request[], time: number): number {
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

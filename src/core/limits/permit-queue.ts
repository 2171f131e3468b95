/**
 * Queue of the permit requests for one engine, paced by the generic cell rate algorithm. The most urgent request goes first, and
 * permits are reserved for urgent requests that cannot wait long.
 * @module
 */
import type { PermitRequest, PermitResponse } from './types.js';

/**
 * Burst of unused permits: this many, or those of this many milliseconds, whichever is more. It stays within the tolerance of the
 * engine.
 */
const minBurst = 3;
const minBurstMs = 200;
/** VMs that requested permits within this time count as active, in milliseconds. */
const requesterWindowMs = 1000;
/** Every nth permit goes to the request that waits longest, so that no class starves. */
const fairnessInterval = 8;
/** Minimum time that permits are reserved after an urgent request was denied, in milliseconds. */
const minReserveMs = 1000;

export interface QueuedPermitRequest {
	request: PermitRequest;
	expiresAt: number;
	respond: (response: PermitResponse) => void;
}

/** A VM that requested permits. */
interface Requester {
	requestedAt: number;
	/** Time of the last granted permit. */
	grantedAt: number;
}

/** Queued requests and issued permits of one engine. All times in monotonic milliseconds. */
export class PermitQueue {
	waiting: QueuedPermitRequest[] = [];
	/** VMs that requested permits recently, by address. */
	private readonly requesters = new Map<string, Requester>();
	private granted = 0;
	/** Time of the last denial, by urgency. */
	private readonly deniedAt: number[] = [];

	/** When all permits issued so far are used up at the rate of the engine. */
	private theoreticalArrivalAt: number;

	/** Starts without a burst: another VM may have issued permits just before. */
	constructor(now: number, intervalMs: number) {
		this.theoreticalArrivalAt = now + burstToleranceMs(intervalMs);
	}

	/** When the next permit may be issued. */
	readyAt(intervalMs: number): number {
		return this.theoreticalArrivalAt - burstToleranceMs(intervalMs);
	}

	/** Whether a permit may be issued now. */
	isReady(now: number, intervalMs: number): boolean {
		// After a change of the rate, caps the debt at what can have been issued ahead.
		this.theoreticalArrivalAt = Math.min(
			this.theoreticalArrivalAt,
			now + burstToleranceMs(intervalMs) + intervalMs,
		);
		return now >= this.readyAt(intervalMs);
	}

	/** When a queued request expires or may be granted, in monotonic milliseconds. */
	dueAt(now: number, intervalMs: number): number {
		const expiresAt = Math.min(...this.waiting.map((queued) => queued.expiresAt));
		const readyAt = this.readyAt(intervalMs);
		const isReserved = now >= readyAt;
		return Math.min(
			expiresAt,
			isReserved ? Math.min(this.theoreticalArrivalAt, this.reservedUntil(intervalMs)) : readyAt,
		);
	}

	consumePermit(now: number, intervalMs: number): void {
		this.theoreticalArrivalAt = Math.max(this.theoreticalArrivalAt, now) + intervalMs;
		this.granted++;
	}

	/** Records that a request of this urgency expired without a permit. */
	recordDenial(urgency: number, now: number): void {
		this.deniedAt[urgency] = now;
	}

	enqueue(queued: QueuedPermitRequest, now: number): void {
		const { from } = queued.request;
		const grantedAt = this.requesters.get(from)?.grantedAt ?? Number.NEGATIVE_INFINITY;
		this.requesters.set(from, { requestedAt: now, grantedAt });
		this.waiting.push(queued);
	}

	/**
	 * Removes the next request: the most urgent one, and among equals that of the VM whose last permit is oldest. Returns
	 * undefined while permits are reserved for more urgent requests that were denied recently; these have short waits and would
	 * otherwise lose to requests with long ones.
	 */
	dequeue(now: number, intervalMs: number): QueuedPermitRequest | undefined {
		const [first, ...others] = this.waiting as [QueuedPermitRequest, ...QueuedPermitRequest[]];
		const isFairTurn = this.granted % fairnessInterval === fairnessInterval - 1;
		let next = first;
		for (const queued of isFairTurn ? [] : others) {
			next = this.precedes(queued.request, next.request) ? queued : next;
		}
		const isReserved = now < this.reservedUntil(intervalMs, next.request.urgency);
		if (!isFairTurn && isReserved && now < this.theoreticalArrivalAt) {
			return undefined;
		}
		this.waiting = this.waiting.filter((other) => other !== next);
		this.requesters.set(next.request.from, { requestedAt: now, grantedAt: now });
		return next;
	}

	/** Number of VMs that requested permits recently; removes older ones. */
	countRecentRequesters(now: number): number {
		for (const [vm, { requestedAt }] of this.requesters) {
			if (now - requestedAt > requesterWindowMs) {
				this.requesters.delete(vm);
			}
		}
		return this.requesters.size;
	}

	/** Until when permits are reserved for requests above this urgency, by default above all queued ones. */
	private reservedUntil(intervalMs: number, urgency = this.highestUrgency): number {
		const denials = this.deniedAt.slice(0, urgency).filter((at) => at !== undefined);
		return Math.max(Number.NEGATIVE_INFINITY, ...denials) + Math.max(minReserveMs, intervalMs);
	}

	private get highestUrgency(): number {
		return Math.min(...this.waiting.map(({ request }) => request.urgency));
	}

	private precedes(one: PermitRequest, other: PermitRequest): boolean {
		const grantedAt = ({ from }: PermitRequest) => this.requesters.get(from)?.grantedAt ?? 0;
		return one.urgency === other.urgency
			? grantedAt(one) < grantedAt(other)
			: one.urgency < other.urgency;
	}
}

/** How far ahead of the rate permits may be issued. */
function burstToleranceMs(intervalMs: number): number {
	return Math.max((minBurst - 1) * intervalMs, minBurstMs - intervalMs);
}

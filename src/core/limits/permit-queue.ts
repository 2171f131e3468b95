/**
 * Asks for permits of one engine and their order: the most urgent first, and room kept for those that can wait the least.
 * @module
 */
import type { PermitRequest, PermitResponse } from './types.js';

/**
 * Unused permits are kept up to so many, or as many as come in so many milliseconds: asks come in bursts. The engine's bound leaves
 * room for five requests and half of its limit more.
 */
const leastKept = 3;
const keptMs = 200;
/** VMs that asked in this time count as those that will ask again, in milliseconds. */
const askersMs = 1000;
/** Each so many permits go to whoever waits longest, so that no class starves. */
const turnsToLongest = 8;
/** Permits are kept for urgent requests for so long after one was denied at the least, in milliseconds. */
const leastHeldMs = 1000;

export interface QueuedPermitRequest {
	request: PermitRequest;
	expiresAt: number;
	respond: (answer: PermitResponse) => void;
}

/** A VM that asked for permits. */
interface Asker {
	askedAt: number;
	/** When it last got one. */
	grantedAt: number;
}

/** Asks and permits of one engine. All times in monotonic milliseconds. */
export class PermitQueue {
	waiting: QueuedPermitRequest[] = [];
	/** VMs that asked lately. */
	private readonly askers = new Map<string, Asker>();
	private granted = 0;
	/** When a request was last denied, by urgency. */
	private readonly deniedAt: number[] = [];

	/** When all that were issued so far have been used up at the engine's rate. */
	private usedUpAt: number;

	/** Nothing is kept at first: another VM may have issued permits just before. */
	constructor(now: number, intervalMs: number) {
		this.usedUpAt = now + aheadMs(intervalMs);
	}

	/** When a permit may be issued. */
	readyAt(intervalMs: number): number {
		return this.usedUpAt - aheadMs(intervalMs);
	}

	/** Whether a permit may be issued. */
	isReady(now: number, intervalMs: number): boolean {
		// After a change of the rate no more is owed than can have been issued ahead.
		this.usedUpAt = Math.min(this.usedUpAt, now + aheadMs(intervalMs) + intervalMs);
		return now >= this.readyAt(intervalMs);
	}

	/** When something is due for the asks that wait, in monotonic milliseconds. */
	dueAt(now: number, intervalMs: number): number {
		const until = Math.min(...this.waiting.map((one) => one.expiresAt));
		const readyAt = this.readyAt(intervalMs);
		const isHeld = now >= readyAt;
		return Math.min(until, isHeld ? Math.min(this.usedUpAt, this.heldUntil(intervalMs)) : readyAt);
	}

	consumePermit(now: number, intervalMs: number): void {
		this.usedUpAt = Math.max(this.usedUpAt, now) + intervalMs;
		this.granted++;
	}

	/** A request was denied for want of permits. */
	recordDenial(urgency: number, now: number): void {
		this.deniedAt[urgency] = now;
	}

	/** An ask that waits until its turn, or until its time is over. */
	enqueue(one: QueuedPermitRequest, now: number): void {
		const { from } = one.request;
		const grantedAt = this.askers.get(from)?.grantedAt ?? Number.NEGATIVE_INFINITY;
		this.askers.set(from, { askedAt: now, grantedAt });
		this.waiting.push(one);
	}

	/**
	 * Takes out the ask whose turn it is: the most urgent, and of several that of the VM that had no permit for longest. None while more
	 * urgent requests were denied lately and further permits can be kept for them: they can wait the least, and would else be passed over
	 * for others that wait long.
	 */
	dequeue(now: number, intervalMs: number): QueuedPermitRequest | undefined {
		const [first, ...others] = this.waiting as [QueuedPermitRequest, ...QueuedPermitRequest[]];
		const toLongest = this.granted % turnsToLongest === turnsToLongest - 1;
		let next = first;
		for (const one of toLongest ? [] : others) {
			next = this.goesBefore(one.request, next.request) ? one : next;
		}
		const isKeptFor = now < this.heldUntil(intervalMs, next.request.urgency);
		if (!toLongest && isKeptFor && now < this.usedUpAt) {
			return undefined;
		}
		this.waiting = this.waiting.filter((other) => other !== next);
		this.askers.set(next.request.from, { askedAt: now, grantedAt: now });
		return next;
	}

	/** VMs that asked lately. */
	countRecentRequesters(now: number): number {
		for (const [vm, { askedAt }] of this.askers) {
			if (now - askedAt > askersMs) {
				this.askers.delete(vm);
			}
		}
		return this.askers.size;
	}

	/** Until when permits are kept for requests more urgent than this, or than any that waits. */
	private heldUntil(intervalMs: number, urgency = this.mostUrgent): number {
		const lately = this.deniedAt.slice(0, urgency).filter((at) => at !== undefined);
		return Math.max(Number.NEGATIVE_INFINITY, ...lately) + Math.max(leastHeldMs, intervalMs);
	}

	private get mostUrgent(): number {
		return Math.min(...this.waiting.map(({ request: ask }) => ask.urgency));
	}

	private goesBefore(one: PermitRequest, other: PermitRequest): boolean {
		const grantedAt = ({ from }: PermitRequest) => this.askers.get(from)?.grantedAt ?? 0;
		return one.urgency === other.urgency
			? grantedAt(one) < grantedAt(other)
			: one.urgency < other.urgency;
	}
}

/** For how long ahead permits may be issued at once. */
function aheadMs(intervalMs: number): number {
	return Math.max((leastKept - 1) * intervalMs, keptMs - intervalMs);
}

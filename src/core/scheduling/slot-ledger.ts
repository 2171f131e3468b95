/**
 * One endpoint's slots, as its owner keeps them: who runs what, who waits, who gets the next
 * slot. Pure: reports go in, replies come out. Soft state only; a new owner learns it from the
 * entries' next reports.
 * @module
 */

import type { EventFields, EventKind } from '../timeline/index.js';
import { eventKinds } from '../timeline/index.js';
import type { Waiting } from './ledger-holder.js';
import { LedgerHolder } from './ledger-holder.js';
import * as search from './ledger-search.js';
import type { LearnerOptions } from './limit-learner.js';
import { LimitLearner } from './limit-learner.js';
import * as order from './order.js';
import type { HolderReport, NameHash, OwnerReply } from './types.js';

/** A report that changes nothing is acknowledged within this time, in milliseconds. */
const acknowledgeMs = 150;
/** A new owner listens for so long before it grants, in milliseconds. */
const learnMs = 400;
/** After the last waiting request, slots stay on demand for so long, in milliseconds. */
const contentionMs = 1000;
/** A class that waits so long without a slot here is given its minimum, in milliseconds. */
const floorAfterMs = 1000;
/** Least time between two preemptions on one endpoint, in milliseconds. */
const preemptEveryMs = 100;
/** Weight of the newest rate. */
const rateWeight = 0.3;
/** Time over which the rate is counted, in milliseconds. */
const rateWindowMs = 1000;

/** Records an event of the time line. */
export type RecordEvent = (kind: EventKind, fields: EventFields) => void;

/** What the ledger needs to know of the endpoint. */
export interface LedgerOptions {
	endpoint: string;
	limits: LearnerOptions;
	/** Takes in events for the time line. */
	record: RecordEvent;
	/** Names the owner's term. */
	epoch: number;
	now: number;
}

export class SlotLedger {
	private readonly holders = new Map<string, LedgerHolder>();
	private readonly learner: LimitLearner;
	private epoch: number;
	private readonly grantFrom: number;
	private inherited = false;
	private contendedUntil: number;
	private lastPreemptAt = 0;
	private completions = 0;
	private rateSince: number;
	private rate = 0;
	private share = 1;
	private closed = false;
	/** Classes whose minimum this endpoint serves. */
	private floors: readonly NameHash[] = [];

	constructor(private readonly opts: LedgerOptions) {
		this.epoch = opts.epoch;
		this.grantFrom = opts.now + learnMs;
		// Until it has heard from the entries, an owner cannot know that nobody waits.
		this.contendedUntil = this.grantFrom + contentionMs;
		this.rateSince = opts.now;
		this.learner = new LimitLearner(opts.limits);
	}

	/** Takes in a changed configuration of the endpoint. */
	configure(limits: LearnerOptions): void {
		this.learner.configure(limits);
		this.touchAll();
	}

	/** Classes whose minimum is served here; decided by the daemon. */
	setFloors(floors: readonly NameHash[]): void {
		this.floors = floors;
	}

	/** Share of the endpoint that this owner may claim; less than 1 when it may be cut off. */
	setShare(share: number): void {
		this.share = share;
	}

	/** The endpoint takes no new work. */
	setClosed(closed: boolean): void {
		if (closed !== this.closed) {
			this.closed = closed;
			const reason = closed ? 'takes no work' : 'takes work again';
			this.record(eventKinds.endpointLeaving, { reason });
			this.touchAll();
		}
	}

	limit(now: number): number {
		const limit = this.learner.limit(now);
		return limit === 0 || this.closed ? 0 : Math.max(1, Math.floor(limit * this.share));
	}

	/** Slots of the limit that are in use, held unused or on their way. */
	used(): number {
		let used = 0;
		for (const holder of this.holders.values()) {
			used += holder.used;
		}
		return used;
	}

	/** Takes in one entry's state. */
	report(from: string, report: HolderReport, now: number): void {
		const holder = this.holder(from);
		holder.dueAt = Math.min(holder.dueAt, now + acknowledgeMs);
		if (report.seq <= holder.seq) {
			return;
		}
		if (report.epoch > this.epoch) {
			this.epoch = report.epoch + 1;
			this.forgetGrants();
		}
		if (!this.inherited && report.limit > 0 && report.epoch !== this.epoch) {
			this.inherited = true;
			this.learner.inherit(report.limit);
		}
		holder.takeReport(report, this.epoch, now);
		this.completions += report.observed.completions;
		this.learner.observe(report.observed, now);
	}

	/** An entry is gone, and its requests with it. */
	forget(id: string): void {
		this.holders.delete(id);
	}

	/** Decides who gets what; entries to be told are marked. */
	decide(now: number): void {
		this.countRate(now);
		this.dropLostGrants(now);
		if (this.learner.decide(this.used(), now)) {
			this.record(eventKinds.limitChanged, { value: this.learner.limit(now) });
			this.touchAll();
		}
		if (now < this.grantFrom) {
			return;
		}
		const waiting = this.allWaiting();
		this.grantFree(waiting, now);
		this.updateContention(waiting, now);
		this.grantFloors(now);
		this.preemptFor(waiting, now);
	}

	/** Replies that are due, by entry. */
	takeReplies(now: number): { to: string; reply: OwnerReply }[] {
		const replies: { to: string; reply: OwnerReply }[] = [];
		for (const holder of this.holders.values()) {
			if (now >= holder.dueAt) {
				holder.dueAt = Number.POSITIVE_INFINITY;
				replies.push({ to: holder.id, reply: this.reply(holder, now) });
			}
		}
		return replies;
	}

	private grantFree(waiting: Waiting[], now: number): void {
		let free = this.limit(now) - this.used();
		if (free <= 0 || waiting.length === 0) {
			return;
		}
		const shares = search.runningByCustomer(this.holders.values());
		while (free > 0 && waiting.length > 0) {
			const at = order.first(waiting, (item) => search.orderOf(item, shares, now));
			const [next] = waiting.splice(at, 1);
			if (next) {
				this.grant(next, now);
				const { customer } = next.ticket;
				shares.set(customer, (shares.get(customer) ?? 0) + 1);
			}
			free--;
		}
	}

	/** While requests wait, unused slots are called in and slots that end come back at once. */
	private updateContention(waiting: readonly Waiting[], now: number): void {
		const before = this.isContended(now);
		if (waiting.length > 0) {
			this.contendedUntil = now + contentionMs;
		}
		if (before !== this.isContended(now)) {
			this.touchAll();
		}
		let needed = waiting.length;
		const over = this.used() - this.limit(now);
		needed = Math.max(needed, over);
		for (const holder of this.holders.values()) {
			const recall = Math.min(holder.idle, Math.max(needed, 0));
			const keep = holder.idle - recall;
			needed -= recall;
			if (recall > 0 && keep !== holder.keepIdle) {
				holder.dueAt = 0;
			}
			holder.keepIdle = recall > 0 ? keep : Number.MAX_SAFE_INTEGER;
		}
	}

	/** One slot outside the limit for each class that waits here without any. */
	private grantFloors(now: number): void {
		if (this.closed || this.learner.limit(now) === 0) {
			return;
		}
		for (const cls of this.floors) {
			const first = search.oldestOf(this.holders.values(), cls);
			if (first && now - first.since >= floorAfterMs && !this.floorBusy(cls)) {
				this.grant(first, now, cls);
			}
		}
	}

	private floorBusy(cls: NameHash): boolean {
		return [...this.holders.values()].some((holder) => holder.servesFloor(cls));
	}

	/** Cuts off the lowest work for an urgent request of a higher tier. */
	private preemptFor(waiting: readonly Waiting[], now: number): void {
		const urgent = search.mostUrgent(waiting);
		if (!urgent || now - this.lastPreemptAt < preemptEveryMs) {
			return;
		}
		const victim = search.lowestRunning(this.holders.values());
		if (victim && victim.slot.tier > urgent.ticket.tier) {
			this.lastPreemptAt = now;
			victim.holder.preempt.add(victim.slot.ticket);
			victim.holder.dueAt = 0;
		}
	}

	private grant(waiting: Waiting, now: number, floor?: NameHash): void {
		const { holder, ticket } = waiting;
		holder.grant(waiting, now, floor);
		const isFloor = floor !== undefined;
		this.record(eventKinds.grant, { member: holder.id, tier: ticket.tier, floor: isFloor });
	}

	private record(kind: EventKind, fields: EventFields): void {
		this.opts.record(kind, { endpoint: this.opts.endpoint, ...fields });
	}

	private dropLostGrants(now: number): void {
		for (const holder of this.holders.values()) {
			holder.dropLostGrants(now);
		}
	}

	private allWaiting(): Waiting[] {
		return [...this.holders.values()].flatMap((holder) => holder.waiting);
	}

	private countRate(now: number): void {
		const span = now - this.rateSince;
		if (span >= rateWindowMs) {
			const fresh = (this.completions / span) * 1000;
			this.rate = this.rate === 0 ? fresh : this.rate + rateWeight * (fresh - this.rate);
			this.completions = 0;
			this.rateSince = now;
		}
	}

	private isContended(now: number): boolean {
		return now < this.contendedUntil;
	}

	/** Grants of another term of this owner are void. */
	private forgetGrants(): void {
		for (const holder of this.holders.values()) {
			holder.dropGrants();
		}
	}

	private touchAll(): void {
		for (const holder of this.holders.values()) {
			holder.dueAt = 0;
		}
	}

	private reply(holder: LedgerHolder, now: number): OwnerReply {
		return {
			endpoint: this.opts.endpoint,
			epoch: this.epoch,
			seq: holder.seq,
			grants: holder.grants.map(({ id, tier, floor }) => ({ id, tier, floor })),
			keepIdle: holder.keepIdle,
			contended: this.isContended(now),
			preempt: [...holder.preempt],
			limit: this.learner.limit(now),
			used: this.used(),
			rate: this.rate,
			ahead: search.aheadByTier(this.holders.values()),
			lowest: search.lowestRunning(this.holders.values())?.slot.tier ?? 0,
			closed: this.closed,
		};
	}

	private holder(id: string): LedgerHolder {
		let holder = this.holders.get(id);
		if (!holder) {
			holder = new LedgerHolder(id);
			this.holders.set(id, holder);
		}
		return holder;
	}
}

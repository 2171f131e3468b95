/**
 * One endpoint's slots, as its owner keeps them: who runs what, who waits, who gets the next
 * slot. Pure: reports go in, replies come out. Soft state only; a new owner learns it from the
 * entries' next reports.
 * @module
 */

import type { EventFields, EventKind } from '../timeline/index.js';
import { eventKinds } from '../timeline/index.js';
import type { AdaptiveLimitOptions } from './adaptive-limit.js';
import { AdaptiveLimit } from './adaptive-limit.js';
import * as search from './ledger-queries.js';
import * as order from './request-ordering.js';
import type { WaitingRequest } from './slot-holder.js';
import { SlotHolder } from './slot-holder.js';
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
	limits: AdaptiveLimitOptions;
	/** Takes in events for the time line. */
	recordEvent: RecordEvent;
	/** Names the owner's term. */
	epoch: number;
	now: number;
}

export class SlotLedger {
	private readonly holders = new Map<string, SlotHolder>();
	private readonly learner: AdaptiveLimit;
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
		this.learner = new AdaptiveLimit(opts.limits);
	}

	/** Takes in a changed configuration of the endpoint. */
	configure(limits: AdaptiveLimitOptions): void {
		this.learner.configure(limits);
		this.touchAll();
	}

	/** Classes whose minimum is served here; decided by the daemon. */
	setFloors(floors: readonly NameHash[]): void {
		this.floors = floors;
	}

	/** Share of the endpoint that this owner may claim; less than 1 when it may be cut off. */
	setCapacityShare(share: number): void {
		this.share = share;
	}

	/** The endpoint takes no new work. */
	setUnavailable(closed: boolean): void {
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
	usedSlots(): number {
		let used = 0;
		for (const holder of this.holders.values()) {
			used += holder.usedSlots;
		}
		return used;
	}

	/** Takes in one entry's state. */
	applyReport(from: string, report: HolderReport, now: number): void {
		const holder = this.holder(from);
		holder.replyDueAt = Math.min(holder.replyDueAt, now + acknowledgeMs);
		if (report.seq <= holder.lastReportSeq) {
			return;
		}
		if (report.epoch > this.epoch) {
			this.epoch = report.epoch + 1;
			this.forgetGrants();
		}
		if (!this.inherited && report.knownLimit > 0 && report.epoch !== this.epoch) {
			this.inherited = true;
			this.learner.inherit(report.knownLimit);
		}
		holder.applyReport(report, this.epoch, now);
		this.completions += report.observations.completions;
		this.learner.observe(report.observations, now);
	}

	/** An entry is gone, and its requests with it. */
	removeHolder(id: string): void {
		this.holders.delete(id);
	}

	/** Decides who gets what; entries to be told are marked. */
	allocateSlots(now: number): void {
		this.countRate(now);
		this.dropLostGrants(now);
		if (this.learner.update(this.usedSlots(), now)) {
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
	takeDueReplies(now: number): { to: string; reply: OwnerReply }[] {
		const replies: { to: string; reply: OwnerReply }[] = [];
		for (const holder of this.holders.values()) {
			if (now >= holder.replyDueAt) {
				holder.replyDueAt = Number.POSITIVE_INFINITY;
				replies.push({ to: holder.id, reply: this.reply(holder, now) });
			}
		}
		return replies;
	}

	private grantFree(waiting: WaitingRequest[], now: number): void {
		let free = this.limit(now) - this.usedSlots();
		if (free <= 0 || waiting.length === 0) {
			return;
		}
		const shares = search.countRunningByCustomer(this.holders.values());
		while (free > 0 && waiting.length > 0) {
			const at = order.indexOfFirst(waiting, (item) => search.orderingKeyOf(item, shares, now));
			const [next] = waiting.splice(at, 1);
			if (next) {
				this.grant(next, now);
				const { customerHash: customer } = next.slotRequest;
				shares.set(customer, (shares.get(customer) ?? 0) + 1);
			}
			free--;
		}
	}

	/** While requests wait, unused slots are called in and slots that end come back at once. */
	private updateContention(waiting: readonly WaitingRequest[], now: number): void {
		const before = this.isContended(now);
		if (waiting.length > 0) {
			this.contendedUntil = now + contentionMs;
		}
		if (before !== this.isContended(now)) {
			this.touchAll();
		}
		let needed = waiting.length;
		const over = this.usedSlots() - this.limit(now);
		needed = Math.max(needed, over);
		for (const holder of this.holders.values()) {
			const recall = Math.min(holder.idleSlots, Math.max(needed, 0));
			const keep = holder.idleSlots - recall;
			needed -= recall;
			if (recall > 0 && keep !== holder.maxIdleSlots) {
				holder.replyDueAt = 0;
			}
			holder.maxIdleSlots = recall > 0 ? keep : Number.MAX_SAFE_INTEGER;
		}
	}

	/** One slot outside the limit for each class that waits here without any. */
	private grantFloors(now: number): void {
		if (this.closed || this.learner.limit(now) === 0) {
			return;
		}
		for (const cls of this.floors) {
			const first = search.findLongestWaiting(this.holders.values(), cls);
			if (first && now - first.waitingSince >= floorAfterMs && !this.floorBusy(cls)) {
				this.grant(first, now, cls);
			}
		}
	}

	private floorBusy(cls: NameHash): boolean {
		return [...this.holders.values()].some((holder) => holder.servesFloor(cls));
	}

	/** Cuts off the lowest work for an urgent request of a higher tier. */
	private preemptFor(waiting: readonly WaitingRequest[], now: number): void {
		const urgent = search.findPreemptionRequest(waiting);
		if (!urgent || now - this.lastPreemptAt < preemptEveryMs) {
			return;
		}
		const victim = search.findLowestPreemptable(this.holders.values());
		if (victim && victim.slot.tier > urgent.slotRequest.tier) {
			this.lastPreemptAt = now;
			victim.holder.preemptTickets.add(victim.slot.ticket);
			victim.holder.replyDueAt = 0;
		}
	}

	private grant(waiting: WaitingRequest, now: number, floor?: NameHash): void {
		const { holder, slotRequest: ticket } = waiting;
		holder.grant(waiting, now, floor);
		const isFloor = floor !== undefined;
		this.record(eventKinds.grant, { member: holder.id, tier: ticket.tier, floor: isFloor });
	}

	private record(kind: EventKind, fields: EventFields): void {
		this.opts.recordEvent(kind, { endpoint: this.opts.endpoint, ...fields });
	}

	private dropLostGrants(now: number): void {
		for (const holder of this.holders.values()) {
			holder.expireGrants(now);
		}
	}

	private allWaiting(): WaitingRequest[] {
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
			holder.replyDueAt = 0;
		}
	}

	private reply(holder: SlotHolder, now: number): OwnerReply {
		return {
			endpoint: this.opts.endpoint,
			epoch: this.epoch,
			reportSeq: holder.lastReportSeq,
			grants: holder.pendingGrants.map(({ id, tier, floorClass: floor }) => ({ id, tier, floor })),
			maxIdleSlots: holder.maxIdleSlots,
			isContended: this.isContended(now),
			preemptTickets: [...holder.preemptTickets],
			limit: this.learner.limit(now),
			usedSlots: this.usedSlots(),
			completionsPerS: this.rate,
			waitingByTier: search.countWaitingByTier(this.holders.values()),
			lowestPreemptableTier: search.findLowestPreemptable(this.holders.values())?.slot.tier ?? 0,
			isUnavailable: this.closed,
		};
	}

	private holder(id: string): SlotHolder {
		let holder = this.holders.get(id);
		if (!holder) {
			holder = new SlotHolder(id);
			this.holders.set(id, holder);
		}
		return holder;
	}
}

/**
 * Allocates the slots of one endpoint at its owner, without I/O: reports of slot holders in, replies
 * out. All state is soft; a new owner rebuilds it from the next reports.
 * @module
 */

import type { EventFields, EventKind } from '../timeline/index.js';
import { eventKinds } from '../timeline/index.js';
import type { AdaptiveLimitOptions } from './adaptive-limit.js';
import { AdaptiveLimit } from './adaptive-limit.js';
import * as queries from './ledger-queries.js';
import * as ordering from './request-ordering.js';
import type { WaitingRequest } from './slot-holder.js';
import { SlotHolder } from './slot-holder.js';
import type { HolderReport, NameHash, OwnerReply } from './types.js';

/** Maximum delay of the acknowledgement of a report. */
const maxAckDelayMs = 150;
/** Time during which a new owner collects reports before it grants slots. */
const warmupMs = 400;
/** Time that the endpoint stays contended after the last request has waited. */
const contentionHoldMs = 1000;
/** Waiting time after which a class gets its floor. */
const floorDelayMs = 1000;
/** Minimum time between two preemptions on the endpoint. */
const minPreemptionIntervalMs = 100;
/** Weight of the latest window in the smoothed completion rate. */
const rateSmoothing = 0.3;
/** Minimum window over which completions are counted. */
const rateWindowMs = 1000;

/** Records an event on the timeline. */
export type RecordEvent = (kind: EventKind, fields: EventFields) => void;

export interface LedgerOptions {
	endpoint: string;
	limits: AdaptiveLimitOptions;
	recordEvent: RecordEvent;
	/** Identifies the ownership period. */
	epoch: number;
	now: number;
}

export class SlotLedger {
	private readonly holders = new Map<string, SlotHolder>();
	private readonly adaptiveLimit: AdaptiveLimit;
	private epoch: number;
	private readonly grantsStartAt: number;
	private hasInheritedLimit = false;
	private contendedUntil: number;
	private lastPreemptAt = 0;
	private completions = 0;
	private rateWindowStart: number;
	private completionsPerS = 0;
	private capacityShare = 1;
	private isUnavailable = false;
	/** Classes whose floor this endpoint serves. */
	private floorClasses: readonly NameHash[] = [];

	constructor(private readonly opts: LedgerOptions) {
		this.epoch = opts.epoch;
		this.grantsStartAt = opts.now + warmupMs;
		// Before the first reports, requests may be waiting that the owner does not know of.
		this.contendedUntil = this.grantsStartAt + contentionHoldMs;
		this.rateWindowStart = opts.now;
		this.adaptiveLimit = new AdaptiveLimit(opts.limits);
	}

	/** Applies a changed configuration of the endpoint. */
	configure(limits: AdaptiveLimitOptions): void {
		this.adaptiveLimit.configure(limits);
		this.scheduleAllReplies();
	}

	/** Sets the classes whose floor this endpoint serves. */
	setFloors(floorClasses: readonly NameHash[]): void {
		this.floorClasses = floorClasses;
	}

	/** Sets the share of the limit that this owner may use; below 1 in a minority partition. */
	setCapacityShare(share: number): void {
		this.capacityShare = share;
	}

	/** Sets whether the endpoint refuses new work. */
	setUnavailable(isUnavailable: boolean): void {
		if (isUnavailable !== this.isUnavailable) {
			this.isUnavailable = isUnavailable;
			const reason = isUnavailable ? 'accepts no work' : 'accepts work again';
			this.record(eventKinds.endpointLeaving, { reason });
			this.scheduleAllReplies();
		}
	}

	/** Slots that may be used now; 0 while the endpoint is unavailable. */
	getLimit(now: number): number {
		const limit = this.adaptiveLimit.getLimit(now);
		return limit === 0 || this.isUnavailable
			? 0
			: Math.max(1, Math.floor(limit * this.capacityShare));
	}

	/** Slots within the limit that are running, idle at a holder or granted. */
	countUsedSlots(): number {
		let used = 0;
		for (const holder of this.holders.values()) {
			used += holder.usedSlots;
		}
		return used;
	}

	/** Applies the report of one slot holder; ignores outdated reports. */
	applyReport(from: string, report: HolderReport, now: number): void {
		const holder = this.getOrCreateHolder(from);
		holder.replyDueAt = Math.min(holder.replyDueAt, now + maxAckDelayMs);
		if (report.seq <= holder.lastReportSeq) {
			return;
		}
		if (report.epoch > this.epoch) {
			this.epoch = report.epoch + 1;
			this.dropGrants();
		}
		if (!this.hasInheritedLimit && report.knownLimit > 0 && report.epoch !== this.epoch) {
			this.hasInheritedLimit = true;
			this.adaptiveLimit.inherit(report.knownLimit);
		}
		holder.applyReport(report, this.epoch, now);
		this.completions += report.observations.completions;
		this.adaptiveLimit.observe(report.observations, now);
	}

	/** Removes a holder together with its requests. */
	removeHolder(id: string): void {
		this.holders.delete(id);
	}

	/** Grants, recalls and preempts slots, and schedules replies to the affected holders. */
	allocateSlots(now: number): void {
		this.updateRate(now);
		this.expireGrants(now);
		if (this.adaptiveLimit.update(this.countUsedSlots(), now)) {
			this.record(eventKinds.limitChanged, { value: this.adaptiveLimit.getLimit(now) });
			this.scheduleAllReplies();
		}
		if (now < this.grantsStartAt) {
			return;
		}
		const waiting = this.allWaiting();
		this.grantFreeSlots(waiting, now);
		this.updateContention(waiting, now);
		this.grantFloors(now);
		this.preemptForRequest(waiting, now);
	}

	/** Returns the replies that are due and marks them as sent. */
	takeDueReplies(now: number): { to: string; reply: OwnerReply }[] {
		const replies: { to: string; reply: OwnerReply }[] = [];
		for (const holder of this.holders.values()) {
			if (now >= holder.replyDueAt) {
				holder.replyDueAt = Number.POSITIVE_INFINITY;
				replies.push({ to: holder.id, reply: this.buildReply(holder, now) });
			}
		}
		return replies;
	}

	private grantFreeSlots(waiting: WaitingRequest[], now: number): void {
		let free = this.getLimit(now) - this.countUsedSlots();
		if (free <= 0 || waiting.length === 0) {
			return;
		}
		const shares = queries.countRunningByCustomer(this.holders.values());
		while (free > 0 && waiting.length > 0) {
			const index = ordering.indexOfFirst(waiting, (item) =>
				queries.orderingKeyOf(item, shares, now),
			);
			const [next] = waiting.splice(index, 1);
			if (next) {
				this.grant(next, now);
				const { customerHash } = next.slotRequest;
				shares.set(customerHash, (shares.get(customerHash) ?? 0) + 1);
			}
			free--;
		}
	}

	/** While requests wait, recalls unused slots and has holders return slots when runs end. */
	private updateContention(waiting: readonly WaitingRequest[], now: number): void {
		const wasContended = this.isContended(now);
		if (waiting.length > 0) {
			this.contendedUntil = now + contentionHoldMs;
		}
		if (wasContended !== this.isContended(now)) {
			this.scheduleAllReplies();
		}
		let needed = waiting.length;
		const excess = this.countUsedSlots() - this.getLimit(now);
		needed = Math.max(needed, excess);
		for (const holder of this.holders.values()) {
			const recalled = Math.min(holder.idleSlots, Math.max(needed, 0));
			const maxIdleSlots = holder.idleSlots - recalled;
			needed -= recalled;
			if (recalled > 0 && maxIdleSlots !== holder.maxIdleSlots) {
				holder.replyDueAt = 0;
			}
			holder.maxIdleSlots = recalled > 0 ? maxIdleSlots : Number.MAX_SAFE_INTEGER;
		}
	}

	/** Grants one slot outside the limit to each class that waits and has no such slot. */
	private grantFloors(now: number): void {
		if (this.isUnavailable || this.adaptiveLimit.getLimit(now) === 0) {
			return;
		}
		for (const cls of this.floorClasses) {
			const waiting = queries.findLongestWaiting(this.holders.values(), cls);
			if (waiting && now - waiting.waitingSince >= floorDelayMs && !this.isFloorInUse(cls)) {
				this.grant(waiting, now, cls);
			}
		}
	}

	private isFloorInUse(cls: NameHash): boolean {
		return [...this.holders.values()].some((holder) => holder.servesFloor(cls));
	}

	/** Preempts the lowest run if a request of a higher tier requests it. */
	private preemptForRequest(waiting: readonly WaitingRequest[], now: number): void {
		const preemptor = queries.findPreemptionRequest(waiting);
		if (!preemptor || now - this.lastPreemptAt < minPreemptionIntervalMs) {
			return;
		}
		const victim = queries.findLowestPreemptable(this.holders.values());
		if (victim && victim.slot.tier > preemptor.slotRequest.tier) {
			this.lastPreemptAt = now;
			victim.holder.preemptTickets.add(victim.slot.ticket);
			victim.holder.replyDueAt = 0;
		}
	}

	private grant(waiting: WaitingRequest, now: number, floorClass?: NameHash): void {
		const { holder, slotRequest } = waiting;
		holder.grant(waiting, now, floorClass);
		const isFloor = floorClass !== undefined;
		this.record(eventKinds.grant, { member: holder.id, tier: slotRequest.tier, floor: isFloor });
	}

	private record(kind: EventKind, fields: EventFields): void {
		this.opts.recordEvent(kind, { endpoint: this.opts.endpoint, ...fields });
	}

	private expireGrants(now: number): void {
		for (const holder of this.holders.values()) {
			holder.expireGrants(now);
		}
	}

	private allWaiting(): WaitingRequest[] {
		return [...this.holders.values()].flatMap((holder) => holder.waiting);
	}

	private updateRate(now: number): void {
		const elapsedMs = now - this.rateWindowStart;
		if (elapsedMs >= rateWindowMs) {
			const latest = (this.completions / elapsedMs) * 1000;
			this.completionsPerS =
				this.completionsPerS === 0
					? latest
					: this.completionsPerS + rateSmoothing * (latest - this.completionsPerS);
			this.completions = 0;
			this.rateWindowStart = now;
		}
	}

	private isContended(now: number): boolean {
		return now < this.contendedUntil;
	}

	/** Discards the grants of an earlier epoch. */
	private dropGrants(): void {
		for (const holder of this.holders.values()) {
			holder.dropGrants();
		}
	}

	private scheduleAllReplies(): void {
		for (const holder of this.holders.values()) {
			holder.replyDueAt = 0;
		}
	}

	private buildReply(holder: SlotHolder, now: number): OwnerReply {
		return {
			endpoint: this.opts.endpoint,
			epoch: this.epoch,
			reportSeq: holder.lastReportSeq,
			grants: holder.pendingGrants.map(({ id, tier, floorClass }) => ({ id, tier, floorClass })),
			maxIdleSlots: holder.maxIdleSlots,
			isContended: this.isContended(now),
			preemptTickets: [...holder.preemptTickets],
			limit: this.adaptiveLimit.getLimit(now),
			usedSlots: this.countUsedSlots(),
			completionsPerS: this.completionsPerS,
			waitingByTier: queries.countWaitingByTier(this.holders.values()),
			lowestPreemptableTier: queries.findLowestPreemptable(this.holders.values())?.slot.tier ?? 0,
			isUnavailable: this.isUnavailable,
		};
	}

	private getOrCreateHolder(id: string): SlotHolder {
		let holder = this.holders.get(id);
		if (!holder) {
			holder = new SlotHolder(id);
			this.holders.set(id, holder);
		}
		return holder;
	}
}

/**
 * What one entry holds on one endpoint: granted slots, unused slots, running requests, and what
 * its owner last said.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import type { Request } from '../requests/types.js';
import type { Slot } from './definitions.js';
import type {
	EndpointObservations,
	Grant,
	HolderReport,
	NameHash,
	OwnerReply,
	RunningSlot,
	SlotRequest,
} from './types.js';

/** Unused slots are given back after so long, in milliseconds. */
const idleMs = 5000;
/** Waiting work that is gone is told within this time, in milliseconds. */
const soonMs = 50;
/** Waiting requests that an owner should know, so that a slot that ends finds its next. */
const enoughKnown = 2;
/** Other changes are told within this time, in milliseconds. */
const laterMs = 500;

interface Run {
	tier: number;
	cls: NameHash;
	customer: NameHash;
	floor: boolean;
}

export class HeldSlots {
	owner?: string;
	lastReply?: OwnerReply;
	/** Slots held unused. */
	idleSlots = 0;
	sentSeq: number;
	ackedSeq: number;
	sentAt = 0;
	/** When what is untold must be told at the latest. */
	reportDueAt = Number.POSITIVE_INFINITY;
	/** Something must be told at once. */
	isReportUrgent = false;
	observations: EndpointObservations = noObservation();
	private gapSum = 0;
	private gapCount = 0;
	private strictestMs = Number.POSITIVE_INFINITY;
	private epoch = 0;
	private granted = 0;
	private offers: Grant[] = [];
	private readonly runs = new Map<number, Run>();
	/** Tiers of the waiting requests that the owner knows, by ticket. */
	private readonly told = new Map<number, number>();
	private readonly toldUrgent = new Set<number>();
	private idleUsedAt = 0;

	constructor(
		readonly endpoint: string,
		firstSeq: number,
	) {
		this.sentSeq = firstSeq;
		this.ackedSeq = firstSeq;
	}

	/** Unused slots that a request may start in. */
	get usableIdleSlots(): number {
		return this.lastReply?.isUnavailable ? 0 : this.idleSlots;
	}

	/** Share of the endpoint's limit in use, as last heard. */
	get load(): number {
		const limit = Math.max(this.lastReply?.limit ?? 1, 1);
		return (this.lastReply?.usedSlots ?? 0) / limit + this.runs.size / limit;
	}

	get runningCount(): number {
		return this.runs.size;
	}

	get isEmpty(): boolean {
		return this.runs.size === 0 && this.idleSlots === 0 && this.told.size === 0;
	}

	/** Whether the owner has been told of a waiting request. */
	hasReported(ticket: number): boolean {
		return this.told.has(ticket);
	}

	/** Takes in a reply; false when it is of an older term. */
	applyReply(reply: OwnerReply, now: number): boolean {
		if (reply.epoch < this.epoch) {
			return false;
		}
		if (reply.epoch > this.epoch) {
			this.epoch = reply.epoch;
			this.granted = 0;
		}
		this.ackedSeq = Math.max(this.ackedSeq, reply.reportSeq);
		for (const grant of reply.grants) {
			if (grant.id > this.granted) {
				this.granted = grant.id;
				this.offers.push(grant);
				this.changed(now);
			}
		}
		const stale = reply.reportSeq < this.sentSeq;
		if (!stale && this.idleSlots > reply.maxIdleSlots) {
			this.idleSlots = reply.maxIdleSlots;
			this.isReportUrgent = true;
		}
		this.lastReply = reply;
		return true;
	}

	takeNewGrants(): Grant[] {
		const { offers } = this;
		this.offers = [];
		return offers;
	}

	recordStart(req: Request, floor: boolean, now: number): void {
		const cls = rendezvous.hashName(req.cls.name);
		const customer = rendezvous.hashName(req.customer);
		this.runs.set(req.ticket, { tier: req.cls.tier, cls, customer, floor });
		this.idleUsedAt = now;
		this.changed(now);
	}

	recordEnd(ticket: number, slot: Slot, now: number): void {
		this.runs.delete(ticket);
		this.changed(now);
		if (!slot.isFloor) {
			this.keepOrReturnSlot(now);
		}
	}

	/** A free slot stays here while nobody waits for it. */
	keepOrReturnSlot(now: number): void {
		this.changed(now);
		if (!this.lastReply || this.lastReply.isContended || this.lastReply.isUnavailable) {
			this.isReportUrgent = true;
			return;
		}
		this.idleSlots++;
		this.idleUsedAt = now;
	}

	/** Another owner has heard nothing yet. */
	requireReport(): void {
		if (!this.isEmpty) {
			this.isReportUrgent = true;
		}
	}

	dropUnusedSlots(): void {
		this.idleSlots = 0;
		this.offers = [];
		this.isReportUrgent = true;
	}

	/**
	 * What the owner has to know of waiting work. New work is told at once only if the owner knows
	 * too little of it to give the next slots rightly; the rest rides on the next report.
	 */
	updateSlotRequests(want: readonly SlotRequest[], now: number): void {
		this.returnUnused(now);
		let known = 0;
		let untold = 0;
		for (const { ticket, tier, requestsPreemption: urgent } of want) {
			const told = this.told.has(ticket);
			known += told ? 1 : 0;
			untold += told ? 0 : 1;
			const outranked = this.firstToldTier() > tier;
			if (
				(!told && (known < enoughKnown || outranked)) ||
				(urgent && !this.toldUrgent.has(ticket))
			) {
				this.isReportUrgent = true;
			}
		}
		const vanished = this.told.size - known;
		if (vanished > 0) {
			this.due(now + (untold >= vanished ? laterMs : soonMs));
		}
	}

	/** A run was observed; its figures go out with the next report. */
	recordInterTokenLatency(gapMs: number, targetMs: number, now: number): void {
		this.gapSum += gapMs;
		this.gapCount++;
		this.strictestMs = Math.min(this.strictestMs, targetMs);
		this.due(now + laterMs);
	}

	buildReport(
		want: SlotRequest[],
		backlog: [number, number][],
		now: number,
		isPreemptable: (ticket: number) => boolean,
	): HolderReport {
		this.sentSeq++;
		this.sentAt = now;
		this.reportDueAt = Number.POSITIVE_INFINITY;
		this.isReportUrgent = false;
		this.rememberTold(want);
		const observed = { ...this.observations, ...this.takeGap() };
		this.observations = noObservation();
		return {
			endpoint: this.endpoint,
			seq: this.sentSeq,
			epoch: this.epoch,
			lastGrantId: this.granted,
			running: this.runningSlots(isPreemptable),
			idleSlots: this.idleSlots + this.offers.length,
			slotRequests: want,
			waitingByTier: backlog,
			observations: observed,
			knownLimit: this.lastReply?.limit ?? 0,
		};
	}

	private runningSlots(isPreemptable: (ticket: number) => boolean): RunningSlot[] {
		const slots: RunningSlot[] = [];
		for (const [ticket, run] of this.runs) {
			slots.push({ ticket, ...run, isPreemptable: isPreemptable(ticket) });
		}
		return slots;
	}

	private takeGap(): { gapMs: number; targetMs: number } {
		const seen = this.gapCount > 0;
		const gap = seen
			? { gapMs: this.gapSum / this.gapCount, targetMs: this.strictestMs }
			: { gapMs: 0, targetMs: 0 };
		this.gapSum = 0;
		this.gapCount = 0;
		this.strictestMs = Number.POSITIVE_INFINITY;
		return gap;
	}

	private rememberTold(want: readonly SlotRequest[]): void {
		this.told.clear();
		this.toldUrgent.clear();
		for (const { ticket, tier, requestsPreemption: urgent } of want) {
			this.told.set(ticket, tier);
			if (urgent) {
				this.toldUrgent.add(ticket);
			}
		}
	}

	private returnUnused(now: number): void {
		if (this.idleSlots > 0 && now - this.idleUsedAt > idleMs) {
			this.idleSlots = Math.floor(this.idleSlots / 2);
			this.idleUsedAt = now;
			this.changed(now);
		}
	}

	private firstToldTier(): number {
		let first = Number.POSITIVE_INFINITY;
		for (const tier of this.told.values()) {
			first = Math.min(first, tier);
		}
		return first;
	}

	private changed(now: number): void {
		this.due(now + laterMs);
	}

	private due(at: number): void {
		this.reportDueAt = Math.min(this.reportDueAt, at);
	}
}

function noObservation(): EndpointObservations {
	return { completions: 0, failures: 0, interTokenMs: 0, interTokenTargetMs: 0 };
}

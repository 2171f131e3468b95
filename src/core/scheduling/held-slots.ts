/**
 * Slots that this daemon holds on one endpoint, and the state of its message exchange with the
 * endpoint's owner.
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

/** Time after which half of the unused slots are returned. */
const maxIdleMs = 5000;
/** Maximum delay of a report after a waiting request is gone. */
const withdrawalDelayMs = 50;
/** Waiting requests that the owner should know, so that it can grant a freed slot at once. */
const minReportedRequests = 2;
/** Maximum delay of a report after other changes. */
const maxReportDelayMs = 500;

interface Run {
	tier: number;
	classHash: NameHash;
	customerHash: NameHash;
	isFloor: boolean;
}

export class HeldSlots {
	owner?: string;
	lastReply?: OwnerReply;
	/** Unused slots that this daemon keeps. */
	idleSlots = 0;
	sentSeq: number;
	ackedSeq: number;
	sentAt = 0;
	/** Latest time of the next report. */
	reportDueAt = Number.POSITIVE_INFINITY;
	/** The next report must be sent at once. */
	isReportUrgent = false;
	observations: EndpointObservations = emptyObservations();
	private interTokenSumMs = 0;
	private interTokenCount = 0;
	private strictestTargetMs = Number.POSITIVE_INFINITY;
	private epoch = 0;
	private lastGrantId = 0;
	private newGrants: Grant[] = [];
	private readonly runs = new Map<number, Run>();
	/** Tiers of the waiting requests in the latest report, by ticket. */
	private readonly reportedTiers = new Map<number, number>();
	private readonly reportedPreemptionRequests = new Set<number>();
	private idleUsedAt = 0;

	constructor(
		readonly endpoint: string,
		firstSeq: number,
	) {
		this.sentSeq = firstSeq;
		this.ackedSeq = firstSeq;
	}

	/** Unused slots in which requests may start. */
	get usableIdleSlots(): number {
		return this.lastReply?.isUnavailable ? 0 : this.idleSlots;
	}

	/** Used slots by the owner's latest reply plus runs of this daemon, relative to the limit. */
	get load(): number {
		const limit = Math.max(this.lastReply?.limit ?? 1, 1);
		return (this.lastReply?.usedSlots ?? 0) / limit + this.runs.size / limit;
	}

	get runningCount(): number {
		return this.runs.size;
	}

	get isEmpty(): boolean {
		return this.runs.size === 0 && this.idleSlots === 0 && this.reportedTiers.size === 0;
	}

	/** Whether the latest report contains a waiting request. */
	hasReported(ticket: number): boolean {
		return this.reportedTiers.has(ticket);
	}

	/** Applies a reply; returns false if its epoch is outdated. */
	applyReply(reply: OwnerReply, now: number): boolean {
		if (reply.epoch < this.epoch) {
			return false;
		}
		if (reply.epoch > this.epoch) {
			this.epoch = reply.epoch;
			this.lastGrantId = 0;
		}
		this.ackedSeq = Math.max(this.ackedSeq, reply.reportSeq);
		for (const grant of reply.grants) {
			if (grant.id > this.lastGrantId) {
				this.lastGrantId = grant.id;
				this.newGrants.push(grant);
				this.scheduleReport(now);
			}
		}
		const isOutdated = reply.reportSeq < this.sentSeq;
		if (!isOutdated && this.idleSlots > reply.maxIdleSlots) {
			this.idleSlots = reply.maxIdleSlots;
			this.isReportUrgent = true;
		}
		this.lastReply = reply;
		return true;
	}

	takeNewGrants(): Grant[] {
		const { newGrants } = this;
		this.newGrants = [];
		return newGrants;
	}

	recordStart(req: Request, isFloor: boolean, now: number): void {
		const classHash = rendezvous.hashName(req.cls.name);
		const customerHash = rendezvous.hashName(req.customer);
		this.runs.set(req.ticket, {
			tier: req.cls.tier,
			classHash,
			customerHash,
			isFloor,
		});
		this.idleUsedAt = now;
		this.scheduleReport(now);
	}

	recordEnd(ticket: number, slot: Slot, now: number): void {
		this.runs.delete(ticket);
		this.scheduleReport(now);
		if (!slot.isFloor) {
			this.keepOrReturnSlot(now);
		}
	}

	/** Keeps a freed slot unless requests wait for it elsewhere or the endpoint is unavailable. */
	keepOrReturnSlot(now: number): void {
		this.scheduleReport(now);
		if (!this.lastReply || this.lastReply.isContended || this.lastReply.isUnavailable) {
			this.isReportUrgent = true;
			return;
		}
		this.idleSlots++;
		this.idleUsedAt = now;
	}

	/** Requests an immediate report to a new owner, which has no state of this daemon. */
	requireReport(): void {
		if (!this.isEmpty) {
			this.isReportUrgent = true;
		}
	}

	dropUnusedSlots(): void {
		this.idleSlots = 0;
		this.newGrants = [];
		this.isReportUrgent = true;
	}

	/**
	 * Schedules the report of the waiting requests. It is immediate only if the owner lacks requests
	 * that it needs to grant the next slots in the right order.
	 */
	updateSlotRequests(slotRequests: readonly SlotRequest[], now: number): void {
		this.returnExpiredIdleSlots(now);
		let knownCount = 0;
		let newCount = 0;
		for (const { ticket, tier, requestsPreemption } of slotRequests) {
			const isKnown = this.reportedTiers.has(ticket);
			knownCount += isKnown ? 1 : 0;
			newCount += isKnown ? 0 : 1;
			const outranksReported = this.highestReportedTier() > tier;
			if (
				(!isKnown && (knownCount < minReportedRequests || outranksReported)) ||
				(requestsPreemption && !this.reportedPreemptionRequests.has(ticket))
			) {
				this.isReportUrgent = true;
			}
		}
		const withdrawnCount = this.reportedTiers.size - knownCount;
		if (withdrawnCount > 0) {
			this.scheduleReportBy(
				now + (newCount >= withdrawnCount ? maxReportDelayMs : withdrawalDelayMs),
			);
		}
	}

	/** Adds a latency sample of a run to the next report. */
	recordInterTokenLatency(interTokenMs: number, targetMs: number, now: number): void {
		this.interTokenSumMs += interTokenMs;
		this.interTokenCount++;
		this.strictestTargetMs = Math.min(this.strictestTargetMs, targetMs);
		this.scheduleReportBy(now + maxReportDelayMs);
	}

	buildReport(
		slotRequests: SlotRequest[],
		waitingByTier: [number, number][],
		now: number,
		isPreemptable: (ticket: number) => boolean,
	): HolderReport {
		this.sentSeq++;
		this.sentAt = now;
		this.reportDueAt = Number.POSITIVE_INFINITY;
		this.isReportUrgent = false;
		this.recordReported(slotRequests);
		const observations = { ...this.observations, ...this.takeInterTokenMean() };
		this.observations = emptyObservations();
		return {
			endpoint: this.endpoint,
			seq: this.sentSeq,
			epoch: this.epoch,
			lastGrantId: this.lastGrantId,
			running: this.runningSlots(isPreemptable),
			idleSlots: this.idleSlots + this.newGrants.length,
			slotRequests,
			waitingByTier,
			observations,
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

	private takeInterTokenMean(): Pick<EndpointObservations, 'interTokenMs' | 'interTokenTargetMs'> {
		const hasSamples = this.interTokenCount > 0;
		const mean = hasSamples
			? {
					interTokenMs: this.interTokenSumMs / this.interTokenCount,
					interTokenTargetMs: this.strictestTargetMs,
				}
			: { interTokenMs: 0, interTokenTargetMs: 0 };
		this.interTokenSumMs = 0;
		this.interTokenCount = 0;
		this.strictestTargetMs = Number.POSITIVE_INFINITY;
		return mean;
	}

	private recordReported(slotRequests: readonly SlotRequest[]): void {
		this.reportedTiers.clear();
		this.reportedPreemptionRequests.clear();
		for (const { ticket, tier, requestsPreemption } of slotRequests) {
			this.reportedTiers.set(ticket, tier);
			if (requestsPreemption) {
				this.reportedPreemptionRequests.add(ticket);
			}
		}
	}

	private returnExpiredIdleSlots(now: number): void {
		if (this.idleSlots > 0 && now - this.idleUsedAt > maxIdleMs) {
			this.idleSlots = Math.floor(this.idleSlots / 2);
			this.idleUsedAt = now;
			this.scheduleReport(now);
		}
	}

	private highestReportedTier(): number {
		let highest = Number.POSITIVE_INFINITY;
		for (const tier of this.reportedTiers.values()) {
			highest = Math.min(highest, tier);
		}
		return highest;
	}

	private scheduleReport(now: number): void {
		this.scheduleReportBy(now + maxReportDelayMs);
	}

	private scheduleReportBy(dueAt: number): void {
		this.reportDueAt = Math.min(this.reportDueAt, dueAt);
	}
}

function emptyObservations(): EndpointObservations {
	return { completions: 0, failures: 0, interTokenMs: 0, interTokenTargetMs: 0 };
}

/**
 * State of one slot holder (a daemon that uses an endpoint) at the endpoint's owner.
 * @module
 */
import type { Grant, HolderReport, NameHash, RunningSlot, SlotRequest } from './types.js';

/** Time after which a grant that its holder has not confirmed expires. */
const grantTimeoutMs = 3000;

interface PendingGrant extends Grant {
	slotRequest: SlotRequest;
	grantedAt: number;
}

/** A waiting request and its holder. Times are on the owner's clock. */
export interface WaitingRequest {
	holder: SlotHolder;
	slotRequest: SlotRequest;
	firstTokenDueAt: number;
	waitingSince: number;
}

export class SlotHolder {
	lastReportSeq = 0;
	running: RunningSlot[] = [];
	waiting: WaitingRequest[] = [];
	waitingByTier: [tier: number, count: number][] = [];
	/** Unused slots that the holder keeps. */
	idleSlots = 0;
	/** Maximum number of unused slots that the holder may keep. */
	maxIdleSlots = Number.MAX_SAFE_INTEGER;
	/** Tickets of the runs that the holder is asked to preempt. */
	readonly preemptTickets = new Set<number>();
	/** Latest time of the next reply. */
	replyDueAt = 0;
	private pending: PendingGrant[] = [];
	private confirmedGrantId = 0;
	private nextGrantId = 1;

	constructor(readonly id: string) {}

	/** Grants that the holder has not confirmed. */
	get pendingGrants(): readonly PendingGrant[] {
		return this.pending;
	}

	/** Slots within the limit that are running, idle or granted. */
	get usedSlots(): number {
		const running = this.running.filter((slot) => !slot.isFloor).length;
		const pending = this.pending.filter((grant) => grant.floorClass === undefined).length;
		return this.idleSlots + running + pending;
	}

	/** Replaces the holder's state by its latest report. */
	applyReport(report: HolderReport, epoch: number, now: number): void {
		this.lastReportSeq = report.seq;
		if (report.epoch === epoch) {
			this.confirmGrants(report.lastGrantId);
		}
		this.running = report.running;
		this.idleSlots = report.idleSlots;
		this.waitingByTier = report.waitingByTier;
		this.removeEndedPreemptions();
		const grantedTickets = new Set(this.pending.map((grant) => grant.slotRequest.ticket));
		this.waiting = report.slotRequests
			.filter((slotRequest) => !grantedTickets.has(slotRequest.ticket))
			.map((slotRequest) => ({
				holder: this,
				slotRequest,
				firstTokenDueAt: now + slotRequest.slackMs,
				waitingSince: now - slotRequest.waitedMs,
			}));
	}

	/** Grants a slot for a waiting request; with `floorClass`, the slot is outside the limit. */
	grant(waiting: WaitingRequest, now: number, floorClass?: NameHash): void {
		const { slotRequest } = waiting;
		this.pending.push({
			id: this.nextGrantId++,
			tier: slotRequest.tier,
			floorClass,
			slotRequest,
			grantedAt: now,
		});
		this.waiting = this.waiting.filter((other) => other !== waiting);
		this.replyDueAt = 0;
	}

	/** Discards the grants of an earlier epoch. */
	dropGrants(): void {
		this.pending = [];
		this.replyDueAt = 0;
	}

	expireGrants(now: number): void {
		if (this.pending.some((grant) => now - grant.grantedAt >= grantTimeoutMs)) {
			this.pending = this.pending.filter((grant) => now - grant.grantedAt < grantTimeoutMs);
		}
	}

	/** Whether a slot for the floor of a class is running or granted. */
	servesFloor(cls: NameHash): boolean {
		const running = this.running.some((slot) => slot.isFloor && slot.classHash === cls);
		return running || this.pending.some((grant) => grant.floorClass === cls);
	}

	private confirmGrants(lastGrantId: number): void {
		this.confirmedGrantId = Math.max(this.confirmedGrantId, lastGrantId);
		// A holder that was removed and returns has already applied grants of this epoch.
		this.nextGrantId = Math.max(this.nextGrantId, lastGrantId + 1);
		this.pending = this.pending.filter((grant) => grant.id > this.confirmedGrantId);
	}

	private removeEndedPreemptions(): void {
		const running = new Set(this.running.map((slot) => slot.ticket));
		for (const ticket of this.preemptTickets) {
			if (!running.has(ticket)) {
				this.preemptTickets.delete(ticket);
			}
		}
	}
}

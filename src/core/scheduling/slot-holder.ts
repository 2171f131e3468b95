/**
 * One entry as an endpoint's owner knows it.
 * @module
 */
import type { Grant, HolderReport, NameHash, RunningSlot, SlotRequest } from './types.js';

/** A grant that its entry has not confirmed after so long is taken back, in milliseconds. */
const grantLostMs = 3000;

interface PendingGrant extends Grant {
	ticket: SlotRequest;
	at: number;
}

/** A request that waits at an entry. */
export interface WaitingRequest {
	holder: SlotHolder;
	slotRequest: SlotRequest;
	/** Owner's time at which the first token is due. */
	firstTokenDueAt: number;
	/** Owner's time at which it began to wait. */
	waitingSince: number;
}

export class SlotHolder {
	/** Last report taken in. */
	lastReportSeq = 0;
	running: RunningSlot[] = [];
	waiting: WaitingRequest[] = [];
	waitingByTier: [tier: number, count: number][] = [];
	/** Unused slots that it holds. */
	idleSlots = 0;
	/** Unused slots that it may keep. */
	maxIdleSlots = Number.MAX_SAFE_INTEGER;
	/** Runs that it is asked to cut off, by ticket. */
	readonly preemptTickets = new Set<number>();
	/** When something must be said to it at the latest. */
	replyDueAt = 0;
	private pending: PendingGrant[] = [];
	private granted = 0;
	private nextGrant = 1;

	constructor(readonly id: string) {}

	/** Grants that it has not confirmed. */
	get pendingGrants(): readonly PendingGrant[] {
		return this.pending;
	}

	/** Slots of the limit that it uses, holds, or has been granted. */
	get usedSlots(): number {
		const running = this.running.filter((slot) => !slot.isFloor).length;
		const pending = this.pending.filter((grant) => grant.floorClass === undefined).length;
		return this.idleSlots + running + pending;
	}

	/** Takes in its state. */
	applyReport(report: HolderReport, epoch: number, now: number): void {
		this.lastReportSeq = report.seq;
		if (report.epoch === epoch) {
			this.confirm(report.lastGrantId);
		}
		this.running = report.running;
		this.idleSlots = report.idleSlots;
		this.waitingByTier = report.waitingByTier;
		this.forgetEndedPreempts();
		const promised = new Set(this.pending.map((grant) => grant.ticket.ticket));
		this.waiting = report.slotRequests
			.filter((ticket) => !promised.has(ticket.ticket))
			.map((ticket) => ({
				holder: this,
				ticket,
				dueAt: now + ticket.slackMs,
				since: now - ticket.waitedMs,
			}));
	}

	/** Gives a slot for a waiting request; `floor` names the class for one outside the limit. */
	grant(waiting: WaitingRequest, now: number, floor?: NameHash): void {
		const { slotRequest: ticket } = waiting;
		this.pending.push({
			id: this.nextGrant++,
			tier: ticket.tier,
			floorClass: floor,
			ticket,
			at: now,
		});
		this.waiting = this.waiting.filter((other) => other !== waiting);
		this.replyDueAt = 0;
	}

	/** Grants of another term are void. */
	dropGrants(): void {
		this.pending = [];
		this.replyDueAt = 0;
	}

	expireGrants(now: number): void {
		if (this.pending.some((grant) => now - grant.at >= grantLostMs)) {
			this.pending = this.pending.filter((grant) => now - grant.at < grantLostMs);
		}
	}

	/** Whether it runs, or will, the minimum of a class. */
	servesFloor(cls: NameHash): boolean {
		const running = this.running.some((slot) => slot.isFloor && slot.classHash === cls);
		return running || this.pending.some((grant) => grant.floorClass === cls);
	}

	private confirm(granted: number): void {
		this.granted = Math.max(this.granted, granted);
		// An entry that was forgotten and is back has taken in grants of this term before.
		this.nextGrant = Math.max(this.nextGrant, granted + 1);
		this.pending = this.pending.filter((grant) => grant.id > this.granted);
	}

	private forgetEndedPreempts(): void {
		const running = new Set(this.running.map((slot) => slot.ticket));
		for (const ticket of this.preemptTickets) {
			if (!running.has(ticket)) {
				this.preemptTickets.delete(ticket);
			}
		}
	}
}

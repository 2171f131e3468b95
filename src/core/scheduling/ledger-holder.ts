/**
 * One entry as an endpoint's owner knows it.
 * @module
 */
import type { Grant, HolderReport, NameHash, RunningSlot, Ticket } from './types.js';

/** A grant that its entry has not confirmed after so long is taken back, in milliseconds. */
const grantLostMs = 3000;

interface PendingGrant extends Grant {
	ticket: Ticket;
	at: number;
}

/** A request that waits at an entry. */
export interface Waiting {
	holder: LedgerHolder;
	ticket: Ticket;
	/** Owner's time at which the first token is due. */
	dueAt: number;
	/** Owner's time at which it began to wait. */
	since: number;
}

export class LedgerHolder {
	/** Last report taken in. */
	seq = 0;
	running: RunningSlot[] = [];
	waiting: Waiting[] = [];
	backlog: [tier: number, count: number][] = [];
	/** Unused slots that it holds. */
	idle = 0;
	/** Unused slots that it may keep. */
	keepIdle = Number.MAX_SAFE_INTEGER;
	/** Runs that it is asked to cut off, by ticket. */
	readonly preempt = new Set<number>();
	/** When something must be said to it at the latest. */
	dueAt = 0;
	private pending: PendingGrant[] = [];
	private granted = 0;
	private nextGrant = 1;

	constructor(readonly id: string) {}

	/** Grants that it has not confirmed. */
	get grants(): readonly PendingGrant[] {
		return this.pending;
	}

	/** Slots of the limit that it uses, holds, or has been granted. */
	get used(): number {
		const running = this.running.filter((slot) => !slot.floor).length;
		const pending = this.pending.filter((grant) => grant.floor === undefined).length;
		return this.idle + running + pending;
	}

	/** Takes in its state. */
	takeReport(report: HolderReport, epoch: number, now: number): void {
		this.seq = report.seq;
		if (report.epoch === epoch) {
			this.confirm(report.granted);
		}
		this.running = report.running;
		this.idle = report.idle;
		this.backlog = report.backlog;
		this.forgetEndedPreempts();
		const promised = new Set(this.pending.map((grant) => grant.ticket.ticket));
		this.waiting = report.want
			.filter((ticket) => !promised.has(ticket.ticket))
			.map((ticket) => ({
				holder: this,
				ticket,
				dueAt: now + ticket.slack,
				since: now - ticket.waited,
			}));
	}

	/** Gives a slot for a waiting request; `floor` names the class for one outside the limit. */
	grant(waiting: Waiting, now: number, floor?: NameHash): void {
		const { ticket } = waiting;
		this.pending.push({ id: this.nextGrant++, tier: ticket.tier, floor, ticket, at: now });
		this.waiting = this.waiting.filter((other) => other !== waiting);
		this.dueAt = 0;
	}

	/** Grants of another term are void. */
	dropGrants(): void {
		this.pending = [];
		this.dueAt = 0;
	}

	dropLostGrants(now: number): void {
		if (this.pending.some((grant) => now - grant.at >= grantLostMs)) {
			this.pending = this.pending.filter((grant) => now - grant.at < grantLostMs);
		}
	}

	/** Whether it runs, or will, the minimum of a class. */
	servesFloor(cls: NameHash): boolean {
		const running = this.running.some((slot) => slot.floor && slot.cls === cls);
		return running || this.pending.some((grant) => grant.floor === cls);
	}

	private confirm(granted: number): void {
		this.granted = Math.max(this.granted, granted);
		// An entry that was forgotten and is back has taken in grants of this term before.
		this.nextGrant = Math.max(this.nextGrant, granted + 1);
		this.pending = this.pending.filter((grant) => grant.id > this.granted);
	}

	private forgetEndedPreempts(): void {
		const running = new Set(this.running.map((slot) => slot.ticket));
		for (const ticket of this.preempt) {
			if (!running.has(ticket)) {
				this.preempt.delete(ticket);
			}
		}
	}
}

/**
 * Which VMs read the store for the fleet. Each change wakes a watch of every VM that follows the store, and
 * each call has its price; so in a large fleet a few VMs follow it and the others hear of changes from them.
 * All VMs rank each other alike by hashing, and the first few read. While the store answers none of these, a few more try each
 * second: it may have turned away just those. When it is down for all, hundreds of VMs that try by themselves win nothing: a fleet of
 * 290 had made 10,100 calls by the fifth second of an outage, starts among them. A VM that hears hardly anyone reads the store itself, at once.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';

/** In a fleet of this size or smaller all VMs read the store: its calls cost little there. */
export const smallFleetSize = 12;
/** VMs that read the store for the others; changes still come while three of them are cut off. */
const readerCount = 4;
/** A peer reads the store if the store answered it within this time, in milliseconds; it proves that each half second. */
export const maxContactAgeMs = 1500;
/** A VM that reads for others tells them so often at least, in milliseconds: three are lost before it seems cut off. */
export const maxReaderSilenceMs = 400;
/** While no VM is heard that the store answers, so many more try each time so long has passed, in milliseconds. */
const takeOverMs = 2000;
/** A VM that hears fewer than this share of the others is cut off from them: nobody reads for it. */
const heardShare = 0.5;
/** A VM stops reading when it was not needed for so long, in milliseconds. */
const lingerMs = 2000;
/** Just after its start a VM stops at once, in milliseconds: all VMs may have started together and read. */
const startMs = 3000;
/** Longest back-off of a VM whose turn it is to read, and of the others, in milliseconds. */
const readerBackoffMs = 400;
const otherBackoffMs = 2500;
/** Time between two renewals of a registration, by VMs that read the store and by others, in milliseconds. */
const readerRenewMs = 500;
const otherRenewMs = 4000;
const renewMs = 2000;

/** What the fleet looks like from this VM. */
export interface FleetSnapshot {
	/** VMs known, this one included; another list when it changes. */
	names: readonly string[];
	/** Peers that the store answered lately. */
	freshReaders: number;
	/**
	 * VMs heard of now, this one included.
	 * @default 1
	 */
	liveVms?: number;
	/**
	 * This VM acts for the whole fleet: it goes on reading, and the others hear of it.
	 * @default false
	 */
	isDutyHolder?: boolean;
}

export class ReaderSelection {
	private neededAt = 0;
	private startedAt?: number;
	/** Place of this VM among all, by which it reads; 0 is the first. */
	private rank = 0;
	/** Names by which it was ranked. */
	private names?: readonly string[];
	/** Since when no peer was heard that the store answers. */
	private silentSince?: number;
	private fleetSize = 1;
	private reads = true;

	constructor(private readonly self: string) {}

	/** Whether this VM reads the store now. */
	get isReader(): boolean {
		return this.reads;
	}

	/** Looks at the fleet anew; called several times a second. */
	update(fleet: FleetSnapshot, now: number): void {
		const { names, freshReaders, liveVms: heardVms = 1, isDutyHolder: holdsDuty = false } = fleet;
		this.startedAt ??= now;
		this.fleetSize = names.length;
		if (names !== this.names) {
			this.names = names;
			this.rank = rendezvous.pickTop('store readers', names, names.length).indexOf(this.self);
		}
		this.silentSince = freshReaders > 0 ? undefined : (this.silentSince ?? now);
		const isCutOff = heardVms < names.length * heardShare;
		const linger = now - this.startedAt < startMs ? 0 : lingerMs;
		const isNeeded = freshReaders === 0 && (isCutOff || this.rank < this.turns(now));
		if (this.isSelected || isNeeded || holdsDuty) {
			this.neededAt = now;
			this.reads = true;
		} else if (now - this.neededAt > linger) {
			this.reads = false;
		}
	}

	/** Its place among the VMs that read the store, from 0; undefined while it does not. */
	get readerRank(): number | undefined {
		return this.reads ? this.rank : undefined;
	}

	private get isSelected(): boolean {
		return this.fleetSize <= smallFleetSize || this.rank < readerCount;
	}

	/** VMs that should try to read the store now. */
	private turns(now: number): number {
		const silentMs = now - (this.silentSince ?? now);
		return readerCount * (1 + Math.floor(silentMs / takeOverMs));
	}

	/** Whether other VMs rely on what this one reads: they must hear of it also when nothing changes. */
	get isReadingForOthers(): boolean {
		return this.reads && this.fleetSize > smallFleetSize;
	}

	/** Longest time between two tries at a store that does not answer, in milliseconds. */
	get maxBackoffMs(): number {
		return this.isSelected ? readerBackoffMs : otherBackoffMs;
	}

	/** Time between two renewals of the registration, in milliseconds. */
	get renewalIntervalMs(): number {
		if (this.fleetSize <= smallFleetSize) {
			return renewMs;
		}
		return this.reads ? readerRenewMs : otherRenewMs;
	}
}

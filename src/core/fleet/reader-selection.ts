/**
 * Selects the VMs that read the store in a large fleet; the others receive changes from them. All VMs compute the same ranking
 * by hashing, and the first few read; while the store answers none of these, further VMs try in turn. A VM that is isolated
 * from its peers reads the store itself.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';

/** Fleet size up to which all VMs read the store: their calls cost little there. */
export const smallFleetSize = 12;
/** VMs that read the store for the others; several, so that some may be cut off. */
const readerCount = 4;
/** Readers whose watches are short enough to notice a lost answer in time; they tell the others. */
const preferredCount = 2;
/** A peer counts as a reader if the store answered it within this time; a reader calls the store at least each half second. */
export const maxContactAgeMs = 1500;
/** Maximum interval between gossip of a reader; several messages may be lost before its contact looks too old. */
export const maxReaderSilenceMs = 400;
/**
 * While no reader is known, `readerCount` more VMs try each time this interval passes. All at once would win nothing: 290 VMs made
 * 10,100 calls in the first five seconds of an outage.
 */
const takeOverMs = 2000;
/** A VM that receives gossip of a smaller share of the fleet is isolated. */
const minLiveShare = 0.5;
/** A VM stops reading after it was not needed for this time. */
const lingerMs = 2000;
/** Within this time after its start a VM stops at once, since all VMs may have started together. */
const startupMs = 3000;
/** Maximum back-off of selected readers, and of other VMs. */
const readerBackoffMs = 400;
const otherBackoffMs = 2500;
/** Intervals between renewals of a registration, in a large fleet by readers and by other VMs, and in a small fleet. */
const readerRenewalMs = 500;
const otherRenewalMs = 4000;
const smallFleetRenewalMs = 2000;

/** State of the fleet as seen by this VM. */
export interface FleetSnapshot {
	/** Names of the known VMs, this one included; a change replaces the array. */
	names: readonly string[];
	/** Number of peers that recently had an answer from the store. */
	freshReaders: number;
	/**
	 * Number of VMs in the gossip view, this one included.
	 * @default 1
	 */
	liveVms?: number;
	/**
	 * This VM holds the fleet-wide duty, so it keeps reading.
	 * @default false
	 */
	isDutyHolder?: boolean;
}

export class ReaderSelection {
	private neededAt = 0;
	private startedAt?: number;
	/** Index of this VM in the ranking. */
	private rank = 0;
	/** Names that the rank was computed from. */
	private names?: readonly string[];
	/** Time since which no reader is known. */
	private noReaderSince?: number;
	private fleetSize = 1;
	private isReading = true;

	constructor(private readonly self: string) {}

	/** Whether this VM reads the store now. */
	get isReader(): boolean {
		return this.isReading;
	}

	/** Re-evaluates whether this VM reads the store; called several times a second. */
	update(fleet: FleetSnapshot, now: number): void {
		const { names, freshReaders, liveVms = 1, isDutyHolder = false } = fleet;
		this.startedAt ??= now;
		this.fleetSize = names.length;
		if (names !== this.names) {
			this.names = names;
			this.rank = rendezvous.pickTop('store readers', names, names.length).indexOf(this.self);
		}
		this.noReaderSince = freshReaders > 0 ? undefined : (this.noReaderSince ?? now);
		const isIsolated = liveVms < names.length * minLiveShare;
		const linger = now - this.startedAt < startupMs ? 0 : lingerMs;
		const isNeeded = freshReaders === 0 && (isIsolated || this.rank < this.candidateCount(now));
		if (this.isSelected || isNeeded || isDutyHolder) {
			this.neededAt = now;
			this.isReading = true;
		} else if (now - this.neededAt > linger) {
			this.isReading = false;
		}
	}

	/** Index in the ranking of readers; undefined while this VM does not read the store. */
	get readerRank(): number | undefined {
		return this.isReading ? this.rank : undefined;
	}

	private get isSelected(): boolean {
		return this.fleetSize <= smallFleetSize || this.rank < readerCount;
	}

	/** Whether this VM is among the few readers of a fleet of any size on which the others rely. */
	get isPreferred(): boolean {
		return this.rank < preferredCount;
	}

	/** Number of VMs that should try to read the store now. */
	private candidateCount(now: number): number {
		const noReaderMs = now - (this.noReaderSince ?? now);
		return readerCount * (1 + Math.floor(noReaderMs / takeOverMs));
	}

	/** Whether other VMs rely on this one, so that it has to gossip even without changes. */
	get isReadingForOthers(): boolean {
		return this.isReading && this.fleetSize > smallFleetSize;
	}

	/** Maximum back-off between attempts to reach an unavailable store, in milliseconds. */
	get maxBackoffMs(): number {
		return this.isSelected ? readerBackoffMs : otherBackoffMs;
	}

	/** Interval between renewals of the registration, in milliseconds. */
	get renewalIntervalMs(): number {
		if (this.fleetSize <= smallFleetSize) {
			return smallFleetRenewalMs;
		}
		return this.isReading ? readerRenewalMs : otherRenewalMs;
	}
}

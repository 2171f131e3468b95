/**
 * Which VMs read the store for the fleet. Each change wakes a watch of every VM that follows the store, and
 * each call has its price; so in a large fleet a few VMs follow it and the others hear of changes from them.
 * All VMs pick the same few by hashing; one that hears of nobody who reads the store reads it itself.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';

/** In a fleet of this size or smaller all VMs read the store: its calls cost little there. */
const largestAllRead = 12;
/** VMs that read the store for the others; changes still come while three of them are cut off. */
const readers = 4;
/** A peer reads the store if the store answered it within this time, in milliseconds; it proves that each half second. */
export const freshContactMs = 1500;
/** A VM that reads for others tells them so often at least, in milliseconds: three are lost before it seems cut off. */
export const tellReadersMs = 400;
/** A VM stops reading when it was not needed for so long, in milliseconds. */
const lingerMs = 2000;
/** Longest back-off of a VM whose turn it is to read, and of the others, in milliseconds. */
const readerBackoffMs = 400;
const otherBackoffMs = 2500;
/** Time between two renewals of a registration, by VMs that read the store and by others, in milliseconds. */
const readerRenewMs = 500;
const otherRenewMs = 4000;
const renewMs = 2000;

/** What the fleet looks like from this VM. */
export interface FleetGlance {
	/** VMs heard of lately, this one included. */
	names: readonly string[];
	/** Peers that the store answered lately. */
	freshReaders: number;
}

export class StoreDuty {
	private neededAt = 0;
	private chosen = true;
	private fleetSize = 1;
	private reads = true;

	constructor(private readonly self: string) {}

	/** Whether this VM reads the store now. */
	get isOn(): boolean {
		return this.reads;
	}

	/** Looks at the fleet anew; called several times a second. */
	update(glance: FleetGlance, now: number): void {
		const { names, freshReaders } = glance;
		this.fleetSize = names.length;
		this.chosen =
			names.length <= largestAllRead ||
			rendezvous.pickTop('store readers', names, readers).includes(this.self);
		if (this.chosen || freshReaders === 0) {
			this.neededAt = now;
		}
		this.reads = now - this.neededAt < lingerMs;
	}

	/** Whether other VMs rely on what this one reads: they must hear of it also when nothing changes. */
	get isReliedOn(): boolean {
		return this.reads && this.fleetSize > largestAllRead;
	}

	/** Longest time between two tries at a store that does not answer, in milliseconds. */
	get maxBackoffMs(): number {
		return this.chosen ? readerBackoffMs : otherBackoffMs;
	}

	/** Time between two renewals of the registration, in milliseconds. */
	get renewMs(): number {
		if (this.fleetSize <= largestAllRead) {
			return renewMs;
		}
		return this.reads ? readerRenewMs : otherRenewMs;
	}
}

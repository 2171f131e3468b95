/**
 * Which VM issues permits for engines that name a limit. A rate for all VMs together cannot be kept by each of them alone: the limit
 * divided by the VMs leaves most of it unused where work comes to few of them, and several VMs that each wait for their turn still
 * meet. One VM that all ask keeps it exactly, and gives it to whoever has work.
 *
 * The issuer tells heartbeats in the news while any limit is in force. When it falls silent, the VMs take over in an order that all
 * of them share. The higher term counts, so two issuers end as soon as they hear of each other; one that has just taken over waits
 * that long before it issues anything.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { ListedVm } from '../fleet/aggregator-selection.js';
import { addressOf } from '../fleet/aggregator-selection.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { IssuerAnnouncement } from './types.js';

/** Names the order of VMs among others that are made by hashing. */
const orderName = 'permits';
/** Between two heartbeats, in milliseconds. */
const beatMs = 200;
/** An issuer that is silent for so long is replaced, in milliseconds: several heartbeats, through two aggregators each. */
const silentMs = 1000;
/** The next one in the order waits so much longer than the one before, in milliseconds, and hears of it meanwhile. */
const claimStepMs = 250;
/** All others in the order wait alike. */
const claimSteps = 8;
/** From taking over to the first permit, in milliseconds: another that took over at once is heard by then. */
const settleMs = 400;
/** A VM that did not look for so long was suspended, in milliseconds, and others may have taken over. */
const lapsedMs = 500;

export interface IssuerElectionOptions {
	clock: Clock;
	log: Log;
	/** Where this VM hears datagrams, as IP:PORT. */
	ownAddress: string;
	/** This VM's place in the order that all VMs share, 0 for the first, with an address left out. */
	getRank: (without?: string) => number;
	/** Whether any limit is in force. */
	isNeeded: () => boolean;
	/** Others should hear of it. */
	onChanged: () => void;
}

/** All times in milliseconds since boot: an issuer that was suspended must not go on as if no time had passed. */
export class IssuerElection {
	private word?: IssuerAnnouncement;
	private heardAt = Number.NEGATIVE_INFINITY;
	private neededSince?: number;
	/** Term that this process took over in; an earlier life of the VM may have had others. */
	private ownTerm?: number;
	private grantsFrom = Number.POSITIVE_INFINITY;
	private updatedAt = Number.NEGATIVE_INFINITY;
	private beatAt = Number.NEGATIVE_INFINITY;
	private isRetired = false;

	constructor(private readonly opts: IssuerElectionOptions) {}

	/** Whether this VM issues permits, or will once others had time to object. */
	get isElected(): boolean {
		return this.isOwn && this.now - this.updatedAt < lapsedMs;
	}

	/** Whether it issues them now. */
	get isIssuing(): boolean {
		return this.isElected && this.now >= this.grantsFrom;
	}

	/** The VM to ask, as IP:PORT; undefined while none is heard. */
	get issuerAddress(): string | undefined {
		const { word } = this;
		if (!word || word.isResigned || this.now - this.heardAt >= silentMs) {
			return undefined;
		}
		return word.address === this.opts.ownAddress ? undefined : word.address;
	}

	/** What news tell; undefined while no limit is in force. */
	get announcementToSend(): IssuerAnnouncement | undefined {
		return this.opts.isNeeded() ? this.word : undefined;
	}

	/** Looks whether this VM should take over; called several times a second. */
	update(): void {
		const { now } = this;
		if (this.isOwn && now - this.updatedAt >= lapsedMs) {
			this.ownTerm = undefined;
			this.heardAt = now;
		}
		this.updatedAt = now;
		if (!this.opts.isNeeded()) {
			this.neededSince = undefined;
			return;
		}
		this.neededSince ??= now;
		if (this.isOwn) {
			this.beat(now);
		} else if (!this.isRetired && now >= this.claimAt(this.neededSince)) {
			this.claim(now);
		}
	}

	/** @returns whether it is news here */
	merge(word: IssuerAnnouncement): boolean {
		if (!isNewer(word, this.word)) {
			return false;
		}
		if (word.address !== this.word?.address) {
			this.opts.log.info('permits.issuer', { address: word.address, term: word.term });
		}
		this.word = word;
		this.heardAt = this.now;
		return true;
	}

	/** This VM stops. */
	retire(): void {
		this.isRetired = true;
		if (this.isOwn && this.word) {
			this.ownTerm = undefined;
			this.word = { ...this.word, heartbeatSeq: this.word.heartbeatSeq + 1, isResigned: true };
			this.opts.onChanged();
		}
	}

	private get now(): number {
		return this.opts.clock.sinceBoot();
	}

	private get isOwn(): boolean {
		return this.ownTerm !== undefined && this.word?.term === this.ownTerm && this.isOwnAddress;
	}

	private get isOwnAddress(): boolean {
		return this.word?.address === this.opts.ownAddress;
	}

	/** When this VM takes over unless another is heard. */
	private claimAt(neededSince: number): number {
		const { word } = this;
		const waitMs = Math.min(this.opts.getRank(word?.address), claimSteps) * claimStepMs;
		if (!word) {
			return neededSince + waitMs;
		}
		const isGone = word.isResigned || (this.isOwnAddress && this.ownTerm === undefined);
		return Math.max(this.heardAt, neededSince) + (isGone ? 0 : silentMs) + waitMs;
	}

	private claim(now: number): void {
		const { ownAddress: self, log } = this.opts;
		const term = (this.word?.term ?? 0) + 1;
		this.ownTerm = term;
		this.word = { address: self, term, heartbeatSeq: 0, isResigned: false };
		this.grantsFrom = now + settleMs;
		this.beat(now);
		log.info('permits.issuer', { address: self, term });
	}

	private beat(now: number): void {
		const { word } = this;
		if (word && now - this.beatAt >= beatMs) {
			this.word = { ...word, heartbeatSeq: word.heartbeatSeq + 1 };
			this.beatAt = now;
			this.heardAt = now;
			this.opts.onChanged();
		}
	}
}

/**
 * A VM's place among those that may issue permits, 0 for the first: the VMs with the most processor first. All VMs that list the same
 * ones agree.
 * @param without address of a VM that is left out
 */
export function issuerRank(self: ListedVm, others: readonly ListedVm[], without?: string): number {
	return others.filter((vm) => addressOf(vm.address) !== without && goesBefore(vm, self)).length;
}

function goesBefore(one: ListedVm, other: ListedVm): boolean {
	const scoreOf = (vm: ListedVm) => rendezvous.scoreOf(orderName, vm.name);
	return one.cores > other.cores || (one.cores === other.cores && scoreOf(one) > scoreOf(other));
}

function isNewer(word: IssuerAnnouncement, known: IssuerAnnouncement | undefined): boolean {
	if (!known || word.term !== known.term) {
		return word.term > (known?.term ?? 0);
	}
	return word.address === known.address
		? word.heartbeatSeq > known.heartbeatSeq
		: word.address < known.address;
}

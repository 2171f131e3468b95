/**
 * Elects the VM that issues permits for rate-limited engines, so that any VM may use the full rate. The issuer sends heartbeats
 * through gossip; when they stop, VMs take over in rank order, and the highest term wins.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import { addressOf } from '../fleet/address.js';
import type { RegisteredVm } from '../fleet/aggregator-selection.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { IssuerAnnouncement } from './types.js';

/** Rendezvous hashing key of the rank order. */
const rankKey = 'permits';
/** Interval between heartbeats, in milliseconds. */
const heartbeatIntervalMs = 200;
/** An issuer without heartbeats for this long is replaced, in milliseconds; tolerates the loss of some. */
const issuerTimeoutMs = 1000;
/** Extra wait per rank before a takeover, in milliseconds; leaves time for the claim of a VM with a lower rank to arrive. */
const claimDelayPerRankMs = 250;
/** Higher ranks wait no longer than this one. */
const maxClaimRank = 8;
/** Delay between a takeover and the first permit, in milliseconds; concurrent takeovers are detected by then. */
const settleMs = 400;
/** A VM without updates for this long was suspended, in milliseconds; others may have taken over. */
const suspendedMs = 500;

export interface IssuerElectionOptions {
	clock: Clock;
	log: Log;
	/** Datagram address of this VM, as IP:PORT. */
	ownAddress: string;
	/** Rank of this VM, 0 for the first, without the VM at an address. */
	getRank: (without?: string) => number;
	/** Whether any limit is active. */
	isNeeded: () => boolean;
	/** Called when other VMs need the announcement. */
	onChanged: () => void;
}

/** All times in milliseconds since boot, which include suspensions: a suspended issuer must stop issuing. */
export class IssuerElection {
	private announcement?: IssuerAnnouncement;
	private receivedAt = Number.NEGATIVE_INFINITY;
	private neededSince?: number;
	/** Term in which this process took over; an earlier incarnation of the VM may have had others. */
	private ownTerm?: number;
	private issuesFrom = Number.POSITIVE_INFINITY;
	private updatedAt = Number.NEGATIVE_INFINITY;
	private heartbeatAt = Number.NEGATIVE_INFINITY;
	private isRetired = false;

	constructor(private readonly opts: IssuerElectionOptions) {}

	/** Whether this VM is the issuer, including the settling time after a takeover. */
	get isElected(): boolean {
		return this.isOwn && this.now - this.updatedAt < suspendedMs;
	}

	/** Whether this VM issues permits now. */
	get isIssuing(): boolean {
		return this.isElected && this.now >= this.issuesFrom;
	}

	/** Address of the remote issuer, as IP:PORT; undefined while none is alive. */
	get issuerAddress(): string | undefined {
		const { announcement } = this;
		if (!announcement || announcement.isResigned || this.now - this.receivedAt >= issuerTimeoutMs) {
			return undefined;
		}
		return announcement.address === this.opts.ownAddress ? undefined : announcement.address;
	}

	/** Announcement to gossip; undefined while no limit is active. */
	get announcementToSend(): IssuerAnnouncement | undefined {
		return this.opts.isNeeded() ? this.announcement : undefined;
	}

	/** Sends heartbeats or takes over when due; called several times a second. */
	update(): void {
		const { now } = this;
		if (this.isOwn && now - this.updatedAt >= suspendedMs) {
			this.ownTerm = undefined;
			this.receivedAt = now;
		}
		this.updatedAt = now;
		if (!this.opts.isNeeded()) {
			this.neededSince = undefined;
			return;
		}
		this.neededSince ??= now;
		if (this.isOwn) {
			this.sendHeartbeat(now);
		} else if (!this.isRetired && now >= this.claimAt(this.neededSince)) {
			this.claim(now);
		}
	}

	/** @returns whether the announcement is newer than the known one */
	merge(announcement: IssuerAnnouncement): boolean {
		if (!isNewer(announcement, this.announcement)) {
			return false;
		}
		if (announcement.address !== this.announcement?.address) {
			this.opts.log.info('permits.issuer', {
				address: announcement.address,
				term: announcement.term,
			});
		}
		this.announcement = announcement;
		this.receivedAt = this.now;
		return true;
	}

	/** Resigns and never takes over again; called when this VM shuts down. */
	retire(): void {
		this.isRetired = true;
		if (this.isOwn && this.announcement) {
			this.ownTerm = undefined;
			this.announcement = {
				...this.announcement,
				heartbeatSeq: this.announcement.heartbeatSeq + 1,
				isResigned: true,
			};
			this.opts.onChanged();
		}
	}

	private get now(): number {
		return this.opts.clock.sinceBoot();
	}

	private get isOwn(): boolean {
		return (
			this.ownTerm !== undefined && this.announcement?.term === this.ownTerm && this.isOwnAddress
		);
	}

	private get isOwnAddress(): boolean {
		return this.announcement?.address === this.opts.ownAddress;
	}

	/** When this VM takes over unless another issuer announces itself. */
	private claimAt(neededSince: number): number {
		const { announcement } = this;
		const waitMs =
			Math.min(this.opts.getRank(announcement?.address), maxClaimRank) * claimDelayPerRankMs;
		if (!announcement) {
			return neededSince + waitMs;
		}
		const isVacant = announcement.isResigned || (this.isOwnAddress && this.ownTerm === undefined);
		return Math.max(this.receivedAt, neededSince) + (isVacant ? 0 : issuerTimeoutMs) + waitMs;
	}

	private claim(now: number): void {
		const { ownAddress, log } = this.opts;
		const term = (this.announcement?.term ?? 0) + 1;
		this.ownTerm = term;
		this.announcement = { address: ownAddress, term, heartbeatSeq: 0, isResigned: false };
		this.issuesFrom = now + settleMs;
		this.sendHeartbeat(now);
		log.info('permits.issuer', { address: ownAddress, term });
	}

	private sendHeartbeat(now: number): void {
		const { announcement } = this;
		if (announcement && now - this.heartbeatAt >= heartbeatIntervalMs) {
			this.announcement = { ...announcement, heartbeatSeq: announcement.heartbeatSeq + 1 };
			this.heartbeatAt = now;
			this.receivedAt = now;
			this.opts.onChanged();
		}
	}
}

/**
 * Rank of a VM among the candidates for issuer, 0 for the first. VMs with more cores come first; all VMs with the same list
 * agree.
 * @param without address of a VM to exclude
 */
export function issuerRank(
	self: RegisteredVm,
	others: readonly RegisteredVm[],
	without?: string,
): number {
	return others.filter((vm) => addressOf(vm.address) !== without && precedes(vm, self)).length;
}

function precedes(one: RegisteredVm, other: RegisteredVm): boolean {
	const scoreOf = (vm: RegisteredVm) => rendezvous.scoreOf(rankKey, vm.name);
	return one.cores > other.cores || (one.cores === other.cores && scoreOf(one) > scoreOf(other));
}

/** Orders by term, then by heartbeat; in equal terms of two VMs the lower address wins. */
function isNewer(announcement: IssuerAnnouncement, known: IssuerAnnouncement | undefined): boolean {
	if (!known || announcement.term !== known.term) {
		return announcement.term > (known?.term ?? 0);
	}
	return announcement.address === known.address
		? announcement.heartbeatSeq > known.heartbeatSeq
		: announcement.address < known.address;
}

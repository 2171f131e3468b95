/**
 * Which VM acts for the whole fleet: the one that holds a key of the store under a lease. The revision of the key is its
 * fencing token, so it rises with each holder, and the platform can refuse one that was overtaken.
 *
 * The holder is seldom changed, since that leaves a gap: it keeps the duty until it stops, its lease ends, or a higher
 * token was seen. Only VMs that read the store stand ready, and only while no holder is heard of; in the order of their
 * ranking, so that they do not all ask at once.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Store, StoreItem } from '../store/definitions.js';
import { StoreError, storeFailures } from '../store/definitions.js';

/** Renewals in the life of a lease: two may be lost. */
const renewalsEach = 3;
/** Part of the lease that is not counted on, for clocks that run apart. */
const marginShare = 0.1;
/** Time between two questions who holds the duty while nobody is heard of, in milliseconds. */
const askMs = 400;
/** Each VM ready to take over waits so much longer than the one ranked before it, in milliseconds: as news take. */
const rankMs = 300;
/** A VM whose calls get no answer, or that was overtaken, leaves the duty to others for so long, in milliseconds. */
const restMs = 10_000;
/** A holder that hears no other VM for so long leaves the duty to others, in milliseconds: twice as long as VMs are silent. */
const cutOffMs = 1500;
/** Calls to the platform's API in a row without an answer, after which another VM should try. */
const unansweredToRest = 5;

/** What stands under the key. */
interface HolderRecord {
	vm: string;
	/** Names one attempt to take the duty, so that a lost answer can be settled. */
	nonce: string;
}

interface Held {
	lease: number;
	/** Revision of the key. */
	token: number;
	/** Renewals that arrived later are not counted on; in milliseconds since boot. */
	validUntil: number;
	renewAt: number;
	/** It may act from then on, in milliseconds since boot. */
	actsFrom: number;
	nonce: string;
}

export interface DutyHolderOptions {
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	/** Name of this VM. */
	vm: string;
	/** Key of the store that the holder has. */
	key: string;
	/** Life of the lease, in milliseconds. */
	leaseMs: number;
	/** Whether the platform refuses lower tokens than it has seen. */
	checksTokens: boolean;
	/** Place of this VM among those that stand ready, from 0; undefined while it does not. */
	rank: () => number | undefined;
	/** Token of another VM that is heard of, holds the duty, and is answered by the store. */
	otherHolderToken: () => number | undefined;
	/** Whether no other VM is heard, though there are others: what they count does not reach this one. */
	isIsolated: () => boolean;
	/** This VM took the duty, or lost it. */
	onChanged: () => void;
}

export class DutyHolder {
	private held?: Held;
	private stopped = false;
	private isBusy = false;
	/** Since when nobody is heard of that holds the duty, in milliseconds since boot. */
	private vacantSince?: number;
	private askAt = Number.NEGATIVE_INFINITY;
	private restUntil = Number.NEGATIVE_INFINITY;
	private unanswered = 0;
	/** Since when no other VM is heard, in milliseconds since boot. */
	private cutOffSince?: number;

	constructor(private readonly opts: DutyHolderOptions) {}

	/** The token under which this VM holds the duty; undefined while it does not. */
	get token(): number | undefined {
		return this.held?.token;
	}

	/**
	 * The token to act under now; undefined when this VM must not. Where the platform checks tokens, a holder that the
	 * store does not answer goes on: it is refused once another has acted.
	 */
	get actingToken(): number | undefined {
		const { held } = this;
		const mayAct = this.isLeaseValid || this.opts.checksTokens;
		return held && mayAct && this.now >= held.actsFrom ? held.token : undefined;
	}

	/** Whether no other VM can hold the duty now. */
	get isLeaseValid(): boolean {
		return this.held !== undefined && this.now < this.held.validUntil;
	}

	/** Takes, renews and loses the duty; called several times a second. Rejects only by a defect. */
	async update(): Promise<void> {
		if (this.isBusy || this.stopped) {
			return;
		}
		this.isBusy = true;
		try {
			await this.step();
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.failed(err);
		} finally {
			this.isBusy = false;
		}
	}

	/** This VM stops: another may take the duty at once. */
	async release(): Promise<void> {
		this.stopped = true;
		const { held } = this;
		if (held) {
			this.lose('this VM stops');
			await this.endLease(held.lease);
		}
	}

	/** A call under this token was refused since a higher one was seen. */
	handleRefusal(token: number): void {
		if (this.held?.token === token) {
			this.rest();
			this.lose('a higher token was seen');
		}
	}

	/**
	 * The store came back from an older copy: the lease and the key may be gone, and another VM may take the duty at once. This VM
	 * acts again when it has both in the new era.
	 */
	handleStoreRestored(): void {
		if (this.held) {
			this.lose('the store came back from an older copy');
		}
	}

	/** A call got an answer, or none: another VM may reach the platform where this one does not. */
	async recordCallResult(isAnswered: boolean): Promise<void> {
		this.unanswered = isAnswered ? 0 : this.unanswered + 1;
		const { held } = this;
		if (held && this.unanswered >= unansweredToRest) {
			this.unanswered = 0;
			this.rest();
			this.lose('the platform does not answer');
			await this.endLease(held.lease);
		}
	}

	/**
	 * Takes a higher token for the same VM: a call that got no answer may be carried out seconds later, after newer ones, and
	 * is refused then.
	 * @returns false when the duty was lost, or that is not known
	 */
	async raiseToken(): Promise<boolean> {
		const { held } = this;
		if (!held) {
			return false;
		}
		const { key } = this.opts;
		try {
			const value = this.encode(held.nonce);
			const token = await this.opts.store.transact({
				expected: [{ key, revision: held.token }],
				write: [{ key, value, lease: held.lease }],
			});
			if (token === undefined) {
				await this.settle(held);
			} else if (this.held === held) {
				this.held = { ...held, token };
			}
			return this.held !== undefined;
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.failed(err);
			return false;
		}
	}

	private get now(): number {
		// A lease runs out while the VM is suspended: by the steady clock alone it would act on beside the next holder.
		return this.opts.clock.sinceBoot();
	}

	private async step(): Promise<void> {
		const { held, now } = this;
		if (held) {
			if ((this.opts.otherHolderToken() ?? 0) > held.token) {
				this.rest();
				this.lose('another VM is heard that has taken it');
			} else if (this.isCutOffFor(cutOffMs)) {
				this.rest();
				this.lose('no other VM is heard');
				await this.endLease(held.lease);
			} else if (now >= held.renewAt) {
				await this.renew(held);
			}
			return;
		}
		if (this.shouldAsk(now)) {
			this.askAt = now + askMs;
			await this.take();
		}
	}

	private isCutOffFor(ms: number): boolean {
		if (!this.opts.isIsolated()) {
			this.cutOffSince = undefined;
			return false;
		}
		this.cutOffSince ??= this.now;
		return this.now - this.cutOffSince >= ms;
	}

	private shouldAsk(now: number): boolean {
		const rank = this.opts.rank();
		const isOthers = this.opts.otherHolderToken() !== undefined || this.isCutOffFor(0);
		if (rank === undefined || isOthers) {
			this.vacantSince = undefined;
			return false;
		}
		this.vacantSince ??= now;
		return now >= Math.max(this.vacantSince + rank * rankMs, this.askAt, this.restUntil);
	}

	private async renew(held: Held): Promise<void> {
		const sentAt = this.now;
		const next = { ...held, renewAt: sentAt + this.opts.leaseMs / renewalsEach };
		this.held = next;
		await this.opts.store.renewLease(held.lease);
		if (this.held === next) {
			this.held = { ...next, validUntil: this.validUntil(sentAt) };
		}
	}

	/** Until when a lease that was asked for, or renewed, at some moment surely runs. */
	private validUntil(sentAt: number): number {
		return sentAt + this.opts.leaseMs * (1 - marginShare);
	}

	private async take(): Promise<void> {
		const { store, key } = this.opts;
		const found = await store.get(key);
		if (!found) {
			await this.create();
			return;
		}
		const record = decode(found);
		if (record?.vm === this.opts.vm && found.lease !== 0) {
			await this.takeOver(found, record);
		}
	}

	private async create(): Promise<void> {
		const { store, key, random, leaseMs } = this.opts;
		const nonce = random.hex(8);
		const sentAt = this.now;
		const lease = await store.grantLease(leaseMs);
		try {
			const token = await store.transact({
				expected: [{ key, revision: 0 }],
				write: [{ key, value: this.encode(nonce), lease }],
			});
			if (token === undefined) {
				await this.endLease(lease);
				return;
			}
			this.took({ lease, token, nonce, validUntil: this.validUntil(sentAt) });
		} catch (err) {
			// Whether the write was done is not known; without its lease it is undone, or refused when it is done late.
			await this.endLease(lease);
			throw err;
		}
	}

	/** The process before had the duty, and its lease still runs. */
	private async takeOver(found: StoreItem, { nonce }: HolderRecord): Promise<void> {
		const { store, key } = this.opts;
		const sentAt = this.now;
		await store.renewLease(found.lease);
		const token = await store.transact({
			expected: [{ key, revision: found.revision }],
			write: [{ key, value: this.encode(nonce), lease: found.lease }],
		});
		if (token !== undefined) {
			const { lease } = found;
			this.took({ lease, token, nonce, validUntil: this.validUntil(sentAt) });
		}
	}

	private took(taken: Omit<Held, 'renewAt' | 'actsFrom'>): void {
		const { leaseMs, checksTokens, log } = this.opts;
		const { now } = this;
		const renewAt = now + leaseMs / renewalsEach;
		// Where the platform does not check tokens, calls of the holder before must be over.
		const actsFrom = checksTokens ? now : now + leaseMs;
		this.held = { ...taken, renewAt, actsFrom };
		this.unanswered = 0;
		log.info('duty.taken', { token: taken.token, lease: taken.lease });
		this.opts.onChanged();
	}

	/** The key has another revision than was expected: by a write of this VM whose answer was lost, or by another VM. */
	private async settle(held: Held): Promise<void> {
		const found = await this.opts.store.get(this.opts.key);
		const isOwn = found && decode(found)?.nonce === held.nonce && found.lease === held.lease;
		if (isOwn) {
			this.held = { ...held, token: found.revision };
		} else {
			this.lose('another VM has taken it');
		}
	}

	private failed(err: StoreError): void {
		if (err.failure === storeFailures.leaseEnded && this.held) {
			this.lose('its lease ended');
			return;
		}
		if (this.held) {
			this.held = { ...this.held, renewAt: this.now + askMs };
		}
		this.opts.log.warn('duty.store-failed', { reason: err.failure, error: err.message });
	}

	private lose(reason: string): void {
		const token = this.held?.token;
		this.held = undefined;
		this.opts.log.warn('duty.lost', { token, reason });
		this.opts.onChanged();
	}

	private rest(): void {
		this.restUntil = this.now + restMs;
	}

	/** A lease that cannot be ended lapses by itself. */
	private async endLease(lease: number): Promise<void> {
		try {
			await this.opts.store.endLease(lease);
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.opts.log.warn('duty.store-failed', { reason: err.failure, error: err.message });
		}
	}

	private encode(nonce: string): string {
		const record: HolderRecord = { vm: this.opts.vm, nonce };
		return JSON.stringify(record);
	}
}

function decode({ value }: StoreItem): HolderRecord | undefined {
	try {
		const record = JSON.parse(value) as HolderRecord;
		return typeof record.vm === 'string' && typeof record.nonce === 'string' ? record : undefined;
	} catch {
		// Another writer's; the VM that it names, if any, is not this one.
		return undefined;
	}
}

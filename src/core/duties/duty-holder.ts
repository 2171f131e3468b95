/**
 * Elects the VM that acts for the fleet: the one that holds a store key under a lease. The revision of the key is the fencing
 * token, so it increases with each holder and the platform can refuse a superseded one. The holder changes rarely, since each
 * change leaves a gap. Only VMs that read the store are candidates, one after the other, so that they do not all call it at once.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Store, StoreItem } from '../store/definitions.js';
import { StoreError, storeFailures } from '../store/definitions.js';

/** Renewals per lease duration, so that two may fail. */
const renewalsPerLease = 3;
/** Share of the lease treated as expired, to allow for clock drift. */
const leaseMarginRatio = 0.1;
/** Interval between attempts to acquire the duty while no holder is known. */
const acquireIntervalMs = 400;
/** Extra delay per rank before a candidate tries to acquire the duty; covers the propagation time of gossip. */
const rankDelayMs = 300;
/** Time for which a VM does not try to acquire the duty after it gave it up. */
const cooldownMs = 10_000;
/** A holder that receives no gossip for this long gives up the duty. */
const isolationTimeoutMs = 1500;
/** Consecutive unanswered platform calls after which the holder gives up the duty. */
const maxUnansweredCalls = 5;

/** Value of the store key. */
interface HolderRecord {
	vm: string;
	/** Identifies one acquisition, so that the outcome of an unanswered write can be determined. */
	nonce: string;
}

interface HeldDuty {
	lease: number;
	/** Revision of the key. */
	token: number;
	/** The lease certainly holds until then, in milliseconds since boot. */
	validUntil: number;
	renewAt: number;
	/** In milliseconds since boot. */
	mayActFrom: number;
	nonce: string;
}

export interface DutyHolderOptions {
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	vm: string;
	/** Store key that the holder owns. */
	key: string;
	leaseMs: number;
	/** Whether the platform refuses tokens lower than one it has seen. */
	checksTokens: boolean;
	/** Position of this VM among the candidates, from 0; undefined while it is not a candidate. */
	getRank: () => number | undefined;
	/** Token of another VM that, according to gossip, holds the duty and reaches the store. */
	getOtherHolderToken: () => number | undefined;
	/** Whether no gossip arrives although other VMs exist, so that their usage counts cannot arrive either. */
	isIsolated: () => boolean;
	/** Called when this VM acquired or lost the duty. */
	onChanged: () => void;
}

export class DutyHolder {
	private held?: HeldDuty;
	private isStopped = false;
	private isBusy = false;
	/** Since when no holder is known, in milliseconds since boot. */
	private vacantSince?: number;
	private nextAcquireAt = Number.NEGATIVE_INFINITY;
	private cooldownUntil = Number.NEGATIVE_INFINITY;
	private unansweredCalls = 0;
	/** In milliseconds since boot. */
	private isolatedSince?: number;

	constructor(private readonly opts: DutyHolderOptions) {}

	/** Token under which this VM holds the duty; undefined while it does not. */
	get token(): number | undefined {
		return this.held?.token;
	}

	/**
	 * Token to act under now; undefined when this VM must not act. Where the platform checks tokens, a holder whose lease
	 * may have expired continues: the platform refuses it once a successor has acted.
	 */
	get actingToken(): number | undefined {
		const { held } = this;
		const mayAct = this.isLeaseValid || this.opts.checksTokens;
		return held && mayAct && this.now >= held.mayActFrom ? held.token : undefined;
	}

	/** Whether no other VM can hold the duty now. */
	get isLeaseValid(): boolean {
		return this.held !== undefined && this.now < this.held.validUntil;
	}

	/** Acquires, renews or gives up the duty as needed; called several times a second. Store errors do not reject. */
	async update(): Promise<void> {
		if (this.isBusy || this.isStopped) {
			return;
		}
		this.isBusy = true;
		try {
			await this.step();
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.handleStoreError(err);
		} finally {
			this.isBusy = false;
		}
	}

	/** Gives up the duty on shutdown, so that another VM can acquire it immediately. */
	async release(): Promise<void> {
		this.isStopped = true;
		const { held } = this;
		if (held) {
			this.loseDuty('this VM is stopping');
			await this.endLease(held.lease);
		}
	}

	/** Gives up the duty after the platform refused a call under this token. */
	handleRefusal(token: number): void {
		if (this.held?.token === token) {
			this.startCooldown();
			this.loseDuty('a higher token was seen');
		}
	}

	/**
	 * Gives up the duty after the store was restored from an older copy: the lease and the key may be gone, and another VM
	 * may acquire the duty immediately.
	 */
	handleStoreRestored(): void {
		if (this.held) {
			this.loseDuty('the store was restored from an older copy');
		}
	}

	/** Records whether a platform call was answered; gives up the duty after too many that were not. */
	async recordCallResult(isAnswered: boolean): Promise<void> {
		this.unansweredCalls = isAnswered ? 0 : this.unansweredCalls + 1;
		const { held } = this;
		if (held && this.unansweredCalls >= maxUnansweredCalls) {
			this.unansweredCalls = 0;
			this.startCooldown();
			this.loseDuty('the platform does not answer');
			await this.endLease(held.lease);
		}
	}

	/**
	 * Raises the token of this VM, so that the platform refuses an unanswered call that is executed after newer ones.
	 * @returns false when the duty was lost or the outcome is unknown
	 */
	async raiseToken(): Promise<boolean> {
		const { held } = this;
		if (!held) {
			return false;
		}
		const { key } = this.opts;
		try {
			const value = this.encodeRecord(held.nonce);
			const token = await this.opts.store.transact({
				expected: [{ key, revision: held.token }],
				write: [{ key, value, lease: held.lease }],
			});
			if (token === undefined) {
				await this.resolveConflict(held);
			} else if (this.held === held) {
				this.held = { ...held, token };
			}
			return this.held !== undefined;
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.handleStoreError(err);
			return false;
		}
	}

	private get now(): number {
		// Leases keep running while the VM is suspended, but the monotonic clock does not.
		return this.opts.clock.sinceBoot();
	}

	private async step(): Promise<void> {
		const { held, now } = this;
		if (held) {
			if ((this.opts.getOtherHolderToken() ?? 0) > held.token) {
				this.startCooldown();
				this.loseDuty('another VM has announced a higher token');
			} else if (this.isIsolatedFor(isolationTimeoutMs)) {
				this.startCooldown();
				this.loseDuty('no gossip from other VMs');
				await this.endLease(held.lease);
			} else if (now >= held.renewAt) {
				await this.renew(held);
			}
			return;
		}
		if (this.shouldAcquire(now)) {
			this.nextAcquireAt = now + acquireIntervalMs;
			await this.acquire();
		}
	}

	private isIsolatedFor(ms: number): boolean {
		if (!this.opts.isIsolated()) {
			this.isolatedSince = undefined;
			return false;
		}
		this.isolatedSince ??= this.now;
		return this.now - this.isolatedSince >= ms;
	}

	private shouldAcquire(now: number): boolean {
		const rank = this.opts.getRank();
		const isBlocked = this.opts.getOtherHolderToken() !== undefined || this.isIsolatedFor(0);
		if (rank === undefined || isBlocked) {
			this.vacantSince = undefined;
			return false;
		}
		this.vacantSince ??= now;
		return (
			now >= Math.max(this.vacantSince + rank * rankDelayMs, this.nextAcquireAt, this.cooldownUntil)
		);
	}

	private async renew(held: HeldDuty): Promise<void> {
		const sentAt = this.now;
		const next = { ...held, renewAt: sentAt + this.opts.leaseMs / renewalsPerLease };
		this.held = next;
		await this.opts.store.renewLease(held.lease);
		if (this.held === next) {
			this.held = { ...next, validUntil: this.leaseValidUntil(sentAt) };
		}
	}

	/** Time until which a lease requested or renewed at `sentAt` certainly holds. */
	private leaseValidUntil(sentAt: number): number {
		return sentAt + this.opts.leaseMs * (1 - leaseMarginRatio);
	}

	private async acquire(): Promise<void> {
		const { store, key } = this.opts;
		const found = await store.get(key);
		if (!found) {
			await this.createKey();
			return;
		}
		const record = decodeRecord(found);
		if (record?.vm === this.opts.vm && found.lease !== 0) {
			await this.adoptLease(found, record);
		}
	}

	private async createKey(): Promise<void> {
		const { store, key, random, leaseMs } = this.opts;
		const nonce = random.hex(8);
		const sentAt = this.now;
		const lease = await store.grantLease(leaseMs);
		try {
			const token = await store.transact({
				expected: [{ key, revision: 0 }],
				write: [{ key, value: this.encodeRecord(nonce), lease }],
			});
			if (token === undefined) {
				await this.endLease(lease);
				return;
			}
			this.becomeHolder({ lease, token, nonce, validUntil: this.leaseValidUntil(sentAt) });
		} catch (err) {
			// The outcome of the write is unknown; ending the lease undoes it, or makes a late execution fail.
			await this.endLease(lease);
			throw err;
		}
	}

	/** Continues the lease of an earlier process of this VM. */
	private async adoptLease(found: StoreItem, { nonce }: HolderRecord): Promise<void> {
		const { store, key } = this.opts;
		const sentAt = this.now;
		await store.renewLease(found.lease);
		const token = await store.transact({
			expected: [{ key, revision: found.revision }],
			write: [{ key, value: this.encodeRecord(nonce), lease: found.lease }],
		});
		if (token !== undefined) {
			const { lease } = found;
			this.becomeHolder({ lease, token, nonce, validUntil: this.leaseValidUntil(sentAt) });
		}
	}

	private becomeHolder(acquired: Omit<HeldDuty, 'renewAt' | 'mayActFrom'>): void {
		const { leaseMs, checksTokens, log } = this.opts;
		const { now } = this;
		const renewAt = now + leaseMs / renewalsPerLease;
		// Where the platform does not check tokens, calls of the previous holder must have ended.
		const mayActFrom = checksTokens ? now : now + leaseMs;
		this.held = { ...acquired, renewAt, mayActFrom };
		this.unansweredCalls = 0;
		log.info('duty.taken', { token: acquired.token, lease: acquired.lease });
		this.opts.onChanged();
	}

	/** Determines whether an unexpected revision comes from an unanswered write of this VM or from another VM. */
	private async resolveConflict(held: HeldDuty): Promise<void> {
		const found = await this.opts.store.get(this.opts.key);
		const isOwn = found && decodeRecord(found)?.nonce === held.nonce && found.lease === held.lease;
		if (isOwn) {
			this.held = { ...held, token: found.revision };
		} else {
			this.loseDuty('another VM has acquired it');
		}
	}

	private handleStoreError(err: StoreError): void {
		if (err.failure === storeFailures.leaseEnded && this.held) {
			this.loseDuty('the lease has ended');
			return;
		}
		if (this.held) {
			this.held = { ...this.held, renewAt: this.now + acquireIntervalMs };
		}
		this.opts.log.warn('duty.store-failed', { reason: err.failure, error: err.message });
	}

	private loseDuty(reason: string): void {
		const token = this.held?.token;
		this.held = undefined;
		this.opts.log.warn('duty.lost', { token, reason });
		this.opts.onChanged();
	}

	private startCooldown(): void {
		this.cooldownUntil = this.now + cooldownMs;
	}

	/** A lease that cannot be ended expires by itself. */
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

	private encodeRecord(nonce: string): string {
		const record: HolderRecord = { vm: this.opts.vm, nonce };
		return JSON.stringify(record);
	}
}

function decodeRecord({ value }: StoreItem): HolderRecord | undefined {
	try {
		const record = JSON.parse(value) as HolderRecord;
		return typeof record.vm === 'string' && typeof record.nonce === 'string' ? record : undefined;
	} catch {
		// Not written by this software, so not a record of this VM.
		return undefined;
	}
}

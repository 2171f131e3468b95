/**
 * Persists quarantined traits in the store, where they survive a restart of all VMs and reach VMs without gossip. Each entry has a
 * lease and expires with it.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Store } from '../store/definitions.js';
import { StoreError } from '../store/definitions.js';
import { crashRetentionMs } from './crash-ledger.js';
import type { Quarantine } from './quarantine.js';
import type { Trait } from './traits.js';
import { decodeTraitKey, encodeTraitKey, toLogFields } from './traits.js';

/** Minimum interval between reads, and after a failed call, in milliseconds. */
const minIntervalMs = 1000;
/** Delay between quarantine and write, in milliseconds; gossip that reveals another cause arrives within it. */
const settleMs = 300;
/** Maximum time that requests wait for the first read, in milliseconds. */
const maxInitialWaitMs = 500;
/** Value of an entry whose quarantine an operator has lifted. */
const liftedValue = 'lifted';
/** How long after its start a VM may still lack some traits, in milliseconds. */
const startupMs = 10_000;

export interface QuarantineRecordsOptions {
	store: Store;
	clock: Clock;
	log: Log;
	/** Prefix of the store keys. */
	prefix: string;
	quarantine: Quarantine;
	/** Whether registered VMs send no gossip to this one. */
	hasUnreachablePeers: () => boolean;
	/** Whether the store is known not to answer; suppresses all calls but the first. */
	isStoreUnavailable: () => boolean;
	/** Called after the first successful read. */
	onFirstRead: () => void;
}

export class QuarantineRecords {
	private readonly startedAt: number;
	private isBusy = false;
	private hasRead = false;
	private hasCalled = false;
	private shouldRead = false;
	private nextAt = Number.NEGATIVE_INFINITY;
	/** Locally observed traits to write, and since when they are known. */
	private readonly unwritten = new Map<Trait, number>();
	/** Traits written by this VM, and their leases. */
	private readonly written = new Map<Trait, number>();
	/** Traits withdrawn by this VM, and their leases; a restored store may contain them again. */
	private readonly withdrawn = new Map<Trait, number>();

	constructor(private readonly opts: QuarantineRecordsOptions) {
		this.startedAt = opts.clock.monotonic();
	}

	/** Whether requests may be accepted: the store was read, or the wait for it has timed out. */
	get isReady(): boolean {
		return this.hasRead || this.now - this.startedAt > maxInitialWaitMs;
	}

	/** Cheap check whether `update` may have anything to do. */
	get hasWork(): boolean {
		const { quarantine } = this.opts;
		return !this.hasRead || !quarantine.isEmpty || this.written.size > 0;
	}

	/** Reads the store again soon, for entries that an operator has lifted. */
	refresh(): void {
		this.shouldRead = true;
	}

	/** Performs the next due call; called several times a second. Handles store errors itself. */
	async update(): Promise<void> {
		this.queueOwnContents();
		const { now } = this;
		const isUnavailable = this.hasCalled && this.opts.isStoreUnavailable();
		if (this.isBusy || now < this.nextAt || isUnavailable) {
			return;
		}
		this.isBusy = true;
		this.hasCalled = true;
		try {
			await this.performNext(now);
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.nextAt = this.now + minIntervalMs;
			this.opts.log.warn('quarantine.unrecorded', { error: err.message });
		} finally {
			this.isBusy = false;
		}
	}

	/** Repeats the writes and withdrawals of this VM after the store was restored from a backup. */
	handleStoreRestored(): void {
		for (const trait of this.written.keys()) {
			this.unwritten.set(trait, this.now);
		}
		this.written.clear();
		for (const [trait, lease] of this.withdrawn) {
			this.written.set(trait, lease);
		}
		this.withdrawn.clear();
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Queues locally observed traits; other VMs write theirs themselves. */
	private queueOwnContents(): void {
		const { quarantine, hasUnreachablePeers } = this.opts;
		if (quarantine.consumeLocalChange()) {
			this.shouldRead ||= hasUnreachablePeers() || this.now - this.startedAt < startupMs;
		}
		for (const trait of quarantine.traits) {
			const isUnwritten = quarantine.ledger.isLocallyObserved(trait) && !this.written.has(trait);
			if (isUnwritten && !this.unwritten.has(trait)) {
				this.unwritten.set(trait, this.now);
			}
		}
	}

	/** Performs one operation at a time, to keep the load of the store low. */
	private async performNext(now: number): Promise<void> {
		const { quarantine } = this.opts;
		if (!this.hasRead || this.shouldRead) {
			await this.read();
			this.nextAt = this.now + minIntervalMs;
			return;
		}
		for (const [trait, lease] of this.written) {
			if (!quarantine.isQuarantined(trait)) {
				await this.withdraw(trait, lease);
				return;
			}
		}
		for (const [trait, since] of this.unwritten) {
			if (!quarantine.isQuarantined(trait)) {
				this.unwritten.delete(trait);
			} else if (now - since >= settleMs) {
				await this.write(trait);
				return;
			}
		}
	}

	private async read(): Promise<void> {
		// A stale first read is cheaper; gossip delivers newer traits.
		const mayBeStale = !this.shouldRead;
		const range = await this.opts.store.range(this.opts.prefix, mayBeStale);
		const entries = range.items.map(({ key, value }) => ({ trait: this.parseKey(key), value }));
		const valid = entries.filter(({ trait }) => Number.isFinite(trait));
		const isFirst = !this.hasRead;
		this.hasRead = true;
		this.shouldRead = false;
		this.apply(valid);
		if (isFirst) {
			this.opts.onFirstRead();
		}
	}

	private apply(entries: readonly { trait: Trait; value: string }[]): void {
		const { quarantine, log } = this.opts;
		const held = entries.filter(({ value }) => value !== liftedValue);
		quarantine.applyStored(held.map(({ trait }) => trait));
		for (const { trait } of entries.filter(({ value }) => value === liftedValue)) {
			quarantine.lift(trait);
			log.warn('quarantine.lifted', toLogFields(trait));
		}
	}

	private async write(trait: Trait): Promise<void> {
		const { store, prefix, log } = this.opts;
		const lease = await store.grantLease(crashRetentionMs);
		await store.put(prefix + encodeTraitKey(trait), 'engines ended under it', lease);
		this.unwritten.delete(trait);
		this.written.set(trait, lease);
		log.info('quarantine.recorded', toLogFields(trait));
	}

	/** Ends the lease of a trait that left quarantine. */
	private async withdraw(trait: Trait, lease: number): Promise<void> {
		await this.opts.store.endLease(lease);
		this.written.delete(trait);
		this.withdrawn.set(trait, lease);
	}

	private parseKey(key: string): Trait {
		return decodeTraitKey(key.slice(this.opts.prefix.length));
	}
}

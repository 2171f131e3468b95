/**
 * Persists quarantined contents in the store, where they survive a restart of all VMs and reach VMs without gossip. Each entry has a
 * lease and expires with it.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Store } from '../store/definitions.js';
import { StoreError } from '../store/definitions.js';
import type { ContentHash } from './content-hash.js';
import { formatContentHash } from './content-hash.js';
import { crashRetentionMs } from './crash-ledger.js';
import type { Quarantine } from './quarantine.js';

/** Minimum interval between reads, and after a failed call, in milliseconds. */
const minIntervalMs = 1000;
/** Delay between quarantine and write, in milliseconds; gossip that reveals another cause arrives within it. */
const settleMs = 300;
/** Maximum time that requests wait for the first read, in milliseconds. */
const maxInitialWaitMs = 500;
/** How long after its start a VM may still lack some contents, in milliseconds. */
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
	/** Locally observed contents to write, and since when they are known. */
	private readonly unwritten = new Map<ContentHash, number>();
	/** Contents written by this VM, and their leases. */
	private readonly written = new Map<ContentHash, number>();
	/** Contents withdrawn by this VM, and their leases; a restored store may contain them again. */
	private readonly withdrawn = new Map<ContentHash, number>();

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
		for (const content of this.written.keys()) {
			this.unwritten.set(content, this.now);
		}
		this.written.clear();
		for (const [content, lease] of this.withdrawn) {
			this.written.set(content, lease);
		}
		this.withdrawn.clear();
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Queues locally observed contents; other VMs write theirs themselves. */
	private queueOwnContents(): void {
		const { quarantine, hasUnreachablePeers } = this.opts;
		if (quarantine.consumeLocalChange()) {
			this.shouldRead ||= hasUnreachablePeers() || this.now - this.startedAt < startupMs;
		}
		for (const content of quarantine.contents) {
			const isUnwritten =
				quarantine.ledger.isLocallyObserved(content) && !this.written.has(content);
			if (isUnwritten && !this.unwritten.has(content)) {
				this.unwritten.set(content, this.now);
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
		for (const [content, lease] of this.written) {
			if (!quarantine.isQuarantined(content)) {
				await this.withdraw(content, lease);
				return;
			}
		}
		for (const [content, since] of this.unwritten) {
			if (!quarantine.isQuarantined(content)) {
				this.unwritten.delete(content);
			} else if (now - since >= settleMs) {
				await this.write(content);
				return;
			}
		}
	}

	private async read(): Promise<void> {
		// A stale first read is cheaper; gossip delivers newer contents.
		const mayBeStale = !this.shouldRead;
		const range = await this.opts.store.range(this.opts.prefix, mayBeStale);
		const contents = range.items.map(({ key }) => this.parseKey(key)).filter(Number.isFinite);
		const isFirst = !this.hasRead;
		this.hasRead = true;
		this.shouldRead = false;
		this.opts.quarantine.applyStored(contents);
		if (isFirst) {
			this.opts.onFirstRead();
		}
	}

	private async write(content: ContentHash): Promise<void> {
		const { store, prefix, log } = this.opts;
		const lease = await store.grantLease(crashRetentionMs);
		await store.put(prefix + formatContentHash(content), 'engines ended under it', lease);
		this.unwritten.delete(content);
		this.written.set(content, lease);
		log.info('quarantine.recorded', { content: formatContentHash(content) });
	}

	/** Ends the lease of a content that left quarantine. */
	private async withdraw(content: ContentHash, lease: number): Promise<void> {
		await this.opts.store.endLease(lease);
		this.written.delete(content);
		this.withdrawn.set(content, lease);
	}

	private parseKey(key: string): ContentHash {
		return Number.parseInt(key.slice(this.opts.prefix.length), 16);
	}
}

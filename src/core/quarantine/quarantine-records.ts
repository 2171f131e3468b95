/**
 * Keeps quarantined contents in the store, where they outlive all VMs and reach those that do not hear their peers. Each stands under a
 * lease, so that the store itself forgets it.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Store } from '../store/definitions.js';
import { StoreError } from '../store/definitions.js';
import type { ContentHash } from './content-hash.js';
import { formatContentHash } from './content-hash.js';
import { crashRetentionMs } from './crash-ledger.js';
import type { Quarantine } from './quarantine.js';

/** Least time between two calls that read, and from a failed call to the next, in milliseconds. */
const pauseMs = 1000;
/**
 * A content is written so long after it was found, in milliseconds: news of other contents that were at the same engines come
 * within this time, and may explain the ends as well.
 */
const settleMs = 300;
/** Requests wait for the first read for so long at the most, in milliseconds: as long as they are held for the configuration. */
const awaitedMs = 500;
/** A VM that has started less than this ago may not have heard of all contents, in milliseconds. */
const youngMs = 10_000;

export interface QuarantineRecordsOptions {
	store: Store;
	clock: Clock;
	log: Log;
	/** Prefix of the keys. */
	prefix: string;
	quarantine: Quarantine;
	/** Whether VMs are registered that this one does not hear. */
	hasUnreachablePeers: () => boolean;
	/** Whether the store is not heard of to answer: then it is not asked for this either, but once at the start. */
	isStoreUnavailable: () => boolean;
	/** What the store holds was read for the first time. */
	onFirstRead: () => void;
}

export class QuarantineRecords {
	private readonly startedAt: number;
	private isBusy = false;
	private wasRead = false;
	private wasAsked = false;
	private mustRead = false;
	private nextAt = Number.NEGATIVE_INFINITY;
	/** Contents that this VM itself saw engines end under, and has not written, since when. */
	private readonly unwritten = new Map<ContentHash, number>();
	/** Those that it has, with their leases. */
	private readonly written = new Map<ContentHash, number>();

	/** Those that were served after all, with their leases: an older copy of the store may hold them again. */
	private readonly withdrawn = new Map<ContentHash, number>();

	constructor(private readonly opts: QuarantineRecordsOptions) {
		this.startedAt = opts.clock.monotonic();
	}

	/**
	 * Whether requests may be taken: before it was read, a VM that has just started would send what the fleet keeps from
	 * engines. A store that does not answer is not waited for longer.
	 */
	get isReady(): boolean {
		return this.wasRead || this.now - this.startedAt > awaitedMs;
	}

	/** Whether anything may be due; cheap, since there hardly ever is. */
	get hasWork(): boolean {
		const { quarantine } = this.opts;
		return !this.wasRead || !quarantine.isEmpty || this.written.size > 0;
	}

	/** Reads and writes what is due; called several times a second. Rejects only by a defect. */
	async update(): Promise<void> {
		this.noteOwn();
		const { now } = this;
		const isAway = this.wasAsked && this.opts.isStoreUnavailable();
		if (this.isBusy || now < this.nextAt || isAway) {
			return;
		}
		this.isBusy = true;
		this.wasAsked = true;
		try {
			await this.step(now);
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.nextAt = this.now + pauseMs;
			this.opts.log.warn('quarantine.unrecorded', { error: err.message });
		} finally {
			this.isBusy = false;
		}
	}

	/** The store came back from an older copy: what this VM wrote and took back there is written and taken back again. */
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

	/** What other VMs found out they write themselves. */
	private noteOwn(): void {
		const { quarantine, hasUnreachablePeers: missesPeers } = this.opts;
		if (quarantine.consumeLocalChange()) {
			this.mustRead ||= missesPeers() || this.now - this.startedAt < youngMs;
		}
		for (const content of quarantine.contents) {
			const isMine = quarantine.ledger.isLocallyObserved(content) && !this.written.has(content);
			if (isMine && !this.unwritten.has(content)) {
				this.unwritten.set(content, this.now);
			}
		}
	}

	/** One thing at a time: such contents are rare, and the store takes a few hundred calls a second from all VMs. */
	private async step(now: number): Promise<void> {
		const { quarantine } = this.opts;
		if (!this.wasRead || this.mustRead) {
			await this.read();
			this.nextAt = this.now + pauseMs;
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
		// The first may be seconds old, at a tenth of the price: what is newer comes with the news of peers.
		const mayBeStale = !this.mustRead;
		const range = await this.opts.store.range(this.opts.prefix, mayBeStale);
		const contents = range.items.map(({ key }) => this.contentOf(key)).filter(Number.isFinite);
		const isFirst = !this.wasRead;
		this.wasRead = true;
		this.mustRead = false;
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

	/** It was served after all. */
	private async withdraw(content: ContentHash, lease: number): Promise<void> {
		await this.opts.store.endLease(lease);
		this.written.delete(content);
		this.withdrawn.set(content, lease);
	}

	private contentOf(key: string): ContentHash {
		return Number.parseInt(key.slice(this.opts.prefix.length), 16);
	}
}

/**
 * Follows all keys under a prefix: a range first, then watches from its revision. After a failure,
 * lost history or a restart it reads the range again.
 *
 * Where that is allowed, the very first range may be seconds old, at a tenth of the price: a watch from its revision tells
 * what changed since, and a VM that does not watch hears it from those that do.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Store, StoreChanges, StoreItem } from './definitions.js';
import { StoreError, storeFailures } from './definitions.js';
import { eraOf, storedRevision } from './revisions.js';

/** One watch waits for so long, in milliseconds; each counts as a call, so longer is cheaper. */
const watchMs = 20_000;
/** Shortest back-off after a failed call, in milliseconds. */
const minBackoffMs = 80;

/** Receives what the store holds. */
export interface PrefixListener {
	/** Everything under the prefix, read at `readAt` (monotonic milliseconds) or later. */
	applySnapshot(items: readonly StoreItem[], readAt: number, revision: number): void;
	applyChanges(changes: StoreChanges): void;
	/** The store cannot be read; called once until the next snapshot. */
	handleStoreLost(reason: string): void;
}

export interface PrefixFollowerOptions {
	store: Store;
	prefix: string;
	clock: Clock;
	random: Random;
	log: Log;
	listener: PrefixListener;
	/**
	 * Settles when the first watch may follow the first read: a VM that turns out not to be one of those that
	 * read the store then never watches.
	 */
	beforeFirstWatch: () => Promise<void>;
	/** Whether the first range may be seconds old. */
	firstMayBeStale: boolean;
	/** Pause between two watches, in milliseconds: changes of that time come with one call. */
	pauseMs: number;
	/** Longest back-off now, in milliseconds; a store that is back is noticed within it. */
	maxBackoffMs: () => number;
	sleep: (ms: number) => Promise<void>;
	/**
	 * Waits after a failed call, for this time or until another try makes sense. Only then: a VM that waits so between two watches
	 * would count as reading the store meanwhile, and hear of changes from nobody for up to 5 s.
	 */
	backOff: (ms: number) => Promise<void>;
}

export class PrefixFollower {
	private stopped = false;
	private active = true;
	private resume?: () => void;
	private reachable = false;
	private lossTold = false;
	private hasWatched = false;
	private hasRead = false;
	private cancel = new AbortController();

	constructor(private readonly opts: PrefixFollowerOptions) {}

	/** Whether it follows and the last call to the store succeeded. */
	get isReachable(): boolean {
		return this.reachable;
	}

	stop(): void {
		this.stopped = true;
		this.cancel.abort();
		this.resume?.();
	}

	/** Follows, or pauses; after a pause everything is read again. */
	setActive(active: boolean): void {
		this.active = active;
		if (active) {
			this.resume?.();
		} else {
			this.reachable = false;
			this.cancel.abort();
		}
	}

	/**
	 * Drops the watch that waits, which may hang on a dead connection, and reads all again. A follower that is trying
	 * already goes on at its own pace.
	 */
	restart(): void {
		if (this.reachable) {
			this.cancel.abort();
		}
	}

	/** What was read may be old: it does not count until it is read again. */
	invalidate(): void {
		if (this.reachable) {
			this.reachable = false;
			this.cancel.abort();
		}
	}

	/** Follows until stopped. */
	async follow(): Promise<void> {
		let backoffMs = minBackoffMs;
		while (!this.stopped) {
			await this.untilActive();
			this.cancel = new AbortController();
			try {
				const revision = await this.readAll();
				backoffMs = minBackoffMs;
				await this.awaitFirstWatch();
				await this.watchFrom(revision);
			} catch (err) {
				if (!(err instanceof StoreError)) {
					throw err;
				}
				if (err.failure !== storeFailures.compacted && !this.cancel.signal.aborted) {
					this.failed(err);
					await this.opts.backOff(backoffMs * (0.5 + this.opts.random.next()));
					backoffMs = Math.min(backoffMs * 2, this.opts.maxBackoffMs());
				}
			}
		}
	}

	private async untilActive(): Promise<void> {
		while (!this.active && !this.stopped) {
			await new Promise<void>((done) => {
				this.resume = done;
			});
		}
	}

	private async awaitFirstWatch(): Promise<void> {
		if (!this.hasWatched) {
			await this.opts.beforeFirstWatch();
			this.hasWatched = true;
		}
		if (this.cancel.signal.aborted) {
			throw new StoreError(storeFailures.unknown, 'paused meanwhile');
		}
	}

	private async readAll(): Promise<number> {
		const readAt = this.opts.clock.monotonic();
		const mayBeStale = !this.hasRead && this.opts.firstMayBeStale;
		const range = await this.opts.store.range(this.opts.prefix, mayBeStale);
		if (!this.active) {
			throw new StoreError(storeFailures.unknown, 'paused meanwhile');
		}
		this.hasRead = true;
		this.lossTold = false;
		if (!this.reachable) {
			this.reachable = true;
			this.opts.log.info('store.reached', {
				prefix: this.opts.prefix,
				revision: storedRevision(range.revision),
				era: eraOf(range.revision),
			});
		}
		this.opts.listener.applySnapshot(range.items, readAt, range.revision);
		return range.revision;
	}

	/** Ends only by an error. */
	private async watchFrom(first: number): Promise<never> {
		const { store, prefix, listener } = this.opts;
		let revision = first;
		for (;;) {
			const changes = await store.watch(prefix, revision, watchMs, this.cancel.signal);
			revision = changes.revision;
			if (changes.events.length > 0) {
				listener.applyChanges(changes);
				await this.opts.sleep(this.opts.pauseMs);
			}
		}
	}

	private failed(err: StoreError): void {
		this.reachable = false;
		if (!this.lossTold) {
			this.lossTold = true;
			this.opts.log.warn('store.lost', { prefix: this.opts.prefix, error: err.message });
			this.opts.listener.handleStoreLost(err.message);
		}
	}
}

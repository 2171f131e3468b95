/**
 * Follows all keys under a prefix: reads the range, then watches from its revision. After a failure, compacted history or a
 * restart it reads the range again.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Store, StoreChanges, StoreItem } from './definitions.js';
import { StoreError, storeFailures } from './definitions.js';
import { eraOf, storedRevision } from './revisions.js';

/** Wait of a watch that replaces one without an answer: it only shows whether the store answers. */
const retryWaitMs = 1;
const minBackoffMs = 80;

/** Receives the content of the store. */
export interface PrefixListener {
	/**
	 * Applies all items under the prefix.
	 * @param readAt when they were current, in milliseconds since boot
	 */
	applySnapshot(items: readonly StoreItem[], readAt: number, revision: number): void;
	/** Applies what a watch answered; without events nothing changed. */
	applyChanges(changes: StoreChanges): void;
	/** Called once when the store becomes unreachable, until the next snapshot. */
	handleStoreLost(reason: string): void;
}

export interface PrefixFollowerOptions {
	store: Store;
	prefix: string;
	clock: Clock;
	random: Random;
	log: Log;
	listener: PrefixListener;
	/** Resolves when the first watch may start. A VM that turns out not to be a store reader then never watches. */
	beforeFirstWatch: () => Promise<void>;
	/**
	 * Current duration of one watch, in milliseconds. Each counts as a call, but a lost answer is noticed only when this time is
	 * over.
	 */
	watchMs: () => number;
	/** Pause between watches, in milliseconds; batches the changes of that time into one call. */
	pauseMs: number;
	/** Current maximum back-off, in milliseconds; bounds the time to notice that the store is reachable again. */
	maxBackoffMs: () => number;
	sleep: (ms: number) => Promise<void>;
	/**
	 * Waits after a failed call, for this time or until a retry makes sense. Must not be used between watches: the VM would
	 * still count as a store reader during the wait and miss changes.
	 */
	backOff: (ms: number) => Promise<void>;
}

export class PrefixFollower {
	private isStopped = false;
	private isActive = true;
	private resume?: () => void;
	private reachable = false;
	private isLossReported = false;
	private hasWatched = false;
	/** Last answer to this follower, in milliseconds since boot. */
	private answeredAt = 0;
	private watchingSince?: number;
	private cancel = new AbortController();

	constructor(private readonly opts: PrefixFollowerOptions) {}

	/** Whether the follower is active and the last call to the store succeeded. */
	get isReachable(): boolean {
		return this.reachable;
	}

	/** Since when a watch has been waiting, in milliseconds since boot; undefined between watches. */
	get waitingSince(): number | undefined {
		return this.watchingSince;
	}

	stop(): void {
		this.isStopped = true;
		this.cancel.abort();
		this.resume?.();
	}

	/** Resumes or pauses following; after a pause the range is read again. */
	setActive(active: boolean): void {
		this.isActive = active;
		if (active) {
			this.resume?.();
		} else {
			this.reachable = false;
			this.cancel.abort();
		}
	}

	/**
	 * Cancels the current watch, which may hang on a dead connection, and reads the range again. Has no effect while the
	 * follower is already retrying.
	 * @param reason for the log
	 */
	restart(reason: string): void {
		if (this.reachable) {
			this.logDrop(reason);
			this.cancel.abort();
		}
	}

	/** Marks the content as possibly stale until the range is read again. */
	invalidate(): void {
		if (this.reachable) {
			this.logDrop('the VM was suspended');
			this.reachable = false;
			this.cancel.abort();
		}
	}

	/** Runs until stopped. */
	async follow(): Promise<void> {
		let backoffMs = minBackoffMs;
		while (!this.isStopped) {
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
					this.handleError(err);
					await this.opts.backOff(backoffMs * (0.5 + this.opts.random.next()));
					backoffMs = Math.min(backoffMs * 2, this.opts.maxBackoffMs());
				}
			}
		}
	}

	private async untilActive(): Promise<void> {
		while (!this.isActive && !this.isStopped) {
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
			throw new StoreError(storeFailures.unknown, 'paused during the call');
		}
	}

	private async readAll(): Promise<number> {
		const readAt = this.opts.clock.sinceBoot();
		const { signal } = this.cancel;
		const range = await this.opts.store.range(this.opts.prefix, false, signal);
		if (!this.isActive) {
			throw new StoreError(storeFailures.unknown, 'paused during the call');
		}
		this.isLossReported = false;
		if (!this.reachable) {
			this.reachable = true;
			this.opts.log.info('store.reached', {
				prefix: this.opts.prefix,
				revision: storedRevision(range.revision),
				era: eraOf(range.revision),
			});
		}
		this.answeredAt = readAt;
		this.opts.listener.applySnapshot(range.items, readAt, range.revision);
		return range.revision;
	}

	/** Returns only by throwing. */
	private async watchFrom(first: number): Promise<never> {
		const { listener } = this.opts;
		let revision = first;
		for (;;) {
			const changes = await this.watch(revision);
			revision = changes.revision;
			this.answeredAt = this.opts.clock.sinceBoot();
			listener.applyChanges(changes);
			if (changes.events.length > 0) {
				await this.opts.sleep(this.opts.pauseMs);
			}
		}
	}

	/** A watch without an answer may have hung on a dead connection, so the store is asked once more on another one. */
	private async watch(revision: number): Promise<StoreChanges> {
		const { store, prefix, watchMs } = this.opts;
		const { signal } = this.cancel;
		this.watchingSince = this.opts.clock.sinceBoot();
		try {
			return await store.watch(prefix, revision, watchMs(), signal);
		} catch (err) {
			const isUnanswered = err instanceof StoreError && err.failure === storeFailures.unknown;
			if (!isUnanswered || signal.aborted) {
				throw err;
			}
			this.logDrop(err.message);
			return await store.watch(prefix, revision, retryWaitMs, signal);
		} finally {
			this.watchingSince = undefined;
		}
	}

	private logDrop(reason: string): void {
		const { log, prefix, clock } = this.opts;
		const waitedMs = Math.round(clock.sinceBoot() - this.answeredAt);
		log.info('store.watch-dropped', { prefix, waited_ms: waitedMs, reason });
	}

	private handleError(err: StoreError): void {
		this.reachable = false;
		if (!this.isLossReported) {
			this.isLossReported = true;
			this.opts.log.warn('store.lost', { prefix: this.opts.prefix, error: err.message });
			this.opts.listener.handleStoreLost(err.message);
		}
	}
}

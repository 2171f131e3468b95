/**
 * Applies the newest configuration that the key-value service or a peer provides. An older version never
 * replaces a newer one.
 * @module
 */
import type { Clock, KvEntry, KvStore, Log, Random } from '../definitions.js';
import { KvError } from '../definitions.js';
import { configurationKey } from './consts.js';
import type { VersionedConfiguration } from './types.js';

/** Maximum wait of one watch. */
const maxWatchMs = 20_000;
/** Mean interval between reads of a daemon that holds no watch, before jitter. */
const pollIntervalMs = 30_000;
/** Bounds of the back-off after a failed call. */
const minBackoffMs = 200;
const maxBackoffMs = 10_000;

export interface FollowerOptions {
	kv: KvStore;
	clock: Clock;
	random: Random;
	log: Log;
	/** Applies a version. */
	apply: (versioned: VersionedConfiguration) => void;
	/** Whether this daemon holds a watch; only a few of the fleet do. */
	isWatcher: () => boolean;
	sleep: (ms: number) => Promise<void>;
}

export class ConfigurationFollower {
	private current?: VersionedConfiguration;
	private lastRevision = 0;
	private stopped = false;

	constructor(private readonly opts: FollowerOptions) {}

	get active(): VersionedConfiguration | undefined {
		return this.current;
	}

	/**
	 * Applies a version from any source if it is newer than the active one.
	 * @returns whether it was applied
	 */
	applyIfNewer(versioned: VersionedConfiguration): boolean {
		if (this.current && versioned.version <= this.current.version) {
			return false;
		}
		this.current = versioned;
		this.opts.apply(versioned);
		return true;
	}

	stop(): void {
		this.stopped = true;
	}

	/** Follows the key-value service until stopped. */
	async follow(): Promise<void> {
		let backoffMs = minBackoffMs;
		while (!this.stopped) {
			try {
				await this.readOnce();
				backoffMs = minBackoffMs;
			} catch (err) {
				if (!(err instanceof KvError)) {
					throw err;
				}
				this.opts.log.warn('configuration.read-failed', {
					error: err.message,
					backoff_ms: backoffMs,
				});
				await this.opts.sleep(backoffMs * (0.5 + this.opts.random.next()));
				backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
			}
		}
	}

	private async readOnce(): Promise<void> {
		if (!this.current || this.opts.isWatcher()) {
			const entry = await this.readNext();
			this.applyEntry(entry);
			return;
		}
		await this.opts.sleep(pollIntervalMs * (0.5 + this.opts.random.next()));
		if (!this.stopped) {
			this.applyEntry(await this.opts.kv.get(configurationKey));
		}
	}

	/** The first read returns at once; later ones wait for a change. */
	private readNext(): Promise<KvEntry | undefined> {
		return this.lastRevision === 0 && !this.current
			? this.readFirst()
			: this.opts.kv.watch(configurationKey, this.lastRevision, maxWatchMs);
	}

	private async readFirst(): Promise<KvEntry | undefined> {
		const entry = await this.opts.kv.get(configurationKey);
		if (!entry) {
			await this.opts.sleep(minBackoffMs * (0.5 + this.opts.random.next()));
		}
		return entry;
	}

	private applyEntry(entry: KvEntry | undefined): void {
		if (entry) {
			this.lastRevision = Math.max(this.lastRevision, entry.rev);
			this.applyIfNewer(JSON.parse(entry.value) as VersionedConfiguration);
		}
	}
}

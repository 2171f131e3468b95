/**
 * Keeps the newest configuration in force: from the key-value service, by watch or slow read,
 * and from peers. An older version never replaces a newer one.
 * @module
 */
import type { Clock, KvEntry, KvStore, Log, Random } from '../definitions.js';
import { KvError } from '../definitions.js';
import { configurationKey } from './consts.js';
import type { VersionedConfiguration } from './types.js';

/** One watch waits for so long, in milliseconds. */
const watchMs = 20_000;
/** Daemons that do not watch read again after about so long, in milliseconds. */
const slowReadMs = 30_000;
/** Bounds of the back-off after a failed call, in milliseconds. */
const minBackoffMs = 200;
const maxBackoffMs = 10_000;

export interface FollowerOptions {
	kv: KvStore;
	clock: Clock;
	random: Random;
	log: Log;
	/** Puts a version in force. */
	apply: (versioned: VersionedConfiguration) => void;
	/** Whether this daemon is one of the few that hold a watch. */
	isWatcher: () => boolean;
	sleep: (ms: number) => Promise<void>;
}

export class ConfigurationFollower {
	private current?: VersionedConfiguration;
	private rev = 0;
	private stopped = false;

	constructor(private readonly opts: FollowerOptions) {}

	get active(): VersionedConfiguration | undefined {
		return this.current;
	}

	/** Takes in a version from any source; true when it is now in force. */
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
				await this.step();
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

	private async step(): Promise<void> {
		if (!this.current || this.opts.isWatcher()) {
			const entry = await this.readNext();
			this.take(entry);
			return;
		}
		await this.opts.sleep(slowReadMs * (0.5 + this.opts.random.next()));
		if (!this.stopped) {
			this.take(await this.opts.kv.get(configurationKey));
		}
	}

	/** A first read is at once; later ones wait for a change. */
	private readNext(): Promise<KvEntry | undefined> {
		return this.rev === 0 && !this.current
			? this.firstRead()
			: this.opts.kv.watch(configurationKey, this.rev, watchMs);
	}

	private async firstRead(): Promise<KvEntry | undefined> {
		const entry = await this.opts.kv.get(configurationKey);
		if (!entry) {
			await this.opts.sleep(minBackoffMs * (0.5 + this.opts.random.next()));
		}
		return entry;
	}

	private take(entry: KvEntry | undefined): void {
		if (entry) {
			this.rev = Math.max(this.rev, entry.rev);
			this.applyIfNewer(JSON.parse(entry.value) as VersionedConfiguration);
		}
	}
}

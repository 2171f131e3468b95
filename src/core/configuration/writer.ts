/**
 * Accepts a new configuration: compare-and-swap on the version, lost replies settled by reading
 * back, and a loser hears who won.
 * @module
 */
import type { Clock, KvEntry, KvStore, Random } from '../definitions.js';
import { KvError } from '../definitions.js';
import * as errors from '../errors/index.js';
import { configurationKey } from './consts.js';
import { describeChange } from './diff.js';
import type { Configuration } from './schema.js';
import type { VersionedConfiguration } from './types.js';

/** Times a lost reply is read back. */
const readBackTries = 5;

export interface WriterOptions {
	kv: KvStore;
	clock: Clock;
	random: Random;
	sleep: (ms: number) => Promise<void>;
}

/** A change as an operator asks for it. */
export interface ChangeRequest {
	document: Configuration;
	/** Version that the change builds on; 0 for the first. */
	base: number;
	by: string;
}

export class ConfigurationWriter {
	constructor(private readonly opts: WriterOptions) {}

	/** Resolves with the accepted version; rejects with a `UserError`. */
	async write(change: ChangeRequest): Promise<VersionedConfiguration> {
		const entry = await this.read();
		const current = entry ? (JSON.parse(entry.value) as VersionedConfiguration) : undefined;
		if ((current?.version ?? 0) !== change.base) {
			throw conflict(current);
		}
		const next: VersionedConfiguration = {
			version: change.base + 1,
			operation: this.opts.random.hex(12),
			by: change.by,
			at: this.opts.clock.wall(),
			changed: describeChange(current?.document, change.document),
			document: change.document,
		};
		return this.swap(entry?.rev ?? 0, next);
	}

	private async swap(rev: number, next: VersionedConfiguration): Promise<VersionedConfiguration> {
		try {
			const swap = await this.opts.kv.compareAndSwap(configurationKey, rev, JSON.stringify(next));
			if (swap.swapped) {
				return next;
			}
		} catch (err) {
			if (!(err instanceof KvError)) {
				throw err;
			}
		}
		return this.settle(next);
	}

	/** The write lost, or its reply was lost: the operation id tells. */
	private async settle(next: VersionedConfiguration): Promise<VersionedConfiguration> {
		const entry = await this.read();
		const current = entry ? (JSON.parse(entry.value) as VersionedConfiguration) : undefined;
		if (current?.operation === next.operation) {
			return next;
		}
		if (current && current.version >= next.version) {
			throw conflict(current);
		}
		throw new errors.UserError(errors.data.PlatformUnavailable);
	}

	private async read(): Promise<KvEntry | undefined> {
		for (let attempt = 1; ; attempt++) {
			try {
				return await this.opts.kv.get(configurationKey);
			} catch (err) {
				if (!(err instanceof KvError) || attempt >= readBackTries) {
					throw new errors.UserError(errors.data.PlatformUnavailable);
				}
				await this.opts.sleep(100 * attempt);
			}
		}
	}
}

function conflict(current: VersionedConfiguration | undefined): errors.UserError {
	const version = String(current?.version ?? 0);
	const params = [version, current?.by ?? 'nobody', current?.changed ?? 'nothing'];
	return new errors.UserError(errors.data.ConfigurationConflict, params);
}

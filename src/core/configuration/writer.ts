/**
 * Writes a new configuration by compare-and-swap on its version. A write whose reply was lost is
 * confirmed by reading back; a conflict reports the version that was accepted instead.
 * @module
 */
import type { Clock, KvEntry, KvStore, Random } from '../definitions.js';
import { KvError } from '../definitions.js';
import * as errors from '../errors/index.js';
import { configurationKey } from './consts.js';
import { describeChange } from './diff.js';
import type { Configuration } from './schema.js';
import type { VersionedConfiguration } from './types.js';

/** Attempts of a read before it fails. */
const maxReadAttempts = 5;

export interface WriterOptions {
	kv: KvStore;
	clock: Clock;
	random: Random;
	sleep: (ms: number) => Promise<void>;
}

/** A change that an operator requests. */
export interface ChangeRequest {
	document: Configuration;
	/** Version that the change is based on; 0 for the first. */
	base: number;
	by: string;
}

export class ConfigurationWriter {
	constructor(private readonly opts: WriterOptions) {}

	/**
	 * @returns the accepted version
	 * @throws UserError on a conflict or when the key-value service is unavailable
	 */
	async write(change: ChangeRequest): Promise<VersionedConfiguration> {
		const entry = await this.read();
		const current = entry ? (JSON.parse(entry.value) as VersionedConfiguration) : undefined;
		if ((current?.version ?? 0) !== change.base) {
			throw conflictError(current);
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
			const result = await this.opts.kv.compareAndSwap(configurationKey, rev, JSON.stringify(next));
			if (result.swapped) {
				return next;
			}
		} catch (err) {
			if (!(err instanceof KvError)) {
				throw err;
			}
		}
		return this.confirmWrite(next);
	}

	/** Reads back whether the write took effect: another one may have won, or the reply was lost. */
	private async confirmWrite(next: VersionedConfiguration): Promise<VersionedConfiguration> {
		const entry = await this.read();
		const current = entry ? (JSON.parse(entry.value) as VersionedConfiguration) : undefined;
		if (current?.operation === next.operation) {
			return next;
		}
		if (current && current.version >= next.version) {
			throw conflictError(current);
		}
		throw new errors.UserError(errors.data.PlatformUnavailable);
	}

	private async read(): Promise<KvEntry | undefined> {
		for (let attempt = 1; ; attempt++) {
			try {
				return await this.opts.kv.get(configurationKey);
			} catch (err) {
				if (!(err instanceof KvError) || attempt >= maxReadAttempts) {
					throw new errors.UserError(errors.data.PlatformUnavailable);
				}
				await this.opts.sleep(100 * attempt);
			}
		}
	}
}

function conflictError(current: VersionedConfiguration | undefined): errors.UserError {
	const version = String(current?.version ?? 0);
	const params = [version, current?.by ?? 'nobody', current?.changed ?? 'nothing'];
	return new errors.UserError(errors.data.ConfigurationConflict, params);
}

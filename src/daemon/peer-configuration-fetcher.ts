/**
 * Takes a newer configuration from a peer that has it in force.
 * @module
 */
import type { VersionedConfiguration } from '../core/configuration/index.js';
import type { Log, Random } from '../core/definitions.js';
import type { Member } from '../core/membership/types.js';
import { createControlClient } from '../infra/control/control-client.js';

/** Fetches start within this time, so that one peer is not asked by all at once, in milliseconds. */
const jitterMs = 100;

export interface PeerConfigurationFetcherOptions {
	token: string;
	log: Log;
	random: Random;
	offer: (versioned: VersionedConfiguration) => void;
}

export class PeerConfigurationFetcher {
	private fetching = false;

	constructor(private readonly opts: PeerConfigurationFetcherOptions) {}

	/** One fetch at a time; a failed one is tried again with the next news. */
	fetchFrom(member: Member): void {
		if (this.fetching) {
			return;
		}
		this.fetching = true;
		setTimeout(() => void this.fetch(member), jitterMs * this.opts.random.next());
	}

	private async fetch(member: Member): Promise<void> {
		try {
			const client = createControlClient(`${member.address}:${member.port}`, this.opts.token);
			const versioned = await client.configuration.query();
			if (versioned) {
				this.opts.offer(versioned);
			}
		} catch (err) {
			const error = (err as Error).message;
			this.opts.log.warn('configuration.fetch-failed', { member: member.id, error });
		} finally {
			this.fetching = false;
		}
	}
}

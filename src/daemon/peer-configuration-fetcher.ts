/**
 * Fetches a newer configuration from a peer that has applied it.
 * @module
 */
import type { VersionedConfiguration } from '../core/configuration/index.js';
import type { Log, Random } from '../core/definitions.js';
import type { Member } from '../core/membership/types.js';
import { createControlClient } from '../infra/control/control-client.js';

/** Random delay before a fetch, so that not all daemons fetch from one peer at once. */
const maxJitterMs = 100;

export interface PeerConfigurationFetcherOptions {
	token: string;
	log: Log;
	random: Random;
	offer: (versioned: VersionedConfiguration) => void;
}

export class PeerConfigurationFetcher {
	private isFetching = false;

	constructor(private readonly opts: PeerConfigurationFetcherOptions) {}

	/** Starts a fetch unless one is running; a failed fetch is retried on the next gossip. */
	fetchFrom(member: Member): void {
		if (this.isFetching) {
			return;
		}
		this.isFetching = true;
		setTimeout(() => void this.fetch(member), maxJitterMs * this.opts.random.next());
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
			this.isFetching = false;
		}
	}
}

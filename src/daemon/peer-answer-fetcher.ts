/**
 * Fetches the answer of a claimed request from the daemon that holds the claim.
 * @module
 */
import type { ClaimRecord } from '../core/claims/claims.js';
import type { Log } from '../core/definitions.js';
import type { Membership } from '../core/membership/membership.js';
import { memberStates } from '../core/membership/types.js';
import type { StoredAnswer } from '../core/requests/answer-store.js';
import { createControlClient } from '../infra/control/control-client.js';

/** Timeout for an answer that may still be in progress on the other daemon. */
const waitMs = 60_000;

export interface PeerAnswerFetcherOptions {
	token: string;
	log: Log;
	membership: () => Membership | undefined;
}

export class PeerAnswerFetcher {
	constructor(private readonly opts: PeerAnswerFetcherOptions) {}

	/** Resolves once the answer has ended; undefined if it is not available. */
	async fetch(holder: ClaimRecord): Promise<StoredAnswer | undefined> {
		const member = this.opts.membership()?.get(holder.vm);
		if (!member || member.state === memberStates.dead) {
			return undefined;
		}
		const address = `${member.address}:${member.port}`;
		const client = createControlClient(address, this.opts.token, waitMs);
		try {
			const answer = await client.answer.query({ request: holder.attempt });
			return answer ? { ...answer, body: Buffer.from(answer.body, 'base64') } : undefined;
		} catch (err) {
			const error = (err as Error).message;
			this.opts.log.warn('claim.attach-failed', { member: holder.vm, error });
			return undefined;
		}
	}
}

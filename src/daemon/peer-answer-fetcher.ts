/**
 * Asks the daemon that holds a claim for the answer of its request.
 * @module
 */
import type { ClaimRecord } from '../core/claims/claims.js';
import type { Log } from '../core/definitions.js';
import type { Membership } from '../core/membership/membership.js';
import { memberStates } from '../core/membership/types.js';
import type { StoredAnswer } from '../core/requests/answer-store.js';
import { createControlClient } from '../infra/control/control-client.js';

/** Longest wait for an answer that another daemon is getting, in milliseconds. */
const waitMs = 60_000;

export interface PeerAnswerFetcherOptions {
	token: string;
	log: Log;
	membership: () => Membership | undefined;
}

export class PeerAnswerFetcher {
	constructor(private readonly opts: PeerAnswerFetcherOptions) {}

	/** Resolves when the answer has ended; undefined when it cannot be had. */
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

/**
 * Takes in what the head of an answer says of its engine, whoever still waits for the answer: that it leaves, wants rest, or how many
 * requests a second it takes from all VMs together.
 * @module
 */
import type { Attempt } from './attempt.js';
import type { AnswerHead } from './definitions.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext } from './types.js';

/** @param requestId id of the request that the attempt sent */
export function applyEngineNotice(
	ctx: RelayContext,
	outcome: RequestOutcome,
	attempt: Attempt,
	head: AnswerHead,
	requestId: string,
): void {
	if (head.isFromOtherEngine) {
		return;
	}
	const { engine } = attempt;
	const { notice, status } = head;
	takeLimit(ctx, attempt, head, requestId);
	if (engine.notices.heard(notice, ctx.clock.sinceBoot())) {
		const { leaving, restS, limitPerS } = notice;
		outcome.log('engine.notice', {
			engine: engine.id,
			status,
			leaving,
			rest_s: restS,
			limit_per_s: limitPerS,
		});
	}
}

/**
 * Only a success that is surely the engine's own says by its silence that a limit is over: an engine that turns requests away, or fails, may
 * leave the limit out while it is most in need.
 */
function takeLimit(
	{ limits }: RelayContext,
	{ engine, sentAt }: Attempt,
	head: AnswerHead,
	requestId: string,
): void {
	const { limitPerS } = head.notice;
	if (limitPerS !== undefined) {
		limits.ledger.recordLimit(engine.ref, limitPerS);
	} else if (head.status < 300 && head.isSigned && head.id === requestId) {
		limits.ledger.recordNoLimit(engine.ref, sentAt);
	}
}

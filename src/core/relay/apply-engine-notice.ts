/**
 * Applies the engine notice in the head of an answer: draining, back-off or a request limit. It applies even if no caller waits
 * for the answer any more.
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
	applyLimit(ctx, attempt, head, requestId);
	if (engine.notices.apply(notice, ctx.clock.sinceBoot())) {
		const { isDraining, backOffS, limitPerS } = notice;
		outcome.log('engine.notice', {
			engine: engine.id,
			status,
			leaving: isDraining,
			rest_s: backOffS,
			limit_per_s: limitPerS,
		});
	}
}

/**
 * Only a signed success without a limit clears the limit: an engine that rejects requests or fails may omit it while it is overloaded.
 */
function applyLimit(
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

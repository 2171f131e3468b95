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
export function takeNotice(
	ctx: RelayContext,
	outcome: RequestOutcome,
	attempt: Attempt,
	head: AnswerHead,
	requestId: string,
): void {
	if (head.fromOther) {
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

/** Only an answer that is surely the engine's own says by its silence that a limit is over. */
function takeLimit(
	{ limits }: RelayContext,
	{ engine, sentAt }: Attempt,
	head: AnswerHead,
	requestId: string,
): void {
	const { limitPerS } = head.notice;
	if (limitPerS !== undefined) {
		limits.ledger.named(engine.ref, limitPerS);
	} else if (head.id === requestId && (head.signed || head.notRun)) {
		limits.ledger.notNamed(engine.ref, sentAt);
	}
}

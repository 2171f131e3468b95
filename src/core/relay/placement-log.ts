/**
 * The line in the log that tells where a request was sent and what decided.
 * @module
 */
import type { Placement } from '../engines/placement-types.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

/** How far the request is. */
export interface RequestProgress {
	/** What is left of its caller's time, in milliseconds. */
	leftMs: number;
	/** The stream goes on behind this event. */
	lastEventId: string | undefined;
}

export function logPlacement(
	ctx: RelayContext,
	terms: RoutedRequest,
	outcome: RequestOutcome,
	placement: Placement,
	{ leftMs, lastEventId }: RequestProgress,
): void {
	const { engine, work, pace } = placement;
	outcome.log('request.placed', {
		engine: engine.id,
		reason: placement.reason,
		fleet_running: work.running,
		fleet_prompt_tokens: work.promptTokens,
		unread_tokens: placement.promptTokens,
		wait_ms: Math.round(placement.waitMs),
		read_ms_per_token: Number(placement.readMsPerToken.toFixed(4)),
		pace_reading: Number(pace.reading.toFixed(2)),
		pace_steps: Number(pace.steps.toFixed(2)),
		cached_tokens: placement.cachedTokens,
		copied_tokens: placement.copiedTokens,
		copied_from: placement.copyFrom?.id,
		peers: ctx.fleet.size - 1,
		left_ms: Math.round(leftMs),
		last_event: lastEventId,
		limit_per_s: ctx.limits.ledger.getLimitPerS(engine.ref),
		customer: terms.customer?.name,
		urgency: terms.urgency,
		configuration: terms.configurationVersion,
	});
}

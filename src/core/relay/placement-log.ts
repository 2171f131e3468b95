/**
 * Logs where a request is sent and why.
 * @module
 */
import type { Placement } from '../engines/placement-types.js';
import { storedRevision } from '../store/revisions.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

export interface RequestProgress {
	/** Time left until the caller's deadline. */
	leftMs: number;
	/** The event after which the engine resumes the stream. */
	lastEventId: string | undefined;
	/** Name of the VM that forwards the request. */
	via?: string;
}

export function logPlacement(
	ctx: RelayContext,
	routed: RoutedRequest,
	outcome: RequestOutcome,
	placement: Placement,
	{ leftMs, lastEventId, via }: RequestProgress,
): void {
	const { engine, work, pace } = placement;
	outcome.log('request.placed', {
		engine: engine.id,
		via,
		reason: placement.reason,
		fleet_running: work.running,
		fleet_prompt_tokens: work.promptTokens,
		unread_tokens: placement.uncachedTokens,
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
		customer: routed.customer?.name,
		urgency: routed.urgency,
		configuration: routed.configurationVersion,
		engines_age_ms: ctx.engines.ageMs === undefined ? undefined : Math.round(ctx.engines.ageMs),
		engines_revision: storedRevision(ctx.engines.revision),
	});
}

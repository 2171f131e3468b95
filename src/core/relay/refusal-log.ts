/**
 * The line in the log that tells why a request was let in nowhere, and the counter of such requests.
 * @module
 */
import type { Refusal } from '../admission/types.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RequestTerms } from './types.js';

export function logRefused(
	ctx: RelayContext,
	{ service, route, customer }: RequestTerms,
	outcome: RequestOutcome,
	{ cause, awaited, standing, retryAfterS }: Refusal,
): void {
	ctx.metrics.refused(service, cause);
	const fields = {
		cause,
		queue_ms: rounded(awaited?.queueMs),
		median_queue_ms: rounded(awaited?.medianQueueMs),
		own_ms: rounded(awaited?.ownMs),
		target_ms: route.targetMs,
		customer: customer?.name,
		customer_asks: standing?.asked.toFixed(3),
		customer_share: standing?.share.toFixed(3),
		retry_after_s: retryAfterS,
	};
	outcome.log('request.refused', fields, 'warn');
}

function rounded(ms: number | undefined): number | undefined {
	return ms === undefined ? undefined : Math.round(ms);
}

/**
 * Decides whether one request may be sent to another engine: by its route, the fleet's retry budget and the quarantine.
 * @module
 */
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

export class RequestRetries {
	constructor(
		private readonly ctx: RelayContext,
		private readonly routed: RoutedRequest,
		private readonly outcome: RequestOutcome,
		private readonly requestQuarantine: RequestQuarantine,
	) {}

	isAllowed(now: number): boolean {
		const { service, route } = this.routed;
		const hasAttemptsLeft = this.outcome.sentTo.size < route.maxEngines;
		return (
			hasAttemptsLeft &&
			this.ctx.retryBudget.getAvailable(service, now) >= 1 &&
			this.requestQuarantine.isRetryAllowed
		);
	}

	/**
	 * Consumes one retry and logs it.
	 * @param engine id of the engine that failed
	 * @returns false if none is allowed
	 */
	tryConsume(engine: string, reason: string, lastEventId: string | undefined): boolean {
		const now = this.ctx.clock.monotonic();
		const { service } = this.routed;
		if (!this.isAllowed(now) || !this.ctx.retryBudget.tryConsume(service, now)) {
			return false;
		}
		this.ctx.metrics.recordRetry(service);
		this.outcome.log('request.retried', { engine, reason, last_event: lastEventId });
		return true;
	}
}

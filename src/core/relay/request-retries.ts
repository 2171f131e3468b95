/**
 * Decides whether one request may be sent to another engine: by its route, the fleet's retry budget and the quarantine.
 * @module
 */
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

/** Why a request is not sent to another engine now. */
export const retryRefusals = {
	attempts: 'the route allows no more engines',
	budget: 'the retry budget is used up',
	quarantine: 'such requests failed at other engines',
} as const;
export type RetryRefusal = (typeof retryRefusals)[keyof typeof retryRefusals];

/** A retry that is allowed and counts once it is sent. */
interface PendingRetry {
	/** Id of the engine that failed or is silent. */
	engine: string;
	reason: string;
}

export class RequestRetries {
	private pending?: PendingRetry;
	/** A retry was counted, but nothing of it was sent. */
	private isUnsent = false;

	constructor(
		private readonly ctx: RelayContext,
		private readonly routed: RoutedRequest,
		private readonly outcome: RequestOutcome,
		private readonly requestQuarantine: RequestQuarantine,
	) {}

	/** @returns undefined if the request may be sent to another engine */
	findRefusal(now: number): RetryRefusal | undefined {
		const { service, route } = this.routed;
		if (this.outcome.sentTo.size >= route.maxEngines) {
			return retryRefusals.attempts;
		}
		if (this.ctx.retryBudget.getAvailable(service, now) < 1) {
			return retryRefusals.budget;
		}
		return this.requestQuarantine.isRetryAllowed ? undefined : retryRefusals.quarantine;
	}

	/** The next engine that the request is sent to counts as a retry. */
	prepare(engine: string, reason: string): void {
		this.pending = { engine, reason };
	}

	/** Nothing of the last attempt was sent: if it was a retry, the next one takes its place. */
	refundUnsent(): void {
		this.isUnsent = this.outcome.sentTo.size > 0;
	}

	/** The last attempt was sent: the next one counts again. */
	recordSent(): void {
		this.isUnsent = false;
	}

	/**
	 * Counts and logs the retry that was prepared, if any.
	 * @returns why it may not be sent any more; undefined if it may
	 */
	consume(lastEventId: string | undefined): RetryRefusal | undefined {
		const { pending, routed, ctx, isUnsent } = this;
		if (!pending) {
			return undefined;
		}
		const now = ctx.clock.monotonic();
		const refusal = this.findRefusal(now);
		if (refusal) {
			return refusal;
		}
		if (!isUnsent) {
			ctx.retryBudget.tryConsume(routed.service, now);
			ctx.metrics.recordRetry(routed.service);
		}
		this.outcome.log('request.retried', { ...pending, last_event: lastEventId });
		this.pending = undefined;
		return undefined;
	}
}

/**
 * Records the results of one request's attempts: engine health, circuit breakers, and whether the request may have crashed engines.
 * @module
 */
import { formatContentHash } from '../quarantine/content-hash.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { Attempt } from './attempt.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext } from './types.js';

export class AttemptResults {
	constructor(
		private readonly ctx: RelayContext,
		private readonly outcome: RequestOutcome,
		private readonly requestQuarantine: RequestQuarantine,
	) {}

	/** The engine received the request and did not answer it properly. */
	recordFailure({ engine }: Attempt, reason: string): void {
		this.ctx.fleetHealth.recordFailure(engine);
		if (engine.health.recordFailure(this.ctx.clock.monotonic())) {
			this.recordCircuitOpened(engine.id, reason);
		}
	}

	/** Nothing of the request reached the engine. */
	recordUnreachable({ engine }: Attempt, reason: string): void {
		this.ctx.links.recordUnreachable(engine);
		this.ctx.fleetHealth.recordFailure(engine);
		if (engine.health.recordUnreachable(this.ctx.clock.monotonic())) {
			this.recordCircuitOpened(engine.id, reason);
		}
	}

	/** The engine answered completely. */
	recordSuccess({ engine }: Attempt): void {
		engine.health.recordSuccess();
		this.ctx.fleetHealth.recordSuccess(engine);
	}

	/** Nothing listens at the engine's address, or another engine does. */
	recordEngineExit({ engine }: Attempt): void {
		this.ctx.quarantine.recordEngineCrash(engine.ref);
	}

	/** The engine may have crashed while it ran this request. */
	recordBrokenAttempt(attempt: Attempt, reason: string): void {
		this.requestQuarantine.recordFailure(attempt);
		const { sinceSentMs, sinceFirstEventMs } = attempt;
		this.outcome.log('request.broken', {
			engine: attempt.engine.id,
			reason,
			content: formatContentHash(this.requestQuarantine.content),
			sent_ms: Math.round(sinceSentMs),
			running_ms: sinceFirstEventMs === undefined ? undefined : Math.round(sinceFirstEventMs),
		});
	}

	private recordCircuitOpened(engine: string, reason: string): void {
		this.ctx.metrics.recordCircuitOpened();
		this.outcome.log('engine.closed', { engine, reason }, 'warn');
	}
}

/**
 * What failed attempts of one request say of their engines: their health, and whether the request itself may have ended them.
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
		private readonly suspicion: RequestQuarantine,
	) {}

	/** The engine had the request and did not answer it as it should. */
	recordFailure({ engine }: Attempt, reason: string): void {
		this.ctx.fleetHealth.failed(engine);
		if (engine.health.failed(this.ctx.clock.monotonic())) {
			this.closed(engine.id, reason);
		}
	}

	/** Nothing of the request reached it. */
	recordUnreachable({ engine }: Attempt, reason: string): void {
		this.ctx.fleetHealth.failed(engine);
		if (engine.health.unreachable(this.ctx.clock.monotonic())) {
			this.closed(engine.id, reason);
		}
	}

	/** The engine answered it to the end. */
	recordSuccess({ engine }: Attempt): void {
		engine.health.succeeded();
		this.ctx.fleetHealth.served(engine);
	}

	/** Nothing listens at its address, or another engine does. */
	recordEngineExit({ engine }: Attempt): void {
		this.ctx.quarantine.recordEngineCrash(engine.ref);
	}

	/** The engine may have ended under this request. */
	recordBrokenAttempt(attempt: Attempt, reason: string): void {
		this.suspicion.recordFailure(attempt);
		const { sinceSentMs: sentMs, sinceFirstEventMs: runningMs } = attempt;
		this.outcome.log('request.broken', {
			engine: attempt.engine.id,
			reason,
			content: formatContentHash(this.suspicion.content),
			sent_ms: Math.round(sentMs),
			running_ms: runningMs === undefined ? undefined : Math.round(runningMs),
		});
	}

	private closed(engine: string, reason: string): void {
		this.ctx.metrics.recordCircuitOpened();
		this.outcome.log('engine.closed', { engine, reason }, 'warn');
	}
}

/**
 * Records the results of one request's attempts: engine health, circuit breakers, and whether the request may have crashed engines.
 * @module
 */
import type { Engine } from '../engines/engine.js';
import type { AttemptFailure, RequestQuarantine } from '../quarantine/request-quarantine.js';
import { attemptFailures } from '../quarantine/request-quarantine.js';
import { formatTrait } from '../quarantine/traits.js';
import type { Attempt } from './attempt.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext } from './types.js';

/** Upper bound of prompt parts in a log line. */
const maxLoggedParts = 8;

export class AttemptResults {
	constructor(
		private readonly ctx: RelayContext,
		private readonly outcome: RequestOutcome,
		private readonly requestQuarantine: RequestQuarantine,
	) {}

	/** The engine received the request and did not answer it properly. */
	recordFailure({ engine, health }: Attempt, reason: string): void {
		this.recordFleetFailure(engine);
		if (health.recordFailure(this.now)) {
			this.recordCircuitOpened(engine.id, reason);
		}
	}

	/** Nothing of the request reached the engine. */
	recordUnreachable({ engine, health, helper }: Attempt, reason: string): void {
		if (!helper) {
			this.ctx.links.recordUnreachable(engine);
		}
		this.recordFleetFailure(engine);
		if (health.recordUnreachable(this.now)) {
			this.recordCircuitOpened(engine.id, reason);
		}
	}

	/** The engine answered completely. */
	recordSuccess({ engine, health, helper }: Attempt): void {
		health.recordSuccess();
		helper?.recordAnswer();
		this.ctx.fleetHealth.recordSuccess(engine);
	}

	/** Nothing listens at the engine's address, or another engine does. */
	recordEngineExit({ engine }: Attempt): void {
		if (!engine.isForwarded) {
			this.ctx.quarantine.recordEngineCrash(engine.ref);
		}
	}

	/** The answer broke off or cannot be used. */
	recordBroken(attempt: Attempt, reason: string): void {
		this.recordBrokenAttempt(attempt, reason, attemptFailures.broken);
		this.recordFailure(attempt, reason);
	}

	/**
	 * The engine sent nothing to any request until this one was answered by another engine, or its deadline passed. The fleet hears of
	 * that once the engine has been silent for longer than sound ones are.
	 * @param silentMs how long it had been silent as the call ended
	 */
	recordSilence(attempt: Attempt, reason: string, silentMs: number): void {
		const { engine, health } = attempt;
		const { now } = this;
		this.recordBrokenAttempt(attempt, reason, attemptFailures.silent);
		if (health.recordSilence(now, silentMs)) {
			this.recordCircuitOpened(engine.id, reason);
		}
		if (health.isSilentForLong(now)) {
			for (let left = health.takeUnanswered(); left > 0; left--) {
				this.recordFleetFailure(engine);
			}
		}
	}

	/**
	 * The deadline passed before the engine answered.
	 * @param silentMs how long the engine had sent nothing to any request; undefined if it answered others
	 */
	recordTimeout(attempt: Attempt, silentMs: number | undefined): void {
		if (silentMs !== undefined) {
			this.recordSilence(attempt, 'the engine was silent until the deadline', silentMs);
			return;
		}
		const reason = 'no answer in time';
		this.recordBrokenAttempt(attempt, reason, attemptFailures.late);
		this.recordFailure(attempt, reason);
	}

	/** The engine may have crashed while it ran this request, unless it was sent over a link of this VM that is down. */
	private recordBrokenAttempt(attempt: Attempt, reason: string, failure: AttemptFailure): void {
		if (attempt.helper || !attempt.engine.isForwarded) {
			this.requestQuarantine.recordFailure(attempt, failure);
		}
		const { sinceSentMs, sinceFirstEventMs } = attempt;
		this.outcome.log('request.broken', {
			engine: attempt.engine.id,
			via: attempt.helper?.name,
			reason,
			content: formatTrait(this.requestQuarantine.content),
			parts: this.requestQuarantine.parts.slice(0, maxLoggedParts).map(formatTrait).join(','),
			sent_ms: Math.round(sinceSentMs),
			running_ms: sinceFirstEventMs === undefined ? undefined : Math.round(sinceFirstEventMs),
		});
	}

	private get now(): number {
		return this.ctx.clock.monotonic();
	}

	/** Failures at an engine to which this VM has no link say nothing about the engine to other VMs. */
	private recordFleetFailure(engine: Engine): void {
		if (!engine.isForwarded) {
			this.ctx.fleetHealth.recordFailure(engine);
		}
	}

	private recordCircuitOpened(engine: string, reason: string): void {
		this.ctx.metrics.recordCircuitOpened();
		this.outcome.log('engine.closed', { engine, reason }, 'warn');
	}
}

/**
 * How a request ends: what its caller is told, the line in the log, the word to whoever waits for the end.
 * Says "not run" only while no engine can have run it.
 * @module
 */
import type { CallerAnswer } from './caller-answer.js';
import type { RawHeaders } from './definitions.js';
import type { RelayContext, RelayOutcome, RoutedRequest } from './types.js';
import { relayOutcomes } from './types.js';

/** Seconds after which a refused caller may come back, unless the engine names a time. */
const comeBackS = 0.1;

export type LogFields = Record<string, string | number | boolean | undefined>;

export class RequestOutcome {
	/** An engine may have run it, whatever became of its answer. */
	mayHaveRun = false;
	/** Engines that bytes of it were sent to. */
	readonly sentTo = new Set<string>();
	private done = false;
	private endedAt?: number;

	constructor(
		private readonly ctx: RelayContext,
		private readonly terms: RoutedRequest,
		private readonly answer: CallerAnswer,
		private readonly onEnd: (outcome: RelayOutcome) => void,
	) {}

	get isFinished(): boolean {
		return this.done;
	}

	/** Milliseconds from the request to the first byte of the answer. */
	get firstByteMs(): number | undefined {
		const { firstByteAt } = this.answer;
		return firstByteAt === undefined ? undefined : firstByteAt - this.terms.req.arrivedAt;
	}

	/** Milliseconds from the request to its end, or to now. */
	get tookMs(): number {
		return (this.endedAt ?? this.ctx.clock.sinceBoot()) - this.terms.req.arrivedAt;
	}

	/** No engine runs it now: says honestly whether one may have. */
	giveUp(reason: string, retryAfterS = comeBackS): void {
		if (this.answer.hasStarted) {
			this.abort(relayOutcomes.cut, reason);
		} else if (this.mayHaveRun) {
			this.respond(502, 'the request may have run', relayOutcomes.unknown, reason);
		} else {
			const headers = ['Retry-After', String(retryAfterS)];
			this.respond(503, 'the request has not run', relayOutcomes.refused, reason, headers);
		}
	}

	/** Ends the connection inside the answer, so that it does not look whole. */
	abort(outcome: RelayOutcome, reason: string): void {
		this.answer.abort();
		this.finish(outcome, reason);
	}

	/** An answer of our own. */
	respond(
		status: number,
		text: string,
		outcome: RelayOutcome,
		reason = text,
		headers: RawHeaders = [],
	): void {
		this.answer.sendText(status, text, headers);
		this.finish(outcome, reason, status);
	}

	finish(outcome: RelayOutcome, reason?: string, status?: number): void {
		if (this.done) {
			return;
		}
		this.done = true;
		this.endedAt = this.ctx.clock.sinceBoot();
		const level = outcome === relayOutcomes.complete ? 'info' : 'warn';
		const fields = {
			outcome,
			reason,
			status,
			engines: [...this.sentTo].join(','),
			first_ms: rounded(this.firstByteMs),
			pause_ms: rounded(this.answer.maxPauseMs),
			took_ms: rounded(this.tookMs),
		};
		this.log('request.ended', fields, level);
		this.onEnd(outcome);
	}

	/** A line about this request. */
	log(event: string, fields: LogFields, level: 'info' | 'warn' = 'info'): void {
		const { req, route } = this.terms;
		this.ctx.log[level](event, { request: req.id, route: route.name, ...fields });
	}
}

function rounded(ms: number | undefined): number | undefined {
	return ms === undefined ? undefined : Math.round(ms);
}

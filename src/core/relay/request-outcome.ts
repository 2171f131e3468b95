/**
 * Ends a request: answers its caller, logs the outcome and notifies the owner. Reports "not run" only if no engine can have run it.
 * @module
 */
import type { CallerAnswer } from './caller-answer.js';
import type { AnswerHead, RawHeaders } from './definitions.js';
import { replacementResults } from './metrics.js';
import type { RelayContext, RelayOutcome, RoutedRequest } from './types.js';
import { relayOutcomes } from './types.js';

/** Retry time for a refused caller, unless the engine sets one. */
const defaultRetryAfterS = 0.1;

interface EndCause {
	reason?: string;
	/** Status of an answer that the router generates. */
	status?: number;
}

/** A complete error answer of an engine. */
export interface ErrorAnswer {
	head: AnswerHead;
	body: Buffer;
}

export type LogFields = Record<string, string | number | boolean | undefined>;

export class RequestOutcome {
	/** An engine may have run the request, with or without an answer. */
	mayHaveRun = false;
	/** Engines that received bytes of the request. */
	readonly sentTo = new Set<string>();
	/** Goes to the caller unless another engine answers. */
	private heldError?: ErrorAnswer;
	/** Why no other engine took over last. */
	private notReplacedReason?: string;
	private finished = false;
	private endedAt?: number;

	constructor(
		private readonly ctx: RelayContext,
		private readonly routed: RoutedRequest,
		private readonly answer: CallerAnswer,
		private readonly onEnd: (outcome: RelayOutcome) => void,
	) {}

	get isFinished(): boolean {
		return this.finished;
	}

	/** Time from the request to the first byte of the answer. */
	get firstByteMs(): number | undefined {
		const { firstByteAt } = this.answer;
		return firstByteAt === undefined ? undefined : firstByteAt - this.routed.req.arrivedAt;
	}

	/** Time from the request to its end, or to now. */
	get tookMs(): number {
		return (this.endedAt ?? this.ctx.clock.sinceBoot()) - this.routed.req.arrivedAt;
	}

	/** Holds an engine's error answer back while another engine is asked. */
	holdError(error: ErrorAnswer): void {
		this.heldError = error;
	}

	/** Ends a request that no engine runs now, and tells the caller whether it may have run. Like all ends, ignored after the first. */
	giveUp(reason: string, retryAfterS = defaultRetryAfterS): void {
		if (this.answer.hasStarted) {
			this.abort(relayOutcomes.cut, reason);
		} else if (this.mayHaveRun) {
			this.fail(502, 'the request may have run', relayOutcomes.unknown, reason);
		} else {
			const headers = ['Retry-After', String(retryAfterS)];
			this.respond(503, 'the request has not run', relayOutcomes.refused, reason, headers);
		}
	}

	/** Closes the connection, so that the answer is recognisably incomplete. */
	abort(outcome: RelayOutcome, reason: string): void {
		this.end(outcome, { reason }, () => this.answer.abort());
	}

	/** Ends a request that may have run and has no answer: with the error that was held back, or else with a text of the router. */
	fail(status: number, text: string, outcome: RelayOutcome, reason = text): void {
		const { heldError } = this;
		if (!heldError) {
			this.respond(status, text, outcome, reason);
			return;
		}
		this.end(relayOutcomes.engineFailure, { reason }, () => {
			this.answer.writeHead(heldError.head);
			this.answer.end(heldError.body);
		});
	}

	/** Answers with a text that the router generates. */
	respond(
		status: number,
		text: string,
		outcome: RelayOutcome,
		reason = text,
		headers: RawHeaders = [],
	): void {
		this.end(outcome, { reason, status }, () => this.answer.sendText(status, text, headers));
	}

	/** Ends a request whose answer has ended, or whose caller has left. */
	finish(outcome: RelayOutcome, reason?: string): void {
		this.end(outcome, { reason }, () => {});
	}

	/** @param answer answers the caller; called only for the first end of the request, so that it gets one answer */
	private end(outcome: RelayOutcome, cause: EndCause, answer: () => void): void {
		if (this.finished) {
			return;
		}
		this.finished = true;
		try {
			answer();
		} finally {
			this.recordEnd(outcome, cause);
		}
	}

	private recordEnd(outcome: RelayOutcome, cause: EndCause): void {
		this.endedAt = this.ctx.clock.sinceBoot();
		const level = outcome === relayOutcomes.complete ? 'info' : 'warn';
		const fields = {
			outcome,
			...cause,
			not_replaced: this.notReplacedReason,
			engines: [...this.sentTo].join(','),
			first_ms: roundMs(this.firstByteMs),
			pause_ms: roundMs(this.answer.maxPauseMs),
			took_ms: roundMs(this.tookMs),
		};
		this.log('request.ended', fields, level);
		this.onEnd(outcome);
	}

	/** Records why no other engine takes over from one that is silent or failed. */
	recordNotReplaced(reason: string): void {
		const isNew = kindOf(reason) !== kindOf(this.notReplacedReason ?? '');
		this.notReplacedReason = reason;
		if (isNew) {
			this.log('request.not-replaced', { reason });
			this.ctx.metrics.recordReplacement(this.routed.service, replacementResults.refused);
		}
	}

	/** An engine goes on with the request: what was refused before did not end it. */
	clearNotReplaced(): void {
		this.notReplacedReason = undefined;
	}

	/** Logs an event with the fields of this request. */
	log(event: string, fields: LogFields, level: 'info' | 'warn' = 'info'): void {
		const { req, route } = this.routed;
		this.ctx.log[level](event, { request: req.id, route: route.name, ...fields });
	}
}

/** A reason without its figures, which change with each look for an engine. */
function kindOf(reason: string): string {
	return reason.replace(/\d+/g, '');
}

function roundMs(ms: number | undefined): number | undefined {
	return ms === undefined ? undefined : Math.round(ms);
}

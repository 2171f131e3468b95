/**
 * The life of one request: placed, sent, perhaps sent again or resumed, answered or given up.
 * @module
 */

import type { Placement } from '../engines/placement-types.js';
import { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { Route } from '../routing/types.js';
import { repeatabilities } from '../routing/types.js';
import { AnswerRelay } from './answer-relay.js';
import { applyEngineNotice } from './apply-engine-notice.js';
import { Attempt } from './attempt.js';
import { AttemptResults } from './attempt-results.js';
import { CallerAnswer } from './caller-answer.js';
import type { AnswerHead, AnswerListener, CallerResponse } from './definitions.js';
import { logPlacement } from './placement-log.js';
import { RequestOutcome } from './request-outcome.js';
import { RequestPlacement } from './request-placement.js';
import type { RelayContext, RelayOutcome, RoutedRequest } from './types.js';
import { relayOutcomes } from './types.js';

/** Statuses that tell a caller that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Engines that could not be reached before a request is refused. */
const maxUnreachable = 4;

export class RelayedRequest {
	private readonly deadlineAt: number;
	private readonly placing: RequestPlacement;
	private attempt?: Attempt;
	private unreachable = 0;
	private readonly answer: CallerAnswer;
	private readonly outcome: RequestOutcome;
	private readonly suspicion: RequestQuarantine;
	private readonly relayed: AnswerRelay;
	private readonly failures: AttemptResults;
	private readonly timer: NodeJS.Timeout;

	constructor(
		private readonly ctx: RelayContext,
		private readonly terms: RoutedRequest,
		res: CallerResponse,
		onEnd: (outcome: RelayOutcome, request: RelayedRequest) => void,
	) {
		const { req, route } = terms;
		const heldMs = Math.min(req.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		this.deadlineAt = req.arrivedAt + heldMs;
		this.suspicion = new RequestQuarantine(ctx.quarantine, req, terms.customer?.name);
		this.timer = setTimeout(() => this.expired(), Math.max(1, this.leftMs));
		this.answer = new CallerAnswer(res, ctx.clock, () => this.attempt?.call?.resume());
		this.outcome = new RequestOutcome(ctx, terms, this.answer, (outcome) => {
			this.placing.cancel();
			this.stopTimer();
			onEnd(outcome, this);
		});
		this.relayed = new AnswerRelay(this.answer, req.lastEventId);
		this.failures = new AttemptResults(ctx, this.outcome, this.suspicion);
		this.placing = new RequestPlacement({
			ctx,
			routed: terms,
			onPlaced: (placement) => this.send(placement),
			onRefused: (reason, retryAfterS) => this.outcome.giveUp(reason, retryAfterS),
			outcome: this.outcome,
		});
		res.onDisconnect(() => this.callerLeft());
	}

	/** Milliseconds from the request to the first byte of the answer. */
	get firstByteMs(): number | undefined {
		return this.outcome.firstByteMs;
	}

	/** Milliseconds from the request to its end, or to now. */
	get tookMs(): number {
		return this.outcome.tookMs;
	}

	get route(): Route {
		return this.terms.route;
	}

	get id(): string {
		return this.terms.req.id;
	}

	start(): void {
		this.ctx.retryBudget.recordRequest(this.terms.service, this.ctx.clock.monotonic());
		this.place();
	}

	/** The process stops now: what has not ended is cut. */
	abort(reason: string): void {
		this.abortAttempt();
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, reason);
		} else {
			this.outcome.giveUp(reason);
		}
	}

	/**
	 * Moves to another engine when its own fell silent for all, if it may. Else it goes on waiting:
	 * silence proves nothing.
	 */
	checkSilentEngine(now: number): void {
		const { attempt } = this;
		const mayMove = this.answer.hasStarted ? this.terms.route.isResumable : this.repeatable;
		if (!this.outcome.isFinished && attempt?.isSilent(now) && mayMove && this.mayTryAgain(now)) {
			this.broke(attempt, 'the engine fell silent');
		}
	}

	private get repeatable(): boolean {
		return this.terms.route.repeatability === repeatabilities.idempotent;
	}

	/** What is left of the time of route and caller, in milliseconds: it runs on while the VM is suspended. */
	private get leftMs(): number {
		return this.deadlineAt - this.ctx.clock.sinceBoot();
	}

	private place(): void {
		if (this.leftMs <= 0) {
			this.expired();
			return;
		}
		this.placing.placeNext();
	}

	private send(placement: Placement): void {
		const { engine } = placement;
		const { req, customer } = this.terms;
		const { lastEventId } = this.relayed;
		logPlacement(this.ctx, this.terms, this.outcome, placement, {
			leftMs: this.leftMs,
			lastEventId,
		});
		const attempt = new Attempt(this.ctx, placement, this.terms.service, customer?.name);
		this.attempt = attempt;
		attempt.call = this.ctx.transport.send(
			{
				address: engine.entry.address,
				engineId: engine.id,
				req,
				customer: customer?.name,
				deadlineMs: this.leftMs,
				urgency: this.terms.urgency,
				lastEventId,
				copyFrom: placement.copyFrom?.entry.address,
			},
			this.listen(attempt),
		);
		if (this.answer.isPaused) {
			attempt.call.pause();
		}
	}

	/**
	 * Calls of an attempt that was given up are passed over. One that runs on without its caller only
	 * tells that its engine lives and when it is free.
	 */
	private listen(attempt: Attempt): AnswerListener {
		const current = (action: () => void, without: () => void) => {
			if (this.attempt === attempt) {
				(this.outcome.isFinished ? without : action)();
			}
		};
		const heard = () => attempt.recordActivity();
		const ended = () => this.endAttempt(attempt);
		return {
			shouldSend: () => this.placing.shouldSend(attempt.engine),
			onWithdrawn: () => current(() => this.withdrawn(attempt), ended),
			onSent: () => current(() => this.sent(attempt), heard),
			onHead: (head) => {
				applyEngineNotice(this.ctx, this.outcome, attempt, head, this.id);
				current(() => this.headCame(attempt, head), heard);
			},
			onData: (chunk) => current(() => this.dataCame(attempt, chunk), heard),
			onEnd: () => current(() => this.ended(attempt), ended),
			onError: (reason, isRefused) => current(() => this.failed(attempt, reason, isRefused), ended),
		};
	}

	private sent(attempt: Attempt): void {
		attempt.markSent(this.terms.req.promptSegments.slice(0, -1));
		this.outcome.sentTo.add(attempt.engine.id);
	}

	/** Its engine asked for rest, or named a limit, while the connection came up: what is under way to it would go on reaching it. */
	private withdrawn(attempt: Attempt): void {
		this.attempt = undefined;
		this.placing.withdraw(attempt.engine);
		this.place();
	}

	private headCame(attempt: Attempt, head: AnswerHead): void {
		attempt.recordActivity();
		if (head.id !== undefined && head.id !== this.id) {
			attempt.countStartedAtSend();
			this.broke(attempt, `the engine answered request ${head.id}`);
			return;
		}
		if (head.status < 300 && (!head.isSigned || head.isEncoded || head.id === undefined)) {
			this.broke(attempt, 'the answer is not the engine’s own');
			return;
		}
		attempt.head = head;
		if (!head.hasNotRun && !this.isStream(attempt)) {
			attempt.countStartedAtSend();
		}
	}

	private dataCame(attempt: Attempt, chunk: Buffer): void {
		attempt.recordActivity();
		this.relayed.relayData(attempt, chunk, this.isStream(attempt));
	}

	private ended(attempt: Attempt): void {
		const head = attempt.head;
		if (!head) {
			this.broke(attempt, 'the answer ended without a head');
		} else if (head.status >= 300) {
			this.failureCame(attempt, head);
		} else if (attempt.splitter.hasPartialEvent) {
			this.broke(attempt, 'the stream ended inside an event');
		} else {
			this.failures.recordSuccess(attempt);
			this.suspicion.recordSuccess();
			attempt.recordStreamEnd(this.terms.req.answerTokens);
			this.endAttempt(attempt);
			this.relayed.end(attempt, head);
			this.outcome.finish(relayOutcomes.complete);
		}
	}

	/** A whole answer that is no success. */
	private failureCame(attempt: Attempt, head: AnswerHead): void {
		this.endAttempt(attempt);
		if (head.hasNotRun) {
			this.rejected(attempt, head);
			return;
		}
		this.outcome.mayHaveRun = true;
		if (head.status >= 500) {
			this.failures.recordFailure(attempt, `status ${head.status}`);
			if (this.repeatable && this.tryAgain(attempt, `status ${head.status}`)) {
				return;
			}
		}
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, `status ${head.status}`);
			return;
		}
		if (notRunStatuses.has(head.status)) {
			// The engine does not say that it did not run the request, so neither may the caller be told.
			this.outcome.respond(502, 'the engine failed', relayOutcomes.unknown);
			return;
		}
		this.relayed.end(attempt, head);
		this.outcome.finish(relayOutcomes.engineFailure, `status ${head.status}`);
	}

	/** The engine did not run it. */
	private rejected(attempt: Attempt, head: AnswerHead): void {
		if (head.isFromOtherEngine) {
			this.failures.recordEngineExit(attempt);
			this.failures.recordUnreachable(attempt, 'another engine listens at its address');
		} else {
			attempt.engine.health.rejected(this.ctx.clock.monotonic());
		}
		if (this.tryAgain(attempt, `rejected with ${head.status}`)) {
			return;
		}
		this.outcome.giveUp(`rejected with ${head.status}`, this.placing.backOffLeftS);
	}

	private failed(attempt: Attempt, reason: string, isRefused: boolean): void {
		if (attempt.isSent) {
			// It reached the engine, which lost the answer or crashed: most had begun.
			attempt.countStartedAtSend();
			this.broke(attempt, reason);
			return;
		}
		// Nothing of the request left this VM.
		if (isRefused) {
			this.failures.recordEngineExit(attempt);
		}
		this.failures.recordUnreachable(attempt, reason);
		this.attempt = undefined;
		this.unreachable++;
		if (this.unreachable < maxUnreachable) {
			this.place();
		} else {
			this.outcome.giveUp(`not reachable: ${reason}`);
		}
	}

	/** The answer cannot be used, and the request may have run. */
	private broke(attempt: Attempt, reason: string): void {
		attempt.call?.abort();
		this.endAttempt(attempt);
		this.outcome.mayHaveRun = true;
		this.failures.recordBrokenAttempt(attempt, reason);
		this.failures.recordFailure(attempt, reason);
		const maySendAgain = this.answer.hasStarted ? this.terms.route.isResumable : this.repeatable;
		if (maySendAgain && this.tryAgain(attempt, reason)) {
			return;
		}
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, reason);
		} else {
			this.outcome.respond(502, 'the engine broke off', relayOutcomes.unknown, reason);
		}
	}

	/** Sends it to another engine if route and budget allow. */
	private tryAgain(attempt: Attempt, reason: string): boolean {
		const now = this.ctx.clock.monotonic();
		const { service } = this.terms;
		if (!this.mayTryAgain(now) || !this.ctx.retryBudget.tryConsume(service, now)) {
			return false;
		}
		this.ctx.metrics.recordRetry(service);
		this.outcome.log('request.retried', {
			engine: attempt.engine.id,
			reason,
			last_event: this.relayed.lastEventId,
		});
		this.place();
		return true;
	}

	private mayTryAgain(now: number): boolean {
		const { service, route } = this.terms;
		const hasTries = this.outcome.sentTo.size < route.maxEngines;
		return (
			hasTries && this.ctx.retryBudget.available(service, now) >= 1 && this.suspicion.isRetryAllowed
		);
	}

	private isStream(attempt: Attempt): boolean {
		return this.terms.route.isStreamed && (attempt.head?.status ?? 0) < 300;
	}

	private endAttempt(attempt: Attempt): void {
		this.attempt = undefined;
		attempt.markEnded();
		if (this.outcome.isFinished) {
			clearTimeout(this.timer);
		}
	}

	private abortAttempt(): void {
		const { attempt } = this;
		if (attempt) {
			attempt.call?.abort();
			this.outcome.mayHaveRun ||= attempt.isSent;
			this.endAttempt(attempt);
		}
	}

	private expired(): void {
		if (this.outcome.isFinished) {
			this.abortAttempt();
			return;
		}
		const { attempt } = this;
		if (attempt?.isSent && !attempt.head) {
			this.failures.recordBrokenAttempt(attempt, 'no answer in time');
			this.failures.recordFailure(attempt, 'no answer in time');
		}
		this.abortAttempt();
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.timedOut, 'the time of the route or the caller is over');
		} else if (this.outcome.mayHaveRun) {
			this.outcome.respond(504, 'no answer in time', relayOutcomes.timedOut);
		} else {
			this.outcome.giveUp('the time of the route or the caller is over');
		}
	}

	private callerLeft(): void {
		if (this.outcome.isFinished) {
			return;
		}
		if (!this.terms.route.isStreamed) {
			this.attempt?.countStartedAtSend();
		}
		// What may run only once runs to its end, so that its caller can find it done.
		const runsOn = !this.repeatable && !this.terms.route.isStreamed;
		if (!runsOn) {
			this.abortAttempt();
		}
		this.outcome.finish(relayOutcomes.callerLeft);
	}

	/** An attempt that runs on without its caller still needs its deadline. */
	private stopTimer(): void {
		if (!this.attempt) {
			clearTimeout(this.timer);
		}
	}
}

/**
 * Relays one request: places and sends it, retries or resumes it on other engines, and ends its answer.
 * @module
 */

import type { Placement } from '../engines/placement-types.js';
import type { ForwardRefusal } from '../forwarding/types.js';
import { forwardRefusals } from '../forwarding/types.js';
import { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { Route } from '../routing/types.js';
import { repeatabilities } from '../routing/types.js';
import { AnswerRelay } from './answer-relay.js';
import { applyEngineNotice } from './apply-engine-notice.js';
import type { Attempt } from './attempt.js';
import { AttemptResults } from './attempt-results.js';
import { AttemptSender } from './attempt-sender.js';
import { CallerAnswer } from './caller-answer.js';
import type { AnswerHead, CallerResponse, CallListener } from './definitions.js';
import { QuarantineGate } from './quarantine-gate.js';
import { RequestOutcome } from './request-outcome.js';
import { RequestPlacement } from './request-placement.js';
import { RequestRetries } from './request-retries.js';
import type { RelayContext, RelayOutcome, RoutedRequest } from './types.js';
import { relayOutcomes } from './types.js';

/** Statuses that imply to a caller that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class RelayedRequest {
	private readonly deadlineAt: number;
	private readonly requestPlacement: RequestPlacement;
	private attempt?: Attempt;
	private readonly answer: CallerAnswer;
	private readonly requestQuarantine: RequestQuarantine;
	private readonly gate: QuarantineGate;
	private readonly outcome: RequestOutcome;
	private readonly answerRelay: AnswerRelay;
	private readonly results: AttemptResults;
	private readonly sender: AttemptSender;
	private readonly retries: RequestRetries;
	private readonly timer: NodeJS.Timeout;

	constructor(
		private readonly ctx: RelayContext,
		private readonly routed: RoutedRequest,
		res: CallerResponse,
		onEnd: (outcome: RelayOutcome, request: RelayedRequest) => void,
	) {
		const { req, route } = routed;
		const timeoutMs = Math.min(req.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		this.deadlineAt = req.arrivedAt + timeoutMs;
		this.requestQuarantine = new RequestQuarantine(ctx.quarantine, req, routed.customer?.name);
		this.timer = setTimeout(() => this.handleTimeout(), Math.max(1, this.leftMs));
		this.answer = new CallerAnswer(res, ctx.clock, () => this.attempt?.call?.resume());
		this.outcome = new RequestOutcome(ctx, routed, this.answer, (outcome) => {
			this.gate.cancel();
			this.requestPlacement.cancel();
			this.stopTimer();
			onEnd(outcome, this);
		});
		this.gate = new QuarantineGate(routed, this.requestQuarantine, this.answer, this.outcome);
		this.answerRelay = new AnswerRelay(this.answer, req.lastEventId);
		this.results = new AttemptResults(ctx, this.outcome, this.requestQuarantine);
		this.sender = new AttemptSender(ctx, routed, this.outcome);
		this.retries = new RequestRetries(ctx, routed, this.outcome, this.requestQuarantine);
		this.requestPlacement = new RequestPlacement({
			ctx,
			routed,
			onPlaced: (placement) => this.send(placement),
			onRefused: (reason, retryAfterS) => this.outcome.giveUp(reason, retryAfterS),
			outcome: this.outcome,
		});
		res.onDisconnect(() => this.handleCallerLeft());
	}

	/** Time from the request to the first byte of the answer. */
	get firstByteMs(): number | undefined {
		return this.outcome.firstByteMs;
	}

	/** Time from the request to its end, or to now. */
	get tookMs(): number {
		return this.outcome.tookMs;
	}

	get route(): Route {
		return this.routed.route;
	}

	get id(): string {
		return this.routed.req.id;
	}

	start(): void {
		this.ctx.retryBudget.recordRequest(this.routed.service, this.ctx.clock.monotonic());
		this.place();
	}

	/** Ends the request because the process stops. */
	abort(reason: string): void {
		this.abortAttempt();
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, reason);
		} else {
			this.outcome.giveUp(reason);
		}
	}

	/** Ends the request if it is quarantined and its engine has not begun to answer it. */
	withdrawIfQuarantined(): void {
		const { attempt, outcome } = this;
		if (outcome.isFinished || !attempt || attempt.sinceFirstEventMs !== undefined) {
			return;
		}
		if (this.gate.isClosed) {
			this.abortAttempt();
			this.gate.refuseIfClosed();
		}
	}

	/**
	 * Retries on another engine, where allowed, when the engine is silent towards all requests. Otherwise keeps waiting, as silence does
	 * not prove a failure.
	 */
	checkSilentEngine(now: number): void {
		const { attempt, ctx, routed } = this;
		if (ctx.links.getRunningCheck(routed.service)) {
			// Soon tells whether the engine is silent or this VM's link to it is down.
			return;
		}
		const mayRetry = this.answer.hasStarted ? routed.route.isResumable : this.isRepeatable;
		if (
			!this.outcome.isFinished &&
			attempt?.isSilent(now) &&
			mayRetry &&
			this.retries.isAllowed(now)
		) {
			attempt.helper?.recordFailure();
			this.handleBrokenAnswer(attempt, 'the engine is silent', true);
		}
	}

	private get isRepeatable(): boolean {
		return this.routed.route.repeatability === repeatabilities.idempotent;
	}

	/** Time left until the deadline of route or caller, which also passes while the VM is suspended. */
	private get leftMs(): number {
		return this.deadlineAt - this.ctx.clock.sinceBoot();
	}

	private place(): void {
		if (this.leftMs <= 0) {
			this.handleTimeout();
			return;
		}
		this.gate.pass(() => this.requestPlacement.placeNext());
	}

	private send(placement: Placement): void {
		const progress = { leftMs: this.leftMs, lastEventId: this.answerRelay.lastEventId };
		const attempt = this.sender.prepare(placement, progress);
		if (!attempt) {
			this.outcome.giveUp('no VM forwards the request', this.ctx.forwarding.retryAfterS);
			return;
		}
		this.attempt = attempt;
		attempt.call = this.sender.dispatch(attempt, progress, this.listen(attempt));
		if (this.answer.isPaused) {
			attempt.call.pause();
		}
	}

	/**
	 * Ignores events of an abandoned attempt. One that continues without its caller only updates the engine's health and load.
	 */
	private listen(attempt: Attempt): CallListener {
		const ifCurrent = (action: () => void, ifFinished: () => void) => {
			if (this.attempt === attempt) {
				(this.outcome.isFinished ? ifFinished : action)();
			}
		};
		const recordActivity = () => attempt.recordActivity();
		const endAttempt = () => this.endAttempt(attempt);
		return {
			shouldSend: () => this.requestPlacement.shouldSend(attempt.engine) && !this.gate.isClosed,
			onWithdrawn: () => ifCurrent(() => this.handleWithdrawn(attempt), endAttempt),
			onSent: () => ifCurrent(() => this.handleSent(attempt), recordActivity),
			onHead: (head) => {
				applyEngineNotice(this.ctx, this.outcome, attempt, head, this.id);
				ifCurrent(() => this.handleHead(attempt, head), recordActivity);
			},
			onData: (chunk) => ifCurrent(() => this.handleData(attempt, chunk), recordActivity),
			onEnd: () => ifCurrent(() => this.handleEnd(attempt), endAttempt),
			onError: (reason, isRefused) =>
				ifCurrent(() => this.handleFailure(attempt, reason, isRefused), endAttempt),
			onNotForwarded: (refusal) =>
				ifCurrent(() => this.handleNotForwarded(attempt, refusal), endAttempt),
			onHelperLost: (reason) => ifCurrent(() => this.handleHelperLost(attempt, reason), endAttempt),
		};
	}

	private handleSent(attempt: Attempt): void {
		attempt.markSent(this.routed.req.promptSegments.slice(0, -1));
		this.outcome.sentTo.add(attempt.engine.id);
	}

	/** The engine asked for a back-off or set a limit while the connection was being established. */
	private handleWithdrawn(attempt: Attempt): void {
		this.endAttempt(attempt);
		this.requestPlacement.withdraw(attempt.engine);
		this.place();
	}

	private handleHead(attempt: Attempt, head: AnswerHead): void {
		attempt.recordActivity();
		if (head.id !== undefined && head.id !== this.id) {
			attempt.countStartedAtSend();
			this.handleBrokenAnswer(attempt, `the engine answered request ${head.id}`);
			return;
		}
		if (head.status < 300 && (!head.isSigned || head.isEncoded || head.id === undefined)) {
			this.handleBrokenAnswer(attempt, 'the answer is not verifiably from the engine');
			return;
		}
		attempt.head = head;
		if (!head.hasNotRun && !this.isStream(attempt)) {
			attempt.countStartedAtSend();
		}
	}

	private handleData(attempt: Attempt, chunk: Buffer): void {
		attempt.recordActivity();
		this.requestQuarantine.recordProgress(attempt);
		this.answerRelay.relayData(attempt, chunk, this.isStream(attempt));
	}

	private handleEnd(attempt: Attempt): void {
		const head = attempt.head;
		if (!head) {
			this.handleBrokenAnswer(attempt, 'the answer ended without a head');
		} else if (head.status >= 300) {
			this.handleErrorAnswer(attempt, head);
		} else if (attempt.splitter.hasPartialEvent) {
			this.handleBrokenAnswer(attempt, 'the stream ended inside an event');
		} else {
			this.results.recordSuccess(attempt);
			this.requestQuarantine.recordSuccess(attempt);
			attempt.recordStreamEnd(this.routed.req.answerTokens);
			this.endAttempt(attempt);
			this.answerRelay.end(attempt, head);
			this.outcome.finish(relayOutcomes.complete);
		}
	}

	/** Handles a complete answer with an error status. */
	private handleErrorAnswer(attempt: Attempt, head: AnswerHead): void {
		this.endAttempt(attempt);
		if (head.hasNotRun) {
			this.handleRejection(attempt, head);
			return;
		}
		this.outcome.mayHaveRun = true;
		if (head.status >= 500) {
			this.results.recordFailure(attempt, `status ${head.status}`);
			if (this.isRepeatable && this.retry(attempt, `status ${head.status}`)) {
				return;
			}
		}
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, `status ${head.status}`);
			return;
		}
		if (notRunStatuses.has(head.status)) {
			// Without the engine's declaration the caller must not conclude that the request has not run.
			this.outcome.respond(502, 'the engine failed', relayOutcomes.unknown);
			return;
		}
		this.answerRelay.end(attempt, head);
		this.outcome.finish(relayOutcomes.engineFailure, `status ${head.status}`);
	}

	/** The engine declared that it did not run the request. */
	private handleRejection(attempt: Attempt, head: AnswerHead): void {
		if (head.isFromOtherEngine) {
			this.results.recordEngineExit(attempt);
			this.results.recordUnreachable(attempt, 'another engine listens at its address');
		} else {
			attempt.health.recordRejection(this.ctx.clock.monotonic());
		}
		if (this.retry(attempt, `rejected with ${head.status}`)) {
			return;
		}
		this.outcome.giveUp(`rejected with ${head.status}`, this.requestPlacement.backOffLeftS);
	}

	private handleFailure(attempt: Attempt, reason: string, isRefused: boolean): void {
		if (attempt.isSent) {
			// The engine received the request, then lost the answer or crashed; it had probably started.
			attempt.countStartedAtSend();
			this.handleBrokenAnswer(attempt, reason);
			return;
		}
		// Nothing of the request was sent.
		if (isRefused) {
			this.results.recordEngineExit(attempt);
		}
		this.results.recordUnreachable(attempt, reason);
		this.endAttempt(attempt);
		this.requestPlacement.placeAfterUnreachable(reason);
	}

	/** Nothing of the request reached the engine, so it counts as not sent. */
	private handleNotForwarded(attempt: Attempt, refusal: ForwardRefusal): void {
		const { engine, helper } = attempt;
		this.outcome.sentTo.delete(engine.id);
		this.outcome.log('request.not-forwarded', {
			engine: engine.id,
			via: helper?.name,
			reason: refusal,
		});
		helper?.recordRefusal(refusal);
		this.endAttempt(attempt);
		if (refusal === forwardRefusals.engineUnavailable) {
			this.requestPlacement.placeAfterUnreachable(refusal);
		} else if (refusal === forwardRefusals.engineUnreachable) {
			this.results.recordUnreachable(attempt, refusal);
			this.requestPlacement.placeAfterUnreachable(refusal);
		} else {
			this.send(attempt.placement);
		}
	}

	private handleHelperLost(attempt: Attempt, reason: string): void {
		attempt.helper?.recordFailure();
		if (attempt.isSent) {
			this.handleBrokenAnswer(attempt, reason);
			return;
		}
		this.endAttempt(attempt);
		this.send(attempt.placement);
	}

	/** Handles an unusable answer to a request that may have run. */
	private handleBrokenAnswer(attempt: Attempt, reason: string, isSilent = false): void {
		attempt.call?.abort();
		this.endAttempt(attempt);
		this.outcome.mayHaveRun = true;
		this.results.recordBrokenAttempt(attempt, reason, isSilent);
		this.results.recordFailure(attempt, reason);
		const mayRetry = this.answer.hasStarted ? this.routed.route.isResumable : this.isRepeatable;
		if (mayRetry && this.retry(attempt, reason)) {
			return;
		}
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, reason);
		} else {
			this.outcome.respond(502, 'the engine broke off', relayOutcomes.unknown, reason);
		}
	}

	/** Sends the request to another engine if route, retry budget and quarantine allow it. */
	private retry(attempt: Attempt, reason: string): boolean {
		const isAllowed = this.retries.tryConsume(
			attempt.engine.id,
			reason,
			this.answerRelay.lastEventId,
		);
		if (isAllowed) {
			this.place();
		}
		return isAllowed;
	}

	private isStream(attempt: Attempt): boolean {
		return this.routed.route.isStreamed && (attempt.head?.status ?? 0) < 300;
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

	private handleTimeout(): void {
		if (this.outcome.isFinished) {
			this.abortAttempt();
			return;
		}
		const { attempt } = this;
		if (attempt?.isSent && !attempt.head) {
			this.results.recordBrokenAttempt(attempt, 'no answer in time', true);
			this.results.recordFailure(attempt, 'no answer in time');
		}
		this.abortAttempt();
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.timedOut, 'the deadline of the route or the caller passed');
		} else if (this.outcome.mayHaveRun) {
			this.outcome.respond(504, 'no answer in time', relayOutcomes.timedOut);
		} else {
			this.outcome.giveUp('the deadline of the route or the caller passed');
		}
	}

	private handleCallerLeft(): void {
		if (this.outcome.isFinished) {
			return;
		}
		if (!this.routed.route.isStreamed) {
			this.attempt?.countStartedAtSend();
		}
		// A request that must not run twice continues, so that a caller that retries finds it done.
		const shouldContinue = !this.isRepeatable && !this.routed.route.isStreamed;
		if (!shouldContinue) {
			this.abortAttempt();
		}
		this.outcome.finish(relayOutcomes.callerLeft);
	}

	/** Keeps the timer for an attempt that continues without its caller. */
	private stopTimer(): void {
		if (!this.attempt) {
			clearTimeout(this.timer);
		}
	}
}

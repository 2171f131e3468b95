/**
 * Relays one request: places and sends it, retries, resumes or replaces it on other engines, and ends its answer. An attempt ends only
 * by its own failure, its deadline, its caller, or the first event of another one.
 * @module
 */

import type { Placement } from '../engines/placement-types.js';
import type { ForwardRefusal } from '../forwarding/types.js';
import { forwardRefusals } from '../forwarding/types.js';
import { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { Route } from '../routing/types.js';
import { repeatabilities } from '../routing/types.js';
import { afterReads } from '../time/after-reads.js';
import { AnswerRelay } from './answer-relay.js';
import { applyEngineNotice } from './apply-engine-notice.js';
import type { Attempt } from './attempt.js';
import { AttemptResults } from './attempt-results.js';
import { AttemptSender } from './attempt-sender.js';
import { CallerAnswer } from './caller-answer.js';
import type { AnswerHead, CallerResponse, CallListener } from './definitions.js';
import { EngineSearch } from './engine-search.js';
import { LiveAttempts } from './live-attempts.js';
import { replacementResults } from './metrics.js';
import { QuarantineGate } from './quarantine-gate.js';
import { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RelayOutcome, RoutedRequest } from './types.js';
import { relayOutcomes } from './types.js';

/** Statuses that imply to a caller that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class RelayedRequest {
	private readonly deadlineAt: number;
	private readonly search: EngineSearch;
	private readonly live = new LiveAttempts();
	private readonly answer: CallerAnswer;
	private readonly requestQuarantine: RequestQuarantine;
	private readonly gate: QuarantineGate;
	private readonly outcome: RequestOutcome;
	private readonly answerRelay: AnswerRelay;
	private readonly results: AttemptResults;
	private readonly sender: AttemptSender;
	private readonly timer: NodeJS.Timeout;

	constructor(
		private readonly ctx: RelayContext,
		private readonly routed: RoutedRequest,
		res: CallerResponse,
		onEnd: (outcome: RelayOutcome, request: RelayedRequest) => void,
	) {
		const { req, route } = routed;
		const guard = (action: () => void) => this.guard(action);
		const timeoutMs = Math.min(req.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		this.deadlineAt = req.arrivedAt + timeoutMs;
		this.requestQuarantine = new RequestQuarantine(ctx.quarantine, req, routed.customer?.name);
		const checkTimeout = () => afterReads(() => guard(() => this.handleTimeout()));
		this.timer = setTimeout(checkTimeout, Math.max(1, this.leftMs));
		this.answer = new CallerAnswer(res, ctx.clock, () => this.live.resume());
		this.outcome = new RequestOutcome(ctx, routed, this.answer, (outcome) => {
			this.gate.cancel();
			this.search.cancel();
			this.stopTimer();
			onEnd(outcome, this);
		});
		this.gate = new QuarantineGate(
			routed,
			this.requestQuarantine,
			this.answer,
			this.outcome,
			guard,
		);
		this.answerRelay = new AnswerRelay(this.answer, req.lastEventId, {
			onEvents: (attempt) => this.endOthers(attempt),
			onLargeAnswer: (attempt) => this.handleLargeAnswer(attempt),
		});
		this.results = new AttemptResults(ctx, this.outcome, this.requestQuarantine);
		this.sender = new AttemptSender(ctx, routed, this.outcome);
		this.search = new EngineSearch({
			ctx,
			routed,
			live: this.live,
			answer: this.answer,
			answerRelay: this.answerRelay,
			outcome: this.outcome,
			requestQuarantine: this.requestQuarantine,
			gate: this.gate,
			isOverdue: () => this.leftMs <= 0,
			onOverdue: () => this.handleTimeout(),
			onFound: (placement) => this.send(placement),
			guard,
		});
		res.onDisconnect(() => guard(() => this.handleCallerLeft()));
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

	get service(): string {
		return this.routed.service;
	}

	get id(): string {
		return this.routed.req.id;
	}

	start(): void {
		this.guard(() => {
			this.ctx.retryBudget.recordRequest(this.routed.service, this.ctx.clock.monotonic());
			this.search.start();
		});
	}

	/** Ends the request because the process stops. */
	abort(reason: string): void {
		this.guard(() => {
			this.abortAttempts();
			this.outcome.giveUp(reason);
		});
	}

	/** Ends the request if it is quarantined and no engine has begun to answer it. */
	withdrawIfQuarantined(): void {
		this.guard(() => {
			const { live, outcome } = this;
			if (outcome.isFinished || live.isEmpty || live.hasFirstEvent) {
				return;
			}
			if (this.gate.isClosed) {
				this.abortAttempts();
				this.gate.refuseIfClosed();
			}
		});
	}

	/**
	 * Looks for an engine that takes over from one that is silent, or that failed while there was none.
	 * @param isSilenceEnding whether a silence of all engines is ending, so that silent ones are about to go on
	 */
	checkProgress(now: number, isSilenceEnding: boolean): void {
		this.guard(() => {
			if (!this.outcome.isFinished) {
				this.search.update(now, isSilenceEnding);
			}
		});
	}

	/** Time left until the deadline of route or caller, which also passes while the VM is suspended. */
	private get leftMs(): number {
		return this.deadlineAt - this.ctx.clock.sinceBoot();
	}

	/** An error in the life of one request ends only that request. */
	private guard(action: () => void): void {
		try {
			action();
		} catch (err) {
			const { req, route } = this.routed;
			const fields = { request: req.id, route: route.name, error: (err as Error).stack };
			this.ctx.log.error('request.defect', fields);
			this.ctx.metrics.recordRequestDefect();
			this.abortAttempts();
			this.answer.abort();
			this.outcome.abort(relayOutcomes.unknown, 'an error in the relay');
		}
	}

	private send(placement: Placement): void {
		const progress = { leftMs: this.leftMs, lastEventId: this.answerRelay.lastEventId };
		const attempt = this.sender.prepare(placement, progress);
		if (!attempt) {
			const { retryAfterS } = this.ctx.forwarding;
			this.search.handleNoWay(placement, 'no VM forwards the request', retryAfterS);
			return;
		}
		this.live.add(attempt);
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
			if (this.live.has(attempt)) {
				this.guard(this.outcome.isFinished ? ifFinished : action);
			}
		};
		const recordActivity = () => attempt.recordActivity();
		const endAttempt = () => this.endAttempt(attempt);
		return {
			shouldSend: () => this.search.shouldSend(attempt.engine),
			onWithdrawn: () => ifCurrent(() => this.handleWithdrawn(attempt), endAttempt),
			onSent: () => ifCurrent(() => this.handleSent(attempt), recordActivity),
			onHead: (head) => {
				this.guard(() => applyEngineNotice(this.ctx, this.outcome, attempt, head, this.id));
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
		this.search.recordSent();
	}

	/** The engine asked for a back-off or set a limit while the connection was being established. */
	private handleWithdrawn(attempt: Attempt): void {
		this.endUnsent(attempt);
		this.search.handleWithdrawn(attempt.engine);
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
		if (attempt.splitter.hasOversizedEvent) {
			this.handleBrokenAnswer(attempt, 'an event of the stream is too large');
		}
	}

	private handleEnd(attempt: Attempt): void {
		const head = attempt.head;
		if (!head) {
			this.handleBrokenAnswer(attempt, 'the answer ended without a head');
		} else if (head.status >= 300) {
			this.handleErrorAnswer(attempt, head, true);
		} else if (attempt.splitter.hasPartialEvent) {
			this.handleBrokenAnswer(attempt, 'the stream ended inside an event');
		} else {
			this.results.recordSuccess(attempt);
			this.requestQuarantine.recordSuccess(attempt);
			attempt.recordStreamEnd(this.routed.req.answerTokens);
			this.finishWith(attempt, head, relayOutcomes.complete);
		}
	}

	/** @returns whether the answer goes to the caller although the rest of it has not arrived */
	private handleLargeAnswer(attempt: Attempt): boolean {
		const head = attempt.head as AnswerHead;
		if (head.status >= 300) {
			this.handleErrorAnswer(attempt, head, false);
		} else {
			this.endOthers(attempt);
		}
		return this.live.has(attempt);
	}

	/**
	 * Decides what becomes of an error answer. Another engine is asked where possible, as long as the caller has received nothing of it.
	 * @param isComplete false when it is too large to be buffered; the attempt goes on if the answer goes to the caller
	 */
	private handleErrorAnswer(attempt: Attempt, head: AnswerHead, isComplete: boolean): void {
		const reason = `status ${head.status}`;
		if (this.answerRelay.isForwarding(attempt)) {
			this.finishWith(attempt, head, relayOutcomes.engineFailure, reason);
			return;
		}
		if (head.hasNotRun) {
			this.live.abort(attempt);
			this.handleRejection(attempt, head);
			return;
		}
		this.outcome.mayHaveRun = true;
		if (head.status >= 500) {
			this.results.recordFailure(attempt, reason);
		}
		if (this.mayGoOnWithout(attempt, head)) {
			if (isComplete && !notRunStatuses.has(head.status)) {
				this.outcome.holdError({ head, body: Buffer.concat(attempt.buffered) });
			}
			this.live.abort(attempt);
			this.search.goOn(attempt, reason);
		} else if (this.answer.hasStarted) {
			this.live.abort(attempt);
			this.outcome.abort(relayOutcomes.cut, reason);
		} else if (notRunStatuses.has(head.status)) {
			// Without the engine's declaration the caller must not conclude that the request has not run.
			this.live.abort(attempt);
			this.outcome.fail(502, 'the engine failed', relayOutcomes.unknown);
		} else if (isComplete) {
			this.finishWith(attempt, head, relayOutcomes.engineFailure, reason);
		} else {
			this.endOthers(attempt);
		}
	}

	/** Whether another attempt or another engine may answer in place of an error. */
	private mayGoOnWithout(attempt: Attempt, { status }: AnswerHead): boolean {
		const isServerError = status >= 500;
		if (!isServerError && !this.answer.hasStarted && !notRunStatuses.has(status)) {
			return false;
		}
		const hasOthers = isServerError
			? this.search.canGoOnWithout(attempt)
			: this.search.hasOthers(attempt);
		return hasOthers && this.search.mayRepeat;
	}

	/** The engine declared that it did not run the request. */
	private handleRejection(attempt: Attempt, head: AnswerHead): void {
		if (head.isFromOtherEngine) {
			this.results.recordEngineExit(attempt);
			this.results.recordUnreachable(attempt, 'another engine listens at its address');
		} else {
			attempt.health.recordRejection(this.ctx.clock.monotonic());
		}
		const reason = `rejected with ${head.status}`;
		if (!this.search.goOn(attempt, reason)) {
			this.outcome.giveUp(reason, this.search.backOffLeftS);
		}
	}

	private handleFailure(attempt: Attempt, reason: string, isRefused: boolean): void {
		if (attempt.isSent) {
			// The engine received the request, then lost the answer or crashed; it had probably started.
			attempt.countStartedAtSend();
			this.handleBrokenAnswer(attempt, reason);
			return;
		}
		// Nothing of the request was sent.
		this.endUnsent(attempt);
		if (isRefused) {
			this.results.recordEngineExit(attempt);
		}
		this.results.recordUnreachable(attempt, reason);
		this.search.placeAfterUnreachable(reason);
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
		this.endUnsent(attempt);
		if (refusal === forwardRefusals.engineUnavailable) {
			this.search.placeAfterUnreachable(refusal);
		} else if (refusal === forwardRefusals.engineUnreachable) {
			this.results.recordUnreachable(attempt, refusal);
			this.search.placeAfterUnreachable(refusal);
		} else {
			this.search.use(attempt.placement);
		}
	}

	private handleHelperLost(attempt: Attempt, reason: string): void {
		attempt.helper?.recordFailure();
		if (attempt.isSent) {
			this.handleBrokenAnswer(attempt, reason);
			return;
		}
		this.endUnsent(attempt);
		this.search.use(attempt.placement);
	}

	/** Handles an unusable answer to a request that may have run. */
	private handleBrokenAnswer(attempt: Attempt, reason: string): void {
		this.live.abort(attempt);
		this.outcome.mayHaveRun = true;
		this.results.recordBroken(attempt, reason);
		if (this.search.mayRepeat && this.search.goOn(attempt, reason)) {
			return;
		}
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.cut, reason);
		} else {
			this.outcome.fail(502, 'the engine broke off', relayOutcomes.unknown, reason);
		}
	}

	private isStream(attempt: Attempt): boolean {
		return this.routed.route.isStreamed && (attempt.head?.status ?? 0) < 300;
	}

	/** Ends the request with the complete answer of one attempt. */
	private finishWith(
		attempt: Attempt,
		head: AnswerHead,
		outcome: RelayOutcome,
		reason?: string,
	): void {
		this.endOthers(attempt);
		this.endAttempt(attempt);
		this.answerRelay.end(attempt, head);
		this.outcome.finish(outcome, reason);
	}

	/** Ends all attempts but the first to answer. */
	private endOthers(winner: Attempt): void {
		const now = this.ctx.clock.monotonic();
		for (const other of this.live.listOthers(winner)) {
			const wasSilent = other.sentAt < winner.sentAt && other.isSilent(now);
			const silentMs = wasSilent ? other.health.silentMs(now) : undefined;
			this.outcome.mayHaveRun ||= other.isSent;
			this.live.abort(other);
			if (other.isSent) {
				this.recordReplacement(winner, other, silentMs);
			} else {
				this.search.recordUnsent();
			}
		}
		this.outcome.clearNotReplaced();
	}

	/** @param silentMs how long the engine of the loser had been silent; undefined if it went on */
	private recordReplacement(winner: Attempt, loser: Attempt, silentMs: number | undefined): void {
		const wasSilent = silentMs !== undefined;
		this.outcome.log('request.replaced', {
			engine: loser.engine.id,
			by: winner.engine.id,
			reason: wasSilent ? 'it answered first' : 'the engine went on',
			sent_ms: Math.round(loser.sinceSentMs),
			last_event: this.answerRelay.lastEventId,
		});
		const result = wasSilent ? replacementResults.used : replacementResults.notNeeded;
		this.ctx.metrics.recordReplacement(this.routed.service, result);
		if (wasSilent) {
			if (loser.helper?.name !== winner.helper?.name) {
				loser.helper?.recordFailure();
			}
			this.results.recordSilence(loser, 'another engine answered first', silentMs);
		}
	}

	private endAttempt(attempt: Attempt): void {
		this.live.end(attempt);
		if (this.outcome.isFinished) {
			this.stopTimer();
		}
	}

	/** Ends an attempt of which nothing reached the engine. */
	private endUnsent(attempt: Attempt): void {
		this.search.recordUnsent();
		this.endAttempt(attempt);
	}

	private abortAttempts(): void {
		for (const attempt of this.live.list()) {
			this.outcome.mayHaveRun ||= attempt.isSent;
			this.live.abort(attempt);
		}
	}

	private handleTimeout(): void {
		const now = this.ctx.clock.monotonic();
		const unanswered = this.live.list().filter(({ isSent, head }) => isSent && !head);
		const silences = unanswered.map((attempt) => {
			const isSilent = attempt.isSilent(now) || attempt.isEngineUnheard;
			return isSilent ? attempt.health.silentMs(now) : undefined;
		});
		this.abortAttempts();
		if (this.outcome.isFinished) {
			this.stopTimer();
			return;
		}
		unanswered.forEach((attempt, index) => {
			this.results.recordTimeout(attempt, silences[index]);
		});
		if (this.answer.hasStarted) {
			this.outcome.abort(relayOutcomes.timedOut, 'the deadline of the route or the caller passed');
		} else if (this.outcome.mayHaveRun) {
			this.outcome.fail(504, 'no answer in time', relayOutcomes.timedOut);
		} else {
			this.outcome.giveUp('the deadline of the route or the caller passed');
		}
	}

	private handleCallerLeft(): void {
		if (this.outcome.isFinished) {
			return;
		}
		const { isStreamed, repeatability } = this.routed.route;
		if (!isStreamed) {
			for (const attempt of this.live.list()) {
				attempt.countStartedAtSend();
			}
		}
		// A request that must not run twice continues, so that a caller that retries finds it done.
		const shouldContinue = !isStreamed && repeatability !== repeatabilities.idempotent;
		if (!shouldContinue) {
			this.abortAttempts();
		}
		this.outcome.finish(relayOutcomes.callerLeft);
	}

	/** Keeps the timer for an attempt that continues without its caller. */
	private stopTimer(): void {
		if (this.live.isEmpty) {
			clearTimeout(this.timer);
		}
	}
}

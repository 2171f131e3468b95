/**
 * Looks for the engine that one request is sent to next: the first one, a retry, or a replacement beside an attempt whose engine is
 * silent. Where none can be had and waiting helps, the request waits and the search is repeated.
 * @module
 */
import type { Engine } from '../engines/engine.js';
import type { Placement } from '../engines/placement-types.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import { repeatabilities } from '../routing/types.js';
import type { AnswerRelay } from './answer-relay.js';
import type { Attempt } from './attempt.js';
import type { CallerAnswer } from './caller-answer.js';
import type { LiveAttempts } from './live-attempts.js';
import type { QuarantineGate } from './quarantine-gate.js';
import type { RequestOutcome } from './request-outcome.js';
import { RequestPlacement } from './request-placement.js';
import type { RetryRefusal } from './request-retries.js';
import { RequestRetries, retryRefusals } from './request-retries.js';
import type { RelayContext, RoutedRequest } from './types.js';

export interface EngineSearchOptions {
	ctx: RelayContext;
	routed: RoutedRequest;
	live: LiveAttempts;
	answer: CallerAnswer;
	answerRelay: AnswerRelay;
	outcome: RequestOutcome;
	requestQuarantine: RequestQuarantine;
	gate: QuarantineGate;
	/** Whether the deadline of route or caller has passed. */
	isOverdue: () => boolean;
	onOverdue: () => void;
	onFound: (placement: Placement) => void;
	/** Runs what follows a wait, so that an error ends only this request. */
	guard: (action: () => void) => void;
}

export class EngineSearch {
	private readonly placement: RequestPlacement;
	private readonly retries: RequestRetries;
	/** An engine is being chosen, or a permit for it awaited. */
	private isSearching = false;
	/** No engine works on the request, and it waits until one can take it over. */
	private isWaiting = false;

	constructor(private readonly opts: EngineSearchOptions) {
		const { ctx, routed, outcome, requestQuarantine, guard } = opts;
		this.retries = new RequestRetries(ctx, routed, outcome, requestQuarantine);
		this.placement = new RequestPlacement({
			ctx,
			routed,
			onPlaced: (placement) => this.use(placement),
			isRefusalFinal: () => opts.live.isEmpty && !this.shouldWait,
			onRefused: (reason, retryAfterS) => this.refuse(reason, retryAfterS),
			outcome,
			guard,
		});
	}

	/** Whether another engine may go on with the request although one may have run it. */
	get mayRepeat(): boolean {
		const { routed, answer, answerRelay } = this.opts;
		return answer.hasStarted
			? routed.route.isResumable && answerRelay.canBeContinued
			: routed.route.repeatability === repeatabilities.idempotent;
	}

	/** Seconds until an engine accepts requests; undefined while one does. */
	get backOffLeftS(): number | undefined {
		return this.placement.backOffLeftS;
	}

	start(): void {
		if (this.opts.isOverdue()) {
			this.opts.onOverdue();
			return;
		}
		this.isSearching = true;
		this.opts.gate.pass(() => this.placement.placeNext());
	}

	/**
	 * Searches for a replacement of a silent engine, or for an engine that a waiting request can go to; called several times a second.
	 * @param isSilenceEnding whether a silence of all engines is ending, so that silent ones are about to go on
	 */
	update(now: number, isSilenceEnding: boolean): void {
		if (this.isSearching) {
			return;
		}
		if (this.isWaiting) {
			this.searchAgain(now);
		} else if (!isSilenceEnding && this.shouldReplace(now)) {
			this.searchReplacement(now);
		}
	}

	/** Sends the request to a chosen engine, unless it is no longer needed there. */
	use(placement: Placement): void {
		const { live, ctx, answerRelay, onFound } = this.opts;
		const isNeeded = live.isEmpty || live.areSilent(ctx.clock.monotonic());
		const refusal = isNeeded ? this.retries.consume(answerRelay.lastEventId) : 'the engine went on';
		if (refusal === undefined) {
			this.isSearching = false;
			onFound(placement);
		} else {
			this.placement.release(placement.engine);
			this.refuse(refusal, undefined);
		}
	}

	/** The engine was chosen, but there is no way to it. */
	handleNoWay({ engine }: Placement, reason: string, retryAfterS: number): void {
		this.retries.refundUnsent();
		this.placement.release(engine);
		this.refuse(reason, retryAfterS);
	}

	/** Chooses another engine after one could not be reached. */
	placeAfterUnreachable(reason: string): void {
		this.isSearching = true;
		this.placement.placeAfterUnreachable(reason);
	}

	/** Whether the request should still be sent to an engine, now that the connection is established. */
	shouldSend(engine: Engine): boolean {
		return this.placement.shouldSend(engine) && !this.opts.gate.isClosed;
	}

	/** The engine asked for a back-off or set a limit before the request was sent. */
	handleWithdrawn(engine: Engine): void {
		this.placement.withdraw(engine);
		if (this.opts.live.isEmpty) {
			this.start();
		}
	}

	recordSent(): void {
		this.retries.recordSent();
	}

	/** Nothing of an attempt reached its engine. */
	recordUnsent(): void {
		this.retries.refundUnsent();
	}

	/** Whether other attempts go on, or one is about to be made. */
	hasOthers(attempt: Attempt): boolean {
		return this.opts.live.listOthers(attempt).length > 0 || this.isSearching;
	}

	/** Whether other attempts or other engines may go on with the request. */
	canGoOnWithout(attempt: Attempt): boolean {
		const hasCandidate = this.opts.answer.hasStarted || this.placement.hasCandidate;
		return this.hasOthers(attempt) || (hasCandidate && !this.isFinal(this.findRetryRefusal()));
	}

	/**
	 * Goes on with the other attempts, or on another engine.
	 * @param attempt the one that ended
	 * @returns false if neither is possible
	 */
	goOn({ engine }: Attempt, reason: string): boolean {
		if (!this.opts.live.isEmpty || this.isSearching) {
			return true;
		}
		const refusal = this.findRetryRefusal();
		if (refusal !== undefined && this.isFinal(refusal)) {
			this.opts.outcome.recordNotReplaced(refusal);
			return false;
		}
		this.retries.prepare(engine.id, reason);
		if (refusal === undefined) {
			this.start();
		} else {
			this.wait(refusal);
		}
		return true;
	}

	/** Stops the search once the request has ended. */
	cancel(): void {
		this.placement.cancel();
	}

	/** Silence proves no failure: the silent attempts go on beside their replacement until one of them answers. */
	private shouldReplace(now: number): boolean {
		const { live, answer, ctx, routed } = this.opts;
		const isWaitingForEngine = !live.isEmpty && !answer.isPaused;
		if (!isWaitingForEngine || !this.mayRepeat || !live.areSilent(now)) {
			return false;
		}
		// A check soon tells whether the engine is silent or this VM's link to it is down.
		return ctx.links.getRunningCheck(routed.service) === undefined;
	}

	private searchReplacement(now: number): void {
		const { live, gate, outcome, isOverdue, onOverdue } = this.opts;
		if (isOverdue()) {
			onOverdue();
			return;
		}
		const refusal = this.retries.findRefusal(now) ?? gate.refusal;
		if (refusal !== undefined) {
			outcome.recordNotReplaced(refusal);
			return;
		}
		const engines = live.list().map(({ engine }) => engine.id);
		this.retries.prepare(engines.join(','), 'the engine is silent');
		this.isSearching = true;
		this.placement.startOver();
		this.placement.placeNext();
	}

	private searchAgain(now: number): void {
		const refusal = this.retries.findRefusal(now);
		if (refusal === undefined) {
			this.isWaiting = false;
			this.placement.startOver();
			this.start();
		} else if (refusal !== retryRefusals.budget) {
			this.opts.outcome.giveUp(refusal);
		}
	}

	private refuse(reason: string, retryAfterS: number | undefined): void {
		const { live, outcome } = this.opts;
		this.isSearching = false;
		if (!live.isEmpty) {
			outcome.recordNotReplaced(reason);
		} else if (this.shouldWait) {
			this.wait(reason);
		} else {
			outcome.giveUp(reason, retryAfterS);
		}
	}

	/** A caller that has part of a stream is served by the rest only, and where engines are silent they soon go on. */
	private get shouldWait(): boolean {
		const { answer, outcome } = this.opts;
		const isServedLater =
			answer.hasStarted || (outcome.mayHaveRun && this.placement.hasSilentEngine);
		return this.mayRepeat && isServedLater;
	}

	private wait(reason: string): void {
		this.isWaiting = true;
		this.opts.outcome.recordNotReplaced(reason);
	}

	private findRetryRefusal(): RetryRefusal | undefined {
		return this.retries.findRefusal(this.opts.ctx.clock.monotonic());
	}

	/** Whether a retry that is refused now will not be allowed later either, or there is nothing to wait for. */
	private isFinal(refusal: RetryRefusal | undefined): boolean {
		const isTemporary = refusal === retryRefusals.budget && this.opts.answer.hasStarted;
		return refusal !== undefined && !isTemporary;
	}
}

/**
 * One request from admission to outcome: claims its key, dispatches it to endpoints, forwards the
 * answer, and retries or resumes after failures.
 * @module
 */
import type { ClaimRecord, ClaimStore } from '../claims/claims.js';
import { claimResults } from '../claims/claims.js';
import type {
	AnswerSink,
	CallFailure,
	Clock,
	EndpointClient,
	RunningCall,
	StreamEvent,
} from '../definitions.js';
import { callFailures } from '../definitions.js';
import * as errors from '../errors/index.js';
import type { RunResult, Slot } from '../scheduling/definitions.js';
import type { Timeline } from '../timeline/index.js';
import { eventKinds } from '../timeline/index.js';
import type { RecordingSink, StoredAnswer } from './answer-store.js';
import { replayAnswer } from './answer-store.js';
import { AnswerStream } from './answer-stream.js';
import type { CallerSink, CallTemplate } from './definitions.js';
import { RequestTimeline } from './request-timeline.js';
import type { RetryBudget } from './retry-budget.js';
import { TokenTiming } from './token-timing.js';
import type { Request } from './types.js';
import { outcomes } from './types.js';

/** Attempts per request, resumes included. */
const maxAttempts = 6;
/** Priority of requests in reserved slots; endpoints serve 0 first. */
const floorPriority = 1000;
/** How long a request avoids an endpoint that failed it. */
const avoidEndpointMs = 1000;
/** Statuses with which an engine refuses work for now. */
const refusalStatuses = new Set([429, 503]);

/** What an active request needs from its daemon. */
export interface ActiveRequestHost {
	readonly clock: Clock;
	readonly endpoints: EndpointClient;
	readonly claims: ClaimStore;
	readonly retryBudget: RetryBudget;
	readonly timeline: Timeline;
	readonly vm: string;
	readonly stallMs: number;
	/** Base URL of an endpoint; undefined if nothing may be dispatched to it. */
	dispatchUrl(endpoint: string): string | undefined;
	/** Queues the request again. */
	requeue(active: ActiveRequest): void;
	/** Returns the slot of an attempt that has ended. */
	releaseSlot(active: ActiveRequest, slot: Slot, result: RunResult): void;
	recordInterTokenLatency(active: ActiveRequest, slot: Slot, interTokenMs: number): void;
	/** Removes a request that has its outcome. */
	finish(active: ActiveRequest, outcome: string, tokens: number): void;
	/** Seconds after which the caller should retry. */
	retryAfterS(req: Request): number;
	/** Answer of the attempt that holds a claim; undefined if it is not available. */
	fetchAnswer(holder: ClaimRecord): Promise<StoredAnswer | undefined>;
}

export class ActiveRequest implements AnswerSink {
	private slot?: Slot;
	private call?: RunningCall;
	private attempts = 0;
	private ended = false;
	/** An endpoint may have received some of the request. */
	private mayHaveRun = false;
	/** Value of `mayHaveRun` before the current attempt. */
	private mayHaveRunEarlier = false;
	private hasAnswerStarted = false;
	private status = 0;
	private hasForwardedBytes = false;
	private readonly stream: AnswerStream;
	private readonly timeline: RequestTimeline;
	private timing = new TokenTiming(0);

	constructor(
		readonly req: Request,
		private readonly template: CallTemplate,
		private readonly sink: CallerSink,
		private readonly host: ActiveRequestHost,
		private readonly recording?: RecordingSink,
	) {
		this.stream = new AnswerStream(req);
		this.timeline = new RequestTimeline(host.timeline, req);
	}

	get hasEnded(): boolean {
		return this.ended;
	}

	/** Tokens forwarded to the caller. */
	get forwardedTokens(): number {
		return this.stream.totalTokens;
	}

	get currentSlot(): Slot | undefined {
		return this.slot;
	}

	/** Whether the request can be cancelled now and resumed later without loss. */
	get isPreemptable(): boolean {
		return this.req.repeatable && this.template.streamed && this.stream.isResumable;
	}

	/** Starts an attempt in a slot. A keyed request that must not be repeated is claimed first. */
	async start(slot: Slot): Promise<void> {
		this.slot = slot;
		this.attempts++;
		if (this.req.idempotencyKey !== undefined && !this.req.repeatable) {
			const claimed = await this.acquireClaim(this.req.idempotencyKey);
			if (!claimed || this.ended) {
				return;
			}
		}
		this.dispatch(slot);
	}

	/** Cancels the request, unless it was dispatched and its answer is recorded for a retry. */
	handleDisconnect(): void {
		if (this.ended) {
			return;
		}
		if (this.recording && this.call) {
			this.recording.detach();
			return;
		}
		this.ended = true;
		this.recording?.abandon();
		this.call?.cancel();
		this.releaseSlot(false, true);
		this.host.finish(this, 'caller-left', this.stream.totalTokens);
	}

	/** Fails a queued request. */
	shed(data: errors.ErrorData): void {
		if (this.ended || this.slot) {
			return;
		}
		this.timeline.record(eventKinds.requestShed, { reason: data.name });
		const retryAfterS = this.host.retryAfterS(this.req);
		this.finishWithError(new errors.UserError(data, [], { retryAfterS }));
	}

	/** Cancels the attempt in favour of a higher tier; the request is queued again and resumes. */
	preempt(): boolean {
		if (!this.slot || this.ended || !this.call || !this.isPreemptable) {
			return false;
		}
		this.call.cancel();
		this.timeline.record(eventKinds.requestPreempted, { endpoint: this.slot.endpoint });
		this.releaseSlot(false, true);
		this.requeue();
		return true;
	}

	onHead(status: number, headers: Record<string, string>): void {
		this.status = status;
		if (refusalStatuses.has(status) && this.template.streamed && this.req.repeatable) {
			this.call?.cancel();
			this.handleFailure(callFailures.refused, `status ${status}`);
			return;
		}
		if (!this.hasAnswerStarted) {
			this.hasAnswerStarted = true;
			this.sink.start(status, headers);
			this.sink.onDrain(() => this.call?.resume());
		}
	}

	onEvents(events: StreamEvent[]): void {
		const ready = this.stream.process(events);
		if (ready.length === 0) {
			return;
		}
		this.recordTokens();
		if (!this.sink.writeEvents(ready)) {
			this.call?.pause();
		}
	}

	onBytes(chunk: Uint8Array): void {
		this.hasForwardedBytes = true;
		if (!this.sink.writeBytes(chunk)) {
			this.call?.pause();
		}
	}

	onEnd(): void {
		const isComplete = !this.template.streamed || this.stream.isDone || this.status >= 400;
		if (!isComplete) {
			this.handleFailure(callFailures.broken, 'the stream ended early');
			return;
		}
		const rest = this.stream.flush();
		if (rest.length > 0) {
			this.sink.writeEvents(rest);
		}
		this.ended = true;
		this.releaseSlot(false, false);
		this.sink.finish();
		this.recordEnd(outcomes.complete);
	}

	onError(failure: CallFailure, detail: string): void {
		this.handleFailure(failure, detail);
	}

	private dispatch(slot: Slot): void {
		const url = this.host.dispatchUrl(slot.endpoint);
		if (url === undefined) {
			this.releaseSlot(false, true);
			this.attempts--;
			this.requeue();
			return;
		}
		this.resetAttempt();
		this.timeline.record(eventKinds.requestStarted, {
			endpoint: slot.endpoint,
			floor: slot.isFloor,
			value: this.req.offset,
		});
		this.call = this.host.endpoints.open(
			{
				id: this.req.id,
				url,
				method: this.template.method,
				path: this.template.path,
				headers: this.template.headers,
				body: this.template.body,
				priority: slot.isFloor ? floorPriority : this.req.cls.tier,
				offset: this.req.offset,
				stallMs: this.host.stallMs,
			},
			this,
		);
	}

	private resetAttempt(): void {
		this.stream.beginAttempt();
		this.timing = new TokenTiming(this.host.clock.monotonic());
		this.mayHaveRunEarlier = this.mayHaveRun;
		this.mayHaveRun = true;
	}

	private recordTokens(): void {
		const now = this.host.clock.monotonic();
		if (this.timing.recordTokens(this.stream.attemptTokens, now)) {
			const value = Math.round(now - this.req.arrivedAt);
			this.timeline.record(eventKinds.requestFirstToken, { endpoint: this.slot?.endpoint, value });
		}
		const interTokenMs = this.timing.sampleInterTokenMs(this.stream.attemptTokens, now);
		if (interTokenMs !== undefined && this.slot) {
			this.host.recordInterTokenLatency(this, this.slot, interTokenMs);
		}
	}

	private async acquireClaim(key: string): Promise<boolean> {
		const record = { attempt: this.req.id, vm: this.host.vm };
		const claim = await this.host.claims.claim(this.req.customer, key, record);
		if (claim.result === claimResults.taken) {
			this.timeline.record(eventKinds.claimTaken);
			return true;
		}
		if (this.ended) {
			return false;
		}
		this.timeline.record(eventKinds.claimRefused, { reason: claim.result });
		this.releaseSlot(false, true);
		if (claim.result === claimResults.held) {
			await this.replayAnswerOf(claim.holder);
		} else {
			this.finishWithError(
				new errors.UserError(errors.data.ClaimUnavailable, [], { retryAfterS: 1 }),
			);
		}
		return false;
	}

	/** Sends the caller the answer of the attempt that holds the claim, if it is available. */
	private async replayAnswerOf(holder: ClaimRecord): Promise<void> {
		this.mayHaveRun = true;
		const answer = await this.host.fetchAnswer(holder);
		if (this.ended) {
			return;
		}
		if (!answer) {
			this.finishWithError(new errors.UserError(errors.data.ClaimedElsewhere));
			return;
		}
		this.ended = true;
		this.recordEnd(replayAnswer(answer, this.sink));
	}

	private handleFailure(failure: CallFailure, detail: string): void {
		const endpoint = this.slot?.endpoint ?? '';
		const wasSent = failure !== callFailures.notSent;
		this.mayHaveRun = this.mayHaveRunEarlier || wasSent;
		this.releaseSlot(true, false);
		this.call = undefined;
		this.req.avoidUntil.set(endpoint, this.host.clock.monotonic() + avoidEndpointMs);
		this.timeline.record(eventKinds.requestFailed, { endpoint, reason: `${failure}: ${detail}` });
		if (this.canRetry(wasSent)) {
			this.timeline.record(eventKinds.requestResumed, { value: this.req.offset });
			this.requeue();
			return;
		}
		this.finishWithError(new errors.UserError(this.finalError()));
	}

	/** Whether another attempt is allowed after a failure. */
	private canRetry(wasSent: boolean): boolean {
		const isSafe = !wasSent || this.req.repeatable;
		const isResumable = !this.hasForwardedBytes && !this.stream.hasForwardedWithoutOffsets;
		// A resumed attempt continues the same answer, so it is not charged to the retry budget.
		const isInBudget = this.req.offset > 0 || this.host.retryBudget.tryConsume();
		return isSafe && isResumable && this.attempts < maxAttempts && isInBudget;
	}

	private finalError(): errors.ErrorData {
		if (this.hasAnswerStarted) {
			return errors.data.AnswerIncomplete;
		}
		return this.mayHaveRun ? errors.data.OutcomeUnknown : errors.data.EndpointUnavailable;
	}

	private finishWithError(err: errors.UserError): void {
		this.ended = true;
		const outcomeBeforeAnswer = this.mayHaveRun ? outcomes.unknown : outcomes.notRun;
		const outcome = this.hasAnswerStarted ? outcomes.incomplete : outcomeBeforeAnswer;
		this.sink.fail(err, outcome);
		this.recordEnd(outcome, err.name);
	}

	private recordEnd(outcome: string, reason?: string): void {
		const value = this.stream.totalTokens;
		this.timeline.record(eventKinds.requestEnded, { outcome, reason, value });
		this.host.finish(this, outcome, this.stream.totalTokens);
	}

	private requeue(): void {
		this.call = undefined;
		this.req.waitingSince = this.host.clock.monotonic();
		this.host.requeue(this);
	}

	private releaseSlot(failed: boolean, cancelled: boolean): void {
		const slot = this.slot;
		if (!slot) {
			return;
		}
		this.slot = undefined;
		const { firstTokenMs, streamedMs } = this.timing;
		const result = {
			firstTokenMs,
			tokens: this.stream.attemptTokens,
			streamedMs,
			failed,
			cancelled,
		};
		this.host.releaseSlot(this, slot, result);
	}
}

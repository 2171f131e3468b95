/**
 * One request from its admission to its outcome: claims, dispatch, relay, resume.
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

/** Runs of one request, resumes included. */
const maxAttempts = 6;
/** Priority for work outside the limit; endpoints serve 0 first. */
const floorPriority = 1000;
/** An endpoint that failed a request is passed over by it for so long, in milliseconds. */
const avoidMs = 1000;
/** Statuses by which an engine says that it takes no work now. */
const refusals = new Set([429, 503]);

/** What a run asks of its daemon. */
export interface ActiveRequestHost {
	readonly clock: Clock;
	readonly endpoints: EndpointClient;
	readonly claims: ClaimStore;
	readonly retryBudget: RetryBudget;
	readonly timeline: Timeline;
	readonly vm: string;
	readonly stallMs: number;
	/** Base URL of an endpoint, undefined when it must not be given work. */
	dispatchUrl(endpoint: string): string | undefined;
	/** The run wants a slot again. */
	requeue(run: ActiveRequest): void;
	/** The run gave its slot back. */
	releaseSlot(run: ActiveRequest, slot: Slot, result: RunResult): void;
	recordInterTokenLatency(run: ActiveRequest, slot: Slot, gapMs: number): void;
	/** The run has its outcome. */
	finish(run: ActiveRequest, outcome: string, tokens: number): void;
	/** Seconds after which a caller should come back. */
	retryAfterS(req: Request): number;
	/** Answer of the attempt that holds a claim; undefined when it cannot be reached. */
	fetchAnswer(holder: ClaimRecord): Promise<StoredAnswer | undefined>;
}

export class ActiveRequest implements AnswerSink {
	private slot?: Slot;
	private call?: RunningCall;
	private attempts = 0;
	private over = false;
	/** A byte of the request may have reached an endpoint. */
	private mayHaveRun = false;
	/** The same, before the attempt that runs. */
	private mayHaveRunBefore = false;
	private started = false;
	private status = 0;
	private bytesForwarded = false;
	private readonly stream: AnswerStream;
	private readonly timeline: RequestTimeline;
	private pace = new TokenTiming(0);

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
		return this.over;
	}

	/** Tokens given to the caller. */
	get forwardedTokens(): number {
		return this.stream.totalTokens;
	}

	get currentSlot(): Slot | undefined {
		return this.slot;
	}

	/** May be cut off and resumed later without loss. */
	get isPreemptable(): boolean {
		return this.req.repeatable && this.template.streamed && this.stream.isResumable;
	}

	/** Runs in a slot; claims first where that is needed. */
	async start(slot: Slot): Promise<void> {
		this.slot = slot;
		this.attempts++;
		if (this.req.idempotencyKey !== undefined && !this.req.repeatable) {
			const claimed = await this.claim(this.req.idempotencyKey);
			if (!claimed || this.over) {
				return;
			}
		}
		this.dispatch(slot);
	}

	/** The caller left. What must run once goes on, for a second arrival with its key. */
	handleDisconnect(): void {
		if (this.over) {
			return;
		}
		if (this.recording && this.call) {
			this.recording.detach();
			return;
		}
		this.over = true;
		this.recording?.abandon();
		this.call?.cancel();
		this.release(false, true);
		this.host.finish(this, 'caller-left', this.stream.totalTokens);
	}

	/** Given up while it waits; the final answer goes out at once. */
	shed(data: errors.ErrorData): void {
		if (this.over || this.slot) {
			return;
		}
		this.timeline.record(eventKinds.requestShed, { reason: data.name });
		const retryAfterS = this.host.retryAfterS(this.req);
		this.finishWith(new errors.UserError(data, [], { retryAfterS }));
	}

	/** Cut off for work of a higher tier; waits again and resumes. */
	preempt(): boolean {
		if (!this.slot || this.over || !this.call || !this.isPreemptable) {
			return false;
		}
		this.call.cancel();
		this.timeline.record(eventKinds.requestPreempted, { endpoint: this.slot.endpoint });
		this.release(false, true);
		this.waitAgain();
		return true;
	}

	onHead(status: number, headers: Record<string, string>): void {
		this.status = status;
		if (refusals.has(status) && this.template.streamed && this.req.repeatable) {
			this.call?.cancel();
			this.failed(callFailures.refused, `status ${status}`);
			return;
		}
		if (!this.started) {
			this.started = true;
			this.sink.start(status, headers);
			this.sink.onDrain(() => this.call?.resume());
		}
	}

	onEvents(events: StreamEvent[]): void {
		const ready = this.stream.process(events);
		if (ready.length === 0) {
			return;
		}
		this.noteTokens();
		if (!this.sink.writeEvents(ready)) {
			this.call?.pause();
		}
	}

	onBytes(chunk: Uint8Array): void {
		this.bytesForwarded = true;
		if (!this.sink.writeBytes(chunk)) {
			this.call?.pause();
		}
	}

	onEnd(): void {
		const whole = !this.template.streamed || this.stream.isDone || this.status >= 400;
		if (!whole) {
			this.failed(callFailures.broken, 'the stream ended early');
			return;
		}
		const rest = this.stream.flush();
		if (rest.length > 0) {
			this.sink.writeEvents(rest);
		}
		this.over = true;
		this.release(false, false);
		this.sink.finish();
		this.recordEnd(outcomes.complete);
	}

	onError(failure: CallFailure, detail: string): void {
		this.failed(failure, detail);
	}

	private dispatch(slot: Slot): void {
		const url = this.host.dispatchUrl(slot.endpoint);
		if (url === undefined) {
			this.release(false, true);
			this.attempts--;
			this.waitAgain();
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
		this.pace = new TokenTiming(this.host.clock.monotonic());
		this.mayHaveRunBefore = this.mayHaveRun;
		this.mayHaveRun = true;
	}

	private noteTokens(): void {
		const now = this.host.clock.monotonic();
		if (this.pace.recordTokens(this.stream.attemptTokens, now)) {
			const value = Math.round(now - this.req.arrivedAt);
			this.timeline.record(eventKinds.requestFirstToken, { endpoint: this.slot?.endpoint, value });
		}
		const gapMs = this.pace.sampleInterTokenMs(this.stream.attemptTokens, now);
		if (gapMs !== undefined && this.slot) {
			this.host.recordInterTokenLatency(this, this.slot, gapMs);
		}
	}

	private async claim(key: string): Promise<boolean> {
		const record = { attempt: this.req.id, vm: this.host.vm };
		const claim = await this.host.claims.claim(this.req.customer, key, record);
		if (claim.result === claimResults.taken) {
			this.timeline.record(eventKinds.claimTaken);
			return true;
		}
		if (this.over) {
			return false;
		}
		this.timeline.record(eventKinds.claimRefused, { reason: claim.result });
		this.release(false, true);
		if (claim.result === claimResults.held) {
			await this.attach(claim.holder);
		} else {
			this.finishWith(new errors.UserError(errors.data.ClaimUnavailable, [], { retryAfterS: 1 }));
		}
		return false;
	}

	/** Another attempt ran or runs: its answer is this caller's, too, if it can be reached. */
	private async attach(holder: ClaimRecord): Promise<void> {
		this.mayHaveRun = true;
		const answer = await this.host.fetchAnswer(holder);
		if (this.over) {
			return;
		}
		if (!answer) {
			this.finishWith(new errors.UserError(errors.data.ClaimedElsewhere));
			return;
		}
		this.over = true;
		this.recordEnd(replayAnswer(answer, this.sink));
	}

	private failed(failure: CallFailure, detail: string): void {
		const endpoint = this.slot?.endpoint ?? '';
		const sent = failure !== callFailures.notSent;
		this.mayHaveRun = this.mayHaveRunBefore || sent;
		this.release(true, false);
		this.call = undefined;
		this.req.avoidUntil.set(endpoint, this.host.clock.monotonic() + avoidMs);
		this.timeline.record(eventKinds.requestFailed, { endpoint, reason: `${failure}: ${detail}` });
		if (this.mayGoOn(sent)) {
			this.timeline.record(eventKinds.requestResumed, { value: this.req.offset });
			this.waitAgain();
			return;
		}
		this.finishWith(new errors.UserError(this.finalError()));
	}

	/** After a failure: may the request be given to an endpoint again? */
	private mayGoOn(sent: boolean): boolean {
		const safe = !sent || this.req.repeatable;
		const resumable = !this.bytesForwarded && !this.stream.hasForwardedWithoutOffsets;
		// Going on behind what the caller has is no second request: the budget is for those.
		const allowed = this.req.offset > 0 || this.host.retryBudget.tryConsume();
		return safe && resumable && this.attempts < maxAttempts && allowed;
	}

	private finalError(): errors.ErrorData {
		if (this.started) {
			return errors.data.AnswerIncomplete;
		}
		return this.mayHaveRun ? errors.data.OutcomeUnknown : errors.data.EndpointUnavailable;
	}

	private finishWith(err: errors.UserError): void {
		this.over = true;
		const unstarted = this.mayHaveRun ? outcomes.unknown : outcomes.notRun;
		const outcome = this.started ? outcomes.incomplete : unstarted;
		this.sink.fail(err, outcome);
		this.recordEnd(outcome, err.name);
	}

	private recordEnd(outcome: string, reason?: string): void {
		const value = this.stream.totalTokens;
		this.timeline.record(eventKinds.requestEnded, { outcome, reason, value });
		this.host.finish(this, outcome, this.stream.totalTokens);
	}

	private waitAgain(): void {
		this.call = undefined;
		this.req.waitingSince = this.host.clock.monotonic();
		this.host.requeue(this);
	}

	private release(failed: boolean, cancelled: boolean): void {
		const slot = this.slot;
		if (!slot) {
			return;
		}
		this.slot = undefined;
		const { firstTokenMs, streamedMs } = this.pace;
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

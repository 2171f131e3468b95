/**
 * Admits, queues, dispatches and sheds the requests of one daemon.
 * @module
 */
import type { ClaimRecord, ClaimStore } from '../claims/claims.js';
import type { ConfigurationView } from '../configuration/index.js';
import type { Clock, EndpointClient, Metrics } from '../definitions.js';
import * as errors from '../errors/index.js';
import type { RunResult, SchedulingState, Slot, SlotPolicy } from '../scheduling/definitions.js';
import type { QueueLimits } from '../scheduling/request-queue.js';
import { RequestQueue } from '../scheduling/request-queue.js';
import type { Timeline } from '../timeline/index.js';
import { eventKinds } from '../timeline/index.js';
import type { ActiveRequestHost } from './active-request.js';
import { ActiveRequest } from './active-request.js';
import type { StoredAnswer } from './answer-store.js';
import { AnswerStore } from './answer-store.js';
import type { CallerSink, CallTemplate } from './definitions.js';
import { DurationEstimator } from './duration-estimator.js';
import { RetryBudget } from './retry-budget.js';
import type { Request } from './types.js';
import { isAvoided } from './types.js';

const minRetryAfterS = 1;
const maxRetryAfterS = 120;

/** The duration estimate brings the latest start forward by at most this share of the deadline. */
const maxEstimateShare = 0.5;
/** Safety margin on the estimated time from dispatch to first token. */
const firstTokenFactor = 1.25;
const firstTokenMarginMs = 25;

export interface RouterOptions {
	vm: string;
	clock: Clock;
	endpoints: EndpointClient;
	claims: ClaimStore;
	metrics: Metrics;
	timeline: Timeline;
	limits: QueueLimits;
	stallMs: number;
	/** Runs the callback once, in a later turn of the event loop. */
	defer: (callback: () => void) => void;
	/** Fetches the answer of the claim's holder from another daemon. */
	fetchPeerAnswer: (holder: ClaimRecord) => Promise<StoredAnswer | undefined>;
	/** Called after each dispatch round. */
	onChange?: () => void;
}

export class Router implements ActiveRequestHost {
	readonly clock: Clock;
	readonly endpoints: EndpointClient;
	readonly claims: ClaimStore;
	readonly timeline: Timeline;
	readonly vm: string;
	readonly stallMs: number;
	readonly retryBudget = new RetryBudget();
	/** Answers for repeated requests with the same idempotency key. */
	readonly answers: AnswerStore;
	readonly queue: RequestQueue;
	private readonly requestsByTicket = new Map<number, ActiveRequest>();
	private readonly runningByCustomer = new Map<string, number>();
	private readonly durations = new DurationEstimator();
	private cfg?: ConfigurationView;
	private policy?: SlotPolicy;
	private isDispatchScheduled = false;
	private dispatchPausedUntil = 0;

	constructor(private readonly opts: RouterOptions) {
		this.clock = opts.clock;
		this.endpoints = opts.endpoints;
		this.claims = opts.claims;
		this.timeline = opts.timeline;
		this.vm = opts.vm;
		this.stallMs = opts.stallMs;
		this.queue = new RequestQueue(opts.limits);
		this.answers = new AnswerStore(opts.clock);
	}

	/** Applies a configuration and its scheduling policy. */
	configure(cfg: ConfigurationView, policy: SlotPolicy): void {
		this.cfg = cfg;
		this.policy = policy;
		this.scheduleDispatch();
	}

	get activeCount(): number {
		return this.requestsByTicket.size;
	}

	/** All requests that are queued or running on this daemon. */
	getActiveRequests(): Iterable<ActiveRequest> {
		return this.requestsByTicket.values();
	}

	/** Admits a request; its answer or error goes to the sink. */
	submit(req: Request, template: CallTemplate, sink: CallerSink): ActiveRequest {
		const runsOnce = req.idempotencyKey !== undefined && !req.repeatable;
		const recording = runsOnce ? this.answers.record(req.id, sink) : undefined;
		const active = new ActiveRequest(req, template, recording ?? sink, this, recording);
		this.requestsByTicket.set(req.ticket, active);
		this.retryBudget.recordRequest();
		this.timeline.record(eventKinds.requestQueued, {
			request: req.id,
			cls: req.cls.name,
			tier: req.cls.tier,
			customer: req.customer,
		});
		this.enqueue(req);
		return active;
	}

	/** Cancels a running request in favour of a higher tier; it is queued again. */
	preempt(ticket: number): void {
		if (this.requestsByTicket.get(ticket)?.preempt()) {
			this.opts.metrics.count('requests.preempted', 1);
		}
	}

	isPreemptable(ticket: number): boolean {
		return this.requestsByTicket.get(ticket)?.isPreemptable ?? false;
	}

	/** Suspends dispatch; called after a clock jump, until the view of the fleet is current again. */
	pauseDispatchUntil(time: number): void {
		this.dispatchPausedUntil = Math.max(this.dispatchPausedUntil, time);
	}

	/** Sheds queued requests whose deadline can no longer be met. */
	shedExpired(): void {
		if (this.queue.size === 0) {
			return;
		}
		const now = this.clock.monotonic();
		for (const req of [...this.queue]) {
			if (now > this.latestStartAt(req)) {
				this.queue.remove(req);
				this.shedWaiting(req, errors.data.DeadlinePassed);
			}
		}
		this.scheduleDispatch();
	}

	/** A queued request that has not started by then is shed. */
	private latestStartAt(req: Request): number {
		const estimateMs = this.durations.estimateDurationMs(req.cls.name, req.customer);
		const maxEstimateMs = (req.deadlineAt - req.arrivedAt) * maxEstimateShare;
		const latestUsefulAt = req.deadlineAt - Math.min(estimateMs, maxEstimateMs);
		return req.offset > 0 ? req.deadlineAt : Math.min(req.queueTimeoutAt, latestUsefulAt);
	}

	/** Dispatches queued requests in a later turn of the event loop; calls are coalesced. */
	scheduleDispatch(): void {
		if (!this.isDispatchScheduled) {
			this.isDispatchScheduled = true;
			this.opts.defer(() => {
				this.isDispatchScheduled = false;
				this.dispatchWaiting();
			});
		}
	}

	/** Input of the scheduling policies; undefined before the first configuration. */
	getState(): SchedulingState | undefined {
		if (!this.cfg) {
			return undefined;
		}
		return { now: this.clock.monotonic(), cfg: this.cfg, queue: this.queue, ordering: this };
	}

	/** Running requests of a customer, divided by its weight. */
	getCustomerShare(customer: string): number {
		return this.runningByCustomer.get(customer) ?? 0;
	}

	/** Estimated milliseconds from dispatch to first token, with a safety margin. */
	estimateFirstTokenLeadMs(req: Request): number {
		const estimate = this.durations.estimateFirstTokenMs(req.cls.name, req.customer);
		return estimate * firstTokenFactor + firstTokenMarginMs;
	}

	dispatchUrl(endpoint: string): string | undefined {
		const known = this.cfg?.findEndpoint(endpoint);
		const mayDispatch = known?.state === 'active' && this.policy?.mayDispatch(endpoint);
		return mayDispatch ? known.url : undefined;
	}

	requeue(active: ActiveRequest): void {
		this.clearAvoidedIfNoneLeft(active.req);
		this.queue.requeue(active.req);
		this.scheduleDispatch();
	}

	releaseSlot(active: ActiveRequest, slot: Slot, result: RunResult): void {
		const customer = active.req.customer;
		this.runningByCustomer.set(customer, this.getCustomerShare(customer) - 1 / active.req.weight);
		if (!result.failed && !result.cancelled && result.firstTokenMs !== undefined) {
			const durationMs = this.clock.monotonic() - slot.startedAt;
			this.durations.add(active.req.cls.name, customer, durationMs, result.firstTokenMs);
		}
		this.policy?.releaseSlot(active.req, slot, result, this.clock.monotonic());
		this.scheduleDispatch();
	}

	recordInterTokenLatency(active: ActiveRequest, slot: Slot, interTokenMs: number): void {
		this.policy?.recordInterTokenLatency(active.req, slot, interTokenMs, this.clock.monotonic());
	}

	finish(active: ActiveRequest, outcome: string, tokens: number): void {
		this.queue.remove(active.req);
		this.requestsByTicket.delete(active.req.ticket);
		const tags = { class: active.req.cls.name, outcome };
		this.opts.metrics.count('requests.ended', 1, tags);
		this.opts.metrics.count('tokens.relayed', tokens, { class: active.req.cls.name });
		this.opts.metrics.timing(
			'requests.duration',
			this.clock.monotonic() - active.req.arrivedAt,
			tags,
		);
	}

	fetchAnswer(holder: ClaimRecord): Promise<StoredAnswer | undefined> {
		const isLocal = holder.vm === this.vm;
		return isLocal ? this.answers.wait(holder.attempt) : this.opts.fetchPeerAnswer(holder);
	}

	retryAfterS(req: Request): number {
		const state = this.getState();
		const waitMs = state && this.policy ? this.policy.estimateWaitMs(state, req) : 0;
		const seconds = Math.ceil(waitMs / 1000);
		return Math.min(Math.max(seconds, minRetryAfterS), maxRetryAfterS);
	}

	private enqueue(req: Request): void {
		for (const evicted of this.queue.add(req)) {
			this.shedWaiting(evicted, errors.data.Shed);
		}
		this.dispatchAfterArrival();
	}

	/** Dispatches at once if the queue was empty, so that a lone request adds no latency. */
	private dispatchAfterArrival(): void {
		if (this.queue.size === 1) {
			this.dispatchWaiting();
		} else {
			this.scheduleDispatch();
		}
	}

	private shedWaiting(req: Request, data: errors.ErrorData): void {
		this.requestsByTicket.get(req.ticket)?.shed(data);
	}

	/** Clears the avoided endpoints of a request once no other eligible endpoint is left. */
	private clearAvoidedIfNoneLeft(req: Request): void {
		const eligible = this.cfg?.findEligibleEndpoints(req.target, req.cls.name) ?? [];
		const now = this.clock.monotonic();
		if (eligible.every((endpoint) => isAvoided(req, endpoint.name, now))) {
			req.avoidUntil.clear();
		}
	}

	private dispatchWaiting(): void {
		const state = this.getState();
		if (!state || !this.policy || state.now < this.dispatchPausedUntil) {
			return;
		}
		for (const { req, slot } of this.policy.assignSlots(state)) {
			const active = this.requestsByTicket.get(req.ticket);
			this.runningByCustomer.set(
				req.customer,
				this.getCustomerShare(req.customer) + 1 / req.weight,
			);
			if (active) {
				this.opts.metrics.timing('requests.waited', state.now - req.waitingSince, {
					class: req.cls.name,
				});
				void active.start(slot);
			}
		}
		this.opts.onChange?.();
	}
}

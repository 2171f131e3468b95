/**
 * One daemon's requests: admission, waiting, starts, giving up.
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

/** Bounds of Retry-After, in seconds. */
const minRetryAfterS = 1;
const maxRetryAfterS = 120;

/** An estimate shortens the wait for a start by at most this share of the deadline. */
const trustedShare = 0.5;
/** Margin on the time from a dispatch to its first token, so that work chosen as in time is. */
const leadFactor = 1.25;
const leadMarginMs = 25;

export interface RouterOptions {
	vm: string;
	clock: Clock;
	endpoints: EndpointClient;
	claims: ClaimStore;
	metrics: Metrics;
	timeline: Timeline;
	limits: QueueLimits;
	stallMs: number;
	/** Calls back soon, once, from the loop. */
	defer: (callback: () => void) => void;
	/** Asks another daemon for the answer of an attempt that holds a claim. */
	fetchPeerAnswer: (holder: ClaimRecord) => Promise<StoredAnswer | undefined>;
	/** Requests came, started or ended. */
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
	/** Answers for second arrivals. */
	readonly answers: AnswerStore;
	readonly queue: RequestQueue;
	private readonly runs = new Map<number, ActiveRequest>();
	private readonly runningByCustomer = new Map<string, number>();
	private readonly durations = new DurationEstimator();
	private cfg?: ConfigurationView;
	private policy?: SlotPolicy;
	private pumpDue = false;
	private pauseUntil = 0;

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

	/** Puts a configuration and its policy in force. */
	configure(cfg: ConfigurationView, policy: SlotPolicy): void {
		this.cfg = cfg;
		this.policy = policy;
		this.scheduleDispatch();
	}

	get activeCount(): number {
		return this.runs.size;
	}

	/** Every request that this daemon holds. */
	activeRequests(): Iterable<ActiveRequest> {
		return this.runs.values();
	}

	/** Takes in a request. */
	submit(req: Request, template: CallTemplate, sink: CallerSink): ActiveRequest {
		const once = req.idempotencyKey !== undefined && !req.repeatable;
		const recording = once ? this.answers.record(req.id, sink) : undefined;
		const run = new ActiveRequest(req, template, recording ?? sink, this, recording);
		this.runs.set(req.ticket, run);
		this.retryBudget.recordRequest();
		this.timeline.record(eventKinds.requestQueued, {
			request: req.id,
			cls: req.cls.name,
			tier: req.cls.tier,
			customer: req.customer,
		});
		this.enqueue(req);
		return run;
	}

	/** Cuts off a run for work of a higher tier. */
	preempt(ticket: number): void {
		if (this.runs.get(ticket)?.preempt()) {
			this.opts.metrics.count('requests.preempted', 1);
		}
	}

	isPreemptable(ticket: number): boolean {
		return this.runs.get(ticket)?.isPreemptable ?? false;
	}

	/** Nothing starts until the views are fresh again; called after a jump of the clock. */
	pauseDispatchUntil(at: number): void {
		this.pauseUntil = Math.max(this.pauseUntil, at);
	}

	/** Gives up requests whose deadline can no longer be met. Called often. */
	shedExpired(): void {
		if (this.queue.size === 0) {
			return;
		}
		const now = this.clock.monotonic();
		for (const req of [...this.queue]) {
			if (now > this.latestStart(req)) {
				this.queue.remove(req);
				this.giveUpWaiting(req, errors.data.DeadlinePassed);
			}
		}
		this.scheduleDispatch();
	}

	/** A waiting request that starts later than this is of no use. */
	private latestStart(req: Request): number {
		const needsMs = this.durations.durationMs(req.cls.name, req.customer);
		const trusted = (req.deadlineAt - req.arrivedAt) * trustedShare;
		const useful = req.deadlineAt - Math.min(needsMs, trusted);
		return req.offset > 0 ? req.deadlineAt : Math.min(req.queueTimeoutAt, useful);
	}

	/** Starts what may start, soon. */
	scheduleDispatch(): void {
		if (!this.pumpDue) {
			this.pumpDue = true;
			this.opts.defer(() => {
				this.pumpDue = false;
				this.pump();
			});
		}
	}

	/** State that policies decide on; undefined before a configuration came. */
	state(): SchedulingState | undefined {
		if (!this.cfg) {
			return undefined;
		}
		return { now: this.clock.monotonic(), cfg: this.cfg, queue: this.queue, ordering: this };
	}

	/** Running requests of a customer. */
	customerShare(customer: string): number {
		return this.runningByCustomer.get(customer) ?? 0;
	}

	/** Estimated milliseconds from a dispatch to its first token. */
	firstTokenLeadMs(req: Request): number {
		const estimate = this.durations.firstTokenMs(req.cls.name, req.customer);
		return estimate * leadFactor + leadMarginMs;
	}

	dispatchUrl(endpoint: string): string | undefined {
		const known = this.cfg?.endpointNamed(endpoint);
		const open = known?.state === 'active' && this.policy?.mayDispatch(endpoint);
		return open ? known.url : undefined;
	}

	requeue(run: ActiveRequest): void {
		this.forgiveWhenAlone(run.req);
		this.queue.requeue(run.req);
		this.scheduleDispatch();
	}

	releaseSlot(run: ActiveRequest, slot: Slot, result: RunResult): void {
		const customer = run.req.customer;
		this.runningByCustomer.set(customer, this.customerShare(customer) - 1 / run.req.weight);
		if (!result.failed && !result.cancelled && result.firstTokenMs !== undefined) {
			const took = this.clock.monotonic() - slot.startedAt;
			this.durations.add(run.req.cls.name, customer, took, result.firstTokenMs);
		}
		this.policy?.releaseSlot(run.req, slot, result, this.clock.monotonic());
		this.scheduleDispatch();
	}

	recordInterTokenLatency(run: ActiveRequest, slot: Slot, gapMs: number): void {
		this.policy?.recordInterTokenLatency(run.req, slot, gapMs, this.clock.monotonic());
	}

	finish(run: ActiveRequest, outcome: string, tokens: number): void {
		this.queue.remove(run.req);
		this.runs.delete(run.req.ticket);
		const tags = { class: run.req.cls.name, outcome };
		this.opts.metrics.count('requests.ended', 1, tags);
		this.opts.metrics.count('tokens.relayed', tokens, { class: run.req.cls.name });
		this.opts.metrics.timing('requests.duration', this.clock.monotonic() - run.req.arrivedAt, tags);
	}

	fetchAnswer(holder: ClaimRecord): Promise<StoredAnswer | undefined> {
		const here = holder.vm === this.vm;
		return here ? this.answers.wait(holder.attempt) : this.opts.fetchPeerAnswer(holder);
	}

	retryAfterS(req: Request): number {
		const state = this.state();
		const waitMs = state && this.policy ? this.policy.estimateWaitMs(state, req) : 0;
		const seconds = Math.ceil(waitMs / 1000);
		return Math.min(Math.max(seconds, minRetryAfterS), maxRetryAfterS);
	}

	private enqueue(req: Request): void {
		for (const evicted of this.queue.add(req)) {
			this.giveUpWaiting(evicted, errors.data.Shed);
		}
		this.pumpAfterArrival();
	}

	/** A request that finds the queue empty does not wait for the loop's next turn. */
	private pumpAfterArrival(): void {
		if (this.queue.size === 1) {
			this.pump();
		} else {
			this.scheduleDispatch();
		}
	}

	/**
	 * An answer that has begun is never given up as "not run"; `RequestRun` tells the difference.
	 */
	private giveUpWaiting(req: Request, data: errors.ErrorData): void {
		this.runs.get(req.ticket)?.shed(data);
	}

	/** A request that avoids every endpoint may ask them again. */
	private forgiveWhenAlone(req: Request): void {
		const eligible = this.cfg?.eligible(req.target, req.cls.name) ?? [];
		const now = this.clock.monotonic();
		if (eligible.every((endpoint) => isAvoided(req, endpoint.name, now))) {
			req.avoidUntil.clear();
		}
	}

	private pump(): void {
		const state = this.state();
		if (!state || !this.policy || state.now < this.pauseUntil) {
			return;
		}
		for (const { req, slot } of this.policy.assignSlots(state)) {
			const run = this.runs.get(req.ticket);
			this.runningByCustomer.set(req.customer, this.customerShare(req.customer) + 1 / req.weight);
			if (run) {
				this.opts.metrics.timing('requests.waited', state.now - req.waitingSince, {
					class: req.cls.name,
				});
				void run.start(slot);
			}
		}
		this.opts.onChange?.();
	}
}

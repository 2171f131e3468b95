/**
 * Issues permits at the rates that engines announce. The most urgent request goes first, and a single VM may use the whole
 * rate.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { QueuedPermitRequest } from './permit-queue.js';
import { PermitQueue } from './permit-queue.js';
import type { LimitUpdate, PermitRequest, PermitResponse } from './types.js';

/** Lowest rate of permits, in requests per second; under a lower limit it probes for changes. */
export const minLimitPerS = 0.1;
/** Target number of permit requests per permit once denied ones have spread out; keeps permits in use. */
const requestsPerPermit = 4;
/** Longest spread of retries after denials, in milliseconds. */
const maxRetrySpreadMs = 1000;
/** Spread of retries at a VM that does not issue permits yet, in milliseconds. */
const notIssuingSpreadMs = 200;
/** Shortest retry delay after a denial, in milliseconds. */
const minRetryMs = 20;
/** How long responses are kept for duplicate requests, in milliseconds. */
const responseRetentionMs = 1000;

export interface PermitIssuerOptions {
	clock: Clock;
	random: Random;
	/** Current limit of an engine. */
	getLimit: (engine: EngineRef) => LimitUpdate;
	/** Share of all limits that this VM may issue: the reachable share of the fleet. */
	getShare: () => number;
	/** Whether this VM issues permits now. */
	isIssuing: () => boolean;
}

export class PermitIssuer {
	private readonly queues = new Map<EngineRef, PermitQueue>();
	private readonly responses = new Map<string, { response: PermitResponse; at: number }>();
	/** Queued requests over all engines. */
	private waitingCount = 0;

	constructor(private readonly opts: PermitIssuerOptions) {}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		let dueAt = Number.POSITIVE_INFINITY;
		if (this.waitingCount === 0) {
			return dueAt;
		}
		for (const [engine, queue] of this.queues) {
			if (queue.waiting.length > 0) {
				const intervalMs = this.intervalMs(engine);
				const at = intervalMs === undefined ? this.now : queue.dueAt(this.now, intervalMs);
				dueAt = Math.min(dueAt, at);
			}
		}
		return dueAt;
	}

	/** Responds at once or within the wait of the request; repeats the response to a duplicate. */
	handleRequest(request: PermitRequest, respond: (response: PermitResponse) => void): void {
		const known = this.responses.get(keyOf(request));
		if (known) {
			respond(known.response);
			return;
		}
		const { engine } = request.limit;
		if (!this.opts.isIssuing()) {
			respond(this.createResponse(request, false, minRetryMs + this.randomMs(notIssuingSpreadMs)));
			return;
		}
		const queue = this.queueOf(engine);
		if (queue.waiting.some((other) => keyOf(other.request) === keyOf(request))) {
			return;
		}
		queue.enqueue({ request, expiresAt: this.now + request.waitMs, respond }, this.now);
		this.waitingCount++;
		this.issue(engine, queue);
	}

	/** Issues due permits and denies expired requests. */
	run(): void {
		for (const [engine, queue] of this.queues) {
			this.issue(engine, queue);
		}
	}

	/** Removes old responses and unused queues; called each second. */
	sweep(): void {
		const { now } = this;
		for (const [key, { at }] of this.responses) {
			if (now - at > responseRetentionMs) {
				this.responses.delete(key);
			}
		}
		for (const [engine, queue] of this.queues) {
			if (
				queue.countRecentRequesters(now) === 0 &&
				this.opts.getLimit(engine).limitPerS === undefined
			) {
				this.queues.delete(engine);
			}
		}
	}

	/** Denies all queued requests and drops the queues, after another VM became the issuer. */
	resign(): void {
		for (const { waiting } of this.queues.values()) {
			for (const queued of waiting) {
				this.settle(queued, false, minRetryMs);
			}
		}
		this.queues.clear();
		this.waitingCount = 0;
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private queueOf(engine: EngineRef): PermitQueue {
		let queue = this.queues.get(engine);
		if (!queue) {
			queue = new PermitQueue(this.now, this.intervalMs(engine) ?? 0);
			this.queues.set(engine, queue);
		}
		return queue;
	}

	/** Interval between permits, in milliseconds; undefined when the engine has no limit any more. */
	private intervalMs(engine: EngineRef): number | undefined {
		const { limitPerS } = this.opts.getLimit(engine);
		return limitPerS === undefined
			? undefined
			: 1000 / (Math.max(limitPerS, minLimitPerS) * this.opts.getShare());
	}

	private issue(engine: EngineRef, queue: PermitQueue): void {
		const { now } = this;
		const intervalMs = this.intervalMs(engine);
		if (intervalMs === undefined) {
			for (const queued of queue.waiting.splice(0)) {
				this.settle(queued, true, 0);
			}
			return;
		}
		while (queue.waiting.length > 0 && queue.isReady(now, intervalMs)) {
			const next = queue.dequeue(now, intervalMs);
			if (!next) {
				break;
			}
			queue.consumePermit(now, intervalMs);
			this.settle(next, true, 0);
		}
		const expired = queue.waiting.filter(({ expiresAt }) => now >= expiresAt);
		queue.waiting = queue.waiting.filter(({ expiresAt }) => now < expiresAt);
		for (const queued of expired) {
			queue.recordDenial(queued.request.urgency, now);
			this.settle(queued, false, this.retryAfterMs(queue, queued.request.urgency, intervalMs));
		}
	}

	/** Expected time until a permit is available, with jitter so that denied requests don't retry together. */
	private retryAfterMs(queue: PermitQueue, urgency: number, intervalMs: number): number {
		const readyAt = queue.readyAt(intervalMs);
		// Requests that expire sooner will be denied too.
		const ahead = queue.waiting.filter(
			({ request, expiresAt }) => request.urgency <= urgency && expiresAt >= readyAt,
		);
		const availableMs = readyAt - this.now + ahead.length * intervalMs;
		const spreadMs = (queue.countRecentRequesters(this.now) * intervalMs) / requestsPerPermit;
		return Math.max(minRetryMs, availableMs + this.randomMs(Math.min(spreadMs, maxRetrySpreadMs)));
	}

	private randomMs(maxMs: number): number {
		return this.opts.random.next() * maxMs;
	}

	private settle(queued: QueuedPermitRequest, isGranted: boolean, retryAfterMs: number): void {
		this.waitingCount--;
		const response = this.createResponse(queued.request, isGranted, retryAfterMs);
		this.responses.set(keyOf(queued.request), { response, at: this.now });
		queued.respond(response);
	}

	private createResponse(
		request: PermitRequest,
		isGranted: boolean,
		retryAfterMs: number,
	): PermitResponse {
		return {
			id: request.id,
			limit: this.opts.getLimit(request.limit.engine),
			isGranted,
			retryAfterMs,
		};
	}
}

function keyOf({ from, id }: PermitRequest): string {
	return `${from} ${id}`;
}

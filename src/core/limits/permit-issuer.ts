/**
 * Issues permits at the rates that engines name: the most urgent request that waits goes first, and work that comes to one VM alone
 * may use all of it.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { QueuedPermitRequest } from './permit-queue.js';
import { PermitQueue } from './permit-queue.js';
import type { LimitUpdate, PermitRequest, PermitResponse } from './types.js';

/** An engine that takes less is asked this often whether it still does, in requests a second. */
export const minLimitPerS = 0.1;
/** So many asks come in the time of one permit, once all that were denied have spread: most permits are then used at once. */
const asksEach = 4;
/** Those denied are spread over this time at the most, in milliseconds. */
const longestSpreadMs = 1000;
/** Those that ask a VM that does not issue permits yet are spread over this time, in milliseconds. */
const notIssuingMs = 200;
/** Whoever is denied asks again after so long at the least, in milliseconds. */
const leastRetryMs = 20;
/** A doubled ask gets the same answer within this time, in milliseconds. */
const rememberedMs = 1000;

export interface PermitIssuerOptions {
	clock: Clock;
	random: Random;
	/** What is known of an engine's limit. */
	getLimit: (engine: EngineRef) => LimitUpdate;
	/** Share of all limits that this VM may issue: the part of the fleet that it hears. */
	getShare: () => number;
	/** Whether this VM issues permits now. */
	isIssuing: () => boolean;
}

export class PermitIssuer {
	private readonly engines = new Map<EngineRef, PermitQueue>();
	private readonly answered = new Map<string, { answer: PermitResponse; at: number }>();
	/** Asks that wait, over all engines. */
	private waitingCount = 0;

	constructor(private readonly opts: PermitIssuerOptions) {}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		let dueAt = Number.POSITIVE_INFINITY;
		if (this.waitingCount === 0) {
			return dueAt;
		}
		for (const [engine, turns] of this.engines) {
			if (turns.waiting.length > 0) {
				const intervalMs = this.intervalMs(engine);
				const at = intervalMs === undefined ? this.now : turns.dueAt(this.now, intervalMs);
				dueAt = Math.min(dueAt, at);
			}
		}
		return dueAt;
	}

	/** Answers at once, or within the time that the ask can wait. */
	handleRequest(ask: PermitRequest, answer: (answer: PermitResponse) => void): void {
		const known = this.answered.get(nameOf(ask));
		if (known) {
			answer(known.answer);
			return;
		}
		const { engine } = ask.limit;
		if (!this.opts.isIssuing()) {
			answer(this.answerTo(ask, false, leastRetryMs + this.spreadMs(notIssuingMs)));
			return;
		}
		const turns = this.turnsOf(engine);
		if (turns.waiting.some((other) => nameOf(other.request) === nameOf(ask))) {
			return;
		}
		turns.enqueue({ request: ask, expiresAt: this.now + ask.waitMs, respond: answer }, this.now);
		this.waitingCount++;
		this.issue(engine, turns);
	}

	/** Issues what is due and denies what waited in vain. */
	run(): void {
		for (const [engine, turns] of this.engines) {
			this.issue(engine, turns);
		}
	}

	/** Forgets what is old; called each second. */
	sweep(): void {
		const { now } = this;
		for (const [name, { at }] of this.answered) {
			if (now - at > rememberedMs) {
				this.answered.delete(name);
			}
		}
		for (const [engine, turns] of this.engines) {
			if (
				turns.countRecentRequesters(now) === 0 &&
				this.opts.getLimit(engine).limitPerS === undefined
			) {
				this.engines.delete(engine);
			}
		}
	}

	/** Another VM issues permits now: what waits is denied, and what was kept is gone. */
	resign(): void {
		for (const { waiting } of this.engines.values()) {
			for (const one of waiting) {
				this.settle(one, false, leastRetryMs);
			}
		}
		this.engines.clear();
		this.waitingCount = 0;
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private turnsOf(engine: EngineRef): PermitQueue {
		let turns = this.engines.get(engine);
		if (!turns) {
			turns = new PermitQueue(this.now, this.intervalMs(engine) ?? 0);
			this.engines.set(engine, turns);
		}
		return turns;
	}

	/** Time of one permit, in milliseconds; undefined when the engine names no limit any more. */
	private intervalMs(engine: EngineRef): number | undefined {
		const { limitPerS: perS } = this.opts.getLimit(engine);
		return perS === undefined
			? undefined
			: 1000 / (Math.max(perS, minLimitPerS) * this.opts.getShare());
	}

	private issue(engine: EngineRef, turns: PermitQueue): void {
		const { now } = this;
		const intervalMs = this.intervalMs(engine);
		if (intervalMs === undefined) {
			for (const one of turns.waiting.splice(0)) {
				this.settle(one, true, 0);
			}
			return;
		}
		while (turns.waiting.length > 0 && turns.isReady(now, intervalMs)) {
			const next = turns.dequeue(now, intervalMs);
			if (!next) {
				break;
			}
			turns.consumePermit(now, intervalMs);
			this.settle(next, true, 0);
		}
		const late = turns.waiting.filter(({ expiresAt: until }) => now >= until);
		turns.waiting = turns.waiting.filter(({ expiresAt: until }) => now < until);
		for (const one of late) {
			turns.recordDenial(one.request.urgency, now);
			this.settle(one, false, this.retryAfterMs(turns, one.request.urgency, intervalMs));
		}
	}

	/** Until a permit for it can be expected, spread so that those denied do not ask again together. */
	private retryAfterMs(turns: PermitQueue, urgency: number, intervalMs: number): number {
		const readyAt = turns.readyAt(intervalMs);
		// Those that wait less long will be denied as well.
		const before = turns.waiting.filter(
			({ request: ask, expiresAt: until }) => ask.urgency <= urgency && until >= readyAt,
		);
		const freeMs = readyAt - this.now + before.length * intervalMs;
		const spreadMs = (turns.countRecentRequesters(this.now) * intervalMs) / asksEach;
		return Math.max(leastRetryMs, freeMs + this.spreadMs(Math.min(spreadMs, longestSpreadMs)));
	}

	private spreadMs(most: number): number {
		return this.opts.random.next() * most;
	}

	private settle(one: QueuedPermitRequest, isGranted: boolean, retryAfterMs: number): void {
		this.waitingCount--;
		const answer = this.answerTo(one.request, isGranted, retryAfterMs);
		this.answered.set(nameOf(one.request), { answer, at: this.now });
		one.respond(answer);
	}

	private answerTo(ask: PermitRequest, isGranted: boolean, retryAfterMs: number): PermitResponse {
		return { id: ask.id, limit: this.opts.getLimit(ask.limit.engine), isGranted, retryAfterMs };
	}
}

function nameOf({ from, id }: PermitRequest): string {
	return `${from} ${id}`;
}

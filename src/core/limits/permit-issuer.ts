/**
 * Issues permits at the rates that engines name: the most urgent request that waits goes first, and work that comes to one VM alone
 * may use all of it.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { WaitingAsk } from './engine-turns.js';
import { EngineTurns } from './engine-turns.js';
import type { LimitWord, PermitAnswer, PermitAsk } from './types.js';

/** An engine that takes less is asked this often whether it still does, in requests a second. */
export const leastPerS = 0.1;
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
	wordOf: (engine: EngineRef) => LimitWord;
	/** Share of all limits that this VM may issue: the part of the fleet that it hears. */
	share: () => number;
	/** Whether this VM issues permits now. */
	isIssuing: () => boolean;
}

export class PermitIssuer {
	private readonly engines = new Map<EngineRef, EngineTurns>();
	private readonly answered = new Map<string, { answer: PermitAnswer; at: number }>();
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
	ask(ask: PermitAsk, answer: (answer: PermitAnswer) => void): void {
		const known = this.answered.get(nameOf(ask));
		if (known) {
			answer(known.answer);
			return;
		}
		const { engine } = ask.word;
		if (!this.opts.isIssuing()) {
			answer(this.answerTo(ask, false, leastRetryMs + this.spreadMs(notIssuingMs)));
			return;
		}
		const turns = this.turnsOf(engine);
		if (turns.waiting.some((other) => nameOf(other.ask) === nameOf(ask))) {
			return;
		}
		turns.wait({ ask, until: this.now + ask.waitMs, answer }, this.now);
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
			if (turns.countAskers(now) === 0 && this.opts.wordOf(engine).perS === undefined) {
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

	private turnsOf(engine: EngineRef): EngineTurns {
		let turns = this.engines.get(engine);
		if (!turns) {
			turns = new EngineTurns(this.now, this.intervalMs(engine) ?? 0);
			this.engines.set(engine, turns);
		}
		return turns;
	}

	/** Time of one permit, in milliseconds; undefined when the engine names no limit any more. */
	private intervalMs(engine: EngineRef): number | undefined {
		const { perS } = this.opts.wordOf(engine);
		return perS === undefined ? undefined : 1000 / (Math.max(perS, leastPerS) * this.opts.share());
	}

	private issue(engine: EngineRef, turns: EngineTurns): void {
		const { now } = this;
		const intervalMs = this.intervalMs(engine);
		if (intervalMs === undefined) {
			for (const one of turns.waiting.splice(0)) {
				this.settle(one, true, 0);
			}
			return;
		}
		while (turns.waiting.length > 0 && turns.isReady(now, intervalMs)) {
			const next = turns.shift(now, intervalMs);
			if (!next) {
				break;
			}
			turns.take(now, intervalMs);
			this.settle(next, true, 0);
		}
		const late = turns.waiting.filter(({ until }) => now >= until);
		turns.waiting = turns.waiting.filter(({ until }) => now < until);
		for (const one of late) {
			turns.denied(one.ask.urgency, now);
			this.settle(one, false, this.retryAfterMs(turns, one.ask.urgency, intervalMs));
		}
	}

	/** Until a permit for it can be expected, spread so that those denied do not ask again together. */
	private retryAfterMs(turns: EngineTurns, urgency: number, intervalMs: number): number {
		const readyAt = turns.readyAt(intervalMs);
		// Those that wait less long will be denied as well.
		const before = turns.waiting.filter(
			({ ask, until }) => ask.urgency <= urgency && until >= readyAt,
		);
		const freeMs = readyAt - this.now + before.length * intervalMs;
		const spreadMs = (turns.countAskers(this.now) * intervalMs) / asksEach;
		return Math.max(leastRetryMs, freeMs + this.spreadMs(Math.min(spreadMs, longestSpreadMs)));
	}

	private spreadMs(most: number): number {
		return this.opts.random.next() * most;
	}

	private settle(one: WaitingAsk, isGranted: boolean, retryAfterMs: number): void {
		this.waitingCount--;
		const answer = this.answerTo(one.ask, isGranted, retryAfterMs);
		this.answered.set(nameOf(one.ask), { answer, at: this.now });
		one.answer(answer);
	}

	private answerTo(ask: PermitAsk, isGranted: boolean, retryAfterMs: number): PermitAnswer {
		return { id: ask.id, word: this.opts.wordOf(ask.word.engine), isGranted, retryAfterMs };
	}
}

function nameOf({ from, id }: PermitAsk): string {
	return `${from} ${id}`;
}

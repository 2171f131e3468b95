/**
 * Issues permits at the rates that engines name: the most urgent request that waits goes first, and work that comes to one VM alone
 * may use all of it.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { LimitWord, PermitAnswer, PermitAsk } from './types.js';

/**
 * Unused permits are kept up to so many, or as many as come in so many milliseconds: asks come in bursts. The engine's bound leaves
 * room for five requests and half of its limit more.
 */
const leastKept = 3;
const keptMs = 200;
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
/** VMs that asked in this time count as those that will ask again, in milliseconds. */
const askersMs = 1000;
/** Each so many permits go to whoever waits longest, so that no class starves. */
const turnsToLongest = 8;
/** A doubled ask gets the same answer within this time, in milliseconds. */
const rememberedMs = 1000;

interface WaitingAsk {
	ask: PermitAsk;
	until: number;
	answer: (answer: PermitAnswer) => void;
}

/** A VM that asked for permits. */
interface Asker {
	askedAt: number;
	/** When it last got one. */
	grantedAt: number;
}

/** Asks and permits of one engine. All times in monotonic milliseconds. */
class EngineTurns {
	waiting: WaitingAsk[] = [];
	/** VMs that asked lately. */
	private readonly askers = new Map<string, Asker>();
	private granted = 0;

	/** When all that were issued so far have been used up at the engine's rate. */
	private usedUpAt: number;

	/** Nothing is kept at first: another VM may have issued permits just before. */
	constructor(now: number, intervalMs: number) {
		this.usedUpAt = now + aheadMs(intervalMs);
	}

	/** When a permit may be issued. */
	readyAt(intervalMs: number): number {
		return this.usedUpAt - aheadMs(intervalMs);
	}

	/** @returns whether one was ready, which is taken */
	take(now: number, intervalMs: number): boolean {
		// After a change of the rate no more is owed than can have been issued ahead.
		this.usedUpAt = Math.min(this.usedUpAt, now + aheadMs(intervalMs) + intervalMs);
		if (now < this.readyAt(intervalMs)) {
			return false;
		}
		this.usedUpAt = Math.max(this.usedUpAt, now) + intervalMs;
		this.granted++;
		return true;
	}

	/** An ask that waits until its turn, or until its time is over. */
	wait(one: WaitingAsk, now: number): void {
		const { from } = one.ask;
		const grantedAt = this.askers.get(from)?.grantedAt ?? Number.NEGATIVE_INFINITY;
		this.askers.set(from, { askedAt: now, grantedAt });
		this.waiting.push(one);
	}

	/** Takes out the ask whose turn it is: the most urgent, and of several that of the VM that had no permit for longest. */
	shift(now: number): WaitingAsk {
		const [first, ...others] = this.waiting as [WaitingAsk, ...WaitingAsk[]];
		const toLongest = this.granted % turnsToLongest === 0;
		let next = first;
		for (const one of toLongest ? [] : others) {
			next = this.goesBefore(one.ask, next.ask) ? one : next;
		}
		this.waiting = this.waiting.filter((other) => other !== next);
		this.askers.set(next.ask.from, { askedAt: now, grantedAt: now });
		return next;
	}

	/** VMs that asked lately. */
	countAskers(now: number): number {
		for (const [vm, { askedAt }] of this.askers) {
			if (now - askedAt > askersMs) {
				this.askers.delete(vm);
			}
		}
		return this.askers.size;
	}

	private goesBefore(one: PermitAsk, other: PermitAsk): boolean {
		const grantedAt = ({ from }: PermitAsk) => this.askers.get(from)?.grantedAt ?? 0;
		return one.urgency === other.urgency
			? grantedAt(one) < grantedAt(other)
			: one.urgency < other.urgency;
	}
}

/** For how long ahead permits may be issued at once. */
function aheadMs(intervalMs: number): number {
	return Math.max((leastKept - 1) * intervalMs, keptMs - intervalMs);
}

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
				const readyAt = intervalMs === undefined ? this.now : turns.readyAt(intervalMs);
				dueAt = Math.min(dueAt, readyAt, ...turns.waiting.map(({ until }) => until));
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
		const isReady = () => intervalMs === undefined || turns.take(now, intervalMs);
		while (turns.waiting.length > 0 && isReady()) {
			this.settle(turns.shift(now), true, 0);
		}
		if (intervalMs === undefined) {
			return;
		}
		const late = turns.waiting.filter(({ until }) => now >= until);
		turns.waiting = turns.waiting.filter(({ until }) => now < until);
		for (const one of late) {
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

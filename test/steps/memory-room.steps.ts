/**
 * Steps about room in engines' memory.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { AnswerLengths } from '../../src/core/engines/answer-lengths.js';
import { Engine } from '../../src/core/engines/engine.js';
import type { MemoryFit } from '../../src/core/engines/memory-room.js';
import { MemoryRoom, unboundedFit } from '../../src/core/engines/memory-room.js';
import { RequestPlacement } from '../../src/core/relay/request-placement.js';
import type { RelayContext } from '../../src/core/relay/types.js';
import type { EngineModel } from '../../src/core/routing/types.js';
import type { BurstOptions, BurstTally } from './burst-replay.js';
import { BurstReplay } from './burst-replay.js';
import { clockOf, entry, newFleet, noRequestLimits, route, seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const slots = 64;
const heldMs = 1000;
const tokensPerEvent = 5;

/** Of several replays: requests preempted, and shares of prompts in time in the mean. */
type Outcome = Record<'preempted' | 'long' | 'short', number>;

function shareInTime({ inTime, sent }: BurstTally): number {
	return inTime / sent;
}

function roomOf(lengths: AnswerLengths, memoryTokens: number, answerTokens = 250): MemoryRoom {
	const req = { promptTokens: 7000, answerTokens };
	const model = { slots, memoryTokens };
	return new MemoryRoom({ model, req, lengths, heldMs, newsAgeMs: 0 });
}

cucumber.When(
	'{int} long and {int} short prompts a second come for {int} seconds, with memory known and without, on {int} seeds',
	function (this: FleetWorld, longPerS: number, shortPerS: number, seconds: number, seeds: number) {
		const burst = { ...seen<BurstOptions>(this, 'burst'), longPerS, shortPerS, seconds };
		for (const knowsMemory of [true, false]) {
			const outcome: Outcome = { preempted: 0, long: 0, short: 0 };
			for (let seed = 1; seed <= seeds; seed++) {
				const replay = new BurstReplay({ ...burst, knowsMemory, seed });
				replay.play();
				outcome.preempted += replay.preempted;
				outcome.long += shareInTime(replay.long) / seeds;
				outcome.short += shareInTime(replay.short) / seeds;
			}
			this.seen.set(knowsMemory ? 'known' : 'unknown', outcome);
		}
	},
);

cucumber.Then(
	'at most two thirds as many requests are preempted where it is known',
	function (this: FleetWorld) {
		const known = seen<Outcome>(this, 'known').preempted;
		const unknown = seen<Outcome>(this, 'unknown').preempted;
		assert.ok(known * 3 <= unknown * 2, `${known} and ${unknown}`);
	},
);

cucumber.Then(
	'no fewer of the long and at least {int} % of the short prompts are in time there',
	function (this: FleetWorld, leastShort: number) {
		const known = seen<Outcome>(this, 'known');
		const unknown = seen<Outcome>(this, 'unknown');
		assert.ok(known.long >= unknown.long, `${known.long} and ${unknown.long}`);
		assert.ok(known.short * 100 >= leastShort, `${known.short}`);
	},
);

cucumber.Given(
	'news take {int} ms longer from VM to VM',
	function (this: FleetWorld, newsDelayMs: number) {
		Object.assign(seen<BurstOptions>(this, 'burst'), { newsDelayMs });
	},
);

cucumber.Then(
	'no engine is asked for more than {float} times its memory',
	function (this: FleetWorld, most: number) {
		const { peakDemand } = seen<BurstReplay>(this, 'replay');
		assert.ok(peakDemand <= most, `${peakDemand}`);
	},
);

cucumber.Given(
	'answers of {int} expected tokens, one of ten {int} times as long',
	function (this: FleetWorld, expected: number, times: number) {
		const lengths = new AnswerLengths();
		for (let at = 0; at < 400; at++) {
			const tokens = expected * (at % 10 === 7 ? times : 1);
			lengths.seen(Math.ceil(tokens / tokensPerEvent), expected);
		}
		this.seen.set('lengths', lengths);
	},
);

cucumber.Then(
	'an answer is taken to be {float} times as long as expected, within {int} %',
	function (this: FleetWorld, times: number, percent: number) {
		const { mean } = seen<AnswerLengths>(this, 'lengths').spreadOf(250);
		assert.ok(Math.abs(mean / times - 1) * 100 <= percent, `${mean}`);
	},
);

cucumber.Then(
	'an engine of {int} tokens keeps {int} to {int} tokens for {int} of them to grow',
	function (this: FleetWorld, memoryTokens: number, least: number, most: number, count: number) {
		const work = { engine: 1, running: count - 1, promptTokens: 0, memoryTokens: 0 };
		const room = roomOf(seen(this, 'lengths'), memoryTokens);
		const kept = memoryTokens - (room.fit(work, slots, { inUse: 0 }).roomTokens ?? 0);
		assert.ok(kept >= least && kept <= most, `${kept}`);
	},
);

cucumber.Then(
	'at one with {int} requests of {int} tokens it costs others {int} tokens',
	function (this: FleetWorld, running: number, each: number, preempted: number) {
		const { memoryTokens } = seen<EngineModel>(this, 'model');
		const work = { engine: 1, running, promptTokens: 0, memoryTokens: running * each };
		const fit = roomOf(new AnswerLengths(), memoryTokens).fit(work, slots, { inUse: 0 });
		assert.equal(fit.preemptedTokens, preempted);
	},
);

cucumber.Given(
	'an engine of {int} tokens where {int} requests share a part of {int} tokens at the same moment',
	function (this: FleetWorld, memoryTokens: number, count: number, tokens: number) {
		const fleet = newFleet(this);
		const room = roomOf(new AnswerLengths(), memoryTokens);
		const [engine, part] = [new Engine(entry('a')), { id: 'shared', tokens }];
		const fits: MemoryFit[] = [];
		for (let at = 0; at < count; at++) {
			const kept = fleet.keptBy([part], heldMs).get(engine.ref) ?? { inUse: 0 };
			fits.push(room.fit(fleet.workAt(engine.key), slots, kept));
			fleet.read([part], engine.key, false);
		}
		this.seen.set('fits', fits);
		this.seen.set('alone', room.fit(fleet.workAt(engine.key), slots, { inUse: tokens }));
	},
);

cucumber.Then(
	'they need {int} tokens more than {int} that share nothing',
	function (this: FleetWorld, more: number, count: number) {
		const need = seen<MemoryFit[]>(this, 'fits').reduce((sum, fit) => sum + fit.needTokens, 0);
		const without = seen<MemoryFit>(this, 'alone').needTokens * count;
		// Needs are rounded up to whole blocks.
		assert.ok(Math.abs(need - without - more) < 64 * count, `${need - without}`);
	},
);

cucumber.Given('engines of {int} tokens', function (this: FleetWorld, memoryTokens: number) {
	this.seen.set('model', { slots, memoryTokens });
});

cucumber.When(
	'a prompt of {int} tokens comes with {int} ms left',
	function (this: FleetWorld, promptTokens: number, deadlineMs: number) {
		const engine = new Engine(entry('a'));
		const clock = clockOf(this);
		const ctx = {
			clock,
			engines: { offered: () => [engine], restLeftMs: () => 0 },
			placement: { choose: () => ({ engine, memory: unboundedFit }) },
			limits: noRequestLimits,
		} as unknown as RelayContext;
		const req = { promptTokens, answerTokens: 10, deadlineMs, arrivedAt: clock.sinceBoot() };
		const terms = { req, route: route({}), service: 'pool', model: seen(this, 'model') };
		const told: { placed?: string; retryAfterS?: number } = {};
		const placement = new RequestPlacement({
			ctx,
			terms: terms as never,
			outcome: { log() {} } as never,
			onPlaced: (placed) => Object.assign(told, { placed: placed.engine.id }),
			onRefused: (_, retryAfterS) => Object.assign(told, { retryAfterS }),
		});
		placement.next();
		this.seen.set('told', told);
	},
);

cucumber.Then(
	'it is sent nowhere, and may come back after {int} s',
	function (this: FleetWorld, retryAfterS: number) {
		assert.deepEqual(seen(this, 'told'), { retryAfterS });
	},
);

cucumber.Then('it is sent to an engine', function (this: FleetWorld) {
	assert.deepEqual(seen(this, 'told'), { placed: 'a' });
});

/**
 * Steps about learning what work costs, before engines in simulated time.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { encodeNews } from '../../src/infra/relay/news-codec.js';
import { newsIn } from '../../src/infra/relay/peer-datagrams.js';
import { BatchEngine } from '../stand-ins/batch-engine.js';
import { observed } from './observed-answer.js';
import { gossipMessage, seededRandom, seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
const engineCount = 6;
const chunkTokens = 2048;
const stepMsPerStream = 0.029;
/** Times and sizes vary like those of callers; the same on every run. */
const firstSeed = 7;

interface Speed {
	readPerMs: number;
	stepMs: number;
	tokensPerEvent: number;
}

/** Sends requests to one engine and tells the model what its answers show. */
function observe(model: CostModel, speed: Speed, seconds: number, perS: number, seed: number) {
	const next = seededRandom(seed);
	const engine = new BatchEngine({
		...speed,
		chunkTokens,
		stepMsPerStream,
		slots: 64,
		wayMs: 2,
	});
	let unread = 0;
	for (let at = 0; at < seconds * 1000; at += (-Math.log(1 - next()) * 1000) / perS) {
		engine.runUntil(at);
		const promptTokens = Math.round(next() < 0.5 ? 200 + next() * 800 : 1500 + next() * 6000);
		const answerTokens = Math.round(60 + next() * 400);
		const expectedTokens = answerTokens * Math.exp(next() - 0.5);
		const aheadTokens = unread;
		unread += promptTokens;
		const sizes = { promptTokens, answerTokens, aheadTokens, expectedTokens };
		const onFirst = () => {
			unread -= promptTokens;
		};
		engine.send(observed(model, { service, sentAt: at, ...sizes, onFirst }));
	}
	engine.runUntil(seconds * 1000);
}

function assertWithin(value: number, expected: number, percent: number): void {
	const off = Math.abs(value / expected - 1) * 100;
	assert.ok(off <= percent, `${value} for ${expected}: ${off.toFixed(1)} % off`);
}

cucumber.Given(
	'engines that read {float} prompt tokens a ms and make a token in {float} ms, {int} an event',
	function (this: FleetWorld, readPerMs: number, stepMs: number, tokensPerEvent: number) {
		this.seen.set('speed', { readPerMs, stepMs, tokensPerEvent });
		this.seen.set('model', new CostModel());
	},
);

cucumber.When(
	'their answers of {int} s at {int} requests a second each have been seen',
	function (this: FleetWorld, seconds: number, perS: number) {
		for (let engine = 0; engine < engineCount; engine++) {
			const seed = firstSeed + engine;
			observe(seen(this, 'model'), seen(this, 'speed'), seconds, perS, seed);
		}
	},
);

cucumber.Then(
	'reading is estimated within {int} % of {float} tokens a ms and the steps between',
	function (this: FleetWorld, percent: number, readPerMs: number) {
		const { stepMs } = seen<Speed>(this, 'speed');
		const expected = 1 / readPerMs + stepMs / chunkTokens;
		assertWithin(seen<CostModel>(this, 'model').of(service).readMsPerToken, expected, percent);
	},
);

cucumber.Then(
	'a pause between events is estimated within {int} % of {int} steps',
	function (this: FleetWorld, percent: number, steps: number) {
		const { stepMs } = seen<Speed>(this, 'speed');
		const { eventIntervalMs: eventMs } = seen<CostModel>(this, 'model').of(service);
		assertWithin(eventMs, steps * stepMs, percent);
	},
);

cucumber.Then(
	'an answer of {int} tokens is estimated within {int} % of its steps',
	function (this: FleetWorld, tokens: number, percent: number) {
		const { stepMs } = seen<Speed>(this, 'speed');
		const { answerMsPerToken } = seen<CostModel>(this, 'model').of(service);
		assertWithin(tokens * answerMsPerToken, tokens * stepMs, percent);
	},
);

cucumber.When('one first event comes {int} s late', function (this: FleetWorld, seconds: number) {
	const wild = { promptTokens: 3000, aheadTokens: 0, copiedTokens: 0, delayMs: seconds * 1000 };
	const at = 30_000;
	seen<CostModel>(this, 'model').recordFirstEvent(service, {
		...wild,
		engine: 1,
		at,
		isQueued: false,
	});
});

cucumber.When('another VM starts and hears the news of the first', function (this: FleetWorld) {
	const told = gossipMessage({ costs: seen<CostModel>(this, 'model').export([]) });
	const other = new CostModel();
	other.merge('vm-1', newsIn(encodeNews(told))?.costs ?? []);
	this.seen.set('other', other);
});

cucumber.Then(
	"the other VM's figures are those of the first within {int} %",
	function (this: FleetWorld, percent: number) {
		const first = seen<CostModel>(this, 'model').of(service);
		const other = seen<CostModel>(this, 'other').of(service);
		assertWithin(other.readMsPerToken, first.readMsPerToken, percent);
		assertWithin(other.eventIntervalMs, first.eventIntervalMs, percent);
		assertWithin(other.answerMsPerToken, first.answerMsPerToken, percent);
	},
);

cucumber.Given('a VM that has seen nothing', function (this: FleetWorld) {
	const model = new CostModel();
	this.seen.set('model', model);
	this.seen.set('before', model.of(service));
});

cucumber.Then(
	'reading is estimated at {int} tokens a ms',
	function (this: FleetWorld, readPerMs: number) {
		assertWithin(seen<CostModel>(this, 'model').of(service).readMsPerToken, 1 / readPerMs, 1);
	},
);

cucumber.When(
	'{int} first events come at once and {int} pauses last nothing',
	function (this: FleetWorld, firsts: number, pauses: number) {
		const model = seen<CostModel>(this, 'model');
		for (let at = 0; at < firsts; at++) {
			const promptTokens = 100 * (1 + (at % 50));
			const sizes = { promptTokens, aheadTokens: 0, copiedTokens: 0 };
			model.recordFirstEvent(service, { ...sizes, delayMs: 0, engine: 1, at, isQueued: false });
		}
		for (let at = 0; at < pauses; at++) {
			model.recordPause(service, { ms: 0, engine: 1, at, undisturbedMs: 0 });
		}
	},
);

cucumber.Then('no figure is below a twentieth of where it began', function (this: FleetWorld) {
	const before = Object.entries(seen<Record<string, number>>(this, 'before'));
	const now = seen<CostModel>(this, 'model').of(service) as unknown as Record<string, number>;
	for (const [name, value] of before) {
		assert.ok((now[name] ?? 0) >= value / 20 - 1e-9, `${name}: ${now[name]} from ${value}`);
	}
});

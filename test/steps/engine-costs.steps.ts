/**
 * Steps for cost estimation, with engines in simulated time.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { encodeGossip } from '../../src/infra/relay/gossip-codec.js';
import { decodeGossipDatagram } from '../../src/infra/relay/peer-datagram-socket.js';
import { BatchEngine } from '../stand-ins/batch-engine.js';
import { observedRequest } from './observed-request.js';
import { gossipMessage, seededRandom, seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
const engineCount = 6;
const chunkTokens = 2048;
const stepMsPerStream = 0.029;
/** Seed of the pseudo-random request times and sizes. */
const firstSeed = 7;

interface Speed {
	prefillTokensPerMs: number;
	stepMs: number;
	tokensPerEvent: number;
}

/** Sends requests to one engine and records its answers in the cost model. */
function observe(model: CostModel, speed: Speed, seconds: number, perS: number, seed: number) {
	const next = seededRandom(seed);
	const engine = new BatchEngine({
		...speed,
		prefillChunkTokens: chunkTokens,
		stepMsPerStream,
		slots: 64,
		networkDelayMs: 2,
	});
	let unreadTokens = 0;
	for (let at = 0; at < seconds * 1000; at += (-Math.log(1 - next()) * 1000) / perS) {
		engine.runUntil(at);
		const promptTokens = Math.round(next() < 0.5 ? 200 + next() * 800 : 1500 + next() * 6000);
		const answerTokens = Math.round(60 + next() * 400);
		const expectedTokens = answerTokens * Math.exp(next() - 0.5);
		const aheadTokens = unreadTokens;
		unreadTokens += promptTokens;
		const sizes = { promptTokens, answerTokens, aheadTokens, expectedTokens };
		const onFirst = () => {
			unreadTokens -= promptTokens;
		};
		engine.send(observedRequest(model, { service, sentAt: at, ...sizes, onFirst }));
	}
	engine.runUntil(seconds * 1000);
}

function assertWithin(value: number, expected: number, percent: number): void {
	const errorPercent = Math.abs(value / expected - 1) * 100;
	assert.ok(errorPercent <= percent, `${value} for ${expected}: ${errorPercent.toFixed(1)} % off`);
}

cucumber.Given(
	'engines that read {float} prompt tokens per ms and generate a token in {float} ms, {int} per event',
	function (this: FleetWorld, prefillTokensPerMs: number, stepMs: number, tokensPerEvent: number) {
		this.state.set('speed', { prefillTokensPerMs, stepMs, tokensPerEvent });
		this.state.set('model', new CostModel());
	},
);

cucumber.When(
	'{int} s of their answers are observed, at {int} requests a second per engine',
	function (this: FleetWorld, seconds: number, perS: number) {
		for (let engine = 0; engine < engineCount; engine++) {
			const seed = firstSeed + engine;
			observe(seen(this, 'model'), seen(this, 'speed'), seconds, perS, seed);
		}
	},
);

cucumber.Then(
	'reading is estimated within {int} % of {float} tokens per ms plus interleaved steps',
	function (this: FleetWorld, percent: number, prefillTokensPerMs: number) {
		const { stepMs } = seen<Speed>(this, 'speed');
		const expected = 1 / prefillTokensPerMs + stepMs / chunkTokens;
		assertWithin(seen<CostModel>(this, 'model').of(service).readMsPerToken, expected, percent);
	},
);

cucumber.Then(
	'the event interval is estimated within {int} % of {int} steps',
	function (this: FleetWorld, percent: number, steps: number) {
		const { stepMs } = seen<Speed>(this, 'speed');
		const { eventIntervalMs } = seen<CostModel>(this, 'model').of(service);
		assertWithin(eventIntervalMs, steps * stepMs, percent);
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

cucumber.When('one first event takes {int} s', function (this: FleetWorld, seconds: number) {
	const outlier = { promptTokens: 3000, aheadTokens: 0, copiedTokens: 0, delayMs: seconds * 1000 };
	const at = 30_000;
	seen<CostModel>(this, 'model').recordFirstEvent(service, {
		...outlier,
		engine: 1,
		at,
		isQueued: false,
	});
});

cucumber.When('another VM starts and merges the gossip of the first', function (this: FleetWorld) {
	const gossip = gossipMessage({ costs: seen<CostModel>(this, 'model').export([]) });
	const other = new CostModel();
	other.merge('vm-1', decodeGossipDatagram(encodeGossip(gossip))?.costs ?? []);
	this.state.set('other', other);
});

cucumber.Then(
	"the other VM's estimates match those of the first within {int} %",
	function (this: FleetWorld, percent: number) {
		const first = seen<CostModel>(this, 'model').of(service);
		const other = seen<CostModel>(this, 'other').of(service);
		assertWithin(other.readMsPerToken, first.readMsPerToken, percent);
		assertWithin(other.eventIntervalMs, first.eventIntervalMs, percent);
		assertWithin(other.answerMsPerToken, first.answerMsPerToken, percent);
	},
);

cucumber.Given('a VM without observations', function (this: FleetWorld) {
	const model = new CostModel();
	this.state.set('model', model);
	this.state.set('before', model.of(service));
});

cucumber.Then(
	'reading is estimated at {int} tokens per ms',
	function (this: FleetWorld, prefillTokensPerMs: number) {
		assertWithin(
			seen<CostModel>(this, 'model').of(service).readMsPerToken,
			1 / prefillTokensPerMs,
			1,
		);
	},
);

cucumber.When(
	'{int} first events and {int} pauses of 0 ms are observed',
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

cucumber.Then('no estimate is below a twentieth of its prior', function (this: FleetWorld) {
	const before = Object.entries(seen<Record<string, number>>(this, 'before'));
	const now = seen<CostModel>(this, 'model').of(service) as unknown as Record<string, number>;
	for (const [name, value] of before) {
		assert.ok((now[name] ?? 0) >= value / 20 - 1e-9, `${name}: ${now[name]} from ${value}`);
	}
});

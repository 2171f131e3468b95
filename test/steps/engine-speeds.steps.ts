/**
 * Steps about the pace of single engines: replayed load on uneven engines, and what VMs tell each other of them.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import type { Pace } from '../../src/core/engines/engine-pace.js';
import { encodeNews } from '../../src/infra/relay/news-codec.js';
import type { BurstOptions } from './burst-replay.js';
import { BurstReplay } from './burst-replay.js';
import { gossipMessage, seededRandom, seen } from './relay-fakes.js';
import type { SimulatedFleet, SimulatedVm } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
/** Each third of the engines. */
const paces = [0.6, 1, 1.6];
/** Noise that comes and goes: share of the time, how much slower, and how long it stays, in milliseconds. */
const noise = { share: 0.15, slower: 2.5, ms: 600 };

/** The same for an engine and a time on every run, whoever asks. */
function noiseAt(engine: number, ms: number): number {
	const next = seededRandom(engine * 7919 + Math.floor(ms / noise.ms) * 104_729 + 17);
	next();
	next();
	return next() < noise.share ? noise.slower : 1;
}

function shareOf(
	replay: BurstReplay,
	fromMs: number,
	toMs: number,
	isMeant: (e: number) => boolean,
) {
	const placed = replay.placed.filter(({ at }) => at >= fromMs && at < toMs);
	return placed.filter(({ engine }) => isMeant(engine)).length / placed.length;
}

function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

cucumber.Given(
	'engines at 0.6, 1 and 1.6 times the usual time, with noise',
	function (this: FleetWorld) {
		const paceOf = (engine: number, ms: number) => (paces[engine % 3] ?? 1) * noiseAt(engine, ms);
		Object.assign(seen<BurstOptions>(this, 'burst'), { paceOf });
	},
);

cucumber.Given(
	'each tenth engine takes {int} times as long from {int} s to {int} s, and all have noise',
	function (this: FleetWorld, slower: number, from: number, to: number) {
		const isSlow = (engine: number, ms: number) => {
			return engine % 10 === 0 && ms >= from * 1000 && ms < to * 1000;
		};
		const paceOf = (engine: number, ms: number) => {
			return noiseAt(engine, ms) * (isSlow(engine, ms) ? slower : 1);
		};
		Object.assign(seen<BurstOptions>(this, 'burst'), { paceOf });
	},
);

cucumber.Then(
	'from {int} s on each third of the engines gets its share of the work, the fast ones no less and the slow ones no more',
	function (this: FleetWorld, from: number) {
		const replay = seen<BurstReplay>(this, 'replay');
		const speeds = paces.map((pace) => 1 / pace);
		const all = speeds.reduce((sum, speed) => sum + speed, 0);
		const [fast = 0, , slow = 1] = paces.map((_, at) => {
			const share = shareOf(replay, from * 1000, Infinity, (engine) => engine % 3 === at);
			return (share * all) / (speeds[at] ?? 1);
		});
		assert.ok(fast >= 1 && slow <= 1, `${fast.toFixed(2)} and ${slow.toFixed(2)}`);
	},
);

/** The same load, placed with full knowledge. */
function atBest(world: FleetWorld): BurstReplay {
	const load = seen<BurstReplay>(world, 'replay').opts;
	const known = seen<BurstReplay>(world, 'known') ?? new BurstReplay({ ...load, knowsAll: true });
	if (known.placed.length === 0) {
		known.play();
		world.seen.set('known', known);
	}
	return known;
}

cucumber.Then(
	'at least {float} times as many prompts are in time as with full knowledge of all engines',
	function (this: FleetWorld, least: number) {
		const inTime = ({ long, short }: BurstReplay) => long.inTime + short.inTime;
		const ratio = inTime(seen<BurstReplay>(this, 'replay')) / inTime(atBest(this));
		assert.ok(ratio >= least, `${ratio}`);
	},
);

cucumber.Then(
	'waits are at most {float} times as long in the median',
	function (this: FleetWorld, most: number) {
		const medianOf = ({ long, short }: BurstReplay) => median([...long.waits, ...short.waits]);
		const ratio = medianOf(seen<BurstReplay>(this, 'replay')) / medianOf(atBest(this));
		assert.ok(ratio <= most, `${ratio}`);
	},
);

/** What the tenth of the engines gets, over its share by number. */
function tenthOf(world: FleetWorld, from: number, to: number): number {
	const replay = seen<BurstReplay>(world, 'replay');
	const meant = Math.ceil(replay.opts.engines / 10) / replay.opts.engines;
	return shareOf(replay, from * 1000, to * 1000, (engine) => engine % 10 === 0) / meant;
}

cucumber.Then(
	'those engines get at most {float} of their share from {float} s to {float} s',
	function (this: FleetWorld, most: number, from: number, to: number) {
		const share = tenthOf(this, from, to);
		assert.ok(share <= most, `${share}`);
	},
);

cucumber.Then(
	'they get at least {float} of their share from {float} s to {float} s, and each at least one prompt from {float} s on',
	function (this: FleetWorld, least: number, from: number, to: number, slowFrom: number) {
		const share = tenthOf(this, from, to);
		assert.ok(share >= least, `${share}`);
		const { placed } = seen<BurstReplay>(this, 'replay');
		const during = placed.filter(({ at }) => at >= slowFrom * 1000 && at < to * 1000);
		const slow = during.map(({ engine }) => engine).filter((engine) => engine % 10 === 0);
		assert.equal(new Set(slow).size, 7);
	},
);

/** Answers of some engines for a while, each with a prompt of its own and pauses, by the pace of each. */
function observe(model: CostModel, from: number, ms: number, paceOf: (engine: number) => number) {
	for (let at = from; at < from + ms; at += 100) {
		for (let engine = 1; engine <= 20; engine++) {
			const pace = paceOf(engine);
			const sizes = { promptTokens: 2000, aheadTokens: 0, copiedTokens: 0, isQueued: false };
			if (engine % 10 === (at / 100) % 10) {
				model.recordFirstEvent(service, { ...sizes, delayMs: 50 * pace, engine, at });
			}
			model.recordPause(service, { ms: 20 * pace, engine, at, undisturbedMs: 20 * pace });
		}
	}
}

cucumber.When(
	'one VM that is no aggregator sees one of 20 engines take {int} times as long as the others',
	function (this: FleetWorld, slower: number) {
		const fleet = seen<SimulatedFleet>(this, 'simulated');
		fleet.run(1000);
		const vm = fleet.running.find(
			(vm) => vm.fleet.aggregatorIntervalMs !== undefined,
		) as SimulatedVm;
		for (let passed = 0; passed < 2000; passed += 100) {
			observe(vm.costs, fleet.clock.now, 100, (engine) => (engine === 1 ? slower : 1));
			fleet.run(100);
		}
		this.seen.set('observer', vm);
	},
);

cucumber.Then(
	'all VMs expect it to take {float} to {float} times as long as the others',
	function (this: FleetWorld, least: number, most: number) {
		const fleet = seen<SimulatedFleet>(this, 'simulated');
		for (const { registration: listed, costs } of fleet.running) {
			const [slow, usual] = [1, 2].map(
				(engine) => costs.ofEngine(service, engine, fleet.clock.now).eventIntervalMs,
			);
			const ratio = (slow ?? 0) / (usual ?? 1);
			assert.ok(ratio >= least && ratio <= most, `${listed.name}: ${ratio}`);
		}
	},
);

cucumber.When('that VM is killed', function (this: FleetWorld) {
	seen<SimulatedFleet>(this, 'simulated').kill(seen<SimulatedVm>(this, 'observer'));
});

cucumber.Given(
	'a VM that saw engine "a" take {float} times as long as 9 others for {int} s',
	function (this: FleetWorld, slower: number, seconds: number) {
		const model = new CostModel();
		observe(model, 0, seconds * 1000, (engine) => (engine === 1 ? slower : 1));
		this.seen.set('model', model);
		this.seen.set('now', seconds * 1000);
	},
);

cucumber.When(
	'engine "a" takes {float} times as long again for {int} ms',
	function (this: FleetWorld, slower: number, ms: number) {
		const now = seen<number>(this, 'now');
		const paceOf = (engine: number) => (engine === 1 ? 1.6 * slower : 1);
		observe(seen<CostModel>(this, 'model'), now, ms, paceOf);
		this.seen.set('now', now + ms);
	},
);

cucumber.When('engine "a" starts anew', function (this: FleetWorld) {
	seen<CostModel>(this, 'model').paces.removeEngine(1);
});

function assertPace({ reading, steps }: Pace, least: number, most: number): void {
	for (const pace of [reading, steps]) {
		assert.ok(pace >= least && pace <= most, `${pace}`);
	}
}

cucumber.Then(
	/^it expects ([\d.]+) to ([\d.]+) times as long of it( in|, in) the mean of half a minute( too)?$/,
	function (this: FleetWorld, least: string, most: string, _in: string, too: string | undefined) {
		const { paces: speeds } = seen<CostModel>(this, 'model');
		const now = seen<number>(this, 'now');
		assertPace(speeds.steadyPace(service, 1, now), Number(least), Number(most));
		if (too) {
			assertPace(speeds.pace(service, 1, now), Number(least), Number(most));
		}
	},
);

cucumber.Given('a VM that saw 940 engines', function (this: FleetWorld) {
	const model = new CostModel();
	for (let at = 0; at < 2000; at += 100) {
		for (let engine = 1; engine <= 940; engine++) {
			const ms = engine % 100 === 0 ? 100 : 20;
			model.recordPause(service, { ms, engine: engine * 4_000_000, at, undisturbedMs: ms });
		}
	}
	this.seen.set('model', model);
});

cucumber.Then(
	'its news of speeds take at most {int} bytes',
	function (this: FleetWorld, most: number) {
		const speeds = seen<CostModel>(this, 'model').paces.export([], 2000, 24);
		const bytes =
			encodeNews(gossipMessage({ speeds })).length - encodeNews(gossipMessage({})).length;
		assert.ok(bytes <= most, `${bytes}`);
	},
);

cucumber.Then(
	'each engine is told of within {int} of them, those that turned slow within {int}',
	function (this: FleetWorld, all: number, turned: number) {
		const { paces: speeds } = seen<CostModel>(this, 'model');
		const told = (times: number) => {
			const news = Array.from({ length: times }, () => speeds.export([], 2000, 24));
			return new Set(
				news.flatMap((sums) => sums.flatMap(({ engines }) => engines)).map((e) => e.engine),
			);
		};
		const first = [...told(turned)];
		assert.equal(first.filter((engine) => (engine / 4_000_000) % 100 === 0).length, 9);
		assert.equal(told(all).size, 940);
	},
);

/**
 * Steps for the pace of single engines: replayed load on uneven engines, and gossip about paces.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import type { Pace } from '../../src/core/engines/engine-pace.js';
import { encodeGossip } from '../../src/infra/relay/gossip-codec.js';
import type { BurstOptions } from './burst-replay.js';
import { BurstReplay } from './burst-replay.js';
import { gossipMessage, seededRandom, seen } from './relay-fakes.js';
import type { SimulatedFleet, SimulatedVm } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
/** Paces, each of a third of the engines. */
const paces = [0.6, 1, 1.6];
/** Intermittent noise: share of the time, slowdown factor, and duration in milliseconds. */
const noise = { share: 0.15, slowdown: 2.5, ms: 600 };

/** Slowdown of an engine at a time; deterministic. */
function noiseAt(engine: number, ms: number): number {
	const next = seededRandom(engine * 7919 + Math.floor(ms / noise.ms) * 104_729 + 17);
	next();
	next();
	return next() < noise.share ? noise.slowdown : 1;
}

function shareOf(
	replay: BurstReplay,
	fromMs: number,
	toMs: number,
	isSelected: (engine: number) => boolean,
) {
	const placed = replay.placed.filter(({ at }) => at >= fromMs && at < toMs);
	return placed.filter(({ engine }) => isSelected(engine)).length / placed.length;
}

function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

cucumber.Given('engines of pace 0.6, 1 and 1.6, with noise', function (this: FleetWorld) {
	const paceOf = (engine: number, ms: number) => (paces[engine % 3] ?? 1) * noiseAt(engine, ms);
	Object.assign(seen<BurstOptions>(this, 'burst'), { paceOf });
});

cucumber.Given(
	'every tenth engine is {int} times slower from {int} s to {int} s, and all have noise',
	function (this: FleetWorld, slowdown: number, from: number, to: number) {
		const isSlow = (engine: number, ms: number) => {
			return engine % 10 === 0 && ms >= from * 1000 && ms < to * 1000;
		};
		const paceOf = (engine: number, ms: number) => {
			return noiseAt(engine, ms) * (isSlow(engine, ms) ? slowdown : 1);
		};
		Object.assign(seen<BurstOptions>(this, 'burst'), { paceOf });
	},
);

cucumber.Then(
	'from {int} s on the fast third of the engines gets at least its share of the work, and the slow third at most its share',
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

/** The same load, placed with exact knowledge of all paces. */
function replayWithExactPaces(world: FleetWorld): BurstReplay {
	const load = seen<BurstReplay>(world, 'replay').opts;
	const exact =
		seen<BurstReplay>(world, 'exact') ?? new BurstReplay({ ...load, knowsExactPaces: true });
	if (exact.placed.length === 0) {
		exact.play();
		world.state.set('exact', exact);
	}
	return exact;
}

cucumber.Then(
	'at least {float} times as many prompts are in time as with exact knowledge of all paces',
	function (this: FleetWorld, min: number) {
		const inTime = ({ long, short }: BurstReplay) => long.inTime + short.inTime;
		const ratio = inTime(seen<BurstReplay>(this, 'replay')) / inTime(replayWithExactPaces(this));
		assert.ok(ratio >= min, `${ratio}`);
	},
);

cucumber.Then(
	'the median wait is at most {float} times as long',
	function (this: FleetWorld, max: number) {
		const medianOf = ({ long, short }: BurstReplay) => median([...long.waits, ...short.waits]);
		const ratio =
			medianOf(seen<BurstReplay>(this, 'replay')) / medianOf(replayWithExactPaces(this));
		assert.ok(ratio <= max, `${ratio}`);
	},
);

/** Share of the work that the slow tenth of the engines gets, relative to its share of the engines. */
function relativeShareOfSlowTenth(world: FleetWorld, from: number, to: number): number {
	const replay = seen<BurstReplay>(world, 'replay');
	const expected = Math.ceil(replay.opts.engines / 10) / replay.opts.engines;
	return shareOf(replay, from * 1000, to * 1000, (engine) => engine % 10 === 0) / expected;
}

cucumber.Then(
	'the slow engines get at most {float} of their share from {float} s to {float} s',
	function (this: FleetWorld, max: number, from: number, to: number) {
		const share = relativeShareOfSlowTenth(this, from, to);
		assert.ok(share <= max, `${share}`);
	},
);

cucumber.Then(
	'they get at least {float} of their share from {float} s to {float} s, and each gets a prompt from {float} s on',
	function (this: FleetWorld, min: number, from: number, to: number, slowFrom: number) {
		const share = relativeShareOfSlowTenth(this, from, to);
		assert.ok(share >= min, `${share}`);
		const { placed } = seen<BurstReplay>(this, 'replay');
		const during = placed.filter(({ at }) => at >= slowFrom * 1000 && at < to * 1000);
		const slow = during.map(({ engine }) => engine).filter((engine) => engine % 10 === 0);
		assert.equal(new Set(slow).size, 7);
	},
);

/** Records answers of 20 engines for a while, with first events and pauses by the pace of each. */
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
	'a VM that is not an aggregator observes one of 20 engines taking {int} times as long as the others',
	function (this: FleetWorld, slowdown: number) {
		const fleet = seen<SimulatedFleet>(this, 'simulated');
		fleet.run(1000);
		const vm = fleet.running.find(
			(vm) => vm.fleet.aggregatorIntervalMs !== undefined,
		) as SimulatedVm;
		for (let passed = 0; passed < 2000; passed += 100) {
			observe(vm.costs, fleet.clock.now, 100, (engine) => (engine === 1 ? slowdown : 1));
			fleet.run(100);
		}
		this.state.set('observer', vm);
	},
);

cucumber.Then(
	'all VMs estimate that it takes {float} to {float} times as long as the others',
	function (this: FleetWorld, min: number, max: number) {
		const fleet = seen<SimulatedFleet>(this, 'simulated');
		for (const { registration: listed, costs } of fleet.running) {
			const [slow, nominal] = [1, 2].map(
				(engine) => costs.ofEngine(service, engine, fleet.clock.now).eventIntervalMs,
			);
			const ratio = (slow ?? 0) / (nominal ?? 1);
			assert.ok(ratio >= min && ratio <= max, `${listed.name}: ${ratio}`);
		}
	},
);

cucumber.When('that VM is killed', function (this: FleetWorld) {
	seen<SimulatedFleet>(this, 'simulated').kill(seen<SimulatedVm>(this, 'observer'));
});

cucumber.Given(
	'a VM that observed engine "a" taking {float} times as long as 19 others for {int} s',
	function (this: FleetWorld, slowdown: number, seconds: number) {
		const model = new CostModel();
		observe(model, 0, seconds * 1000, (engine) => (engine === 1 ? slowdown : 1));
		this.state.set('model', model);
		this.state.set('now', seconds * 1000);
	},
);

cucumber.When(
	'engine "a" is another {float} times slower for {int} ms',
	function (this: FleetWorld, slowdown: number, ms: number) {
		const now = seen<number>(this, 'now');
		const paceOf = (engine: number) => (engine === 1 ? 1.6 * slowdown : 1);
		observe(seen<CostModel>(this, 'model'), now, ms, paceOf);
		this.state.set('now', now + ms);
	},
);

cucumber.When('engine "a" restarts', function (this: FleetWorld) {
	seen<CostModel>(this, 'model').paces.removeEngine(1);
});

function assertPace({ reading, steps }: Pace, min: number, max: number): void {
	for (const pace of [reading, steps]) {
		assert.ok(pace >= min && pace <= max, `${pace}`);
	}
}

cucumber.Then(
	/^it estimates the steady( and the current)? pace of it at ([\d.]+) to ([\d.]+)$/,
	function (this: FleetWorld, both: string | undefined, min: string, max: string) {
		const { paces: enginePaces } = seen<CostModel>(this, 'model');
		const now = seen<number>(this, 'now');
		assertPace(enginePaces.getSteadyPace(service, 1, now), Number(min), Number(max));
		if (both) {
			assertPace(enginePaces.getPace(service, 1, now), Number(min), Number(max));
		}
	},
);

cucumber.Given('a VM with observations of 940 engines', function (this: FleetWorld) {
	const model = new CostModel();
	for (let at = 0; at < 2000; at += 100) {
		for (let engine = 1; engine <= 940; engine++) {
			const ms = engine % 100 === 0 ? 100 : 20;
			model.recordPause(service, { ms, engine: engine * 4_000_000, at, undisturbedMs: ms });
		}
	}
	this.state.set('model', model);
});

cucumber.Then(
	'its exported paces take at most {int} bytes',
	function (this: FleetWorld, max: number) {
		const speeds = seen<CostModel>(this, 'model').paces.export([], 2000, 24);
		const bytes =
			encodeGossip(gossipMessage({ paces: speeds })).length -
			encodeGossip(gossipMessage({})).length;
		assert.ok(bytes <= max, `${bytes}`);
	},
);

cucumber.Then(
	'each engine is exported within {int} messages, and each slow one within {int}',
	function (this: FleetWorld, maxAll: number, maxSlow: number) {
		const { paces: enginePaces } = seen<CostModel>(this, 'model');
		const exportedEngines = (messages: number) => {
			const gossip = Array.from({ length: messages }, () => enginePaces.export([], 2000, 24));
			return new Set(
				gossip.flatMap((sums) => sums.flatMap(({ engines }) => engines)).map((e) => e.engine),
			);
		};
		const first = [...exportedEngines(maxSlow)];
		assert.equal(first.filter((engine) => (engine / 4_000_000) % 100 === 0).length, 9);
		assert.equal(exportedEngines(maxAll).size, 940);
	},
);

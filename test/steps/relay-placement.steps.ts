/**
 * Steps about where requests go: work, divisions, waiting, health of engines.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { Engine } from '../../src/core/engines/engine.js';
import { EngineHealth } from '../../src/core/engines/engine-health.js';
import { EnginePartition } from '../../src/core/engines/engine-partition.js';
import { EnginePlacement } from '../../src/core/engines/placement.js';
import type { Placement, PlacementRequest } from '../../src/core/engines/placement-types.js';
import type { CostEstimates } from '../../src/core/engines/work-estimate.js';
import { longPromptWorkMs, shortPromptWorkMs } from '../../src/core/engines/work-estimate.js';
import type { FleetView } from '../../src/core/fleet/fleet-view.js';
import type { CallerRequest } from '../../src/core/relay/definitions.js';
import * as platform from '../../src/platform/index.js';
import { clockOf, entry, newFleetView, seededRandom, seen, unlimited } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

cucumber.Given(
	'engines that read {int} tokens a ms and make one in {int} ms',
	function (this: FleetWorld, readPerMs: number, answerMsPerToken: number) {
		const learned = new CostModel().of('pool');
		this.seen.set('costs', { ...learned, readMsPerToken: 1 / readPerMs, answerMsPerToken });
	},
);

cucumber.Then(
	'a {word} prompt of {int} and an answer of {int} tokens keep an engine of {int} slots busy for {int} to {int} ms',
	function (
		this: FleetWorld,
		kind: string,
		promptTokens: number,
		answerTokens: number,
		slots: number,
		least: number,
		most: number,
	) {
		const costs = seen<CostEstimates>(this, 'costs');
		const workMs = kind === 'long' ? longPromptWorkMs : shortPromptWorkMs;
		const ms = workMs(costs, { promptTokens, answerTokens }, slots);
		assert.ok(ms >= least && ms <= most, `${ms} ms`);
	},
);

export function startEngines(world: FleetWorld, count: number): void {
	const fleet = newFleetView(world);
	const ids = Array.from({ length: count }, (_, at) => `engine-${at}`);
	world.seen.set('fleet', fleet);
	world.seen.set(
		'engines',
		ids.map((id, at) => new Engine({ ...entry(id), address: `10.0.0.${at}:80` })),
	);
	const connected = new Set<string>();
	world.seen.set('connected', connected);
	const random = { next: () => 0.5, hex: () => '' };
	world.seen.set('ports', { random });
	const hasFree = (address: string) => connected.has(address);
	world.seen.set('placement', new EnginePlacement(random, fleet, new CostModel(), hasFree));
	world.seen.set('placed', new Map<string, string[]>());
}

/** Places a prompt and, unless told otherwise, counts its work, as a request that is sent does. */
export function place(
	world: FleetWorld,
	part: Partial<PlacementRequest>,
	label: string,
	isCounted = true,
) {
	const fleet = seen<FleetView>(world, 'fleet');
	const req: PlacementRequest = {
		service: 'pool',
		segments: [],
		promptTokens: 500,
		answerTokens: 100,
		targetMs: 1000,
		tightestPauseMs: 150,
		isLeastUrgentTier: true,
		tried: new Set(),
		...unlimited,
		...part,
	};
	const engines = seen<Engine[]>(world, 'engines');
	const result = seen<EnginePlacement>(world, 'placement').choose(req, engines, 0);
	if ('engine' in result && isCounted) {
		fleet.changeWork(result.engine.id, { running: 1, promptTokens: result.promptTokens });
		fleet.recordPrefill(req.segments.slice(0, -1), result.engine.id, false);
		const placed = seen<Map<string, string[]>>(world, 'placed');
		placed.set(result.engine.id, [...(placed.get(result.engine.id) ?? []), label]);
	}
	return result;
}

cucumber.Given('{int} model engines', function (this: FleetWorld, count: number) {
	startEngines(this, count);
});

cucumber.When(
	/^(\d+) prompts? of (\d+) tokens shares? a part of (\d+)$/,
	function (this: FleetWorld, prompts: string, tokens: string, shared: string) {
		const [count = 0, promptTokens = 0, sharedTokens = 0] = [prompts, tokens, shared].map(Number);
		for (let at = 0; at < count; at++) {
			const own = { id: `own-${at}`, tokens: promptTokens - sharedTokens };
			const parts = [{ id: 'shared', tokens: sharedTokens }, own];
			this.seen.set('last', place(this, { segments: parts, promptTokens }, 'prompt'));
		}
	},
);

cucumber.When(
	'the engine of the first has {int} prompt tokens waiting',
	function (this: FleetWorld, promptTokens: number) {
		const { engine } = seen<Placement>(this, 'last');
		this.seen.set('first', engine);
		seen<FleetView>(this, 'fleet').changeWork(engine.id, { promptTokens });
	},
);

/** Where a prompt goes, for each engine to which alone a connection is open. */
function placedWithOpen(world: FleetWorld, promptTokens: number, sharedTokens: number) {
	const own = { id: 'own', tokens: promptTokens - sharedTokens };
	const parts = [{ id: 'shared', tokens: sharedTokens }, own];
	const addresses = seen<Engine[]>(world, 'engines').map((engine) => engine.registration.address);
	return addresses.map((open) => {
		startEngines(world, addresses.length);
		seen<Set<string>>(world, 'connected').add(open);
		const { engine } = place(world, { segments: parts, promptTokens }, 'prompt') as Placement;
		return { open, chosen: engine.registration.address };
	});
}

cucumber.When('a connection to any one of them is open', () => {});

cucumber.Then(
	'a prompt of {int} tokens that shares {int} goes there',
	function (this: FleetWorld, promptTokens: number, sharedTokens: number) {
		const placed = placedWithOpen(this, promptTokens, sharedTokens);
		const matching = placed.filter(({ open, chosen }) => open === chosen);
		// Engines for long prompts are passed over all the same.
		assert.equal(matching.length, placed.length / 2);
	},
);

cucumber.Then(
	'a prompt of {int} tokens that shares {int} goes to the same engine whichever is open',
	function (this: FleetWorld, promptTokens: number, sharedTokens: number) {
		const placed = placedWithOpen(this, promptTokens, sharedTokens);
		assert.equal(new Set(placed.map(({ chosen }) => chosen)).size, 1);
	},
);

cucumber.When('{int} ms have passed', function (this: FleetWorld, ms: number) {
	clockOf(this).now += ms;
});

cucumber.Then(
	'the last is placed on another engine, which copies {int} tokens from the first',
	function (this: FleetWorld, tokens: number) {
		const first = seen<Engine>(this, 'first');
		const last = seen<Placement>(this, 'last');
		assert.notEqual(last.engine, first);
		assert.equal(last.copiedTokens, tokens);
		assert.equal(last.copyFrom, first);
	},
);

cucumber.When(
	'a call with a copy is encoded for a caller that names an engine itself',
	function (this: FleetWorld) {
		const rawHeaders = ['Host', 'a', 'Slategauge-Attempt-Id', '1', 'Kv-Fetch', '10.9.9.9:1'];
		const head = { method: 'POST', target: '/', rawHeaders, arrivedAt: 0 };
		const req = platform.decodeRequest(head, Buffer.from('')) as CallerRequest;
		const call = { address: '10.0.0.2:1', engineId: 'b', req, deadlineMs: 1, urgency: 1 };
		const copyFrom = seen<Engine>(this, 'first').registration.address;
		this.seen.set('head', platform.encodeCall({ ...call, copyFrom }));
	},
);

cucumber.Then('the head names only the engine to copy from', function (this: FleetWorld) {
	const head = seen<string[]>(this, 'head').map((text) => text.toLowerCase());
	assert.deepEqual(
		head.filter((_, at) => at % 2 === 1 && head[at - 1] === 'kv-fetch'),
		[seen<Engine>(this, 'first').registration.address],
	);
});

cucumber.Then('they are all placed on one engine', function (this: FleetWorld) {
	assert.equal(seen<Map<string, string[]>>(this, 'placed').size, 1);
});

cucumber.When(
	'{int} long and {int} short prompts are placed in turn',
	function (this: FleetWorld, long: number, short: number) {
		for (let at = 0; at < Math.max(long, short); at++) {
			const parts = [
				{ id: `p${at}`, tokens: 10 },
				{ id: `q${at}`, tokens: 10 },
			];
			place(this, { segments: parts, promptTokens: 8000, targetMs: 60_000 }, 'long');
			place(this, { segments: parts, promptTokens: 300, isLeastUrgentTier: false }, 'short');
		}
	},
);

cucumber.Then('no engine has both', function (this: FleetWorld) {
	for (const labels of seen<Map<string, string[]>>(this, 'placed').values()) {
		assert.equal(new Set(labels).size, 1);
	}
});

cucumber.Given(
	'demand of {int} engines by short and {int} by long prompts',
	function (this: FleetWorld, short: number, long: number) {
		this.seen.set('demand', { short, long });
	},
);

cucumber.Then(
	'of {int} engines {int} read long prompts',
	function (this: FleetWorld, engines: number, long: number) {
		const all = Array.from({ length: engines }, (_, at) => new Engine(entry(`engine-${at}`)));
		const division = new EnginePartition().partition(all, seen(this, 'demand'));
		assert.equal(division.longPool.size, long);
		assert.equal(division.shortPool.size, engines - long);
	},
);

cucumber.Given(
	'{int} model engines with {int} prompt tokens waiting on each',
	function (this: FleetWorld, count: number, promptTokens: number) {
		startEngines(this, count);
		for (const engine of seen<Engine[]>(this, 'engines')) {
			seen<FleetView>(this, 'fleet').changeWork(engine.id, { promptTokens });
		}
	},
);

cucumber.When(
	'a prompt of {int} tokens with a target of {int} ms comes',
	function (this: FleetWorld, promptTokens: number, targetMs: number) {
		const parts = [
			{ id: 'a', tokens: 10 },
			{ id: 'b', tokens: promptTokens - 10 },
		];
		const req = { parts, promptTokens, targetMs, leastUrgent: true };
		this.seen.set('last', place(this, req, 'huge', false));
	},
);

cucumber.When('news may be {int} ms old', function (this: FleetWorld, ms: number) {
	seen<FleetView>(this, 'fleet').maxGossipAgeMs = ms;
});

cucumber.Then('it is placed', function (this: FleetWorld) {
	assert.ok('engine' in seen<object>(this, 'last'));
});

cucumber.Then('it is refused', function (this: FleetWorld) {
	assert.ok('refusal' in seen<object>(this, 'last'));
});

/** Whether a prompt goes to the engines of long prompts, told by the reason given. */
function isLong(world: FleetWorld, promptTokens: number, pauseMs?: number): boolean {
	const parts = [
		{ id: 'shared', tokens: 10 },
		{ id: 'own', tokens: promptTokens - 10 },
	];
	const req = { parts, promptTokens, tightestPauseMs: pauseMs, targetMs: 60_000 };
	const { reason } = place(world, req, 'prompt', false) as Placement;
	return reason.startsWith('long');
}

cucumber.Then(
	/^beside streams that may pause (\d+) ms a prompt of (\d+) tokens is (long|short)$/,
	function (this: FleetWorld, pause: string, tokens: string, kind: string) {
		assert.equal(isLong(this, Number(tokens), Number(pause)), kind === 'long');
	},
);

cucumber.Then('where no stream has a target pause no prompt is long', function (this: FleetWorld) {
	assert.equal(isLong(this, 30_000), false);
});

const twoParts = [
	{ id: 'a', tokens: 10 },
	{ id: 'b', tokens: 10 },
];

cucumber.Then(
	'a prompt of the least urgent tier is refused with a time to come back',
	function (this: FleetWorld) {
		const result = place(this, { segments: twoParts, isLeastUrgentTier: true }, 'low');
		assert.ok('refusal' in result && result.retryAfterS > 0);
	},
);

cucumber.Then('a more urgent prompt is placed', function (this: FleetWorld) {
	assert.ok('engine' in place(this, { segments: twoParts, isLeastUrgentTier: false }, 'high'));
});

cucumber.Given('an engine that failed 3 times in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let at = 0; at < 3; at++) {
		health.recordFailure(clockOf(this).now);
	}
	this.seen.set('health', health);
});

cucumber.Given('an engine that rejected 3 times in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let at = 0; at < 3; at++) {
		health.recordRejection(clockOf(this).now);
	}
	this.seen.set('health', health);
});

cucumber.Given(
	'an engine with a request under way and no word for {int} ms',
	function (this: FleetWorld, ms: number) {
		const health = new EngineHealth();
		health.recordSent(clockOf(this).now, 0);
		clockOf(this).now += ms;
		this.seen.set('health', health);
	},
);

cucumber.Then('it admits nothing', function (this: FleetWorld) {
	assert.equal(seen<EngineHealth>(this, 'health').isAvailable(clockOf(this).now), false);
});

cucumber.When('its trial ends without a verdict', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	health.recordSent(clockOf(this).now, 0);
	health.recordEnd(0);
});

cucumber.Then('it admits 1 request until that one ends', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	const { now } = clockOf(this);
	assert.equal(health.isAvailable(now), true);
	health.recordSent(now, 0);
	assert.equal(health.isAvailable(now), false);
	health.recordEnd(0);
	health.recordSuccess();
	assert.equal(health.isAvailable(now), true);
});

cucumber.When('the first event of the first comes', function (this: FleetWorld) {
	const { id } = seen<Engine>(this, 'first');
	seen<FleetView>(this, 'fleet').recordPrefill([{ id: 'shared', tokens: 5000 }], id, true);
});

cucumber.Given(
	'{int} model engines of which {int} have read a part of {int} tokens and are busy',
	function (this: FleetWorld, count: number, readers: number, tokens: number) {
		startEngines(this, count);
		const fleet = seen<FleetView>(this, 'fleet');
		for (const { id } of seen<Engine[]>(this, 'engines').slice(0, readers)) {
			fleet.recordPrefill([{ id: 'shared', tokens }], id, true);
			fleet.changeWork(id, { promptTokens: 600_000 });
		}
	},
);

cucumber.When(
	'{int} prompts of {int} tokens that share it are placed on the others',
	function (this: FleetWorld, prompts: number, promptTokens: number) {
		const next = seededRandom(5);
		seen<{ random: { next: () => number } }>(this, 'ports').random.next = next;
		const sources = new Map<string, number>();
		for (let at = 0; at < prompts; at++) {
			const own = { id: `own-${at}`, tokens: promptTokens - 5000 };
			const parts = [{ id: 'shared', tokens: 5000 }, own];
			const { copyFrom } = place(
				this,
				{ segments: parts, promptTokens },
				'prompt',
				false,
			) as Placement;
			const id = copyFrom?.id ?? 'none';
			sources.set(id, (sources.get(id) ?? 0) + 1);
		}
		this.seen.set('sources', sources);
	},
);

cucumber.Then(
	'each of the {int} is copied from by {int} or more',
	function (this: FleetWorld, engines: number, least: number) {
		const sources = [...seen<Map<string, number>>(this, 'sources').values()];
		assert.equal(sources.length, engines);
		assert.ok(Math.min(...sources) >= least, sources.join(', '));
	},
);

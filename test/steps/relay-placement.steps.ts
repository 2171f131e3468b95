/**
 * Steps for placement: cost of work, partitioning, load shedding and engine health.
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
	'engines that read {int} tokens per ms and generate one in {int} ms',
	function (this: FleetWorld, readPerMs: number, answerMsPerToken: number) {
		const learned = new CostModel().of('pool');
		this.state.set('costs', { ...learned, readMsPerToken: 1 / readPerMs, answerMsPerToken });
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
		min: number,
		max: number,
	) {
		const costs = seen<CostEstimates>(this, 'costs');
		const workMs = kind === 'long' ? longPromptWorkMs : shortPromptWorkMs;
		const ms = workMs(costs, { promptTokens, answerTokens }, slots);
		assert.ok(ms >= min && ms <= max, `${ms} ms`);
	},
);

export function startEngines(world: FleetWorld, count: number): void {
	const fleet = newFleetView(world);
	const ids = Array.from({ length: count }, (_, index) => `engine-${index}`);
	world.state.set('fleet', fleet);
	world.state.set(
		'engines',
		ids.map((id, index) => new Engine({ ...entry(id), address: `10.0.0.${index}:80` })),
	);
	const connected = new Set<string>();
	world.state.set('connected', connected);
	const random = { next: () => 0.5, hex: () => '' };
	world.state.set('ports', { random });
	const hasIdleConnection = (address: string) => connected.has(address);
	world.state.set(
		'placement',
		new EnginePlacement(random, fleet, new CostModel(), hasIdleConnection),
	);
	world.state.set('placed', new Map<string, string[]>());
}

/** Places a prompt; if counted, also records its work like that of a sent request. */
export function place(
	world: FleetWorld,
	overrides: Partial<PlacementRequest>,
	label: string,
	isCounted = true,
) {
	const fleet = seen<FleetView>(world, 'fleet');
	const req: PlacementRequest = {
		service: 'pool',
		promptSegments: [],
		promptTokens: 500,
		answerTokens: 100,
		targetMs: 1000,
		minTargetPauseMs: 150,
		isLeastUrgent: true,
		tried: new Set(),
		...unlimited,
		...overrides,
	};
	const engines = seen<Engine[]>(world, 'engines');
	const result = seen<EnginePlacement>(world, 'placement').choose(req, engines, 0);
	if ('engine' in result && isCounted) {
		fleet.changeWork(result.engine.id, { running: 1, promptTokens: result.uncachedTokens });
		fleet.recordPrefill(req.promptSegments.slice(0, -1), result.engine.id, false);
		const placed = seen<Map<string, string[]>>(world, 'placed');
		placed.set(result.engine.id, [...(placed.get(result.engine.id) ?? []), label]);
	}
	return result;
}

cucumber.Given('{int} model engines', function (this: FleetWorld, count: number) {
	startEngines(this, count);
});

cucumber.When(
	/^(\d+) prompts? of (\d+) tokens shares? a segment of (\d+)$/,
	function (this: FleetWorld, prompts: string, tokens: string, shared: string) {
		const [count = 0, promptTokens = 0, sharedTokens = 0] = [prompts, tokens, shared].map(Number);
		for (let index = 0; index < count; index++) {
			const own = { id: `own-${index}`, tokens: promptTokens - sharedTokens };
			const promptSegments = [{ id: 'shared', tokens: sharedTokens }, own];
			this.state.set(
				'last',
				place(this, { promptSegments: promptSegments, promptTokens }, 'prompt'),
			);
		}
	},
);

cucumber.When(
	'the engine of the first prompt has {int} prompt tokens queued',
	function (this: FleetWorld, promptTokens: number) {
		const { engine } = seen<Placement>(this, 'last');
		this.state.set('first', engine);
		seen<FleetView>(this, 'fleet').changeWork(engine.id, { promptTokens });
	},
);

/** Places a prompt once for each engine, with an open connection to that engine only. */
function placeWithConnection(world: FleetWorld, promptTokens: number, sharedTokens: number) {
	const own = { id: 'own', tokens: promptTokens - sharedTokens };
	const promptSegments = [{ id: 'shared', tokens: sharedTokens }, own];
	const addresses = seen<Engine[]>(world, 'engines').map((engine) => engine.registration.address);
	return addresses.map((open) => {
		startEngines(world, addresses.length);
		seen<Set<string>>(world, 'connected').add(open);
		const { engine } = place(
			world,
			{ promptSegments: promptSegments, promptTokens },
			'prompt',
		) as Placement;
		return { open, chosen: engine.registration.address };
	});
}

cucumber.When('a connection to any one of them is open', () => {});

cucumber.Then(
	'a prompt of {int} tokens that shares {int} is placed there',
	function (this: FleetWorld, promptTokens: number, sharedTokens: number) {
		const placed = placeWithConnection(this, promptTokens, sharedTokens);
		const matching = placed.filter(({ open, chosen }) => open === chosen);
		// The engines of the long-prompt pool, half of all, are not chosen for a short prompt.
		assert.equal(matching.length, placed.length / 2);
	},
);

cucumber.Then(
	'a prompt of {int} tokens that shares {int} is placed on the same engine whichever is open',
	function (this: FleetWorld, promptTokens: number, sharedTokens: number) {
		const placed = placeWithConnection(this, promptTokens, sharedTokens);
		assert.equal(new Set(placed.map(({ chosen }) => chosen)).size, 1);
	},
);

cucumber.When('{int} ms have passed', function (this: FleetWorld, ms: number) {
	clockOf(this).now += ms;
});

cucumber.Then(
	'the last prompt is placed on another engine, which copies {int} tokens from the first one',
	function (this: FleetWorld, tokens: number) {
		const first = seen<Engine>(this, 'first');
		const last = seen<Placement>(this, 'last');
		assert.notEqual(last.engine, first);
		assert.equal(last.copiedTokens, tokens);
		assert.equal(last.copyFrom, first);
	},
);

cucumber.When(
	'a call with a copy source is encoded for a request whose own headers name one',
	function (this: FleetWorld) {
		const rawHeaders = ['Host', 'a', 'Slategauge-Attempt-Id', '1', 'Kv-Fetch', '10.9.9.9:1'];
		const head = { method: 'POST', target: '/', rawHeaders, arrivedAt: 0 };
		const req = platform.decodeRequest(head, Buffer.from('')) as CallerRequest;
		const call = { address: '10.0.0.2:1', engineId: 'b', req, deadlineMs: 1, urgency: 1 };
		const copyFrom = seen<Engine>(this, 'first').registration.address;
		this.state.set('head', platform.encodeCall({ ...call, copyFrom }));
	},
);

cucumber.Then('the headers name only the chosen copy source', function (this: FleetWorld) {
	const head = seen<string[]>(this, 'head').map((text) => text.toLowerCase());
	assert.deepEqual(
		head.filter((_, index) => index % 2 === 1 && head[index - 1] === 'kv-fetch'),
		[seen<Engine>(this, 'first').registration.address],
	);
});

cucumber.Then('they are all placed on one engine', function (this: FleetWorld) {
	assert.equal(seen<Map<string, string[]>>(this, 'placed').size, 1);
});

cucumber.When(
	'{int} long and {int} short prompts are placed in turn',
	function (this: FleetWorld, long: number, short: number) {
		for (let index = 0; index < Math.max(long, short); index++) {
			const promptSegments = [
				{ id: `p${index}`, tokens: 10 },
				{ id: `q${index}`, tokens: 10 },
			];
			place(this, { promptSegments: promptSegments, promptTokens: 8000, targetMs: 60_000 }, 'long');
			place(
				this,
				{ promptSegments: promptSegments, promptTokens: 300, isLeastUrgent: false },
				'short',
			);
		}
	},
);

cucumber.Then('no engine has both', function (this: FleetWorld) {
	for (const labels of seen<Map<string, string[]>>(this, 'placed').values()) {
		assert.equal(new Set(labels).size, 1);
	}
});

cucumber.Given(
	'a demand of {int} engines by short and {int} by long prompts',
	function (this: FleetWorld, short: number, long: number) {
		this.state.set('demand', { short, long });
	},
);

cucumber.Then(
	'of {int} engines {int} are in the long-prompt pool',
	function (this: FleetWorld, engines: number, long: number) {
		const all = Array.from({ length: engines }, (_, index) => new Engine(entry(`engine-${index}`)));
		const pools = new EnginePartition().partition(all, seen(this, 'demand'));
		assert.equal(pools.longPool.size, long);
		assert.equal(pools.shortPool.size, engines - long);
	},
);

cucumber.Given(
	'{int} model engines with {int} prompt tokens queued at each',
	function (this: FleetWorld, count: number, promptTokens: number) {
		startEngines(this, count);
		for (const engine of seen<Engine[]>(this, 'engines')) {
			seen<FleetView>(this, 'fleet').changeWork(engine.id, { promptTokens });
		}
	},
);

cucumber.When(
	'a prompt of {int} tokens with a target of {int} ms arrives',
	function (this: FleetWorld, promptTokens: number, targetMs: number) {
		const promptSegments = [
			{ id: 'a', tokens: 10 },
			{ id: 'b', tokens: promptTokens - 10 },
		];
		const req = { promptSegments, promptTokens, targetMs, isLeastUrgent: true };
		this.state.set('last', place(this, req, 'huge', false));
	},
);

cucumber.When('gossip is up to {int} ms old', function (this: FleetWorld, ms: number) {
	seen<FleetView>(this, 'fleet').maxGossipAgeMs = ms;
});

cucumber.Then('it is placed', function (this: FleetWorld) {
	assert.ok('engine' in seen<object>(this, 'last'));
});

cucumber.Then('it is refused', function (this: FleetWorld) {
	assert.ok('refusal' in seen<object>(this, 'last'));
});

/** Whether a prompt counts as long, by the reason of its placement. */
function isLong(world: FleetWorld, promptTokens: number, pauseMs?: number): boolean {
	const promptSegments = [
		{ id: 'shared', tokens: 10 },
		{ id: 'own', tokens: promptTokens - 10 },
	];
	const req = { promptSegments, promptTokens, minTargetPauseMs: pauseMs, targetMs: 60_000 };
	const { reason } = place(world, req, 'prompt', false) as Placement;
	return reason.startsWith('long');
}

cucumber.Then(
	/^with a target pause of (\d+) ms a prompt of (\d+) tokens is (long|short)$/,
	function (this: FleetWorld, pause: string, tokens: string, kind: string) {
		assert.equal(isLong(this, Number(tokens), Number(pause)), kind === 'long');
	},
);

cucumber.Then('without a target pause no prompt is long', function (this: FleetWorld) {
	assert.equal(isLong(this, 30_000), false);
});

const twoSegments = [
	{ id: 'a', tokens: 10 },
	{ id: 'b', tokens: 10 },
];

cucumber.Then(
	'a prompt of the least urgent tier is refused with a retry time',
	function (this: FleetWorld) {
		const result = place(this, { promptSegments: twoSegments, isLeastUrgent: true }, 'low');
		assert.ok('refusal' in result && result.retryAfterS > 0);
	},
);

cucumber.Then('a more urgent prompt is placed', function (this: FleetWorld) {
	assert.ok('engine' in place(this, { promptSegments: twoSegments, isLeastUrgent: false }, 'high'));
});

cucumber.Given('an engine that failed 3 requests in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let index = 0; index < 3; index++) {
		health.recordFailure(clockOf(this).now);
	}
	this.state.set('health', health);
});

cucumber.Given('an engine that rejected 3 requests in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let index = 0; index < 3; index++) {
		health.recordRejection(clockOf(this).now);
	}
	this.state.set('health', health);
});

cucumber.Given(
	'an engine with a request in flight and no bytes for {int} ms',
	function (this: FleetWorld, ms: number) {
		const health = new EngineHealth();
		health.recordSent(clockOf(this).now, 0);
		clockOf(this).now += ms;
		this.state.set('health', health);
	},
);

cucumber.Then('it is not available', function (this: FleetWorld) {
	assert.equal(seen<EngineHealth>(this, 'health').isAvailable(clockOf(this).now), false);
});

cucumber.When('its trial request ends inconclusively', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	health.recordSent(clockOf(this).now, 0);
	health.recordEnd(0);
});

cucumber.Then('it is available for 1 request until that one ends', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	const { now } = clockOf(this);
	assert.equal(health.isAvailable(now), true);
	health.recordSent(now, 0);
	assert.equal(health.isAvailable(now), false);
	health.recordEnd(0);
	health.recordSuccess();
	assert.equal(health.isAvailable(now), true);
});

cucumber.When('the first event of the first prompt arrives', function (this: FleetWorld) {
	const { id } = seen<Engine>(this, 'first');
	seen<FleetView>(this, 'fleet').recordPrefill([{ id: 'shared', tokens: 5000 }], id, true);
});

cucumber.Given(
	'{int} model engines of which {int} have cached a segment of {int} tokens and are busy',
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
		for (let index = 0; index < prompts; index++) {
			const own = { id: `own-${index}`, tokens: promptTokens - 5000 };
			const promptSegments = [{ id: 'shared', tokens: 5000 }, own];
			const { copyFrom } = place(
				this,
				{ promptSegments: promptSegments, promptTokens },
				'prompt',
				false,
			) as Placement;
			const id = copyFrom?.id ?? 'none';
			sources.set(id, (sources.get(id) ?? 0) + 1);
		}
		this.state.set('sources', sources);
	},
);

cucumber.Then(
	'each of the {int} is the source of {int} or more copies',
	function (this: FleetWorld, engines: number, min: number) {
		const sources = [...seen<Map<string, number>>(this, 'sources').values()];
		assert.equal(sources.length, engines);
		assert.ok(Math.min(...sources) >= min, sources.join(', '));
	},
);

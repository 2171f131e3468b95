/**
 * Steps about where requests go: work, divisions, waiting, health of engines.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { Engine } from '../../src/core/engines/engine.js';
import { EngineDivision } from '../../src/core/engines/engine-division.js';
import { EngineHealth } from '../../src/core/engines/engine-health.js';
import type { PlacementRequest } from '../../src/core/engines/placement.js';
import { EnginePlacement } from '../../src/core/engines/placement.js';
import { workMs } from '../../src/core/engines/work-estimate.js';
import type { FleetView } from '../../src/core/fleet/fleet-view.js';
import { clockOf, entry, newFleet, seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

cucumber.Then(
	'a prompt of {int} and an answer of {int} tokens keep an engine of {int} slots busy for {int} to {int} ms',
	(promptTokens: number, answerTokens: number, slots: number, least: number, most: number) => {
		const ms = workMs({ promptTokens, answerTokens }, slots);
		assert.ok(ms >= least && ms <= most, `${ms} ms`);
	},
);

function startEngines(world: FleetWorld, count: number): void {
	const fleet = newFleet(world);
	const ids = Array.from({ length: count }, (_, at) => `engine-${at}`);
	world.seen.set('fleet', fleet);
	world.seen.set(
		'engines',
		ids.map((id) => new Engine(entry(id))),
	);
	world.seen.set('placement', new EnginePlacement({ next: () => 0.5, hex: () => '' }, fleet));
	world.seen.set('placed', new Map<string, string[]>());
}

/** Places a prompt and counts its work, as a request that is sent does. */
function place(world: FleetWorld, part: Partial<PlacementRequest>, label: string) {
	const fleet = seen<FleetView>(world, 'fleet');
	const req: PlacementRequest = {
		service: 'pool',
		parts: [],
		promptTokens: 500,
		answerTokens: 100,
		targetMs: 1000,
		leastUrgent: true,
		tried: new Set(),
		...part,
	};
	const engines = seen<Engine[]>(world, 'engines');
	const result = seen<EnginePlacement>(world, 'placement').choose(req, engines, 0);
	if ('engine' in result) {
		fleet.changeWork(result.engine.id, { running: 1, promptTokens: result.promptTokens });
		fleet.read(req.parts.slice(0, -1), result.engine.id);
		const placed = seen<Map<string, string[]>>(world, 'placed');
		placed.set(result.engine.id, [...(placed.get(result.engine.id) ?? []), label]);
	}
	return result;
}

cucumber.Given('{int} model engines', function (this: FleetWorld, count: number) {
	startEngines(this, count);
});

cucumber.When(
	'{int} prompts of {int} tokens share a part of {int}',
	function (this: FleetWorld, count: number, promptTokens: number, sharedTokens: number) {
		for (let at = 0; at < count; at++) {
			const own = { id: `own-${at}`, tokens: promptTokens - sharedTokens };
			const parts = [{ id: 'shared', tokens: sharedTokens }, own];
			place(this, { parts, promptTokens }, 'prompt');
		}
	},
);

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
			place(this, { parts, promptTokens: 8000, targetMs: 60_000 }, 'long');
			place(this, { parts, promptTokens: 300, leastUrgent: false }, 'short');
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
		const division = new EngineDivision().divide(all, seen(this, 'demand'));
		assert.equal(division.long.size, long);
		assert.equal(division.short.size, engines - long);
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

const twoParts = [
	{ id: 'a', tokens: 10 },
	{ id: 'b', tokens: 10 },
];

cucumber.Then(
	'a prompt of the least urgent tier is refused with a time to come back',
	function (this: FleetWorld) {
		const result = place(this, { parts: twoParts, leastUrgent: true }, 'low');
		assert.ok('refusal' in result && result.retryAfterS > 0);
	},
);

cucumber.Then('a more urgent prompt is placed', function (this: FleetWorld) {
	assert.ok('engine' in place(this, { parts: twoParts, leastUrgent: false }, 'high'));
});

cucumber.Given('an engine that failed 3 times in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let at = 0; at < 3; at++) {
		health.failed(clockOf(this).now);
	}
	this.seen.set('health', health);
});

cucumber.Given('an engine that rejected 3 times in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let at = 0; at < 3; at++) {
		health.rejected(clockOf(this).now);
	}
	this.seen.set('health', health);
});

cucumber.Given(
	'an engine with a request under way and no word for {int} ms',
	function (this: FleetWorld, ms: number) {
		const health = new EngineHealth();
		health.sent(clockOf(this).now, 0);
		clockOf(this).now += ms;
		this.seen.set('health', health);
	},
);

cucumber.Then('it admits nothing', function (this: FleetWorld) {
	assert.equal(seen<EngineHealth>(this, 'health').admits(clockOf(this).now), false);
});

cucumber.When('its trial ends without a verdict', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	health.sent(clockOf(this).now, 0);
	health.ended(0);
});

cucumber.Then('it admits 1 request until that one ends', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	const { now } = clockOf(this);
	assert.equal(health.admits(now), true);
	health.sent(now, 0);
	assert.equal(health.admits(now), false);
	health.ended(0);
	health.succeeded();
	assert.equal(health.admits(now), true);
});

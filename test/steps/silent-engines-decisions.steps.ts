/**
 * Steps for decisions while engines are silent, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { Engine } from '../../src/core/engines/engine.js';
import { EngineHealth } from '../../src/core/engines/engine-health.js';
import type { EnginePlacement } from '../../src/core/engines/placement.js';
import type { Placement } from '../../src/core/engines/placement-types.js';
import { Quarantine } from '../../src/core/quarantine/quarantine.js';
import { Attempt } from '../../src/core/relay/attempt.js';
import { AttemptResults } from '../../src/core/relay/attempt-results.js';
import type { RelayContext } from '../../src/core/relay/types.js';
import { clockOf, entry, seen, silentLog, unlimited } from './relay-fakes.js';
import { startEngines } from './relay-placement.steps.js';
import { SilentFleet } from './silent-fleet.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

/** Time between two silences, in which engines are heard again, in milliseconds. */
const betweenMs = 1000;

/** Time in which VMs learn of each other, and of failures. */
const settleMs = 1500;
/** Time after which a circuit is due for a trial, with the time to settle. */
const closedMs = 2500;
const promptTokens = 2000;
/** How long an engine had been silent as a request ended. */
const unansweredMs = 700;
const suspect = { ref: 7 };
const now = 10_000;
/** Longest silence of sound engines, in milliseconds. */
const maxSilenceMs = 1500;
const content = 17;

/** @returns the engine of a request without a prompt; undefined if it is refused */
function choose(world: FleetWorld, acceptsSilent: boolean): Engine | undefined {
	const request = {
		service: 'pool',
		promptSegments: [],
		promptTokens: 0,
		answerTokens: 0,
		targetMs: 1000,
		isLeastUrgent: true,
		tried: new Set<string>(),
		acceptsSilent,
		...unlimited,
	};
	const engines = seen<Engine[]>(world, 'engines');
	const result = seen<EnginePlacement>(world, 'placement').choose(request, engines, now);
	return 'engine' in result ? result.engine : undefined;
}

cucumber.Given(
	'{int} model engines, of which {int} are silent for {int} ms',
	function (this: FleetWorld, count: number, silent: number, ms: number) {
		startEngines(this, count);
		for (const { health } of seen<Engine[]>(this, 'engines').slice(0, silent)) {
			health.recordSent(now - ms, 0);
		}
	},
);

cucumber.Given(
	'each engine failed {int} requests in a row',
	function (this: FleetWorld, count: number) {
		for (const { health } of seen<Engine[]>(this, 'engines')) {
			for (let index = 0; index < count; index++) {
				health.recordFailure(now);
			}
		}
	},
);

cucumber.Then(
	/^a (new request|replacement) is (placed|refused)( at an engine that is not silent)?$/,
	function (this: FleetWorld, kind: string, result: string, sound: string | undefined) {
		const engine = choose(this, kind === 'new request');
		assert.equal(engine === undefined ? 'refused' : 'placed', result);
		if (sound) {
			assert.equal(engine?.health.isSilent(now), false);
		}
	},
);

cucumber.Given(
	'a content whose attempts ended at {int} silent engines and broke off at {int} others',
	function (this: FleetWorld, silent: number, broken: number) {
		const quarantine = new Quarantine({
			clock: clockOf(this),
			log: silentLog,
			onUpdate() {},
			onEntered() {},
			isPortClosed: async () => false,
		});
		for (let engine = 0; engine < silent + broken; engine++) {
			quarantine.recordFailure([content], engine, engine < silent);
		}
		this.state.set('quarantine', quarantine);
	},
);

cucumber.Given(
	'{int} of the silent engines are known to have crashed',
	function (this: FleetWorld, crashed: number) {
		for (let engine = 0; engine < crashed; engine++) {
			seen<Quarantine>(this, 'quarantine').recordEngineCrash(engine);
		}
	},
);

cucumber.Then(/^it may( not)? be retried$/, function (this: FleetWorld, not: string | undefined) {
	const isAllowed = seen<Quarantine>(this, 'quarantine').isRetryAllowed(content);
	assert.equal(isAllowed, !not);
});

cucumber.Given(
	'{int} simulated VMs that open {int} streams a second each at {int} engines',
	function (this: FleetWorld, vms: number, perS: number, engines: number) {
		this.state.set('fleet', new SilentFleet(vms, engines, perS));
	},
);

cucumber.When(
	'{int} simulated engines fall silent for {int} ms, {int} times',
	function (this: FleetWorld, count: number, ms: number, times: number) {
		const fleet = seen<SilentFleet>(this, 'fleet');
		for (let index = 0; index < times; index++) {
			fleet.silence(count, ms);
			if (ms <= maxSilenceMs) {
				fleet.run(ms + betweenMs);
			}
		}
	},
);

cucumber.Then('no stream was refused', function (this: FleetWorld) {
	assert.equal(seen<SilentFleet>(this, 'fleet').refused, 0);
});

cucumber.Then('no VM avoided an engine by what the fleet knew', function (this: FleetWorld) {
	assert.deepEqual([...seen<SilentFleet>(this, 'fleet').avoidedBy.keys()], []);
});

cucumber.Then('each VM may use each engine again', function (this: FleetWorld) {
	assert.equal(seen<SilentFleet>(this, 'fleet').closedCount, 0);
});

cucumber.Then(
	'at most {int} attempts are sent to it in {int} s, and each VM avoids it at some time by what the fleet knows',
	function (this: FleetWorld, most: number, seconds: number) {
		const fleet = seen<SilentFleet>(this, 'fleet');
		const before = fleet.sent[0] ?? 0;
		fleet.run(seconds * 1000);
		const sent = (fleet.sent[0] ?? 0) - before;
		const avoiding = [...fleet.avoidedBy.values()].map(({ size }) => size);
		assert.ok(sent <= most, `${sent} attempts`);
		assert.deepEqual(avoiding, [fleet.vms.length]);
	},
);

cucumber.Given(
	'an engine whose last {int} requests ended in its silence',
	function (this: FleetWorld, count: number) {
		const health = new EngineHealth();
		for (let index = 0; index < count; index++) {
			health.recordSilence(clockOf(this).now, unansweredMs);
		}
		this.state.set('health', health);
	},
);

cucumber.When('a byte arrives from it', function (this: FleetWorld) {
	seen<EngineHealth>(this, 'health').recordActivity(clockOf(this).now);
});

cucumber.When('it fails {int} requests', function (this: FleetWorld, count: number) {
	for (let index = 0; index < count; index++) {
		seen<EngineHealth>(this, 'health').recordFailure(clockOf(this).now);
	}
});

cucumber.Then('it is available', function (this: FleetWorld) {
	assert.ok(seen<EngineHealth>(this, 'health').isAvailable(clockOf(this).now));
});

cucumber.Given('2 VMs that avoid an engine after failures', function (this: FleetWorld) {
	const fleet = new SimulatedFleet(2, 2);
	fleet.run(settleMs);
	for (const { health } of fleet.vms) {
		health.recordFailure(suspect);
		health.recordFailure(suspect);
	}
	fleet.run(settleMs);
	this.state.set('fleet', fleet);
	assert.ok(isAvoided(fleet));
	fleet.run(closedMs);
	assert.ok(!isAvoided(fleet));
});

cucumber.When(
	'one of them gets {int} failures beside {int} answers in its trial',
	function (this: FleetWorld, failed: number, served: number) {
		const fleet = seen<SimulatedFleet>(this, 'fleet');
		const { health } = fleet.vms[0] as SimulatedVm;
		// Answers that come before the failure would close the circuit.
		const counts = [{ engine: suspect.ref, failed, served, failingVms: Math.min(1, failed) }];
		health.merge('vm-1', counts, false);
	},
);

cucumber.Then(/^the engine is (used|avoided)$/, function (this: FleetWorld, state: string) {
	assert.equal(isAvoided(seen<SimulatedFleet>(this, 'fleet')) ? 'avoided' : 'used', state);
});

function isAvoided({ vms }: SimulatedFleet): boolean {
	const engines = [suspect, { ref: suspect.ref + 1 }];
	return (vms[0] as SimulatedVm).health.filterAvailable(engines).length < engines.length;
}

cucumber.Given(
	'an engine at which requests end unanswered {string} ms after the first was sent, each after 700 ms of silence',
	function (this: FleetWorld, times: string) {
		const clock = clockOf(this);
		const startedAt = clock.now;
		const engine = new Engine(entry('a'));
		const failures: Engine[] = [];
		const fleetHealth = { recordFailure: (failed: Engine) => failures.push(failed) };
		const ctx = { clock, fleetHealth, metrics: { recordCircuitOpened() {} } };
		const ports = [{ log() {} }, { recordFailure() {}, content: 0, parts: [] }] as never[];
		const results = new AttemptResults(ctx as never, ports[0] as never, ports[1] as never);
		const attempt = { engine, health: engine.health } as unknown as Attempt;
		for (const at of times.split(', ')) {
			if (at === 'a byte') {
				engine.health.recordActivity(clock.now);
			} else {
				clock.now = startedAt + Number(at);
				results.recordSilence(attempt, 'another engine answered first', unansweredMs);
			}
		}
		this.state.set('failures', failures);
	},
);

cucumber.Then('the fleet hears of {int} failures', function (this: FleetWorld, count: number) {
	assert.equal(seen<Engine[]>(this, 'failures').length, count);
});

/** Sends prompts to one engine, which answers all of them after a time. */
function answerPrompts(world: FleetWorld, count: number, ms: number): void {
	const clock = clockOf(world);
	const engine = seen<Engine>(world, 'engine');
	const fleet = { changeWork() {}, recordPrefill() {} };
	const costs = seen<CostModel>(world, 'costs');
	const ctx = { clock, fleet, costs, onWorkChanged() {} } as unknown as RelayContext;
	const attempts = Array.from({ length: count }, () => {
		const placement = {
			engine,
			uncachedTokens: promptTokens,
			copiedTokens: 0,
			readingMs: 0,
			readMsPerToken: 0,
			work: { promptTokens: 0, running: 0 },
		};
		const attempt = new Attempt(ctx, placement as unknown as Placement, 'pool');
		attempt.markSent([]);
		return attempt;
	});
	clock.now += ms;
	for (const attempt of attempts) {
		attempt.recordActivity();
		attempt.recordEvents(false);
		attempt.markEnded();
	}
}

cucumber.Given(
	'an engine that answers {int} prompts in {int} ms',
	function (this: FleetWorld, count: number, ms: number) {
		this.state.set('costs', new CostModel());
		this.state.set('engine', new Engine(entry('a')));
		for (let index = 0; index < count; index++) {
			answerPrompts(this, 1, ms);
		}
	},
);

cucumber.When(
	'it is silent for {int} ms and then answers {int} prompts that waited',
	function (this: FleetWorld, ms: number, count: number) {
		answerPrompts(this, count, ms);
	},
);

cucumber.Then(
	'{int} queued tokens are expected to take less than {int} ms',
	function (this: FleetWorld, tokens: number, most: number) {
		const { ref } = seen<Engine>(this, 'engine');
		const { readMsPerToken } = seen<CostModel>(this, 'costs').ofEngine(
			'pool',
			ref,
			clockOf(this).now,
		);
		assert.ok(tokens * readMsPerToken < most, `${tokens * readMsPerToken} ms`);
	},
);

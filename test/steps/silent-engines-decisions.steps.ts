/**
 * Steps for decisions while engines are silent, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { Engine } from '../../src/core/engines/engine.js';
import type { EnginePlacement } from '../../src/core/engines/placement.js';
import { Quarantine } from '../../src/core/quarantine/quarantine.js';
import { clockOf, seen, silentLog, unlimited } from './relay-fakes.js';
import { startEngines } from './relay-placement.steps.js';
import type { FleetWorld } from './world.js';

const now = 10_000;
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

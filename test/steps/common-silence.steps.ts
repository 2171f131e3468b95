/**
 * Steps for silences of all engines of a service.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CommonSilence } from '../../src/core/engines/common-silence.js';
import { Engine } from '../../src/core/engines/engine.js';
import { clockOf, entry, seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
const tickMs = 100;

cucumber.Given(
	'engines {string} of which {string} have requests in flight',
	function (this: FleetWorld, ids: string, busy: string) {
		const engines = ids.split(', ').map((id) => new Engine(entry(id)));
		for (const engine of engines) {
			if (busy.split(', ').includes(engine.id)) {
				engine.health.recordSent(clockOf(this).now, 0);
			}
		}
		this.state.set('engines', engines);
		this.state.set('common silence', new CommonSilence());
	},
);

cucumber.When('{int} ms pass without a byte', function (this: FleetWorld, ms: number) {
	for (let passed = 0; passed < ms; passed += tickMs) {
		clockOf(this).now += tickMs;
		update(this);
	}
});

cucumber.When('{string} speaks', function (this: FleetWorld, id: string) {
	const speaking = seen<Engine[]>(this, 'engines').find((engine) => engine.id === id);
	speaking?.health.recordActivity(clockOf(this).now);
});

cucumber.Then(
	/^the silence of all engines is( not)? ending$/,
	function (this: FleetWorld, not?: string) {
		const silence = seen<CommonSilence>(this, 'common silence');
		assert.equal(silence.isEnding(service, clockOf(this).now), !not);
	},
);

function update(world: FleetWorld): void {
	const silence = seen<CommonSilence>(world, 'common silence');
	silence.update(service, seen<Engine[]>(world, 'engines'), clockOf(world).now);
}

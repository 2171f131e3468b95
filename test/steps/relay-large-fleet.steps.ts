/**
 * Steps about decisions in a fleet of a hundred VMs: what they cost, and that sums kept up stay right.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { Engine } from '../../src/core/engines/engine.js';
import type { FleetView } from '../../src/core/fleet/fleet-view.js';
import * as rendezvous from '../../src/core/membership/rendezvous.js';
import { allEngines, clockOf, gossipMessage, newFleetView, seen } from './relay-fakes.js';
import { place, startEngines } from './relay-placement.steps.js';
import type { FleetWorld } from './world.js';

/** Messages of each peer: some speak for all engines, some for one. */
const messages = 6;

cucumber.Given(
	'{int} model engines and news of work there from {int} peers',
	function (this: FleetWorld, count: number, peers: number) {
		startEngines(this, count);
		const engines = seen<Engine[]>(this, 'engines');
		const fleet = seen<FleetView>(this, 'fleet');
		const expected = new Map<string, number>();
		for (let peer = 0; peer < peers; peer++) {
			const told = new Map<string, number>();
			for (let seq = 0; seq < messages; seq++) {
				const own = newFleetView(this);
				const whole = seq % 3 === 0;
				const engine = engines[(peer * 7 + seq * 13) % count] as Engine;
				const running = 1 + ((peer + seq) % 4);
				own.changeWork(engine.id, { running });
				if (whole) {
					told.clear();
				}
				told.set(engine.id, running);
				const work = own.composeGroup().flatMap((told) => told.work);
				const from = rendezvous.hashText(engine.id);
				const range = whole ? allEngines : { from, to: from + 1 };
				fleet.receive(gossipMessage({ from: `peer-${peer}`, seq, engines: range, work }));
			}
			for (const [id, running] of told) {
				expected.set(id, (expected.get(id) ?? 0) + running);
			}
		}
		this.seen.set('expected', expected);
	},
);

cucumber.Then(
	'a placement reads the clock at most {int} times',
	function (this: FleetWorld, most: number) {
		const clock = clockOf(this);
		const read = clock.monotonic;
		let times = 0;
		clock.monotonic = () => {
			times++;
			return clock.now;
		};
		const parts = [
			{ id: 'shared', tokens: 300 },
			{ id: 'own', tokens: 200 },
		];
		place(this, { segments: parts }, 'prompt', false);
		clock.monotonic = read;
		assert.ok(times <= most, `${times} times`);
	},
);

cucumber.Then(
	"the fleet's work at each engine is the sum of what the peers told last",
	function (this: FleetWorld) {
		const expected = seen<Map<string, number>>(this, 'expected');
		for (const { id } of seen<Engine[]>(this, 'engines')) {
			assert.equal(seen<FleetView>(this, 'fleet').workAt(id).running, expected.get(id) ?? 0);
		}
	},
);

cucumber.Then('the fleet has no work at any engine', function (this: FleetWorld) {
	for (const { id } of seen<Engine[]>(this, 'engines')) {
		assert.equal(seen<FleetView>(this, 'fleet').workAt(id).running, 0);
	}
});

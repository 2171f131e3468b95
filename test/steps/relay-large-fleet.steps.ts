/**
 * Steps for placement in a large fleet: cost of a decision, and correctness of incrementally updated sums.
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

/** Messages of each peer; some cover all engines, others one. */
const messagesPerPeer = 6;

cucumber.Given(
	'{int} model engines and gossip about their work from {int} peers',
	function (this: FleetWorld, count: number, peers: number) {
		startEngines(this, count);
		const engines = seen<Engine[]>(this, 'engines');
		const fleet = seen<FleetView>(this, 'fleet');
		const expected = new Map<string, number>();
		for (let peer = 0; peer < peers; peer++) {
			const reported = new Map<string, number>();
			for (let seq = 0; seq < messagesPerPeer; seq++) {
				const sender = newFleetView(this);
				const coversAll = seq % 3 === 0;
				const engine = engines[(peer * 7 + seq * 13) % count] as Engine;
				const running = 1 + ((peer + seq) % 4);
				sender.changeWork(engine.id, { running });
				if (coversAll) {
					reported.clear();
				}
				reported.set(engine.id, running);
				const work = sender.composeGroup().flatMap((message) => message.work);
				const from = rendezvous.hashText(engine.id);
				const range = coversAll ? allEngines : { from, to: from + 1 };
				fleet.merge(gossipMessage({ from: `peer-${peer}`, seq, engines: range, work }));
			}
			for (const [id, running] of reported) {
				expected.set(id, (expected.get(id) ?? 0) + running);
			}
		}
		this.state.set('expected', expected);
	},
);

cucumber.Then(
	'a placement reads the clock at most {int} times',
	function (this: FleetWorld, max: number) {
		const clock = clockOf(this);
		const monotonic = clock.monotonic;
		let reads = 0;
		clock.monotonic = () => {
			reads++;
			return clock.now;
		};
		const segments = [
			{ id: 'shared', tokens: 300 },
			{ id: 'own', tokens: 200 },
		];
		place(this, { promptSegments: segments }, 'prompt', false);
		clock.monotonic = monotonic;
		assert.ok(reads <= max, `${reads} reads`);
	},
);

cucumber.Then(
	"the fleet's work at each engine is the sum of what each peer last reported",
	function (this: FleetWorld) {
		const expected = seen<Map<string, number>>(this, 'expected');
		for (const { id } of seen<Engine[]>(this, 'engines')) {
			assert.equal(seen<FleetView>(this, 'fleet').getWork(id).running, expected.get(id) ?? 0);
		}
	},
);

cucumber.Then('the fleet has no work at any engine', function (this: FleetWorld) {
	for (const { id } of seen<Engine[]>(this, 'engines')) {
		assert.equal(seen<FleetView>(this, 'fleet').getWork(id).running, 0);
	}
});

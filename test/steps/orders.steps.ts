/**
 * Steps about orders, on a fleet and on fakes at the ports.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { EndpointOrder } from '../../src/core/definitions.js';
import { OrderSender, orderLeaseMs } from '../../src/core/orders/order-sender.js';
import { SystemRandom } from '../../src/infra/system-random.js';
import { FakeClock, FakeKv } from '../fuzz/fakes.js';
import type { FleetWorld } from './world.js';

const silent = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const request = {
	endpoint: 'e1',
	url: 'http://127.0.0.1:1',
	checksFencing: false,
	kind: 'drain' as const,
	argument: '',
};

interface Desk {
	giver: OrderSender;
	sent: { order: EndpointOrder; at: number }[];
}

/** `pauseMs` passes between the lease and the order. */
function desk(clock: FakeClock, kv: FakeKv, vanish: boolean, pauseMs = 0): Desk {
	const sent: Desk['sent'] = [];
	const order = async (_url: string, given: EndpointOrder) => {
		if (vanish) {
			throw new Error('vanished');
		}
		sent.push({ order: given, at: clock.now });
		return 200;
	};
	const grantLease = kv.grantLease.bind(kv);
	kv.grantLease = async () => {
		const id = await grantLease();
		clock.now += pauseMs;
		return id;
	};
	const sleep = async (ms: number) => {
		clock.now += ms;
	};
	const giver = new OrderSender({
		kv,
		clock,
		random: new SystemRandom(),
		log: silent,
		endpoints: { order },
		vm: 'vm-1',
		sleep,
	});
	return { giver, sent };
}

cucumber.When(
	'a holder vanishes with an order to an endpoint that does not check',
	async function (this: FleetWorld) {
		const clock = new FakeClock();
		const kv = new FakeKv();
		await assert.rejects(desk(clock, kv, true).giver.send(request), /vanished/);
		kv.drop('slategauge/orders/endpoint/e1');
		const next = desk(clock, kv, false);
		const from = clock.now;
		await next.giver.send(request);
		this.seen.set('waited', (next.sent[0]?.at ?? 0) - from);
	},
);

cucumber.Then(
	'the next holder sends its order only after the lease and a margin',
	function (this: FleetWorld) {
		assert.ok(Number(this.seen.get('waited')) > orderLeaseMs);
	},
);

cucumber.When(
	'a holder is paused for {int} ms between its lease and its order',
	async function (this: FleetWorld, pauseMs: number) {
		const paused = desk(new FakeClock(), new FakeKv(), false, pauseMs);
		this.seen.set('error', await paused.giver.send(request).catch((err: unknown) => err));
		this.seen.set('sent', paused.sent);
	},
);

cucumber.Then('the order is not sent', function (this: FleetWorld) {
	assert.deepEqual(this.seen.get('sent'), []);
	assert.equal((this.seen.get('error') as Error).name, 'OrderLeaseLost');
});

cucumber.Then(
	'an older order to engine {int} is refused',
	async function (this: FleetWorld, engine: number) {
		const port = this.running.engines[engine - 1]?.port;
		const res = await fetch(`http://127.0.0.1:${port}/orders`, {
			method: 'POST',
			body: JSON.stringify({ kind: 'drain', argument: '', fencingToken: 1 }),
		});
		assert.equal(res.status, 409);
	},
);

/**
 * Steps for orders to endpoints, with a real fleet or with a fake clock and store.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { EndpointOrder } from '../../src/core/definitions.js';
import { OrderSender, orderLeaseMs } from '../../src/core/orders/order-sender.js';
import { SystemRandom } from '../../src/infra/system-random.js';
import { FakeClock, FakeKv } from '../fuzz/fakes.js';
import type { FleetWorld } from './world.js';

const silentLog = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const request = {
	endpoint: 'e1',
	url: 'http://127.0.0.1:1',
	checksFencing: false,
	kind: 'drain' as const,
	argument: '',
};

interface SenderFixture {
	sender: OrderSender;
	sent: { order: EndpointOrder; at: number }[];
}

/** `pauseMs` elapses while each lease is granted; with `shouldCrash`, sending an order throws. */
function newSender(clock: FakeClock, kv: FakeKv, shouldCrash: boolean, pauseMs = 0): SenderFixture {
	const sent: SenderFixture['sent'] = [];
	const order = async (_url: string, sentOrder: EndpointOrder) => {
		if (shouldCrash) {
			throw new Error('crashed');
		}
		sent.push({ order: sentOrder, at: clock.now });
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
	const sender = new OrderSender({
		kv,
		clock,
		random: new SystemRandom(),
		log: silentLog,
		endpoints: { order },
		vm: 'vm-1',
		sleep,
	});
	return { sender, sent };
}

cucumber.When(
	'a holder crashes during an order to an endpoint without token checks',
	async function (this: FleetWorld) {
		const clock = new FakeClock();
		const kv = new FakeKv();
		await assert.rejects(newSender(clock, kv, true).sender.send(request), /crashed/);
		kv.expire('slategauge/orders/endpoint/e1');
		const next = newSender(clock, kv, false);
		const startedAt = clock.now;
		await next.sender.send(request);
		this.state.set('delayMs', (next.sent[0]?.at ?? 0) - startedAt);
	},
);

cucumber.Then(
	'the next holder sends its order only after the duration of a lease',
	function (this: FleetWorld) {
		assert.ok(Number(this.state.get('delayMs')) > orderLeaseMs);
	},
);

cucumber.When(
	'a holder is paused for {int} ms between its lease and its order',
	async function (this: FleetWorld, pauseMs: number) {
		const paused = newSender(new FakeClock(), new FakeKv(), false, pauseMs);
		this.state.set('error', await paused.sender.send(request).catch((err: unknown) => err));
		this.state.set('sent', paused.sent);
	},
);

cucumber.Then('the order is not sent', function (this: FleetWorld) {
	assert.deepEqual(this.state.get('sent'), []);
	assert.equal((this.state.get('error') as Error).name, 'OrderLeaseLost');
});

cucumber.Then(
	'an order with an outdated fencing token to engine {int} is refused',
	async function (this: FleetWorld, engine: number) {
		const port = this.runningFleet.engines[engine - 1]?.port;
		const res = await fetch(`http://127.0.0.1:${port}/orders`, {
			method: 'POST',
			body: JSON.stringify({ kind: 'drain', argument: '', fencingToken: 1 }),
		});
		assert.equal(res.status, 409);
	},
);

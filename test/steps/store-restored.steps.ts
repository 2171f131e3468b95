/**
 * Steps about a store that comes back from an older copy.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { StoreError, storeFailures } from '../../src/core/store/definitions.js';
import { PlatformStore } from '../../src/platform/store-client.js';
import type { StoreCopy } from '../stand-ins/platform-store.js';
import { assertInOrder, assertNoneDiffer, assertOneHolderEach, dutiesOf } from './duties.steps.js';
import { StepClock, seen } from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

const vmPrefix = 'vms/';
const crashPrefix = 'quarantine/';
const key = 'notes/one';

cucumber.Given('a copy of the store is taken', function (this: FleetWorld) {
	this.seen.set('copy', fixtureOf(this).store.copy());
});

cucumber.Given(
	'a copy of the store is taken that lacks the registrations of VMs',
	function (this: FleetWorld) {
		this.seen.set('copy', withoutVms(fixtureOf(this).store.copy()));
	},
);

cucumber.Given(
	'a copy of the store is taken that lacks the registrations of VMs and leases',
	function (this: FleetWorld) {
		const copy = withoutVms(fixtureOf(this).store.copy());
		this.seen.set('copy', { ...copy, leases: new Map() });
	},
);

function withoutVms(copy: StoreCopy): StoreCopy {
	const items = [...copy.items].filter(([name]) => !name.startsWith(vmPrefix));
	return { ...copy, items: new Map(items) };
}

cucumber.When('the store comes back from the copy', async function (this: FleetWorld) {
	fixtureOf(this).store.restore(seen<StoreCopy>(this, 'copy'));
	// Closed connections are noticed.
	await new Promise((done) => setTimeout(done, 100));
});

cucumber.Given(
	'the registration of engine {string} is written {int} times more',
	async function (this: FleetWorld, id: string, count: number) {
		const fixture = fixtureOf(this);
		const engine = engineOf(this, id);
		for (let at = 0; at < count; at++) {
			await fixture.register(engine, fixture.addressOf(engine));
		}
	},
);

cucumber.When(
	'the registration of engine {string} ends',
	async function (this: FleetWorld, id: string) {
		fixtureOf(this).store.remove(`servers/${id}`);
		await new Promise((done) => setTimeout(done, 700));
	},
);

cucumber.Then(
	'the store lists {int} VMs within {int} ms',
	async function (this: FleetWorld, count: number, ms: number) {
		await until(() => fixtureOf(this).store.keys(vmPrefix).length === count, ms);
	},
);

cucumber.Then(
	'the store hears again what crashes engines within {int} ms',
	async function (this: FleetWorld, ms: number) {
		await until(() => fixtureOf(this).store.keys(crashPrefix).length > 0, ms);
	},
);

cucumber.Given('a store of its own', async function (this: FleetWorld) {
	const { store } = fixtureOf(this);
	await store.start();
	const [host = '', port = ''] = (await store.addressFor('127.0.0.1')).split(':');
	this.seen.set('client', new PlatformStore({ host, port: Number(port) }, new StepClock()));
});

async function revisionOf(client: PlatformStore): Promise<number> {
	return (await client.get(key))?.revision ?? 0;
}

cucumber.When(
	'a key is written {int} times and its revision is read',
	async function (this: FleetWorld, times: number) {
		const client = seen<PlatformStore>(this, 'client');
		for (let at = 0; at < times; at++) {
			await client.put(key, String(at), 0);
		}
		this.seen.set('revision', await revisionOf(client));
	},
);

cucumber.When('the key is written {int} times', function (this: FleetWorld, times: number) {
	for (let at = 0; at < times; at++) {
		fixtureOf(this).store.put(key, `after ${at}`);
	}
});

cucumber.Then(
	'a watch from that revision is told to read again',
	async function (this: FleetWorld) {
		const client = seen<PlatformStore>(this, 'client');
		const watch = client.watch('notes/', seen(this, 'revision'), 500, new AbortController().signal);
		await assert.rejects(watch, (err) => {
			return err instanceof StoreError && err.failure === storeFailures.compacted;
		});
	},
);

cucumber.Then(
	'a write on condition of that revision is not done',
	async function (this: FleetWorld) {
		const client = seen<PlatformStore>(this, 'client');
		const done = await client.transact({
			expected: [{ key, revision: seen(this, 'revision') }],
			write: [{ key, value: 'overwritten', lease: 0 }],
		});
		assert.equal(done, undefined);
		assert.notEqual((await client.get(key))?.value, 'overwritten');
	},
);

cucumber.Then('the revision of the key is greater than it was', async function (this: FleetWorld) {
	const client = seen<PlatformStore>(this, 'client');
	assert.ok((await revisionOf(client)) > seen<number>(this, 'revision'));
	await client.close();
});

cucumber.When(
	'the store comes back from a copy of {int} seconds ago, {int} times, {int} seconds apart',
	async function (this: FleetWorld, ago: number, times: number, apart: number) {
		const fleet = dutiesOf(this);
		for (let at = 0; at < times; at++) {
			fleet.store.restore(ago * 1000);
			await fleet.run(apart * 1000);
		}
	},
);

cucumber.Then(
	'no two VMs acted under one token, and none after a later one',
	function (this: FleetWorld) {
		const fleet = dutiesOf(this);
		assertOneHolderEach(fleet);
		assertNoneDiffer(fleet);
		assertInOrder(fleet);
	},
);

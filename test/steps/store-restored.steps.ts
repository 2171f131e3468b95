/**
 * Steps about a store that is restored from an older copy.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { StoreError, storeFailures } from '../../src/core/store/definitions.js';
import { PlatformStore } from '../../src/platform/store-client.js';
import type { StoreSnapshot } from '../stand-ins/platform-store.js';
import {
	assertConsistentReports,
	assertOneHolderPerToken,
	assertTokensInOrder,
	dutiesOf,
} from './duties.steps.js';
import { ManualClock, seen } from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

const vmPrefix = 'vms/';
const quarantinePrefix = 'quarantine/';
const key = 'notes/one';

cucumber.Given('a copy of the store is taken', function (this: FleetWorld) {
	this.state.set('copy', fixtureOf(this).store.createSnapshot());
});

cucumber.Given(
	'a copy of the store is taken that lacks the registrations of VMs',
	function (this: FleetWorld) {
		this.state.set('copy', withoutVms(fixtureOf(this).store.createSnapshot()));
	},
);

cucumber.Given(
	'a copy of the store is taken that lacks the registrations of VMs and leases',
	function (this: FleetWorld) {
		const copy = withoutVms(fixtureOf(this).store.createSnapshot());
		this.state.set('copy', { ...copy, leases: new Map() });
	},
);

function withoutVms(copy: StoreSnapshot): StoreSnapshot {
	const items = [...copy.items].filter(([name]) => !name.startsWith(vmPrefix));
	return { ...copy, items: new Map(items) };
}

cucumber.When('the store is restored from the copy', async function (this: FleetWorld) {
	fixtureOf(this).store.restore(seen<StoreSnapshot>(this, 'copy'));
	// Lets the VMs detect the closed connections.
	await new Promise((done) => setTimeout(done, 100));
});

cucumber.Given(
	'the registration of engine {string} is written {int} times more',
	async function (this: FleetWorld, id: string, count: number) {
		const fixture = fixtureOf(this);
		const engine = engineOf(this, id);
		for (let index = 0; index < count; index++) {
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
	'quarantined contents are in the store again within {int} ms',
	async function (this: FleetWorld, ms: number) {
		await until(() => fixtureOf(this).store.keys(quarantinePrefix).length > 0, ms);
	},
);

cucumber.Given('a separate store', async function (this: FleetWorld) {
	const { store } = fixtureOf(this);
	await store.start();
	const [host = '', port = ''] = store.addressFor('127.0.0.1').split(':');
	this.state.set('client', new PlatformStore({ host, port: Number(port) }, new ManualClock()));
});

async function revisionOf(client: PlatformStore): Promise<number> {
	return (await client.get(key))?.revision ?? 0;
}

cucumber.When(
	'a key is written {int} times and its revision is read',
	async function (this: FleetWorld, times: number) {
		const client = seen<PlatformStore>(this, 'client');
		for (let index = 0; index < times; index++) {
			await client.put(key, String(index), 0);
		}
		this.state.set('revision', await revisionOf(client));
	},
);

cucumber.When('the key is written {int} times', function (this: FleetWorld, times: number) {
	for (let index = 0; index < times; index++) {
		fixtureOf(this).store.put(key, `after ${index}`);
	}
});

cucumber.Then('a watch from that revision fails as compacted', async function (this: FleetWorld) {
	const client = seen<PlatformStore>(this, 'client');
	const watch = client.watch('notes/', seen(this, 'revision'), 500, new AbortController().signal);
	await assert.rejects(watch, (err) => {
		return err instanceof StoreError && err.failure === storeFailures.compacted;
	});
});

cucumber.Then(
	'a write conditional on that revision is not executed',
	async function (this: FleetWorld) {
		const client = seen<PlatformStore>(this, 'client');
		const revision = await client.transact({
			expected: [{ key, revision: seen(this, 'revision') }],
			write: [{ key, value: 'overwritten', lease: 0 }],
		});
		assert.equal(revision, undefined);
		assert.notEqual((await client.get(key))?.value, 'overwritten');
	},
);

cucumber.Then('the revision of the key is greater than it was', async function (this: FleetWorld) {
	const client = seen<PlatformStore>(this, 'client');
	assert.ok((await revisionOf(client)) > seen<number>(this, 'revision'));
	await client.close();
});

cucumber.When(
	'the store is restored from a copy {int} seconds old, {int} times, {int} seconds apart',
	async function (this: FleetWorld, ageS: number, times: number, intervalS: number) {
		const fleet = dutiesOf(this);
		for (let index = 0; index < times; index++) {
			fleet.store.restore(ageS * 1000);
			await fleet.run(intervalS * 1000);
		}
	},
);

cucumber.Then(
	'no two VMs acted under the same token, and no VM acted after its successor',
	function (this: FleetWorld) {
		const fleet = dutiesOf(this);
		assertOneHolderPerToken(fleet);
		assertConsistentReports(fleet);
		assertTokensInOrder(fleet);
	},
);

/**
 * Steps about values that the store, peers and settings hand in and that cannot be used: each costs only itself.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Log } from '../../src/core/definitions.js';
import { UsageRecords, type UsageRecordsOptions } from '../../src/core/duties/usage-records.js';
import { VmRegistry, type VmRegistryOptions } from '../../src/core/fleet/vm-registry.js';
import { decodeTraitKey, encodeTraitKey } from '../../src/core/quarantine/traits.js';
import { StoreError } from '../../src/core/store/definitions.js';
import { HttpVmList } from '../../src/infra/http-vm-list.js';
import * as forwarding from '../../src/infra/relay/forwarding-headers.js';
import { encodeGossip } from '../../src/infra/relay/gossip-codec.js';
import { encodePermitResponse } from '../../src/infra/relay/limit-codec.js';
import * as datagrams from '../../src/infra/relay/peer-datagram-socket.js';
import { encodeUsage } from '../../src/infra/relay/usage-codec.js';
import * as platform from '../../src/platform/index.js';
import { decodeEra } from '../../src/platform/store-wire.js';
import { PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import { gossipMessage, ManualClock, registered, registration, silentLog } from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import { newDirectory } from './relay-fleet.steps.js';
import type { Vm } from './relay-world.js';
import { key as callerKey, until } from './relay-world.js';
import type { FleetWorld } from './world.js';

const vmPrefix = platform.storeKeys.vms;
const runs = { numRuns: 200, seed: 17 };
const maxOctet = 255;
const maxPort = 65_535;

/** Texts that are no IP:PORT, near misses among them. */
const unusableAddress = fc.oneof(
	fc.constantFrom('127.0.0.1:99999', '127.0.0.08:80', '10.0.0.1:0', '10.0.0.1', '10.0.0.1:'),
	fc.constantFrom('10.0.0.1:80 ', 'a.example:80', '10.0.1:80', '10.0.0.1:8o', '::1:80', ''),
	fc
		.tuple(fc.array(fc.nat(2 * maxOctet), { minLength: 4, maxLength: 4 }), fc.nat(2 * maxPort))
		.filter(([octets, port]) => Math.max(...octets) > maxOctet || port > maxPort || port === 0)
		.map(([octets, port]) => `${octets.join('.')}:${port}`),
	fc.string(),
);

/** Any JSON, and an object with one field of another type, out of range or missing. */
function damaged(sound: object): fc.Arbitrary<unknown> {
	const wrong = fc.constantFrom(undefined, null, -1, 1.5, 1e300, 'x', '', [], [null], {});
	const fields = fc.constantFrom(...Object.keys(sound));
	const part = fc.tuple(fields, wrong).map(([field, value]) => ({ ...sound, [field]: value }));
	return fc.oneof(part, part, fc.jsonValue());
}

function check<T>(values: fc.Arbitrary<T>, holds: (value: T) => unknown): Promise<void> {
	const property = fc.asyncProperty(values, async (value) => {
		await holds(value);
	});
	return fc.assert(property, runs);
}

/** A log that records the events of warnings and errors. */
function recordingLog(events: string[]): Log {
	const record = (event: string) => events.push(event);
	return { ...silentLog, warn: record, error: record };
}

const noListener: datagrams.PeerListener = {
	onGossip() {},
	onUsage() {},
	onUsageAck() {},
	onPermitRequest() {},
	onPermitResponse() {},
};

function assertRefused(datagram: Uint8Array): void {
	assert.equal(datagrams.dispatchDatagram(datagram, noListener), false);
}

function checkEngineAddresses(): Promise<void> {
	return check(unusableAddress, (address) => {
		const { key, value } = registration('a', 1, { address });
		assert.throws(() => platform.decodeEngineRegistration(key, value), /address/);
	});
}

function checkEngineIds(): Promise<void> {
	const text = JSON.stringify(registered);
	return check(fc.constantFrom('', 'a\nb', 'a\u0000', 'é', '\u{1f600}'), (id) => {
		const key = platform.storeKeys.engines + id;
		assert.throws(() => platform.decodeEngineRegistration(key, text), /id/);
	});
}

function checkVmRegistrations(): Promise<void> {
	const values = unusableAddress.map((address) => `${address} 1.5 z`);
	return check(fc.oneof(values, fc.string()), async (value) => {
		const entries = { bad: value, sound: '10.0.0.2:7000 1.5 z' };
		const items = Object.entries(entries).map(([name, text]) => {
			return { key: vmPrefix + name, value: text, revision: 1, lease: 1 };
		});
		const events: string[] = [];
		const registry = new VmRegistry({
			store: { range: async () => ({ items, revision: 1 }) },
			clock: new ManualClock(),
			log: recordingLog(events),
			prefix: vmPrefix,
			self: { name: 'self', domain: 'z', address: { host: '10.0.0.1', port: 7000 }, cores: 1 },
		} as unknown as VmRegistryOptions);
		await registry.refresh();
		assert.deepEqual(
			registry.getOthers().map(({ name }) => name),
			['sound'],
		);
		assert.deepEqual(events, ['vm.unreadable']);
	});
}

const soundItem = { 'private-key': 'k/sound', value: 'YQ==', revision: 3, 'lease-id': 0 };

type StoreAction = (store: platform.PlatformStore, unreadable: string[]) => Promise<void>;

function withStore(body: unknown, action: StoreAction): Promise<void> {
	return withStoreText(JSON.stringify(body), action);
}

/** Runs an action with a client of a store that gives the same answer to every call. */
async function withStoreText(text: string, action: StoreAction): Promise<void> {
	const server = http.createServer((_req, res) => res.end(text));
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	const { port } = server.address() as net.AddressInfo;
	const unreadable: string[] = [];
	const store = new platform.PlatformStore(
		{ host: '127.0.0.1', port },
		new ManualClock(),
		() => {},
		(entry) => unreadable.push(entry),
	);
	try {
		await action(store, unreadable);
	} finally {
		await store.close();
		server.close();
	}
}

async function checkStoreAnswers(): Promise<void> {
	const { signal } = new AbortController();
	const sound = { entries: [soundItem], events: [soundItem], timestamp: 3, 'lease-id': 7 };
	const answers = damaged({ ...sound, ...soundItem, 'has-more': false });
	await check(answers, (body) =>
		withStore(body, async (store) => {
			const calls = [
				store.range('k/'),
				store.watch('k/', 1, 1, signal),
				store.get('k/sound'),
				store.transact({ expected: [], write: [] }),
				store.grantLease(1000),
			];
			for (const { reason } of (await Promise.allSettled(calls)) as PromiseRejectedResult[]) {
				assert.ok(reason === undefined || reason instanceof StoreError, String(reason?.stack));
			}
		}),
	);
	const entries = damaged(soundItem).filter((entry) => {
		const { 'private-key': key, revision, deleted } = (entry ?? {}) as Record<string, unknown>;
		return typeof key !== 'string' || (!deleted && !(Number.isInteger(revision) && revision === 3));
	});
	await check(entries, (entry) => {
		const list = [entry, soundItem];
		return withStore({ entries: list, events: list, timestamp: 3 }, async (store, unreadable) => {
			const { items } = await store.range('k/');
			const { events } = await store.watch('k/', 1, 1, signal);
			assert.equal(items.at(-1)?.key, 'k/sound');
			assert.equal(events.length, items.length);
			assert.equal(unreadable.length, 2 * (list.length - items.length));
		});
	});
}

async function checkNestedStoreEntries(): Promise<void> {
	const text = `{"entries":[${nestedList},${nestedObject},${JSON.stringify(soundItem)}],"timestamp":3}`;
	await withStoreText(text, async (store, unreadable) => {
		const { items } = await store.range('k/');
		assert.deepEqual(
			items.map(({ key }) => key),
			[soundItem['private-key']],
		);
		assert.equal(unreadable.length, 2);
	});
}

const listedVm = {
	id: 'vm-1',
	address: '10.0.0.1',
	callers_port: 8000,
	control_port: 8001,
	failure_domain: 'z',
	state: 'ready',
};

async function checkListedVms(): Promise<void> {
	const ports = [0, -1, 65_536, 99_999, 1.5, 1e300, 'x', null, {}];
	const rows = [
		...[null, 1, 'x', [], {}].map((row) => JSON.stringify(row)),
		...['callers_port', 'control_port'].flatMap((field) =>
			ports.map((port) => JSON.stringify({ ...listedVm, [field]: port })),
		),
		...['', 'a.example', '10.0.1', '::g', 7, null].map((address) =>
			JSON.stringify({ ...listedVm, address }),
		),
		...['', 7, null, []].map((id) => JSON.stringify({ ...listedVm, id })),
		JSON.stringify(listedVm).replace('8000', '1e400'),
		nestedList,
		nestedObject,
	];
	for (const row of rows) {
		const events: string[] = [];
		const server = http.createServer((_req, res) =>
			res.end(`[${row},${JSON.stringify(listedVm)}]`),
		);
		await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
		const { port } = server.address() as net.AddressInfo;
		const log = recordingLog(events);
		const list = new HttpVmList({ url: `http://127.0.0.1:${port}`, timeoutMs: 5000, log });
		try {
			const ids = (await list.list()).map(({ id }) => id);
			assert.deepEqual(ids, [listedVm.id], row.slice(0, 100));
			assert.deepEqual(events, ['vm-list.unreadable']);
		} finally {
			server.close();
			server.closeAllConnections();
		}
	}
}

function checkEras(): Promise<void> {
	assert.equal(decodeEra('3'), 3);
	const eras = fc.constantFrom('x', '', '-1', '1.5', '1e300', '131072', ['3'], undefined);
	return check(eras, (era) => assert.equal(decodeEra(era), undefined));
}

async function checkTraitKeys(): Promise<void> {
	await check(fc.maxSafeNat(), (content) =>
		assert.equal(decodeTraitKey(encodeTraitKey(content)), content),
	);
	const keys = fc.oneof(fc.constantFrom('5zz', '-5', '0x1f', ' 1f', 'f'.repeat(15)), fc.string());
	const foreign = keys.filter((key) => !/^([0-9a-f]{1,14}$|part-)/.test(key));
	await check(foreign, (key) => assert.equal(decodeTraitKey(key), Number.NaN));
}

function checkEngineCopies(world: FleetWorld): Promise<void> {
	const item = registration('d', 5);
	const sound = { revision: 5, digest: 1, ids: ['a', 'd'], items: [item] };
	const copies = fc.oneof(
		damaged(sound),
		damaged(item).map((one) => ({ ...sound, items: [one] })),
	);
	return check(copies, (copy) => {
		const directory = newDirectory(world, 'a, b, c');
		const ids = () => directory.getEligible('pool').map(({ id }) => id);
		const { revision } = directory;
		const before = ids();
		try {
			directory.applyCopy(JSON.stringify(copy));
			assert.ok(Number.isSafeInteger(directory.revision));
		} catch (err) {
			assert.ok(!(err instanceof assert.AssertionError));
			assert.deepEqual([ids(), directory.revision], [before, revision]);
		}
	});
}

function checkDatagrams(): Promise<void> {
	const reader = { contactAgeMs: 1, revision: 1, digest: 1, dutyToken: 0 };
	const issuer = { term: 1, heartbeatSeq: 1, isResigned: false };
	const usage = { vm: 'v', incarnation: 1, sentAt: 1, window: 1, total: 0, isFinal: true };
	return check(unusableAddress, (address) => {
		assertRefused(encodeGossip(gossipMessage({ address })));
		assertRefused(encodeGossip(gossipMessage({ storeReaders: [{ ...reader, address }] })));
		assertRefused(encodeGossip(gossipMessage({ issuer: { ...issuer, address } })));
		assertRefused(encodeUsage({ ...usage, address, counts: [] }));
	});
}

function checkDatagramNumbers(): Promise<void> {
	const reader = { address: '10.0.0.1:80', contactAgeMs: 1, revision: 1, digest: 1, dutyToken: 0 };
	const numbers = ['seq', 'configurationVersion', 'intervalMs', 'vmCount'];
	const ofReader = ['contactAgeMs', 'revision', 'dutyToken'];
	const limit = { engine: 1, limitPerS: 3, version: 1 };
	return check(fc.constantFrom(-1, -1e9, 1e300), (value) => {
		for (const field of numbers) {
			assertRefused(encodeGossip(gossipMessage({ [field]: value })));
		}
		for (const field of ofReader) {
			const storeReaders = [{ ...reader, [field]: value }];
			assertRefused(encodeGossip(gossipMessage({ storeReaders })));
		}
		const response = { id: 1, limit, isGranted: false, retryAfterMs: value };
		assertRefused(encodePermitResponse(response));
	});
}

function checkForwardOrders(): Promise<void> {
	const headers = fc.oneof(
		unusableAddress.map((address) => `${address} e1 1 0`),
		fc.constantFrom(
			'10.0.0.1:80 e1 x 0',
			'10.0.0.1:80 e1 1 x',
			'10.0.0.1:80  1 0',
			'10.0.0.1:80 e1 1',
		),
	);
	assert.ok(forwarding.decodeOrder('10.0.0.1:80 e1 1 0'));
	return check(headers, (header) => assert.equal(forwarding.decodeOrder(header), undefined));
}

function checkUsageReports(): Promise<void> {
	const sound = { window: 4, counts: [{ customer: 'c', started: 2 }] };
	const reports = damaged(sound).filter(
		(report) =>
			JSON.stringify(report) !== JSON.stringify(sound) && (report as typeof sound)?.window !== 4,
	);
	return check(reports, async (report) => {
		const value = JSON.stringify({ era: 0, doubtedBefore: 0, reports: [report, sound] });
		const records = new UsageRecords({
			store: { get: async () => ({ value }) },
			holder: { token: 1 },
			log: silentLog,
			keys: { holder: 'h', reports: 'r' },
			currentWindow: () => 5,
		} as unknown as UsageRecordsOptions);
		const read = await records.read();
		assert.deepEqual(read.at(-1), sound);
		assert.ok(
			read.every(({ window, counts }) => Number.isInteger(window) && Array.isArray(counts)),
		);
	});
}

/** Settings of a VM with one field replaced. */
function settingsWith(part: object): string {
	const address = '10.0.0.1:80';
	const sound = {
		'node-name': 'vm-1',
		ip: '10.0.0.1',
		zone: 'z',
		listen: { frontend: address, readiness: address },
		'port-range': [7000, 7001],
		limits: { 'memory-mb': 100, 'max-fds': 100 },
		bounds: {},
		platform: { address },
	};
	return JSON.stringify({ ...sound, ...part });
}

function checkSettings(): Promise<void> {
	const parts = fc.oneof(
		unusableAddress.map((address) => ({ platform: { address } })),
		unusableAddress.map((address) => ({ 'seed-nodes': [address] })),
		fc.constantFrom(
			{ 'port-range': [0, 70_000] },
			{ 'heartbeat-ms': 1e12 },
			{ 'heartbeat-ms': -1 },
		),
	);
	assert.ok(platform.parseSettings('s.json', settingsWith({})).settings);
	return check(parts, (part) => {
		const { findings } = platform.parseSettings('s.json', settingsWith(part));
		assert.equal(findings.length > 0, true);
		assert.ok(findings.every(({ path }) => path.split('.')[0] === Object.keys(part)[0]));
	});
}

function checkConfigurations(): Promise<void> {
	const route = { name: 'r', hostname: 'h', 'path-prefix': '/', service: 's', 'timeout-ms': 1000 };
	const sound = { version: 1, routes: [route], services: [] };
	const parts = fc.constantFrom({ 'timeout-ms': -1 }, { 'timeout-ms': 2 ** 31 }, { priority: -1 });
	assert.ok(platform.decodeConfiguration(JSON.stringify(sound)));
	return check(parts, (part) => {
		const text = JSON.stringify({ ...sound, routes: [{ ...route, ...part }] });
		assert.throws(
			() => platform.decodeConfiguration(text),
			new RegExp(`routes.0.${Object.keys(part)[0]}`),
		);
	});
}

const checks: Readonly<Record<string, (world: FleetWorld) => Promise<void>>> = {
	'the address of an engine': checkEngineAddresses,
	'the id of an engine': checkEngineIds,
	'the registration of a VM': checkVmRegistrations,
	'an answer of the store': checkStoreAnswers,
	'the era of the store': checkEras,
	'a quarantined key': checkTraitKeys,
	"a peer's copy of the engines": checkEngineCopies,
	'an address in a datagram': checkDatagrams,
	'a number in a datagram': checkDatagramNumbers,
	'an entry of the store that is nested deeply': checkNestedStoreEntries,
	'an entry of the list of VMs': checkListedVms,
	'an order to forward a request': checkForwardOrders,
	'the earlier usage reports': checkUsageReports,
	'the settings': checkSettings,
	'a number of the configuration': checkConfigurations,
};

cucumber.Then(
	/^whatever (.+) (?:is|are), it costs only itself$/,
	{ timeout: 20_000 },
	async function (this: FleetWorld, value: string) {
		const run = checks[value];
		assert.ok(run, value);
		await run(this);
	},
);

cucumber.When(
	'another writer leaves an engine and a VM at {string}',
	function (this: FleetWorld, address: string) {
		const { store } = fixtureOf(this);
		store.put(`${platform.storeKeys.engines}bad`, { ...registered, address });
		store.put(`${vmPrefix}bad`, `${address} 9 z1`);
	},
);

/** More levels than a recursive function could visit. */
const nestingLevels = 200_000;
const nestedList = `${'['.repeat(nestingLevels)}${']'.repeat(nestingLevels)}`;
const nestedObject = `${'{"a":'.repeat(nestingLevels)}1${'}'.repeat(nestingLevels)}`;
const absurdNumbers = ['1e400', '-1e400', '1e308', '-1', '0', '1.5', '65536', nestedList];
const absurdAddresses = ['0', '65536', '99999', '-1'].map((port) => `127.0.0.1:${port}`);

/** Values that no writer of ours leaves, as text. */
function oddTexts(sound: Readonly<Record<string, unknown>>): string[] {
	const fields = Object.keys(sound).flatMap((field) =>
		absurdNumbers.map((text) =>
			JSON.stringify({ ...sound, [field]: 'ODD' }).replace('"ODD"', text),
		),
	);
	const addresses = absurdAddresses.map((address) => JSON.stringify({ ...sound, address }));
	const noValues = ['', 'null', '[]', '"\\ud800"', '\u0000\u0001\u007f', 'x'.repeat(300_000)];
	return [nestedList, nestedObject, ...noValues, ...fields, ...addresses];
}

cucumber.When(
	'another writer leaves odd entries among those of engines, of VMs and of quarantined contents',
	async function (this: FleetWorld) {
		const { store } = fixtureOf(this);
		for (const prefix of [platform.storeKeys.engines, vmPrefix, platform.storeKeys.quarantine]) {
			// Entries that can be read name engines that do not exist, of a service without requests.
			const other = { ...registered, service: 'other' };
			for (const [index, text] of oddTexts(other).entries()) {
				store.put(`${prefix}odd-${index}`, text);
			}
			store.put(`${prefix}\u0001\ud800`, 'x');
			await new Promise((done) => setTimeout(done, 300));
		}
	},
);

cucumber.When(
	'another writer leaves each odd value in place of the configuration and of the duties, for a moment',
	async function (this: FleetWorld) {
		const { configuration, dutyHolder, usageReports } = platform.storeKeys;
		const { store } = fixtureOf(this);
		const old = { version: 1, routes: [], services: [], limits: {}, tenants: [] };
		// A configuration with a later version that can be read is in force.
		const texts = oddTexts(old).filter((text) => !text.includes('"version":65536'));
		for (const text of texts) {
			for (const key of [dutyHolder, usageReports, configuration]) {
				store.put(key, text);
			}
			await new Promise((done) => setTimeout(done, 20));
		}
		store.remove(dutyHolder);
		store.remove(usageReports);
		fixtureOf(this).configure([callerKey]);
	},
);

cucumber.When(
	'another engine begins, and VM 2 is started again',
	async function (this: FleetWorld) {
		const fixture = fixtureOf(this);
		const engine = new PlatformEngineStandIn('late');
		fixture.engines.set(engine.id, engine);
		await fixture.register(engine, await engine.start());
		const vm = fixture.vms[1];
		assert.ok(vm);
		vm.process.kill('SIGKILL');
		await vm.ended;
		fixture.vms[1] = await fixture.startVm(vm.address, 'vm-2', vm.ports);
		await until(() => fixture.isReady(fixture.vms[1] as Vm));
	},
);

cucumber.Then('that engine was used', function (this: FleetWorld) {
	assert.ok(engineOf(this, 'late').receivedRequests.length > 0);
});

cucumber.When(
	'a stranger asks each VM for {string} as a peer does',
	async function (this: FleetWorld, path: string) {
		for (const { address, ports } of fixtureOf(this).vms) {
			await new Promise((done) => {
				const req = http.get({ host: address, port: ports.peers, path }, (res) => res.resume());
				req.on('error', done);
				req.on('close', done);
			});
		}
	},
);

cucumber.Then(
	'{int} {string} requests at each VM are answered, and no VM has ended',
	async function (this: FleetWorld, count: number, call: string) {
		const fixture = fixtureOf(this);
		for (const vm of fixture.vms) {
			for (let index = 0; index < count; index++) {
				const { status } = await fixture.send(call, '', { vm });
				assert.equal(status, 200, vm.errors);
			}
			assert.equal(vm.process.exitCode, null, vm.errors);
		}
	},
);

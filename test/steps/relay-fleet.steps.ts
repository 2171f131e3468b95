/**
 * Steps about the engine directory, the fleet view, the selection of store readers and gossip datagrams, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import * as msgpack from '@msgpack/msgpack';
import fc from 'fast-check';
import type { Engine } from '../../src/core/engines/engine.js';
import { EngineDirectory } from '../../src/core/engines/engine-directory.js';
import type { EngineRegistration } from '../../src/core/engines/types.js';
import { FleetSize } from '../../src/core/fleet/fleet-size.js';
import type { FleetView } from '../../src/core/fleet/fleet-view.js';
import {
	maxContactAgeMs,
	maxReaderSilenceMs,
	ReaderSelection,
} from '../../src/core/fleet/reader-selection.js';
import { StoreReaders } from '../../src/core/fleet/store-readers.js';
import type { GossipMessage } from '../../src/core/fleet/types.js';
import type { Store } from '../../src/core/store/definitions.js';
import { StoreError, storeFailures } from '../../src/core/store/definitions.js';
import { PrefixFollower } from '../../src/core/store/prefix-follower.js';
import { revisionIn } from '../../src/core/store/revisions.js';
import { encodeGossip } from '../../src/infra/relay/gossip-codec.js';
import { encodePermitRequest } from '../../src/infra/relay/limit-codec.js';
import * as datagrams from '../../src/infra/relay/peer-datagram-socket.js';
import * as platform from '../../src/platform/index.js';
import { keysPerPage } from '../stand-ins/platform-store.js';
import {
	clockOf,
	gossipMessage,
	ManualClock,
	newFleetView,
	registered,
	registration,
	seen,
	silentLog,
	workMessage,
} from './relay-fakes.js';
import { fixtureOf } from './relay-fixture.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

cucumber.Given('a fleet size that never was read', function (this: FleetWorld) {
	this.state.set('size', new FleetSize());
});

cucumber.Then(
	/^with (\d+) VMs? heard and (\w+) read it is (.+)$/,
	function (this: FleetWorld, live: string, registered: string, expected: string) {
		const registeredVms = registered === 'none' ? undefined : Number(registered);
		const size = seen<FleetSize>(this, 'size');
		const count = size.count(Number(live), registeredVms, clockOf(this).now);
		assert.equal(count ?? 'not known', expected === 'not known' ? expected : Number(expected));
	},
);

export function newDirectory(
	world: FleetWorld,
	ids: string,
	onGone: (engine: Engine) => void = () => {},
	onChanged: () => void = () => {},
): EngineDirectory {
	const directory = new EngineDirectory({
		clock: clockOf(world),
		log: silentLog,
		decode: platform.decodeEngineRegistration,
		idOf: platform.engineIdOf,
		onAddressUnused() {},
		onRemoved: onGone,
		onLoaded() {},
		onChanged,
	});
	const items = ids.split(', ').map((id) => registration(id, 1));
	directory.applySnapshot(items, 0, 1);
	return directory;
}

cucumber.Given('a directory of engines {string}', function (this: FleetWorld, ids: string) {
	this.state.set('notifications', 0);
	const onChanged = () => this.state.set('notifications', seen<number>(this, 'notifications') + 1);
	this.state.set('directory', newDirectory(this, ids, undefined, onChanged));
});

cucumber.Given('the fleet has {int} requests at {string}', addFleetRequests);

function addFleetRequests(this: FleetWorld, count: number, id: string): void {
	const fleet = newFleetView(this);
	const engines = newDirectory(this, 'a, b', (engine) => fleet.removeEngine(engine.incarnationKey));
	const [engine] = engines.getEligible('pool').filter((one) => one.id === id);
	assert.ok(engine);
	fleet.merge(workMessage(this, engine.incarnationKey, count, { seq: 1 }));
	assert.equal(fleet.getWork(engine.incarnationKey).running, count);
	this.state.set('directory', engines);
	this.state.set('fleet', fleet);
	this.state.set('engine before', engine);
}

cucumber.When('{string} begins again under its id', function (this: FleetWorld, id: string) {
	const item = registration(id, 2, { born: registered.born + 5000 });
	const changes = { events: [{ kind: 'put' as const, item }], revision: 2 };
	seen<EngineDirectory>(this, 'directory').applyChanges(changes);
});

cucumber.When(
	'news of {int} requests at the {string} before come late',
	function (this: FleetWorld, count: number, id: string) {
		const before = seen<Engine>(this, 'engine before');
		assert.equal(before.id, id);
		before.health.recordUnreachable(clockOf(this).now);
		seen<FleetView>(this, 'fleet').merge(
			workMessage(this, before.incarnationKey, count, { seq: 2 }),
		);
	},
);

cucumber.Then(
	'the fleet has {int} requests at the {string} of now, and it is open',
	function (this: FleetWorld, count: number, id: string) {
		const engines = seen<EngineDirectory>(this, 'directory');
		const [engine] = engines.getEligible('pool').filter((one) => one.id === id);
		assert.ok(engine);
		assert.equal(seen<FleetView>(this, 'fleet').getWork(engine.incarnationKey).running, count);
		assert.ok(engine.health.isAvailable(clockOf(this).now));
		assert.ok(seen<Engine>(this, 'engine before').isRemoved);
	},
);

/** Arbitrary and malformed values under the key of an engine's registration. */
const invalidRegistration = fc.oneof(
	fc.string(),
	fc.json(),
	fc
		.tuple(
			fc.constantFrom(...Object.keys(registered)),
			fc.oneof(fc.constant(undefined), fc.constant(null), fc.constant([]), fc.object()),
		)
		.map(([field, value]) => JSON.stringify({ ...registered, [field]: value }))
		// `born` is optional, so a registration without it is valid.
		.filter((text) => JSON.parse(text).born !== undefined),
	fc
		.constantFrom(
			{ state: 'resting' },
			{ slots: '4' },
			{ slots: 0 },
			{ address: 'a:1' },
			{ born: 1.5 },
			{ 'warmup-left-ms': -1 },
			{ zone: '' },
		)
		.map((part) => JSON.stringify({ ...registered, ...part })),
);

cucumber.Then(
	'whatever another writer leaves under {string}, engines {string} are offered',
	function (this: FleetWorld, id: string, ids: string) {
		fc.assert(
			fc.property(invalidRegistration, (value) => {
				const engines = newDirectory(this, 'a, b, c');
				const item = { ...registration(id, 2), value };
				engines.applyChanges({ events: [{ kind: 'put' as const, item }], revision: 2 });
				const offered = engines.getEligible('pool').map((engine) => engine.id);
				assert.equal(offered.join(', '), ids);
				const peer = newDirectory(this, 'd');
				assert.ok(peer.applyCopy(engines.export(0)));
				assert.equal(peer.digest, engines.digest);
			}),
			{ numRuns: 300, seed: 11 },
		);
	},
);

cucumber.Given('a peer with the same directory', function (this: FleetWorld) {
	const ids = seen<EngineDirectory>(this, 'directory').getEligible('pool');
	this.state.set('peer', newDirectory(this, ids.map((engine) => engine.id).join(', ')));
});

cucumber.When(
	'engine {string} registers and that of {string} ends',
	function (this: FleetWorld, fresh: string, ended: string) {
		const item = registration(fresh, 2);
		const gone = { kind: 'gone' as const, key: platform.storeKeys.engines + ended };
		const changes = { events: [{ kind: 'put' as const, item }, gone], revision: 3 };
		seen<EngineDirectory>(this, 'directory').applyChanges(changes);
	},
);

cucumber.Then(
	'the peer takes what changed and has engines {string}',
	function (this: FleetWorld, ids: string) {
		const own = seen<EngineDirectory>(this, 'directory');
		const peer = seen<EngineDirectory>(this, 'peer');
		assert.notEqual(peer.digest, own.digest);
		const text = own.export(peer.revision);
		assert.equal(JSON.parse(text).items.length, 1);
		assert.ok(peer.applyCopy(text));
		assert.equal(peer.digest, own.digest);
		assert.deepEqual(
			peer.getEligible('pool').map((engine) => engine.id),
			ids.split(', '),
		);
	},
);

cucumber.When('each engine writes its registration again', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const events = own.getEligible('pool').map(({ id }, index) => {
		return { kind: 'put' as const, item: registration(id, 2 + index, { sequence: 7 + index }) };
	});
	own.applyChanges({ events, revision: 1 + events.length });
});

cucumber.When(
	'the registration of {string} says that it leaves',
	function (this: FleetWorld, id: string) {
		const item = registration(id, 10, { state: 'draining' });
		const changes = { events: [{ kind: 'put' as const, item }], revision: 10 };
		seen<EngineDirectory>(this, 'directory').applyChanges(changes);
	},
);

cucumber.Then('the peer has nothing to fetch, and none was told', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	assert.ok(own.revision > 1);
	assert.equal(seen<EngineDirectory>(this, 'peer').digest, own.digest);
	assert.equal(seen<number>(this, 'notifications'), 0);
});

cucumber.Then('the peer has something to fetch, and it was told', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const peer = seen<EngineDirectory>(this, 'peer');
	assert.notEqual(peer.digest, own.digest);
	assert.equal(seen<number>(this, 'notifications'), 1);
	assert.ok(peer.applyCopy(own.export(peer.revision)));
	assert.equal(peer.digest, own.digest);
});

cucumber.Then(
	'a copy for the peer holds only the registration of {string}',
	function (this: FleetWorld, id: string) {
		const own = seen<EngineDirectory>(this, 'directory');
		const peer = seen<EngineDirectory>(this, 'peer');
		const text = own.export(peer.revision);
		const copied = JSON.parse(text).items.map((item: { key: string }) => item.key);
		assert.deepEqual(copied, [platform.storeKeys.engines + id]);
		assert.ok(peer.applyCopy(text));
		assert.equal(peer.digest, own.digest);
	},
);

cucumber.Then(
	'peers that know no engines get the same text before and after a heartbeat of {string}',
	function (this: FleetWorld, id: string) {
		const own = seen<EngineDirectory>(this, 'directory');
		const before = own.export(0);
		const item = registration(id, 11, { sequence: 20 });
		own.applyChanges({ events: [{ kind: 'put' as const, item }], revision: 11 });
		assert.equal(own.export(0), before);
		const peer = newDirectory(this, 'z');
		assert.ok(peer.applyCopy(before));
		assert.equal(peer.digest, own.digest);
	},
);

/** Loads a directory and returns how often it read the id of an engine. */
function countIdReads(world: FleetWorld, engines: number): number {
	let reads = 0;
	const directory = new EngineDirectory({
		clock: clockOf(world),
		log: silentLog,
		decode: (key, value) => {
			const { id, ...decoded } = platform.decodeEngineRegistration(key, value);
			const counted = Object.defineProperty(decoded, 'id', {
				enumerable: true,
				get: () => {
					reads++;
					return id;
				},
			});
			return counted as EngineRegistration;
		},
		idOf: platform.engineIdOf,
		onAddressUnused() {},
		onRemoved() {},
		onLoaded() {},
		onChanged() {},
	});
	const items = Array.from({ length: engines }, (_, index) => {
		return registration(`engine-${(index * 7919) % engines}`, 1 + index);
	});
	directory.applySnapshot(items, 0, engines);
	assert.equal(directory.getEligible('pool').length, engines);
	return reads;
}

cucumber.When(
	'directories of {int} and {int} engines are loaded',
	function (this: FleetWorld, few: number, many: number) {
		const reads = [few, many].map((engines) => countIdReads(this, engines));
		this.state.set('id reads', reads);
	},
);

cucumber.Then(
	'the larger one reads the ids of engines at most {int} times as often',
	function (this: FleetWorld, max: number) {
		const [few = 0, many = 0] = seen<number[]>(this, 'id reads');
		assert.ok(many <= few * max, `${few} and ${many} reads`);
	},
);

cucumber.Then(
	'a reader of the store whose revision alone rose is no news, but one of another era is',
	function (this: FleetWorld) {
		const readers = new StoreReaders();
		const mergeReader = (revision: number, digest = 5) => {
			const reader = { address: '10.0.0.2:1', contactAgeMs: 0, revision, digest, dutyToken: 0 };
			return readers.merge(reader, true, clockOf(this).now);
		};
		assert.ok(mergeReader(revisionIn(1, 10)));
		assert.equal(mergeReader(revisionIn(1, 20)), false);
		assert.ok(mergeReader(revisionIn(1, 20), 6));
		assert.ok(mergeReader(revisionIn(2, 3), 6));
		// Gossip contains the newest revision regardless.
		assert.equal(readers.getAll(clockOf(this).now)[0]?.revision, revisionIn(2, 3));
	},
);

cucumber.Then('a peer that knows no engines asks for all of them', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const peer = newDirectory(this, 'z');
	assert.equal(peer.applyCopy(own.export(own.revision)), false);
	assert.ok(peer.applyCopy(own.export(0)));
	assert.equal(peer.digest, own.digest);
});

cucumber.When('the registration of {string} ends', function (this: FleetWorld, id: string) {
	const key = `${platform.storeKeys.engines}${id}`;
	seen<EngineDirectory>(this, 'directory').applyChanges({
		events: [{ kind: 'gone', key }],
		revision: 2,
	});
});

cucumber.When(
	'the store is lost and returns without {string}',
	function (this: FleetWorld, id: string) {
		const directory = seen<EngineDirectory>(this, 'directory');
		const left = directory.getEligible('pool').filter((engine) => engine.id !== id);
		directory.handleStoreLost();
		directory.applySnapshot(
			left.map((engine) => registration(engine.id, 3)),
			0,
			3,
		);
	},
);

cucumber.When('the store is lost and returns whole', function (this: FleetWorld) {
	const directory = seen<EngineDirectory>(this, 'directory');
	const all = directory.getEligible('pool').map((engine) => registration(engine.id, 3));
	directory.handleStoreLost();
	directory.applySnapshot(all, 0, 3);
});

cucumber.Then('engines {string} are offered', function (this: FleetWorld, ids: string) {
	const offered = seen<EngineDirectory>(this, 'directory').getEligible('pool');
	assert.equal(offered.map((engine) => engine.id).join(', '), ids);
});

cucumber.Given('a fleet of {int} VMs', function (this: FleetWorld, size: number) {
	const names = Array.from({ length: size }, (_, index) => `vm-${index + 1}`);
	this.state.set('names', names);
	this.state.set(
		'selections',
		names.map((name) => new ReaderSelection(name)),
	);
});

/** Updates all selections every 100 ms for a time. */
function runSelections(
	world: FleetWorld,
	freshReaders: number,
	ms: number,
	liveVms?: number,
): void {
	const names = seen<string[]>(world, 'names');
	for (const until = clockOf(world).now + ms; clockOf(world).now < until; ) {
		clockOf(world).now += 100;
		for (const selection of seen<ReaderSelection[]>(world, 'selections')) {
			selection.update({ names, freshReaders, liveVms }, clockOf(world).now);
		}
	}
}

cucumber.When(
	'{int} of their peers read the store for {int} ms',
	function (this: FleetWorld, freshReaders: number, ms: number) {
		runSelections(this, freshReaders, ms);
	},
);

cucumber.When(
	'{int} of their peers read the store for {int} ms, and all hear each other',
	function (this: FleetWorld, freshReaders: number, ms: number) {
		runSelections(this, freshReaders, ms, seen<string[]>(this, 'names').length);
	},
);

/** Time that a busy store takes to refuse a call. */
const refusalMs = 80;

cucumber.Given('a follower of a store that refuses every call', function (this: FleetWorld) {
	const clock = clockOf(this);
	let calls = 0;
	const sleeping: { until: number; wake: () => void }[] = [];
	const sleep = (ms: number) =>
		new Promise<void>((wake) => sleeping.push({ until: clock.now + ms, wake }));
	const range = async () => {
		calls++;
		await sleep(refusalMs);
		throw new StoreError(storeFailures.refused, 'busy');
	};
	const listener = { applySnapshot() {}, applyChanges() {}, handleStoreLost() {} };
	const follower = new PrefixFollower({
		store: { range } as unknown as Store,
		prefix: 'p/',
		clock,
		random: { next: () => 0.5, hex: () => '' },
		log: silentLog,
		listener,
		beforeFirstWatch: async () => {},
		watchMs: () => 1000,
		pauseMs: 0,
		maxBackoffMs: () => 400,
		sleep,
		backOff: sleep,
	});
	void follower.follow();
	this.state.set('follower', { follower, sleeping, calls: () => calls });
});

cucumber.Given(
	'a store with {int} keys, of which each call returns a few',
	async function (this: FleetWorld, keys: number) {
		const { store } = fixtureOf(this);
		await store.start();
		for (let key = 0; key < keys; key++) {
			store.put(`p/${String(key).padStart(5, '0')}`, 'value');
		}
		this.state.set('keys', keys);
	},
);

cucumber.When(
	'a follower of them is paused after its first calls',
	async function (this: FleetWorld) {
		const { store } = fixtureOf(this);
		const [host = '', port = ''] = store.addressFor('127.0.0.1').split(':');
		const client = new platform.PlatformStore({ host, port: Number(port) }, new ManualClock());
		const sleep = (ms: number) => new Promise<void>((done) => setTimeout(done, ms));
		let readKeys = 0;
		const follower = new PrefixFollower({
			store: client,
			prefix: 'p/',
			clock: new ManualClock(),
			random: { next: () => 0.5, hex: () => '' },
			log: silentLog,
			listener: {
				applySnapshot: (items) => {
					readKeys = items.length;
				},
				applyChanges() {},
				handleStoreLost() {},
			},
			beforeFirstWatch: async () => {},
			watchMs: () => 1000,
			pauseMs: 0,
			maxBackoffMs: () => 400,
			sleep,
			backOff: sleep,
		});
		// Paused by the store within a read, since a poll would let a fast process read much of the range first.
		const paused = new Promise<void>((done) => {
			store.onRangeRead = () => {
				if (store.countRangeReads('p/') === 2) {
					follower.setActive(false);
					done();
				}
			};
		});
		void follower.follow();
		await paused;
		await sleep(1000);
		this.state.set('paused', { follower, client, readKeys: () => readKeys });
	},
);

cucumber.Then(
	'it makes at most a quarter of the calls that the whole range takes',
	function (this: FleetWorld) {
		const calls = fixtureOf(this).store.countRangeReads('p/');
		const pages = seen<number>(this, 'keys') / keysPerPage;
		assert.ok(calls <= pages / 4, `${calls} of ${pages} calls`);
	},
);

cucumber.Then('it reads the whole range once it is resumed', async function (this: FleetWorld) {
	const { follower, client, readKeys } = seen<PausedFollower>(this, 'paused');
	assert.equal(readKeys(), 0);
	follower.setActive(true);
	await until(() => readKeys() === seen<number>(this, 'keys'));
	follower.stop();
	await client.close();
});

interface PausedFollower {
	follower: PrefixFollower;
	client: platform.PlatformStore;
	readKeys: () => number;
}

interface FollowerFixture {
	follower: PrefixFollower;
	sleeping: { until: number; wake: () => void }[];
	calls: () => number;
}

cucumber.When(
	'it is told each {int} ms for {int} ms to drop what may hang',
	async function (this: FleetWorld, eachMs: number, ms: number) {
		const { follower, sleeping } = seen<FollowerFixture>(this, 'follower');
		const clock = clockOf(this);
		for (const until = clock.now + ms; clock.now < until; ) {
			clock.now += eachMs;
			follower.restart('a test');
			for (const sleeper of sleeping.filter((item) => item.until <= clock.now)) {
				sleeping.splice(sleeping.indexOf(sleeper), 1);
				sleeper.wake();
			}
			await new Promise((done) => setImmediate(done));
		}
		follower.stop();
	},
);

cucumber.Then(
	'it has called the store at most {int} times',
	function (this: FleetWorld, maxCalls: number) {
		const calls = seen<FollowerFixture>(this, 'follower').calls();
		assert.ok(calls >= 5 && calls <= maxCalls, `${calls} calls`);
	},
);

cucumber.Then('{int} of them read the store', function (this: FleetWorld, count: number) {
	const selections = seen<ReaderSelection[]>(this, 'selections');
	assert.equal(selections.filter((selection) => selection.isReader).length, count);
});

cucumber.Then(
	'{int} of them tell so three times before they seem cut off, however quiet it is',
	function (this: FleetWorld, count: number) {
		const selections = seen<ReaderSelection[]>(this, 'selections');
		assert.equal(selections.filter((selection) => selection.isReadingForOthers).length, count);
		assert.ok(3 * maxReaderSilenceMs < maxContactAgeMs);
	},
);

cucumber.Then(
	'{int} of them ask a store that is away more often than each second',
	function (this: FleetWorld, count: number) {
		const selections = seen<ReaderSelection[]>(this, 'selections');
		assert.equal(selections.filter((selection) => selection.maxBackoffMs < 1000).length, count);
	},
);

cucumber.Given(
	'a peer that told of {int} running requests at {string} as message {int}',
	function (this: FleetWorld, running: number, engine: string, seq: number) {
		const fleet = newFleetView(this);
		fleet.merge(workMessage(this, engine, running, { seq }));
		this.state.set('fleet', fleet);
	},
);

cucumber.When(
	'its message {int} comes with {int} running requests',
	function (this: FleetWorld, seq: number, running: number) {
		seen<FleetView>(this, 'fleet').merge(workMessage(this, 'a', running, { seq }));
	},
);

cucumber.When(
	'the peer starts anew and tells of {int} running request as message {int}',
	function (this: FleetWorld, running: number, seq: number) {
		seen<FleetView>(this, 'fleet').merge(workMessage(this, 'a', running, { seq, incarnation: 2 }));
	},
);

cucumber.Then(
	'the fleet has {int} running requests at {string}',
	function (this: FleetWorld, running: number, engine: string) {
		assert.equal(seen<FleetView>(this, 'fleet').getWork(engine).running, running);
	},
);

cucumber.Given('news of work, reads, demand and costs', function (this: FleetWorld) {
	const work = [{ engine: 4_000_000_000, running: 3, promptTokens: 7000 }];
	const cacheUpdates = [{ segment: 1, engine: 2, isPrefilled: true }];
	const store = { contactAgeMs: 250, revision: 12_345, digest: 77, dutyToken: 12_001 };
	const storeReaders = [{ address: '10.0.0.3:1', ...store }];
	const engines = { from: 3_000_000_000, to: 2 ** 32 };
	const reportAcks = [{ vm: 4_000_000_001, seq: 70_000 }];
	const line = { weight: 12.5, x: 4000, y: 130.25, xx: 9_000_000, xy: 800_000 };
	const pauses = { eventIntervalMs: 17.5, eventWeight: 100, events: 900, expectedTokens: 4000 };
	const costs = [{ service: 3_000_000_000, reading: line, copying: line, ...pauses }];
	const demand = { long: 1.25, short: 0.5 };
	const pace = { ageMs: 120, reading: { weight: 2, sum: 1 }, steps: { weight: 0.5, sum: -0.25 } };
	const message = gossipMessage({
		kind: 'fleet',
		work,
		cacheUpdates,
		demand,
		storeReaders,
		reportAcks,
		engines,
		vmCount: 195,
		costs,
		answers: [{ engine: 4_000_000_000, failed: 4, served: 1, failingVms: 3 }],
		paces: [{ service: 3_000_000_000, engines: [{ engine: 4_000_000_000, ...pace }] }],
		limits: [
			{ engine: 4_000_000_000, limitPerS: 2.9, version: 3 },
			{ engine: 2, limitPerS: undefined, version: 70 },
		],
		issuer: { address: '10.0.0.3:1', term: 4, heartbeatSeq: 1200, isResigned: false },
	});
	this.state.set('message', message);
});

cucumber.Then('they are the same after encoding and decoding', function (this: FleetWorld) {
	const message = seen<GossipMessage>(this, 'message');
	assert.deepEqual(datagrams.decodeGossipDatagram(encodeGossip(message)), message);
});

cucumber.Then('a closed sender of datagrams passes over them', async function (this: FleetWorld) {
	const sender = new datagrams.PeerDatagramSocket(silentLog, noListener);
	await sender.bind({ host: '127.0.0.1', port: 0 });
	sender.close();
	sender.sendGossip([{ host: '127.0.0.1', port: 9 }], seen<GossipMessage>(this, 'message'));
});

const noListener: datagrams.PeerListener = {
	onGossip() {},
	onUsage() {},
	onUsageAck() {},
	onPermitRequest() {},
	onPermitResponse() {},
};

cucumber.Then('{int} random datagrams are refused without an error', (count: number) => {
	const bytes = fc.uint8Array({ maxLength: 200 });
	fc.assert(
		fc.property(bytes, (datagram) => !datagrams.dispatchDatagram(datagram, noListener)),
		{ numRuns: count, seed: 1 },
	);
});

/** Returns the index paths of all values in nested arrays. */
function pathsOf(row: readonly unknown[], parent: readonly number[] = []): number[][] {
	return row.flatMap((value, index) => {
		const path = [...parent, index];
		return [path, ...(Array.isArray(value) ? pathsOf(value, path) : [])];
	});
}

function replaceValue(
	row: unknown[],
	[index = 0, ...rest]: readonly number[],
	value: unknown,
): unknown[] {
	const copy = [...row];
	copy[index] = rest.length > 0 ? replaceValue(row[index] as unknown[], rest, value) : value;
	return copy;
}

cucumber.Then(
	'a datagram of them with any field of another type is refused',
	function (this: FleetWorld) {
		const row = msgpack.decode(encodeGossip(seen<GossipMessage>(this, 'message'))) as unknown[];
		for (const path of pathsOf(row)) {
			const bytes = msgpack.encode(replaceValue(row, path, { of: 'another type' }));
			assert.equal(datagrams.dispatchDatagram(bytes, noListener), false, path.join('.'));
		}
	},
);

cucumber.Given(
	/^an ask for a permit whose (from|urgency|waitMs) is (\S+)$/,
	function (this: FleetWorld, field: string, value: string) {
		const limit = { engine: 1, limitPerS: 3, version: 1 };
		const valid = { from: '10.0.0.1:7000', id: 1, limit, urgency: 0, waitMs: 30 };
		assert.ok(datagrams.dispatchDatagram(encodePermitRequest(valid), noListener));
		const part = { [field]: field === 'from' ? value : Number(value) };
		this.state.set('datagram', encodePermitRequest({ ...valid, ...part }));
	},
);

cucumber.Then('the datagram is refused', function (this: FleetWorld) {
	assert.equal(datagrams.dispatchDatagram(seen<Uint8Array>(this, 'datagram'), noListener), false);
});

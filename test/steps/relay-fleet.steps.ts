/**
 * Steps about what VMs know of engines, of each other and of the store, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import * as msgpack from '@msgpack/msgpack';
import fc from 'fast-check';
import type { Engine } from '../../src/core/engines/engine.js';
import { EngineDirectory } from '../../src/core/engines/engine-directory.js';
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
import { encodePermitAsk } from '../../src/infra/relay/limit-codec.js';
import { encodeNews } from '../../src/infra/relay/news-codec.js';
import * as datagrams from '../../src/infra/relay/peer-datagrams.js';
import * as platform from '../../src/platform/index.js';
import {
	clockOf,
	gossipMessage,
	newFleetView,
	registered,
	registration,
	seen,
	silentLog,
	workMessage,
} from './relay-fakes.js';
import type { FleetWorld } from './world.js';

cucumber.Given('a fleet size that never was read', function (this: FleetWorld) {
	this.seen.set('size', new FleetSize());
});

cucumber.Then(
	/^with (\d+) VMs? heard and (\w+) read it is (.+)$/,
	function (this: FleetWorld, heard: string, read: string, expected: string) {
		const registered = read === 'none' ? undefined : Number(read);
		const size = seen<FleetSize>(this, 'size');
		const count = size.count(Number(heard), registered, clockOf(this).now);
		assert.equal(count ?? 'not known', expected === 'not known' ? expected : Number(expected));
	},
);

function directory(
	world: FleetWorld,
	ids: string,
	onGone: (engine: Engine) => void = () => {},
	onChanged: () => void = () => {},
): EngineDirectory {
	const made = new EngineDirectory({
		clock: clockOf(world),
		log: silentLog,
		decode: platform.decodeEngine,
		idOf: platform.engineIdOf,
		onAddressGone() {},
		onGone,
		onRead() {},
		onChanged,
	});
	const items = ids.split(', ').map((id) => registration(id, 1));
	made.applySnapshot(items, 0, 1);
	return made;
}

cucumber.Given('a directory of engines {string}', function (this: FleetWorld, ids: string) {
	this.seen.set('told', 0);
	const onChanged = () => this.seen.set('told', seen<number>(this, 'told') + 1);
	this.seen.set('directory', directory(this, ids, undefined, onChanged));
});

cucumber.Given('the fleet has {int} requests at {string}', fleetHas);

function fleetHas(this: FleetWorld, count: number, id: string): void {
	const fleet = newFleetView(this);
	const engines = directory(this, 'a, b', (engine) => fleet.removeEngine(engine.key));
	const [engine] = engines.offered('pool').filter((one) => one.id === id);
	assert.ok(engine);
	fleet.receive(workMessage(this, engine.key, count, { seq: 1 }));
	assert.equal(fleet.workAt(engine.key).running, count);
	this.seen.set('directory', engines);
	this.seen.set('fleet', fleet);
	this.seen.set('engine before', engine);
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
		before.health.unreachable(clockOf(this).now);
		seen<FleetView>(this, 'fleet').receive(workMessage(this, before.key, count, { seq: 2 }));
	},
);

cucumber.Then(
	'the fleet has {int} requests at the {string} of now, and it is open',
	function (this: FleetWorld, count: number, id: string) {
		const engines = seen<EngineDirectory>(this, 'directory');
		const [engine] = engines.offered('pool').filter((one) => one.id === id);
		assert.ok(engine);
		assert.equal(seen<FleetView>(this, 'fleet').workAt(engine.key).running, count);
		assert.ok(engine.health.admits(clockOf(this).now));
		assert.ok(seen<Engine>(this, 'engine before').isGone);
	},
);

/** What another writer may leave where an engine's registration is expected. */
const foreignText = fc.oneof(
	fc.string(),
	fc.json(),
	fc
		.tuple(
			fc.constantFrom(...Object.keys(registered)),
			fc.oneof(fc.constant(undefined), fc.constant(null), fc.constant([]), fc.object()),
		)
		.map(([field, value]) => JSON.stringify({ ...registered, [field]: value }))
		// An engine need not tell when it began.
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
			fc.property(foreignText, (value) => {
				const engines = directory(this, 'a, b, c');
				const item = { ...registration(id, 2), value };
				engines.applyChanges({ events: [{ kind: 'put' as const, item }], revision: 2 });
				const offered = engines.offered('pool').map((engine) => engine.id);
				assert.equal(offered.join(', '), ids);
				const peer = directory(this, 'd');
				assert.ok(peer.takeCopy(engines.export(0)));
				assert.equal(peer.digest, engines.digest);
			}),
			{ numRuns: 300, seed: 11 },
		);
	},
);

cucumber.Given('a peer with the same directory', function (this: FleetWorld) {
	const ids = seen<EngineDirectory>(this, 'directory').offered('pool');
	this.seen.set('peer', directory(this, ids.map((engine) => engine.id).join(', ')));
});

cucumber.When(
	'engine {string} registers and that of {string} ends',
	function (this: FleetWorld, fresh: string, ended: string) {
		const item = registration(fresh, 2);
		const gone = { kind: 'gone' as const, key: platform.keys.engines + ended };
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
		assert.ok(peer.takeCopy(text));
		assert.equal(peer.digest, own.digest);
		assert.deepEqual(
			peer.offered('pool').map((engine) => engine.id),
			ids.split(', '),
		);
	},
);

cucumber.When('each engine writes its registration again', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const events = own.offered('pool').map(({ id }, at) => {
		return { kind: 'put' as const, item: registration(id, 2 + at, { sequence: 7 + at }) };
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
	assert.equal(seen<number>(this, 'told'), 0);
});

cucumber.Then('the peer has something to fetch, and it was told', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const peer = seen<EngineDirectory>(this, 'peer');
	assert.notEqual(peer.digest, own.digest);
	assert.equal(seen<number>(this, 'told'), 1);
	assert.ok(peer.takeCopy(own.export(peer.revision)));
	assert.equal(peer.digest, own.digest);
});

cucumber.Then(
	'a reader of the store whose revision alone rose is no news, but one of another era is',
	function (this: FleetWorld) {
		const readers = new StoreReaders();
		const hear = (revision: number, digest = 5) => {
			const reader = { address: '10.0.0.2:1', contactAgeMs: 0, revision, digest, dutyToken: 0 };
			return readers.merge(reader, true, clockOf(this).now);
		};
		assert.ok(hear(revisionIn(1, 10)));
		assert.equal(hear(revisionIn(1, 20)), false);
		assert.ok(hear(revisionIn(1, 20), 6));
		assert.ok(hear(revisionIn(2, 3), 6));
		// What is passed on names the newest revision all the same.
		assert.equal(readers.all(clockOf(this).now)[0]?.revision, revisionIn(2, 3));
	},
);

cucumber.Then('a peer that knows no engines asks for all of them', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const peer = directory(this, 'z');
	assert.equal(peer.takeCopy(own.export(own.revision)), false);
	assert.ok(peer.takeCopy(own.export(0)));
	assert.equal(peer.digest, own.digest);
});

cucumber.When('the registration of {string} ends', function (this: FleetWorld, id: string) {
	const key = `${platform.keys.engines}${id}`;
	seen<EngineDirectory>(this, 'directory').applyChanges({
		events: [{ kind: 'gone', key }],
		revision: 2,
	});
});

cucumber.When(
	'the store is lost and returns without {string}',
	function (this: FleetWorld, id: string) {
		const directory = seen<EngineDirectory>(this, 'directory');
		const left = directory.offered('pool').filter((engine) => engine.id !== id);
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
	const all = directory.offered('pool').map((engine) => registration(engine.id, 3));
	directory.handleStoreLost();
	directory.applySnapshot(all, 0, 3);
});

cucumber.Then('engines {string} are offered', function (this: FleetWorld, ids: string) {
	const offered = seen<EngineDirectory>(this, 'directory').offered('pool');
	assert.equal(offered.map((engine) => engine.id).join(', '), ids);
});

cucumber.Given('a fleet of {int} VMs', function (this: FleetWorld, size: number) {
	const names = Array.from({ length: size }, (_, at) => `vm-${at + 1}`);
	this.seen.set('names', names);
	this.seen.set(
		'selections',
		names.map((name) => new ReaderSelection(name)),
	);
});

/** Updates all selections for a while, each 100 ms. */
function read(world: FleetWorld, freshReaders: number, ms: number, heardVms?: number): void {
	const names = seen<string[]>(world, 'names');
	for (const until = clockOf(world).now + ms; clockOf(world).now < until; ) {
		clockOf(world).now += 100;
		for (const selection of seen<ReaderSelection[]>(world, 'selections')) {
			selection.update({ names, freshReaders, liveVms: heardVms }, clockOf(world).now);
		}
	}
}

cucumber.When(
	'{int} of their peers read the store for {int} ms',
	function (this: FleetWorld, freshReaders: number, ms: number) {
		read(this, freshReaders, ms);
	},
);

cucumber.When(
	'{int} of their peers read the store for {int} ms, and all hear each other',
	function (this: FleetWorld, freshReaders: number, ms: number) {
		read(this, freshReaders, ms, seen<string[]>(this, 'names').length);
	},
);

/** A busy store takes so long to refuse a call, in milliseconds. */
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
		firstMayBeStale: false,
		pauseMs: 0,
		maxBackoffMs: () => 400,
		sleep,
		backOff: sleep,
	});
	void follower.follow();
	this.seen.set('follower', { follower, sleeping, calls: () => calls });
});

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
			follower.restart();
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
	function (this: FleetWorld, most: number) {
		const calls = seen<FollowerFixture>(this, 'follower').calls();
		assert.ok(calls >= 5 && calls <= most, `${calls} calls`);
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
		fleet.receive(workMessage(this, engine, running, { seq }));
		this.seen.set('fleet', fleet);
	},
);

cucumber.When(
	'its message {int} comes with {int} running requests',
	function (this: FleetWorld, seq: number, running: number) {
		seen<FleetView>(this, 'fleet').receive(workMessage(this, 'a', running, { seq }));
	},
);

cucumber.When(
	'the peer starts anew and tells of {int} running request as message {int}',
	function (this: FleetWorld, running: number, seq: number) {
		seen<FleetView>(this, 'fleet').receive(
			workMessage(this, 'a', running, { seq, incarnation: 2 }),
		);
	},
);

cucumber.Then(
	'the fleet has {int} running requests at {string}',
	function (this: FleetWorld, running: number, engine: string) {
		assert.equal(seen<FleetView>(this, 'fleet').workAt(engine).running, running);
	},
);

cucumber.Given('news of work, reads, demand and costs', function (this: FleetWorld) {
	const work = [{ engine: 4_000_000_000, running: 3, promptTokens: 7000 }];
	const reads = [{ part: 1, engine: 2, isDone: true }];
	const store = { contactAgeMs: 250, revision: 12_345, digest: 77, dutyToken: 12_001 };
	const readers = [{ address: '10.0.0.3:1', ...store }];
	const engines = { from: 3_000_000_000, to: 2 ** 32 };
	const heard = [{ vm: 4_000_000_001, seq: 70_000 }];
	const line = { weight: 12.5, x: 4000, y: 130.25, xx: 9_000_000, xy: 800_000 };
	const pauses = { eventMs: 17.5, eventWeight: 100, events: 900, expectedTokens: 4000 };
	const costs = [{ service: 3_000_000_000, reading: line, copying: line, ...pauses }];
	const demand = { long: 1.25, short: 0.5 };
	const pace = { reading: { weight: 2, sum: 1 }, steps: { weight: 0.5, sum: -0.25 } };
	const told = gossipMessage({
		kind: 'fleet',
		work,
		cacheUpdates: reads,
		demand,
		storeReaders: readers,
		reportAcks: heard,
		engines,
		vmCount: 195,
		costs,
		answers: [{ engine: 4_000_000_000, failed: 4, served: 1, failingVms: 3 }],
		speeds: [{ service: 3_000_000_000, engines: [{ engine: 4_000_000_000, ...pace }] }],
		limits: [
			{ engine: 4_000_000_000, limitPerS: 2.9, version: 3 },
			{ engine: 2, limitPerS: undefined, version: 70 },
		],
		issuer: { address: '10.0.0.3:1', term: 4, heartbeatSeq: 1200, isResigned: false },
	});
	this.seen.set('news', told);
});

cucumber.Then('they are the same after encoding and decoding', function (this: FleetWorld) {
	const told = seen<GossipMessage>(this, 'news');
	assert.deepEqual(datagrams.newsIn(encodeNews(told)), told);
});

cucumber.Then('a closed sender of datagrams passes over them', async function (this: FleetWorld) {
	const sender = new datagrams.PeerDatagrams(silentLog, noListener);
	await sender.bind({ host: '127.0.0.1', port: 0 });
	sender.close();
	sender.sendNews([{ host: '127.0.0.1', port: 9 }], seen<GossipMessage>(this, 'news'));
});

const noListener: datagrams.PeerListener = {
	news() {},
	usage() {},
	usageTaken() {},
	permitAsk() {},
	permitAnswer() {},
};

cucumber.Then('{int} random datagrams are refused without an error', (count: number) => {
	const bytes = fc.uint8Array({ maxLength: 200 });
	fc.assert(
		fc.property(bytes, (datagram) => !datagrams.hand(datagram, noListener)),
		{ numRuns: count, seed: 1 },
	);
});

/** All places in nested lists, each as the way to it. */
function placesOf(row: readonly unknown[], way: readonly number[] = []): number[][] {
	return row.flatMap((value, at) => {
		const place = [...way, at];
		return [place, ...(Array.isArray(value) ? placesOf(value, place) : [])];
	});
}

function replaceAt(
	row: unknown[],
	[at = 0, ...rest]: readonly number[],
	value: unknown,
): unknown[] {
	const copy = [...row];
	copy[at] = rest.length > 0 ? replaceAt(row[at] as unknown[], rest, value) : value;
	return copy;
}

cucumber.Then(
	'a datagram of them with any field of another type is refused',
	function (this: FleetWorld) {
		const row = msgpack.decode(encodeNews(seen<GossipMessage>(this, 'news'))) as unknown[];
		for (const place of placesOf(row)) {
			const bytes = msgpack.encode(replaceAt(row, place, { of: 'another type' }));
			assert.equal(datagrams.hand(bytes, noListener), false, place.join('.'));
		}
	},
);

cucumber.Given(
	/^an ask for a permit whose (from|urgency|waitMs) is (\S+)$/,
	function (this: FleetWorld, field: string, value: string) {
		const limit = { engine: 1, limitPerS: 3, version: 1 };
		const right = { from: '10.0.0.1:7000', id: 1, limit, urgency: 0, waitMs: 30 };
		assert.ok(datagrams.hand(encodePermitAsk(right), noListener));
		const part = { [field]: field === 'from' ? value : Number(value) };
		this.seen.set('datagram', encodePermitAsk({ ...right, ...part }));
	},
);

cucumber.Then('the datagram is refused', function (this: FleetWorld) {
	assert.equal(datagrams.hand(seen<Uint8Array>(this, 'datagram'), noListener), false);
});

/**
 * Steps about single decisions of the relay, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as cucumber from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Log } from '../../src/core/definitions.js';
import { Engine } from '../../src/core/engines/engine.js';
import { EngineDirectory } from '../../src/core/engines/engine-directory.js';
import { EngineDivision } from '../../src/core/engines/engine-division.js';
import { EngineHealth } from '../../src/core/engines/engine-health.js';
import type { PlacementRequest } from '../../src/core/engines/placement.js';
import { EnginePlacement } from '../../src/core/engines/placement.js';
import { parseLine } from '../../src/core/explain/log-line.js';
import { tellStory } from '../../src/core/explain/story.js';
import { FleetSize } from '../../src/core/fleet/fleet-size.js';
import { FleetView } from '../../src/core/fleet/fleet-view.js';
import { freshContactMs, StoreDuty, tellReadersMs } from '../../src/core/fleet/store-duty.js';
import type { PeerNews } from '../../src/core/fleet/types.js';
import { EventSplitter } from '../../src/core/relay/event-splitter.js';
import { logEvents } from '../../src/core/relay/log-events.js';
import { RetryBudget } from '../../src/core/relay/retry-budget.js';
import { ConfigurationState } from '../../src/core/routing/configuration-state.js';
import { RouteTable } from '../../src/core/routing/route-table.js';
import type { Route, RoutingConfiguration } from '../../src/core/routing/types.js';
import * as datagrams from '../../src/infra/relay/peer-datagrams.js';
import * as platform from '../../src/platform/index.js';
import type { FleetWorld } from './world.js';

const silentLog: Log = { debug() {}, info() {}, warn() {}, error() {} };

/** A clock that moves when the scenario says so. */
class StepClock {
	now = 1000;

	monotonic(): number {
		return this.now;
	}

	wall(): number {
		return this.now;
	}
}

const clocks = new WeakMap<FleetWorld, StepClock>();

function clockOf(world: FleetWorld): StepClock {
	const clock = clocks.get(world) ?? new StepClock();
	clocks.set(world, clock);
	return clock;
}

function seen<T>(world: FleetWorld, name: string): T {
	return world.seen.get(name) as T;
}

function route(part: Partial<Route>): Route {
	return {
		name: 'r',
		host: 'a.example',
		pathPrefix: '/',
		repeatability: 'once',
		streamed: false,
		resumable: false,
		timeoutMs: 1000,
		targetMs: 300,
		tier: 0,
		services: [{ service: 'pool', weight: 1 }],
		maxEngines: 1,
		anonymous: false,
		prompts: false,
		...part,
	};
}

function configuration(part: Partial<RoutingConfiguration>): RoutingConfiguration {
	const limits = { headBytes: 16384, bodyBytes: 1e6, headTimeoutMs: 3000, idleTimeoutMs: 15000 };
	return { version: 1, routes: [], services: [], customers: [], limits, ...part };
}

function entry(id: string, slots = 48) {
	const rest = { service: 'pool', domain: 'z', draining: false, warmupMs: 0 };
	return { id, address: `10.0.0.1:${id.length}`, slots, ...rest };
}

function registration(id: string, revision: number) {
	const value = JSON.stringify({ service: 'pool', address: '10.0.0.1:80', state: 'ready' });
	return { key: `${platform.keys.engines}${id}`, value, revision };
}

function newFleet(world: FleetWorld): FleetView {
	const options = { self: 'vm-1', address: '10.0.0.1:1', life: 1, clock: clockOf(world) };
	const ports = { log: silentLog, onNewerConfiguration() {}, onStoreNews() {} };
	return new FleetView({ ...options, ...ports, storeNews: () => undefined });
}

function news(part: Partial<PeerNews>): PeerNews {
	return {
		from: 'vm-2',
		life: 1,
		seq: 1,
		configurationVersion: 0,
		address: '10.0.0.2:1',
		whole: false,
		work: [],
		reads: [],
		demand: { long: 0, short: 0 },
		...part,
	};
}

/** What a peer tells about an engine, as that peer's own view encodes it. */
function newsOfWork(world: FleetWorld, engine: string, running: number, part: Partial<PeerNews>) {
	const peer = newFleet(world);
	peer.changeWork(engine, { running });
	return news({ work: peer.takeNews(true).work, ...part });
}

cucumber.When(/^(\d+) seconds? pass(?:es)?$/, function (this: FleetWorld, seconds: string) {
	clockOf(this).now += Number(seconds) * 1000;
	seen<EngineDirectory | undefined>(this, 'directory')?.sweep();
});

cucumber.Given(
	'routes {string}, {string} and {string}',
	function (this: FleetWorld, a: string, b: string, c: string) {
		const routes = [a, b, c].map((name) => {
			const [host = '', pathPrefix = ''] = name.split(' ');
			return route({ name, host, pathPrefix });
		});
		this.seen.set('table', new RouteTable(configuration({ routes })));
	},
);

cucumber.Then(
	'{string} {string} goes to {string}',
	function (this: FleetWorld, host: string, target: string, name: string) {
		assert.equal(seen<RouteTable>(this, 'table').match(host, target)?.name, name);
	},
);

cucumber.Then(
	'{string} {string} goes nowhere',
	function (this: FleetWorld, host: string, target: string) {
		assert.equal(seen<RouteTable>(this, 'table').match(host, target), undefined);
	},
);

cucumber.Given(
	'routes of tiers {int} and {int} and customers of tiers {int} and {int}',
	function (this: FleetWorld, a: number, b: number, c: number, d: number) {
		const routes = [a, b].map((tier) => route({ name: `${tier}`, tier }));
		const customers = [c, d].map((tier) => ({ name: `${tier}`, keys: [], tier }));
		this.seen.set('table', new RouteTable(configuration({ routes, customers })));
	},
);

cucumber.Then('urgency orders them {string}', function (this: FleetWorld, expected: string) {
	const table = seen<RouteTable>(this, 'table');
	const { routes, customers } = table.configuration;
	const pairs = routes.flatMap((to) =>
		customers.map((by) => ({ name: `${to.tier}/${by.tier}`, at: table.urgency(to, by, 10) })),
	);
	const ordered = pairs.sort((a, b) => a.at - b.at).map((pair) => pair.name);
	assert.equal(ordered.join(', '), expected);
	assert.equal(new Set(pairs.map((pair) => pair.at)).size, pairs.length);
});

cucumber.Given(
	'a retry budget of {float} and {int} in 10 s shared by {int} VMs',
	function (this: FleetWorld, ratio: number, extra: number, vms: number) {
		const budget = new RetryBudget({ ratio, extra, windowMs: 10_000 }, () => vms);
		this.seen.set('budget', budget);
	},
);

cucumber.When('{int} requests come in', function (this: FleetWorld, count: number) {
	for (let at = 0; at < count; at++) {
		seen<RetryBudget>(this, 'budget').requested('pool', clockOf(this).now);
	}
});

cucumber.Then(
	'{int} retries are taken of {int}',
	function (this: FleetWorld, taken: number, tries: number) {
		const budget = seen<RetryBudget>(this, 'budget');
		const results = Array.from({ length: tries }, () => budget.take('pool', clockOf(this).now));
		assert.equal(results.filter(Boolean).length, taken);
	},
);

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

function directory(world: FleetWorld, ids: string): EngineDirectory {
	const made = new EngineDirectory({
		clock: clockOf(world),
		log: silentLog,
		decode: platform.decodeEngine,
		idOf: platform.engineIdOf,
		onAddressGone() {},
		onGone() {},
		onChanged() {},
	});
	const items = ids.split(', ').map((id) => registration(id, 1));
	made.snapshot(items, 0, 1);
	return made;
}

cucumber.Given('a directory of engines {string}', function (this: FleetWorld, ids: string) {
	this.seen.set('directory', directory(this, ids));
});

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
		seen<EngineDirectory>(this, 'directory').changes(changes);
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

cucumber.Then('a peer that knows no engines asks for all of them', function (this: FleetWorld) {
	const own = seen<EngineDirectory>(this, 'directory');
	const peer = directory(this, 'z');
	assert.equal(peer.takeCopy(own.export(own.revision)), false);
	assert.ok(peer.takeCopy(own.export(0)));
	assert.equal(peer.digest, own.digest);
});

cucumber.Given('a fleet of {int} VMs', function (this: FleetWorld, size: number) {
	const names = Array.from({ length: size }, (_, at) => `vm-${at + 1}`);
	this.seen.set('names', names);
	this.seen.set(
		'duties',
		names.map((name) => new StoreDuty(name)),
	);
});

cucumber.When(
	'{int} of their peers read the store for {int} ms',
	function (this: FleetWorld, freshReaders: number, ms: number) {
		const names = seen<string[]>(this, 'names');
		for (const until = clockOf(this).now + ms; clockOf(this).now < until; ) {
			clockOf(this).now += 100;
			for (const duty of seen<StoreDuty[]>(this, 'duties')) {
				duty.update({ names, freshReaders }, clockOf(this).now);
			}
		}
	},
);

cucumber.Then('{int} of them read the store', function (this: FleetWorld, count: number) {
	const duties = seen<StoreDuty[]>(this, 'duties');
	assert.equal(duties.filter((duty) => duty.isOn).length, count);
});

cucumber.Then(
	'{int} of them tell so three times before they seem cut off, however quiet it is',
	function (this: FleetWorld, count: number) {
		const duties = seen<StoreDuty[]>(this, 'duties');
		assert.equal(duties.filter((duty) => duty.isReliedOn).length, count);
		assert.ok(3 * tellReadersMs < freshContactMs);
	},
);

cucumber.Then(
	'{int} of them ask a store that is away more often than each second',
	function (this: FleetWorld, count: number) {
		const duties = seen<StoreDuty[]>(this, 'duties');
		assert.equal(duties.filter((duty) => duty.maxBackoffMs < 1000).length, count);
	},
);

cucumber.When('the registration of {string} ends', function (this: FleetWorld, id: string) {
	const key = `${platform.keys.engines}${id}`;
	seen<EngineDirectory>(this, 'directory').changes({
		events: [{ kind: 'gone', key }],
		revision: 2,
	});
});

cucumber.When(
	'the store is lost and returns without {string}',
	function (this: FleetWorld, id: string) {
		const directory = seen<EngineDirectory>(this, 'directory');
		const left = directory.offered('pool').filter((engine) => engine.id !== id);
		directory.lost();
		directory.snapshot(
			left.map((engine) => registration(engine.id, 3)),
			0,
			3,
		);
	},
);

cucumber.When('the store is lost and returns whole', function (this: FleetWorld) {
	const directory = seen<EngineDirectory>(this, 'directory');
	const all = directory.offered('pool').map((engine) => registration(engine.id, 3));
	directory.lost();
	directory.snapshot(all, 0, 3);
});

cucumber.Then('engines {string} are offered', function (this: FleetWorld, ids: string) {
	const offered = seen<EngineDirectory>(this, 'directory').offered('pool');
	assert.equal(offered.map((engine) => engine.id).join(', '), ids);
});

cucumber.Given(
	'a configuration of version {int} in force',
	function (this: FleetWorld, version: number) {
		const state = new ConfigurationState({
			log: silentLog,
			key: platform.keys.configuration,
			decode: platform.decodeConfiguration,
			onApplied() {},
		});
		state.offer(JSON.stringify({ version, routes: [], services: [] }), 'test');
		this.seen.set('state', state);
	},
);

cucumber.When('version {int} is offered', function (this: FleetWorld, version: number) {
	const text = JSON.stringify({ version, routes: [], services: [] });
	seen<ConfigurationState>(this, 'state').offer(text, 'test');
});

cucumber.When('a text that is no configuration is offered', function (this: FleetWorld) {
	seen<ConfigurationState>(this, 'state').offer('{"version":9,"routes":3}', 'test');
	seen<ConfigurationState>(this, 'state').offer('not even JSON', 'test');
});

cucumber.Then('version {int} is in force', function (this: FleetWorld, version: number) {
	assert.equal(seen<ConfigurationState>(this, 'state').version, version);
});

cucumber.Given(
	'a peer that told of {int} running requests at {string} as message {int}',
	function (this: FleetWorld, running: number, engine: string, seq: number) {
		const fleet = newFleet(this);
		fleet.receive(newsOfWork(this, engine, running, { seq }));
		this.seen.set('fleet', fleet);
	},
);

cucumber.When(
	'its message {int} comes with {int} running requests',
	function (this: FleetWorld, seq: number, running: number) {
		seen<FleetView>(this, 'fleet').receive(newsOfWork(this, 'a', running, { seq }));
	},
);

cucumber.When(
	'the peer starts anew and tells of {int} running request as message {int}',
	function (this: FleetWorld, running: number, seq: number) {
		seen<FleetView>(this, 'fleet').receive(newsOfWork(this, 'a', running, { seq, life: 2 }));
	},
);

cucumber.Then(
	'the fleet has {int} running requests at {string}',
	function (this: FleetWorld, running: number, engine: string) {
		assert.equal(seen<FleetView>(this, 'fleet').workAt(engine).running, running);
	},
);

cucumber.Given('news of work, reads and demand', function (this: FleetWorld) {
	const work = [{ engine: 4_000_000_000, running: 3, promptTokens: 7000, heldTokens: 9000 }];
	const reads = [{ part: 1, engine: 2 }];
	const store = { contactAgeMs: 250, revision: 12_345, digest: 77 };
	const told = news({ work, reads, demand: { long: 1.25, short: 0.5 }, whole: true, store });
	this.seen.set('news', told);
});

cucumber.Then('they are the same after encoding and decoding', function (this: FleetWorld) {
	const told = seen<PeerNews>(this, 'news');
	assert.deepEqual(datagrams.decode(datagrams.encode(told)), told);
});

cucumber.Then('{int} random datagrams are refused without an error', (count: number) => {
	const bytes = fc.uint8Array({ maxLength: 200 });
	fc.assert(
		fc.property(bytes, (datagram) => datagrams.decode(datagram) === undefined),
		{ numRuns: count, seed: 1 },
	);
});

function startEngines(world: FleetWorld, count: number): void {
	const fleet = newFleet(world);
	const ids = Array.from({ length: count }, (_, at) => `engine-${at}`);
	world.seen.set('fleet', fleet);
	world.seen.set(
		'engines',
		ids.map((id) => new Engine(entry(id))),
	);
	world.seen.set('placement', new EnginePlacement({ next: () => 0.5, hex: () => '' }, fleet));
	world.seen.set('placed', new Map<string, string[]>());
}

/** Places a prompt and counts its work, as a request that is sent does. */
function place(world: FleetWorld, part: Partial<PlacementRequest>, label: string) {
	const fleet = seen<FleetView>(world, 'fleet');
	const req: PlacementRequest = {
		service: 'pool',
		parts: [],
		promptTokens: 500,
		answerTokens: 100,
		targetMs: 1000,
		leastUrgent: true,
		tried: new Set(),
		...part,
	};
	const engines = seen<Engine[]>(world, 'engines');
	const result = seen<EnginePlacement>(world, 'placement').choose(req, engines, 0);
	if ('engine' in result) {
		fleet.changeWork(result.engine.id, { running: 1, promptTokens: result.promptTokens });
		fleet.read(req.parts.slice(0, -1), result.engine.id);
		const placed = seen<Map<string, string[]>>(world, 'placed');
		placed.set(result.engine.id, [...(placed.get(result.engine.id) ?? []), label]);
	}
	return result;
}

cucumber.Given('{int} model engines', function (this: FleetWorld, count: number) {
	startEngines(this, count);
});

cucumber.When(
	'{int} prompts of {int} tokens share a part of {int}',
	function (this: FleetWorld, count: number, promptTokens: number, sharedTokens: number) {
		for (let at = 0; at < count; at++) {
			const own = { id: `own-${at}`, tokens: promptTokens - sharedTokens };
			const parts = [{ id: 'shared', tokens: sharedTokens }, own];
			place(this, { parts, promptTokens }, 'prompt');
		}
	},
);

cucumber.Then('they are all placed on one engine', function (this: FleetWorld) {
	assert.equal(seen<Map<string, string[]>>(this, 'placed').size, 1);
});

cucumber.When(
	'{int} long and {int} short prompts are placed in turn',
	function (this: FleetWorld, long: number, short: number) {
		for (let at = 0; at < Math.max(long, short); at++) {
			const parts = [
				{ id: `p${at}`, tokens: 10 },
				{ id: `q${at}`, tokens: 10 },
			];
			place(this, { parts, promptTokens: 8000, targetMs: 60_000 }, 'long');
			place(this, { parts, promptTokens: 300, leastUrgent: false }, 'short');
		}
	},
);

cucumber.Then('no engine has both', function (this: FleetWorld) {
	for (const labels of seen<Map<string, string[]>>(this, 'placed').values()) {
		assert.equal(new Set(labels).size, 1);
	}
});

cucumber.Given(
	'demand of {int} engines by short and {int} by long prompts',
	function (this: FleetWorld, short: number, long: number) {
		this.seen.set('demand', { short, long });
	},
);

cucumber.Then(
	'of {int} engines {int} read long prompts',
	function (this: FleetWorld, engines: number, long: number) {
		const all = Array.from({ length: engines }, (_, at) => new Engine(entry(`engine-${at}`)));
		const division = new EngineDivision().divide(all, seen(this, 'demand'));
		assert.equal(division.long.size, long);
		assert.equal(division.short.size, engines - long);
	},
);

cucumber.Given(
	'{int} model engines with {int} prompt tokens waiting on each',
	function (this: FleetWorld, count: number, promptTokens: number) {
		startEngines(this, count);
		for (const engine of seen<Engine[]>(this, 'engines')) {
			seen<FleetView>(this, 'fleet').changeWork(engine.id, { promptTokens });
		}
	},
);

const twoParts = [
	{ id: 'a', tokens: 10 },
	{ id: 'b', tokens: 10 },
];

cucumber.Then(
	'a prompt of the least urgent tier is refused with a time to come back',
	function (this: FleetWorld) {
		const result = place(this, { parts: twoParts, leastUrgent: true }, 'low');
		assert.ok('refusal' in result && result.retryAfterS > 0);
	},
);

cucumber.Then('a more urgent prompt is placed', function (this: FleetWorld) {
	assert.ok('engine' in place(this, { parts: twoParts, leastUrgent: false }, 'high'));
});

cucumber.Given('an engine that failed 3 times in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let at = 0; at < 3; at++) {
		health.failed(clockOf(this).now);
	}
	this.seen.set('health', health);
});

cucumber.Given('an engine that rejected 3 times in a row', function (this: FleetWorld) {
	const health = new EngineHealth();
	for (let at = 0; at < 3; at++) {
		health.rejected(clockOf(this).now);
	}
	this.seen.set('health', health);
});

cucumber.Given(
	'an engine with a request under way and no word for {int} ms',
	function (this: FleetWorld, ms: number) {
		const health = new EngineHealth();
		health.sent(clockOf(this).now, 0);
		clockOf(this).now += ms;
		this.seen.set('health', health);
	},
);

cucumber.Then('it admits nothing', function (this: FleetWorld) {
	assert.equal(seen<EngineHealth>(this, 'health').admits(clockOf(this).now), false);
});

cucumber.When('its trial ends without a verdict', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	health.sent(clockOf(this).now, 0);
	health.ended(0);
});

cucumber.Then('it admits 1 request until that one ends', function (this: FleetWorld) {
	const health = seen<EngineHealth>(this, 'health');
	const { now } = clockOf(this);
	assert.equal(health.admits(now), true);
	health.sent(now, 0);
	assert.equal(health.admits(now), false);
	health.ended(0);
	health.succeeded();
	assert.equal(health.admits(now), true);
});

cucumber.Given('a stream of {int} events with ids', function (this: FleetWorld, count: number) {
	const events = Array.from({ length: count }, (_, at) => `id: ${at + 1}\ndata: token ${at}\n\n`);
	this.seen.set('stream', Buffer.from(events.join('')));
});

cucumber.Then('any cut into chunks yields the same events and ids', function (this: FleetWorld) {
	const stream = seen<Buffer>(this, 'stream');
	const cuts = fc.array(fc.nat({ max: stream.length }), { maxLength: 40 });
	fc.assert(
		fc.property(cuts, (places) => {
			const ends = [...places, stream.length].sort((a, b) => a - b);
			const splitter = new EventSplitter();
			const out: Buffer[] = [];
			let lastId = '0';
			let from = 0;
			for (const to of ends) {
				const events = splitter.feed(stream.subarray(from, to));
				from = to;
				if (events) {
					assert.equal(events.bytes.subarray(-2).toString(), '\n\n');
					assert.ok(Number(events.lastId) > Number(lastId));
					lastId = events.lastId ?? lastId;
					out.push(events.bytes);
				}
			}
			assert.deepEqual(Buffer.concat(out), stream);
			assert.equal(splitter.hasRest, false);
		}),
		{ seed: 7 },
	);
});

cucumber.Given('a log whose reader takes nothing', function (this: FleetWorld) {
	// The writer runs in a process of its own, with a pipe that this one does not read.
	const program = `
		import { BoundedWriter } from './dist/src/infra/bounded-writer.js';
		const writer = new BoundedWriter(1);
		const from = performance.now();
		for (let at = 0; at < 100000; at++) writer.write('x'.repeat(100) + '\\n');
		const tookMs = performance.now() - from;
		setTimeout(() => {
			process.stderr.write(JSON.stringify({ tookMs, dropped: writer.droppedTotal }));
			process.kill(process.pid, 'SIGKILL');
		}, 200);`;
	const args = ['--input-type=module', '-e', program];
	const child = childProcess.spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
	this.seen.set('writer', child);
});

cucumber.When('100000 lines are written', async function (this: FleetWorld) {
	const child = seen<childProcess.ChildProcess>(this, 'writer');
	const chunks: Buffer[] = [];
	child.stderr?.on('data', (chunk: Buffer) => chunks.push(chunk));
	await new Promise((done) => child.on('exit', done));
	this.seen.set('written', JSON.parse(Buffer.concat(chunks).toString()));
});

cucumber.Then('writing took less than 2 seconds of waiting', function (this: FleetWorld) {
	assert.ok(seen<{ tookMs: number }>(this, 'written').tookMs < 2000);
});

cucumber.Then('lines were dropped and counted', function (this: FleetWorld) {
	assert.ok(seen<{ dropped: number }>(this, 'written').dropped > 10_000);
});

cucumber.Given(
	'logs of two VMs in which {string} closed engine {string} and sent request {string} there',
	function (this: FleetWorld, vm: string, engine: string, request: string) {
		const at = (second: number) => `time=2026-03-01T06:00:0${second}.000Z level=info`;
		const lines = [
			`${at(6)} event=request.ended vm=${vm} request=${request} outcome=cut reason="reset by peer"`,
			`${at(4)} event=engine.closed vm=vm-2 engine=${engine}`,
			`${at(3)} event=store.lost vm=${vm} prefix=servers/ error="no answer"`,
			`${at(4)} event=engine.closed vm=${vm} engine=${engine} request=other`,
			`${at(5)} event=request.placed vm=${vm} request=${request} engine=${engine}`,
			`${at(5)} event=request.placed vm=vm-2 request=r2 engine=e2`,
			'a line of something else',
		];
		const parsed = lines.map(parseLine).filter((line) => line !== undefined);
		assert.equal(parsed.length, lines.length - 1);
		this.seen.set('lines', parsed);
	},
);

function storyOf(world: FleetWorld, request: string) {
	return tellStory(request, seen(world, 'lines'));
}

cucumber.Then(
	'the story of {string} names, in order, {string}',
	function (this: FleetWorld, request: string, events: string) {
		const told = storyOf(this, request).lines.map((line) => line.get('event'));
		assert.equal(told.join(', '), events);
	},
);

cucumber.Then(
	'nothing is missing from the story of {string}',
	function (this: FleetWorld, request: string) {
		assert.deepEqual(storyOf(this, request).gaps, []);
	},
);

cucumber.Then(
	'the story of {string} says that its end is not told',
	function (this: FleetWorld, request: string) {
		assert.match(storyOf(this, request).gaps.join(), /its end/);
	},
);

cucumber.Then(
	'the story of {string} says that no line names it',
	function (this: FleetWorld, request: string) {
		assert.match(storyOf(this, request).gaps.join(), /no line names/);
	},
);

/** Folders whose log lines belong to the relay. */
const relayFolders = [
	'src/core/relay',
	'src/core/engines',
	'src/core/fleet',
	'src/core/routing',
	'src/core/store',
	'src/infra/relay',
	'src/daemon/relay',
];

cucumber.Then(
	'each event named in the sources of the relay is declared with its fields',
	async () => {
		const declared = new Set(logEvents.map((event) => event.name));
		const used = new Set<string>();
		for (const folder of relayFolders) {
			for (const file of await fs.readdir(folder)) {
				const text = await fs.readFile(`${folder}/${file}`, 'utf8');
				const calls = text.matchAll(/log(?:\.\w+|\[level\])?\(\s*'([a-z-]+\.[a-z-]+)'/g);
				for (const [, name = ''] of calls) {
					used.add(name);
				}
			}
		}
		assert.ok(used.size > 15);
		assert.deepEqual(
			[...used].filter((name) => !declared.has(name)),
			[],
		);
	},
);

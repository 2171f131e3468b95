/**
 * Steps about what engines say of themselves in the heads of their answers: that they leave, that they want rest.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import type { Engine } from '../../src/core/engines/engine.js';
import { EngineDirectory } from '../../src/core/engines/engine-directory.js';
import { usualPace } from '../../src/core/engines/engine-pace.js';
import type { AnswerListener, EngineCall } from '../../src/core/relay/definitions.js';
import { RelayedRequest } from '../../src/core/relay/relayed-request.js';
import type { RelayContext } from '../../src/core/relay/types.js';
import { UndiciEngineTransport } from '../../src/infra/relay/engine-transport.js';
import * as platform from '../../src/platform/index.js';
import { PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import {
	alwaysHealthy,
	clockOf,
	noRequestLimits,
	registration,
	route,
	seen,
	silentLog,
} from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Changes of the store reach a VM within this time, in milliseconds. */
const storeNewsMs = 500;
/** Times of an engine and of its VM differ by at most this on a busy machine, in milliseconds. */
const clockSlackMs = 50;

cucumber.Given(
	'engine {string} says in its answers that it leaves',
	function (this: FleetWorld, id: string) {
		engineOf(this, id).isLeaving = true;
	},
);

cucumber.Given(
	'engines {string} say in their answers that they leave',
	function (this: FleetWorld, ids: string) {
		for (const id of ids.split(', ')) {
			engineOf(this, id).isLeaving = true;
		}
	},
);

cucumber.Given(
	'engine {string} asks for {float} seconds of rest',
	function (this: FleetWorld, id: string, seconds: number) {
		engineOf(this, id).restS = seconds;
	},
);

async function sendUntilAnswered(
	world: FleetWorld,
	call: string,
	id: string,
	times = 1,
	body = '',
) {
	const engine = engineOf(world, id);
	await until(async () => {
		await fixtureOf(world).send(call, body);
		return engine.seen.filter(({ notice }) => notice !== undefined).length >= times;
	});
}

cucumber.When(
	'{string} is sent until engine {string} has answered',
	async function (this: FleetWorld, call: string, id: string) {
		await sendUntilAnswered(this, call, id);
	},
);

cucumber.When(
	'{string} with body "letter" is sent until engine {string} has answered',
	async function (this: FleetWorld, call: string, id: string) {
		await sendUntilAnswered(this, call, id, 1, 'letter');
	},
);

cucumber.When(
	'{string} is sent until engine {string} has answered {int} times',
	async function (this: FleetWorld, call: string, id: string, times: number) {
		await sendUntilAnswered(this, call, id, times);
	},
);

cucumber.When(
	'{string} is sent for {int} ms',
	async function (this: FleetWorld, call: string, ms: number) {
		const latest = performance.now() + ms;
		while (performance.now() < latest) {
			await fixtureOf(this).send(call);
			await sleep(10);
		}
	},
);

cucumber.When(
	'the registration of engine {string} is written again',
	async function (this: FleetWorld, id: string) {
		const engine = engineOf(this, id);
		await fixtureOf(this).register(engine, fixtureOf(this).addressOf(engine));
		await sleep(storeNewsMs);
	},
);

cucumber.When(
	'the registration of engine {string} lapses and is written again',
	async function (this: FleetWorld, id: string) {
		const fixture = fixtureOf(this);
		const engine = engineOf(this, id);
		fixture.store.remove(`servers/${id}`);
		await sleep(storeNewsMs);
		await fixture.register(engine, fixture.addressOf(engine));
		await sleep(storeNewsMs);
	},
);

cucumber.When(
	'engine {string} begins again and does not leave',
	async function (this: FleetWorld, id: string) {
		const fixture = fixtureOf(this);
		const engine = engineOf(this, id);
		engine.isLeaving = false;
		engine.restS = undefined;
		engine.behaviour = 'well';
		await fixture.register(engine, fixture.addressOf(engine), 'ready', 1_700_000_000_000);
	},
);

cucumber.When('engine {string} registers', async function (this: FleetWorld, id: string) {
	const fixture = fixtureOf(this);
	const engine = new PlatformEngineStandIn(id);
	fixture.engines.set(id, engine);
	await fixture.register(engine, await engine.start());
});

cucumber.When(
	'{string} with body "letter" runs on engines {string} as these end',
	async function (this: FleetWorld, call: string, ids: string) {
		const fixture = fixtureOf(this);
		const engines = ids.split(', ').map((id) => engineOf(this, id));
		const answers: Promise<unknown>[] = [];
		for (const engine of engines) {
			engine.pauseMs = 1000;
		}
		for (let at = 1; at <= engines.length; at++) {
			answers.push(fixture.open(call, 'letter').answer);
			await until(() => engines.filter(({ seen: requests }) => requests.length > 0).length >= at);
		}
		for (const engine of engines) {
			engine.stop();
			fixture.store.remove(`servers/${engine.id}`);
		}
		await Promise.all(answers);
		await sleep(storeNewsMs);
	},
);

cucumber.Then('engine {string} was let rest each time', function (this: FleetWorld, id: string) {
	const { seen: requests } = engineOf(this, id);
	for (const { notice } of requests) {
		const restEnd = (notice?.at ?? 0) + (notice?.restMs ?? 0) - clockSlackMs;
		const early = requests.filter(({ at }) => at > (notice?.at ?? 0) && at < restEnd);
		assert.equal(early.length, 0);
	}
});

cucumber.Then('engine {string} was asked again', function (this: FleetWorld, id: string) {
	assert.ok(engineOf(this, id).seen.length >= 2);
});

cucumber.Given('a directory with engine {string}', function (this: FleetWorld, id: string) {
	this.seen.set('directory', directoryOf(this, [id]));
});

function directoryOf(world: FleetWorld, ids: readonly string[]): EngineDirectory {
	const directory = new EngineDirectory({
		clock: clockOf(world),
		log: silentLog,
		decode: platform.decodeEngine,
		idOf: platform.engineIdOf,
		onAddressGone() {},
		onGone() {},
		onChanged() {},
		onRead() {},
	});
	const items = ids.map((id, at) => registration(id, at + 1, { address: `10.0.0.${at + 1}:80` }));
	directory.applySnapshot(items, 0, ids.length);
	return directory;
}

cucumber.When(
	'engine {string} asks for {int} seconds of rest there',
	function (this: FleetWorld, id: string, seconds: number) {
		const engine = seen<EngineDirectory>(this, 'directory').get(id) as Engine;
		engine.notices.heard({ leaving: false, restS: seconds }, clockOf(this).sinceBoot());
	},
);

cucumber.When('the VM is suspended for {int} ms', function (this: FleetWorld, ms: number) {
	clockOf(this).suspendedMs += ms;
});

const offeredIds = (world: FleetWorld) =>
	seen<EngineDirectory>(world, 'directory')
		.offered('pool')
		.map(({ id }) => id);

cucumber.Then('engine {string} is not offered', function (this: FleetWorld, id: string) {
	assert.ok(!offeredIds(this).includes(id));
});

cucumber.Then('engine {string} is offered', function (this: FleetWorld, id: string) {
	assert.ok(offeredIds(this).includes(id));
});

cucumber.Given(
	'a relayed request that waits for its connection to engine "a"',
	function (this: FleetWorld) {
		const directory = directoryOf(this, ['a', 'b']);
		const calls: { call: EngineCall; listener: AnswerListener }[] = [];
		const running = { pause() {}, resume() {}, abort() {} };
		const transport = {
			send(call: EngineCall, listener: AnswerListener) {
				calls.push({ call, listener });
				return running;
			},
		};
		const [first] = directory.offered('pool');
		const work = { running: 0, promptTokens: 0 };
		const choose = (_req: unknown, engines: readonly Engine[]) => {
			const figures = { readMsPerToken: 0, waitMs: 0, pace: usualPace };
			return { engine: engines[0] ?? first, work, reason: 'test', ...figures };
		};
		const ctx = {
			clock: clockOf(this),
			log: silentLog,
			engines: directory,
			placement: { choose },
			transport,
			budget: { requested() {}, left: () => 5, take: () => true },
			fleet: { size: 1, changeWork() {}, recordPrefill() {} },
			metrics: { retried() {}, engineClosed() {} },
			quarantine: { hasMatchingHead: () => false },
			fleetHealth: alwaysHealthy,
			limits: noRequestLimits,
			onWorkChanged() {},
		} as unknown as RelayContext;
		const req = { id: 'r', parts: [], headers: [], arrivedAt: clockOf(this).sinceBoot() };
		const terms = { req, route: route({}), service: 'pool', urgency: 0, leastUrgent: false };
		const res = { head() {}, write: () => true, end() {}, onDrain() {}, onClosed() {} };
		const request = new RelayedRequest(ctx, terms as never, res as never, () => {});
		request.start();
		this.seen.set('directory', directory);
		this.seen.set('calls', calls);
	},
);

type Calls = { call: EngineCall; listener: AnswerListener }[];

cucumber.When('the connection is up', function (this: FleetWorld) {
	const [{ listener }] = seen<Calls>(this, 'calls') as [Calls[number]];
	if (listener.shouldSend()) {
		listener.onSent();
	} else {
		listener.onWithdrawn();
	}
});

cucumber.Then(
	'nothing is sent to engine "a", and the request goes to engine "b"',
	function (this: FleetWorld) {
		const engines = seen<Calls>(this, 'calls').map(({ call }) => call.engineId);
		assert.deepEqual(engines, ['a', 'b']);
		for (const { listener } of seen<Calls>(this, 'calls')) {
			listener.onError('the test is over', false);
		}
	},
);

cucumber.Given('an engine that counts what it gets', async function (this: FleetWorld) {
	const got: string[] = [];
	const server = http.createServer((req, res) => {
		got.push(req.url ?? '');
		res.end();
	});
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	this.seen.set('server', server);
	this.seen.set('got', got);
});

cucumber.When('a call is taken back as its connection comes up', async function (this: FleetWorld) {
	const { port } = seen<http.Server>(this, 'server').address() as AddressInfo;
	const transport = new UndiciEngineTransport(platform);
	const req = { method: 'POST', target: '/', headers: [], body: Buffer.from('order'), id: 'r' };
	const address = `127.0.0.1:${port}`;
	const call = { address, engineId: 'a', req, deadlineMs: 1000, urgency: 5 } as unknown;
	const end = await new Promise<string>((done) => {
		transport.send(call as EngineCall, {
			shouldSend: () => false,
			onWithdrawn: () => done('withdrawn'),
			onSent: () => done('sent'),
			onHead() {},
			onData() {},
			onEnd() {},
			onError: () => done('failed'),
		});
	});
	await sleep(clockSlackMs);
	await transport.close();
	seen<http.Server>(this, 'server').close();
	this.seen.set('end', end);
});

cucumber.Then('the call ends as not sent', function (this: FleetWorld) {
	assert.equal(seen<string>(this, 'end'), 'withdrawn');
});

cucumber.Then('the engine got no request', function (this: FleetWorld) {
	assert.deepEqual(seen<string[]>(this, 'got'), []);
});

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

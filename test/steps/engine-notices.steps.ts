/**
 * Steps for engine notices in the heads of answers: draining and back-off.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import type { Engine } from '../../src/core/engines/engine.js';
import { EngineDirectory } from '../../src/core/engines/engine-directory.js';
import { nominalPace } from '../../src/core/engines/engine-pace.js';
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
	soundLinks,
} from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Time within which changes in the store reach a VM. */
const storeUpdateMs = 500;
/** Maximum difference between the times that an engine and its VM record on a busy machine. */
const clockSlackMs = 50;

cucumber.Given(
	'engine {string} announces in its answers that it drains',
	function (this: FleetWorld, id: string) {
		engineOf(this, id).isDraining = true;
	},
);

cucumber.Given(
	'engines {string} announce in their answers that they drain',
	function (this: FleetWorld, ids: string) {
		for (const id of ids.split(', ')) {
			engineOf(this, id).isDraining = true;
		}
	},
);

cucumber.Given(
	'engine {string} asks for a back-off of {float} seconds',
	function (this: FleetWorld, id: string, seconds: number) {
		engineOf(this, id).backOffS = seconds;
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
		return engine.receivedRequests.filter(({ notice }) => notice !== undefined).length >= times;
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
		const deadline = performance.now() + ms;
		while (performance.now() < deadline) {
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
		await sleep(storeUpdateMs);
	},
);

cucumber.When(
	'the registration of engine {string} lapses and is written again',
	async function (this: FleetWorld, id: string) {
		const fixture = fixtureOf(this);
		const engine = engineOf(this, id);
		fixture.store.remove(`servers/${id}`);
		await sleep(storeUpdateMs);
		await fixture.register(engine, fixture.addressOf(engine));
		await sleep(storeUpdateMs);
	},
);

cucumber.When(
	'engine {string} restarts and does not drain',
	async function (this: FleetWorld, id: string) {
		const fixture = fixtureOf(this);
		const engine = engineOf(this, id);
		engine.isDraining = false;
		engine.backOffS = undefined;
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
	'{string} with body "letter" runs on engines {string} while these exit',
	async function (this: FleetWorld, call: string, ids: string) {
		const fixture = fixtureOf(this);
		const engines = ids.split(', ').map((id) => engineOf(this, id));
		const answers: Promise<unknown>[] = [];
		for (const engine of engines) {
			engine.eventIntervalMs = 1000;
		}
		for (let count = 1; count <= engines.length; count++) {
			answers.push(fixture.open(call, 'letter').answer);
			await until(
				() =>
					engines.filter(({ receivedRequests: requests }) => requests.length > 0).length >= count,
			);
		}
		for (const engine of engines) {
			engine.stop();
			fixture.store.remove(`servers/${engine.id}`);
		}
		await Promise.all(answers);
		await sleep(storeUpdateMs);
	},
);

cucumber.Then(
	'engine {string} got no request during its back-off',
	function (this: FleetWorld, id: string) {
		const { receivedRequests: requests } = engineOf(this, id);
		for (const { notice } of requests) {
			const backOffEnd = (notice?.at ?? 0) + (notice?.backOffMs ?? 0) - clockSlackMs;
			const premature = requests.filter(({ at }) => at > (notice?.at ?? 0) && at < backOffEnd);
			assert.equal(premature.length, 0);
		}
	},
);

cucumber.Then('engine {string} got another request', function (this: FleetWorld, id: string) {
	assert.ok(engineOf(this, id).receivedRequests.length >= 2);
});

cucumber.Given('a directory with engine {string}', function (this: FleetWorld, id: string) {
	this.state.set('directory', directoryOf(this, [id]));
});

function directoryOf(world: FleetWorld, ids: readonly string[]): EngineDirectory {
	const directory = new EngineDirectory({
		clock: clockOf(world),
		log: silentLog,
		decode: platform.decodeEngineRegistration,
		idOf: platform.engineIdOf,
		onAddressUnused() {},
		onRemoved() {},
		onChanged() {},
		onLoaded() {},
	});
	const items = ids.map((id, index) =>
		registration(id, index + 1, { address: `10.0.0.${index + 1}:80` }),
	);
	directory.applySnapshot(items, 0, ids.length);
	return directory;
}

cucumber.When(
	'engine {string} in the directory asks for a back-off of {int} seconds',
	function (this: FleetWorld, id: string, seconds: number) {
		const engine = seen<EngineDirectory>(this, 'directory').get(id) as Engine;
		engine.notices.apply({ isDraining: false, backOffS: seconds }, clockOf(this).sinceBoot());
	},
);

cucumber.When(
	/^the store tells that engine "(.*)" (drains|is not there now)$/,
	function (this: FleetWorld, id: string, how: string) {
		const directory = seen<EngineDirectory>(this, 'directory');
		const revision = directory.revision + 1;
		const address = directory.get(id)?.registration.address;
		const item = registration(id, revision, { address, state: 'draining' });
		const event =
			how === 'drains' ? { kind: 'put' as const, item } : { kind: 'gone' as const, key: item.key };
		directory.applyChanges({ events: [event], revision });
	},
);

cucumber.When('the VM is suspended for {int} ms', function (this: FleetWorld, ms: number) {
	clockOf(this).suspendedMs += ms;
});

const offeredIds = (world: FleetWorld) =>
	seen<EngineDirectory>(world, 'directory')
		.getEligible('pool')
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
		const [first] = directory.getEligible('pool');
		const work = { running: 0, promptTokens: 0 };
		const choose = (_req: unknown, engines: readonly Engine[]) => {
			const figures = { readMsPerToken: 0, waitMs: 0, pace: nominalPace };
			return { engine: engines[0] ?? first, work, reason: 'test', ...figures };
		};
		const ctx = {
			clock: clockOf(this),
			log: silentLog,
			engines: directory,
			placement: { choose },
			transport,
			retryBudget: { recordRequest() {}, getAvailable: () => 5, tryConsume: () => true },
			fleet: { size: 1, changeWork() {}, recordPrefill() {} },
			metrics: {
				recordRetry() {},
				recordReplacement() {},
				recordRequestDefect() {},
				recordCircuitOpened() {},
			},
			quarantine: { isEmpty: true, hasMatchingHead: () => false },
			fleetHealth: alwaysHealthy,
			links: soundLinks,
			limits: noRequestLimits,
			onWorkChanged() {},
		} as unknown as RelayContext;
		const req = { id: 'r', promptSegments: [], headers: [], arrivedAt: clockOf(this).sinceBoot() };
		const routed = { req, route: route({}), service: 'pool', urgency: 0, isLeastUrgent: false };
		const res = { writeHead() {}, write: () => true, end() {}, onDrain() {}, onDisconnect() {} };
		const request = new RelayedRequest(ctx, routed as never, res as never, () => {});
		request.start();
		this.state.set('directory', directory);
		this.state.set('calls', calls);
	},
);

type Calls = { call: EngineCall; listener: AnswerListener }[];

cucumber.When('the connection is established', function (this: FleetWorld) {
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
			listener.onError('the test has ended', false);
		}
	},
);

cucumber.Given('an engine that records its requests', async function (this: FleetWorld) {
	const received: string[] = [];
	const server = http.createServer((req, res) => {
		received.push(req.url ?? '');
		res.end();
	});
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	this.state.set('server', server);
	this.state.set('received', received);
});

cucumber.When(
	'a call is withdrawn when its connection is established',
	async function (this: FleetWorld) {
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
				onNotForwarded: () => done('not forwarded'),
				onHelperLost: () => done('helper lost'),
			});
		});
		await sleep(clockSlackMs);
		await transport.close();
		seen<http.Server>(this, 'server').close();
		this.state.set('end', end);
	},
);

cucumber.Then('the call ends as not sent', function (this: FleetWorld) {
	assert.equal(seen<string>(this, 'end'), 'withdrawn');
});

cucumber.Then('the engine got no request', function (this: FleetWorld) {
	assert.deepEqual(seen<string[]>(this, 'received'), []);
});

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

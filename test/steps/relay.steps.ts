/**
 * Steps for requests through real relay daemons and their answers.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { EngineBehaviour } from '../stand-ins/platform-engine.js';
import { wholeStream } from '../stand-ins/platform-engine.js';
import { writeThenRead } from './late-reader.js';
import { engineOf, firstVm, fixtureOf, lastAnswer, stopFixture } from './relay-fixture.js';
import { host, until } from './relay-world.js';
import type { FleetWorld } from './world.js';

cucumber.After(async function (this: FleetWorld) {
	await stopFixture(this);
});

cucumber.Given(
	/^a relay of (\d+) VMs? with engines "(.*)"$/,
	async function (this: FleetWorld, vms: string, engines: string) {
		await fixtureOf(this).start(Number(vms), engines.split(', '));
	},
);

cucumber.Given(
	/^engine "(\w+)" (well|rejects|bare-503|resets|breaks-off|mixes-up|unsigned|fails|silent|answers-twice|answers-early|unframed|unframed-reset|unframed-reset-at-once|unframed-stream|unframed-stream-cut|unframed-stream-cut-in-id)$/,
	function (this: FleetWorld, id: string, behaviour: EngineBehaviour) {
		engineOf(this, id).behaviour = behaviour;
	},
);

cucumber.Given(
	'engine {string} sends an event every {int} ms',
	function (this: FleetWorld, id: string, ms: number) {
		engineOf(this, id).eventIntervalMs = ms;
	},
);

cucumber.Given(
	'engine {string} takes {int} ms to answer',
	function (this: FleetWorld, id: string, ms: number) {
		engineOf(this, id).answerDelayMs = ms;
	},
);

cucumber.Then(
	'engine {string} completed {int} requests',
	function (this: FleetWorld, id: string, count: number) {
		const completed = engineOf(this, id).receivedRequests.filter(
			(request) => !request.hasCallerLeft,
		);
		assert.equal(completed.length, count);
	},
);

cucumber.Given(
	'another engine now listens at the address of {string}',
	async function (this: FleetWorld, id: string) {
		const fixture = fixtureOf(this);
		const other = await import('../stand-ins/platform-engine.js');
		const next = new other.PlatformEngineStandIn('other');
		const address = await next.start();
		fixture.engines.set('other', next);
		// The registration of the previous engine remains, with the address of the other one.
		await fixture.register(engineOf(this, id), address);
		await new Promise((done) => setTimeout(done, 500));
	},
);

cucumber.When('{string} is sent', async function (this: FleetWorld, call: string) {
	await fixtureOf(this).send(call);
});

cucumber.When(
	'{string} with body {string} is sent',
	async function (this: FleetWorld, call: string, body: string) {
		await fixtureOf(this).send(call, body);
	},
);

cucumber.When(
	'{string} with body {string} is sent {int} times',
	async function (this: FleetWorld, call: string, body: string, times: number) {
		for (let index = 0; index < times; index++) {
			await fixtureOf(this).send(call, body);
		}
	},
);

cucumber.Then('each answer is 200 or 502', function (this: FleetWorld) {
	for (const { status } of fixtureOf(this).answers) {
		assert.ok(status === 200 || status === 502, `status ${status}`);
	}
});

cucumber.Then('as many requests ran as were answered with 200', function (this: FleetWorld) {
	const { answers, engines } = fixtureOf(this);
	const ran = [...engines.values()].reduce(
		(sum, { receivedRequests: seen }) => sum + seen.length,
		0,
	);
	assert.equal(ran, answers.filter(({ status }) => status === 200).length);
});

cucumber.Given('engine {string} drops idle connections', function (this: FleetWorld, id: string) {
	engineOf(this, id).resetsReusedConnections = true;
});

cucumber.Given('engine {string} resets new connections', function (this: FleetWorld, id: string) {
	engineOf(this, id).resetsNewConnections = true;
});

cucumber.When(
	'{string} with {int} bytes of body is sent {int} times',
	async function (this: FleetWorld, call: string, bytes: number, times: number) {
		for (let index = 0; index < times; index++) {
			await fixtureOf(this).send(call, String(index).repeat(bytes));
		}
	},
);

cucumber.Then(
	'engine {string} received each body of {int} bytes completely or truncated',
	function (this: FleetWorld, id: string, bytes: number) {
		const bodies = engineOf(this, id).receivedRequests.map(({ body }) => body);
		assert.ok(bodies.length > 0);
		for (const body of bodies) {
			const [first = ''] = body;
			assert.ok(
				first.repeat(bytes).startsWith(body),
				`${body.length} bytes that do not match the sent body`,
			);
		}
	},
);

cucumber.Then(
	'each answer is {int} {string}',
	function (this: FleetWorld, status: number, body: string) {
		for (const answer of fixtureOf(this).answers) {
			assert.equal(answer.status, status);
			assert.equal(answer.body, body);
		}
	},
);

cucumber.When(
	'{string} is sent with key {string}',
	async function (this: FleetWorld, call: string, key: string) {
		await fixtureOf(this).send(call, '', { key });
	},
);

cucumber.When(
	'{string} is sent {int} times',
	async function (this: FleetWorld, call: string, times: number) {
		for (let index = 0; index < times; index++) {
			await fixtureOf(this).send(call);
		}
	},
);

// Counted from the engine's receipt: on a busy machine a request may take longer to get there than its caller stays.
cucumber.When(
	'the caller of {string} disconnects {int} ms after engine {string} received it',
	async function (this: FleetWorld, call: string, ms: number, id: string) {
		const { req } = fixtureOf(this).open(call);
		await until(() => engineOf(this, id).receivedRequests.length > 0);
		await new Promise((done) => setTimeout(done, ms));
		req.destroy();
	},
);

cucumber.When('engine {string} starts to leave', async function (this: FleetWorld, id: string) {
	const fixture = fixtureOf(this);
	const engine = engineOf(this, id);
	await fixture.register(engine, fixture.addressOf(engine), 'draining');
	await new Promise((done) => setTimeout(done, 500));
});

cucumber.Then('the answer is {int}', function (this: FleetWorld, status: number) {
	assert.equal(lastAnswer(this).status, status);
});

cucumber.Then(
	'the answer is {int} {string}, signed by {string}',
	function (this: FleetWorld, status: number, body: string, engine: string) {
		const answer = lastAnswer(this);
		assert.equal(answer.status, status);
		assert.equal(answer.body, body);
		assert.equal(answer.headers['slategauge-response-signature'], `by-${engine}`);
	},
);

cucumber.Then('each answer is {int}', function (this: FleetWorld, status: number) {
	for (const answer of fixtureOf(this).answers) {
		assert.equal(answer.status, status);
	}
});

cucumber.Then('each stream is complete', function (this: FleetWorld) {
	for (const answer of fixtureOf(this).answers) {
		assert.equal(answer.cut, false);
		assert.equal(answer.body, wholeStream());
	}
});

cucumber.Then('that stream is complete', function (this: FleetWorld) {
	assert.equal(lastAnswer(this).cut, false);
	assert.equal(lastAnswer(this).body, wholeStream());
});

cucumber.Then('the answer is cut after {int} events', function (this: FleetWorld, events: number) {
	const answer = lastAnswer(this);
	assert.equal(answer.cut, true);
	assert.equal(answer.body.split('\n\n').length - 1, events);
	assert.ok(answer.body.endsWith('\n\n'));
});

cucumber.Then('it says when to come back', function (this: FleetWorld) {
	assert.ok(Number(lastAnswer(this).headers['retry-after']) > 0);
});

cucumber.Then(
	'the retry time is {float} to {float} seconds',
	function (this: FleetWorld, minS: number, maxS: number) {
		const seconds = Number(lastAnswer(this).headers['retry-after']);
		assert.ok(seconds >= minS && seconds <= maxS, `Retry-After is ${seconds} s`);
	},
);

cucumber.Then('it has no signature', function (this: FleetWorld) {
	assert.equal(lastAnswer(this).headers['slategauge-response-signature'], undefined);
});

cucumber.Then(
	'engine {string} saw {string} with body {string}',
	function (this: FleetWorld, id: string, call: string, body: string) {
		const [seen] = engineOf(this, id).receivedRequests;
		assert.equal(`${seen?.method} ${seen?.url}`, call);
		assert.equal(seen?.body, body);
	},
);

cucumber.Then(
	'engine {string} saw the customer {string} but no key',
	function (this: FleetWorld, id: string, customer: string) {
		const [seen] = engineOf(this, id).receivedRequests;
		assert.equal(seen?.headers['slategauge-tenant'], customer);
		assert.equal(seen?.headers.authorization, undefined);
	},
);

cucumber.Then(
	'engine {string} received its own id as the expected one and less time than the caller has',
	function (this: FleetWorld, id: string) {
		const [seen] = engineOf(this, id).receivedRequests;
		assert.equal(seen?.headers['slategauge-expect-instance'], id);
		assert.ok(Number(seen?.headers['slategauge-deadline-ms']) <= 1200);
	},
);

cucumber.Then('{int} requests ran', function (this: FleetWorld, count: number) {
	const engines = [...fixtureOf(this).engines.values()];
	const ran = engines.reduce((sum, engine) => sum + engine.receivedRequests.length, 0);
	assert.equal(ran, count);
});

cucumber.Then(
	'engine {string} ran {int} requests',
	function (this: FleetWorld, id: string, count: number) {
		assert.equal(engineOf(this, id).receivedRequests.length, count);
	},
);

cucumber.Then(
	'engine {string} is free within {int} ms',
	async function (this: FleetWorld, id: string, ms: number) {
		await until(() => engineOf(this, id).receivedRequests.every((seen) => seen.hasCallerLeft), ms);
		assert.equal(engineOf(this, id).receivedRequests.length, 1);
	},
);

cucumber.Then(
	'a caller of the VM that writes {int} bytes before it reads receives {int}',
	async function (this: FleetWorld, bytes: number, status: number) {
		const vm = firstVm(this);
		const url = new URL(`http://${vm.address}:${vm.ports.callers}`);
		const head = ['POST /plain/ HTTP/1.1', `host: ${host}`, 'slategauge-attempt-id: late-reader'];
		const answer = await writeThenRead(url, head, bytes);
		assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
	},
);

/**
 * Steps about requests through real relay daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as util from 'node:util';
import * as cucumber from '@cucumber/cucumber';
import type { EngineBehaviour, PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import { wholeStream } from '../stand-ins/platform-engine.js';
import { writeThenRead } from './late-reader.js';
import type { Answer, Vm } from './relay-world.js';
import { freePorts, host, key as permanentKey, RelayFixture, until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** How the platform starts the daemon. */
const deployed = 'deploy/start.cjs';
const loadedModules = './test/stand-ins/loaded-modules.cjs';
const example = 'deploy/settings-example.json';
const run = util.promisify(childProcess.execFile);

const fixtures = new WeakMap<FleetWorld, RelayFixture>();

function fixtureOf(world: FleetWorld): RelayFixture {
	let fixture = fixtures.get(world);
	if (!fixture) {
		fixture = new RelayFixture();
		fixtures.set(world, fixture);
	}
	return fixture;
}

function engineOf(world: FleetWorld, id: string): PlatformEngineStandIn {
	const engine = fixtureOf(world).engines.get(id);
	assert.ok(engine);
	return engine;
}

function firstVm(world: FleetWorld): Vm {
	const [vm] = fixtureOf(world).vms;
	assert.ok(vm);
	return vm;
}

function lastAnswer(world: FleetWorld): Answer {
	const answer = fixtureOf(world).answers.at(-1);
	assert.ok(answer);
	return answer;
}

cucumber.After(async function (this: FleetWorld) {
	await fixtures.get(this)?.stop();
});

cucumber.Given(
	/^a relay of (\d+) VMs? with engines "(.*)"$/,
	async function (this: FleetWorld, vms: string, engines: string) {
		await fixtureOf(this).start(Number(vms), engines.split(', '));
	},
);

cucumber.Given('the bundle of the daemon', async () => {
	await run('npm', ['run', '--silent', 'bundle']);
	const { stderr } = await run(process.execPath, ['deploy/compile.cjs']);
	assert.equal(stderr, '');
});

cucumber.Then('it finds nothing wrong with the example of settings', async () => {
	const { stdout, stderr } = await run(process.execPath, [deployed, example, '--check']);
	assert.match(stdout, /no findings/);
	assert.equal(stderr, '');
});

cucumber.Then('it loads neither encryption nor clusters nor compression', async () => {
	const { stderr } = await run(process.execPath, [
		'--require',
		loadedModules,
		deployed,
		example,
		'--check',
	]);
	const loaded = stderr.split(',');
	assert.ok(loaded.includes('NativeModule http'));
	for (const name of ['crypto', 'tls', 'cluster', 'zlib']) {
		assert.ok(!loaded.includes(`NativeModule ${name}`), name);
	}
});

cucumber.Given(
	/^a relay of 1 VM from the bundle with engines "(.*)"$/,
	async function (this: FleetWorld, engines: string) {
		fixtureOf(this).program = deployed;
		await fixtureOf(this).start(1, engines.split(', '));
	},
);

cucumber.Given('a relay of 1 VM that has no configuration', async function (this: FleetWorld) {
	await fixtureOf(this).start(1, ['a'], false);
});

cucumber.Given(
	/^engine "(\w+)" (rejects|bare-503|resets|breaks-off|mixes-up|unsigned|fails|silent|unframed|unframed-reset|unframed-reset-at-once)$/,
	function (this: FleetWorld, id: string, behaviour: EngineBehaviour) {
		engineOf(this, id).behaviour = behaviour;
	},
);

cucumber.Given(
	'engine {string} takes {int} ms for an event',
	function (this: FleetWorld, id: string, ms: number) {
		engineOf(this, id).pauseMs = ms;
	},
);

cucumber.Given(
	'engine {string} takes {int} ms to answer',
	function (this: FleetWorld, id: string, ms: number) {
		engineOf(this, id).delayMs = ms;
	},
);

cucumber.When('{int} ms pass in quiet', async (ms: number) => {
	await new Promise((done) => setTimeout(done, ms));
});

cucumber.Then(
	'engine {string} ran {int} requests to their end',
	function (this: FleetWorld, id: string, count: number) {
		const whole = engineOf(this, id).seen.filter((request) => !request.left);
		assert.equal(whole.length, count);
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
		// The registration of the engine before is still there, with the address of the other.
		await fixture.register(engineOf(this, id), address);
		await new Promise((done) => setTimeout(done, 500));
	},
);

cucumber.Given('the store turns VM {int} away', function (this: FleetWorld, vm: number) {
	const { address } = fixtureOf(this).vms[vm - 1] as Vm;
	fixtureOf(this).store.turnAway(address);
});

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
	'{string} is sent with key {string}',
	async function (this: FleetWorld, call: string, key: string) {
		await fixtureOf(this).send(call, '', { key });
	},
);

cucumber.When(
	'{string} is sent {int} times',
	async function (this: FleetWorld, call: string, times: number) {
		for (let at = 0; at < times; at++) {
			await fixtureOf(this).send(call);
		}
	},
);

cucumber.When(
	'the caller of {string} leaves after {int} ms',
	async function (this: FleetWorld, call: string, ms: number) {
		const { req } = fixtureOf(this).open(call);
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

cucumber.When(
	'the store forgets its history while engine {string} leaves',
	async function (this: FleetWorld, id: string) {
		const { store } = fixtureOf(this);
		store.failWith = 503;
		store.remove(`servers/${id}`);
		store.compact();
		store.failWith = undefined;
		// An outage may have cost the registration: the engine stays usable for two seconds.
		await new Promise((done) => setTimeout(done, 3000));
	},
);

cucumber.When(
	'the key of customer {string} is taken away',
	function (this: FleetWorld, _customer: string) {
		fixtureOf(this).configure(['another-key']);
	},
);

cucumber.When('the key of customer {string} is given back', function (this: FleetWorld, _: string) {
	fixtureOf(this).configure([permanentKey]);
});

cucumber.Then(
	'the store is not asked for all engines within {int} ms',
	async function (this: FleetWorld, ms: number) {
		const { store } = fixtureOf(this);
		const before = store.rangesOf('servers/');
		await new Promise((done) => setTimeout(done, ms));
		assert.equal(store.rangesOf('servers/') - before, 0);
	},
);

cucumber.Then(
	'each VM answers {int} within {int} ms',
	async function (this: FleetWorld, status: number, ms: number) {
		const fixture = fixtureOf(this);
		const answers = async (vm: Vm) => (await fixture.send('GET /plain/', '', { vm })).status;
		const each = fixture.vms.map((vm) => until(async () => (await answers(vm)) === status, ms));
		await Promise.all(each);
	},
);

cucumber.Then(
	'no VM sends work to engine {string} after {int} ms',
	async function (this: FleetWorld, id: string, ms: number) {
		const fixture = fixtureOf(this);
		await new Promise((done) => setTimeout(done, ms));
		const before = engineOf(this, id).seen.length;
		const sent = fixture.vms.flatMap((vm) =>
			[1, 2, 3].map(() => fixture.send('GET /plain/', '', { vm })),
		);
		const statuses = (await Promise.all(sent)).map((answer) => answer.status);
		assert.ok(statuses.every((status) => status === 200));
		assert.equal(engineOf(this, id).seen.length, before);
	},
);

cucumber.When('a stream is on its way as the VM is stopped', async function (this: FleetWorld) {
	const fixture = fixtureOf(this);
	const { answer } = fixture.open('POST /stream/once/');
	await until(() => engineOf(this, 'a').seen.length > 0);
	firstVm(this).process.kill('SIGTERM');
	fixture.answers.push(await answer);
});

cucumber.When(
	'the relay starts with settings that lack a zone and a store',
	async function (this: FleetWorld) {
		const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts(4);
		const ports = { callers, readiness, peers, metrics };
		const fixture = fixtureOf(this);
		fixture.vms.push(
			await fixture.startVm('127.0.0.1', 'vm-x', ports, { drop: ['zone', 'platform'] }),
		);
	},
);

cucumber.Then(
	'VM {int} sends nothing to engine {string} after {int} ms',
	async function (this: FleetWorld, vm: number, id: string, ms: number) {
		const fixture = fixtureOf(this);
		await new Promise((done) => setTimeout(done, ms));
		const before = engineOf(this, id).seen.length;
		for (let at = 0; at < 10; at++) {
			const answer = await fixture.send('GET /plain/', '', { vm: fixture.vms[vm - 1] });
			assert.equal(answer.status, 200);
		}
		assert.equal(engineOf(this, id).seen.length, before);
	},
);

cucumber.When(
	'a second VM starts, turned away, with the first as its seed',
	async function (this: FleetWorld) {
		const fixture = fixtureOf(this);
		const address = '127.0.0.12';
		fixture.store.turnAway(address);
		const first = firstVm(this);
		const seeds = [`${first.address}:9`];
		fixture.vms.push(await fixture.startVm(address, 'vm-2', first.ports, { seeds }));
	},
);

cucumber.When(
	'its settings are changed, then spoiled, with a signal each time',
	async function (this: FleetWorld) {
		const vm = firstVm(this);
		const settings = JSON.parse(await fs.readFile(vm.file, 'utf8'));
		for (const text of [JSON.stringify({ ...settings, 'seed-nodes': ['10.0.0.9:1'] }), '{']) {
			await fs.writeFile(vm.file, text);
			vm.process.kill('SIGHUP');
			await new Promise((done) => setTimeout(done, 300));
		}
	},
);

cucumber.Then(
	'its metrics tell {int} complete request(s) of route {string}',
	async function (this: FleetWorld, count: number, route: string) {
		const vm = firstVm(this);
		const res = await fetch(`http://${vm.address}:${vm.ports.metrics}/metrics`);
		const line = `slategauge_requests_total{route="${route}",outcome="complete"} ${count}`;
		assert.ok((await res.text()).includes(line));
	},
);

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

cucumber.Then('each stream is whole', function (this: FleetWorld) {
	for (const answer of fixtureOf(this).answers) {
		assert.equal(answer.cut, false);
		assert.equal(answer.body, wholeStream());
	}
});

cucumber.Then('that stream is whole', function (this: FleetWorld) {
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
	'it says to come back after {float} to {float} seconds',
	function (this: FleetWorld, least: number, most: number) {
		const seconds = Number(lastAnswer(this).headers['retry-after']);
		assert.ok(seconds >= least && seconds <= most, `told ${seconds} s`);
	},
);

cucumber.Then('it carries no signature', function (this: FleetWorld) {
	assert.equal(lastAnswer(this).headers['slategauge-response-signature'], undefined);
});

cucumber.Then(
	'engine {string} saw {string} with body {string}',
	function (this: FleetWorld, id: string, call: string, body: string) {
		const [seen] = engineOf(this, id).seen;
		assert.equal(`${seen?.method} ${seen?.url}`, call);
		assert.equal(seen?.body, body);
	},
);

cucumber.Then(
	'engine {string} saw the customer {string} but no key',
	function (this: FleetWorld, id: string, customer: string) {
		const [seen] = engineOf(this, id).seen;
		assert.equal(seen?.headers['slategauge-tenant'], customer);
		assert.equal(seen?.headers.authorization, undefined);
	},
);

cucumber.Then(
	'engine {string} was told to expect itself and less time than the caller has',
	function (this: FleetWorld, id: string) {
		const [seen] = engineOf(this, id).seen;
		assert.equal(seen?.headers['slategauge-expect-instance'], id);
		assert.ok(Number(seen?.headers['slategauge-deadline-ms']) <= 1200);
	},
);

cucumber.Then('{int} requests ran', function (this: FleetWorld, count: number) {
	const engines = [...fixtureOf(this).engines.values()];
	const ran = engines.reduce((sum, engine) => sum + engine.seen.length, 0);
	assert.equal(ran, count);
});

cucumber.Then(
	'engine {string} ran {int} requests',
	function (this: FleetWorld, id: string, count: number) {
		assert.equal(engineOf(this, id).seen.length, count);
	},
);

cucumber.Then(
	'engine {string} is free within {int} ms',
	async function (this: FleetWorld, id: string, ms: number) {
		await until(() => engineOf(this, id).seen.every((seen) => seen.left), ms);
		assert.equal(engineOf(this, id).seen.length, 1);
	},
);

cucumber.Given('a store that withholds the engines', function (this: FleetWorld) {
	fixtureOf(this).store.withheld = 'servers/';
});

cucumber.When('a configuration comes', function (this: FleetWorld) {
	fixtureOf(this).configure([permanentKey]);
});

cucumber.When('the store tells the engines', function (this: FleetWorld) {
	fixtureOf(this).store.withheld = undefined;
});

cucumber.Then('the VM is ready within {int} ms', async function (this: FleetWorld, ms: number) {
	await until(() => fixtureOf(this).isReady(firstVm(this)), ms);
});

cucumber.Then('the VM is not ready', async function (this: FleetWorld) {
	assert.equal(await fixtureOf(this).isReady(firstVm(this)), false);
});

cucumber.Then(
	'VM {int} answers {int} within {int} ms',
	async function (this: FleetWorld, vm: number, status: number, ms: number) {
		const fixture = fixtureOf(this);
		const target = fixture.vms[vm - 1] as Vm;
		const answers = async () => (await fixture.send('GET /plain/', '', { vm: target })).status;
		await until(async () => (await answers()) === status, ms);
	},
);

cucumber.Then(
	'VM {int} answers {int} to key {string} within {int} ms',
	async function (this: FleetWorld, vm: number, status: number, key: string, ms: number) {
		const fixture = fixtureOf(this);
		const target = fixture.vms[vm - 1] as Vm;
		const answer = () => fixture.send('GET /plain/', '', { vm: target, key });
		await until(async () => (await answer()).status === status, ms);
	},
);

cucumber.Then(
	'the VM ends by itself within {int} ms',
	async function (this: FleetWorld, ms: number) {
		const late = new Promise<string>((done) => setTimeout(() => done('late'), ms));
		assert.equal(await Promise.race([firstVm(this).ended, late]), 0);
	},
);

cucumber.Then('it ends with code {int}', async function (this: FleetWorld, code: number) {
	assert.equal(await firstVm(this).ended, code);
});

cucumber.Then(
	'it names {string} and {string}',
	function (this: FleetWorld, first: string, second: string) {
		assert.match(firstVm(this).errors, new RegExp(first));
		assert.match(firstVm(this).errors, new RegExp(second));
	},
);

cucumber.Then(
	'a caller of the VM that writes {int} bytes before it reads is told {int}',
	async function (this: FleetWorld, bytes: number, status: number) {
		const vm = firstVm(this);
		const url = new URL(`http://${vm.address}:${vm.ports.callers}`);
		const head = ['POST /plain/ HTTP/1.1', `host: ${host}`, 'slategauge-attempt-id: late-reader'];
		const answer = await writeThenRead(url, head, bytes);
		assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
	},
);

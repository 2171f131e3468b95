/**
 * Steps about the lifecycle of relay daemons: start, settings, data from the store, shutdown.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as util from 'node:util';
import * as cucumber from '@cucumber/cucumber';
import { engineOf, firstVm, fixtureOf } from './relay-fixture.js';
import type { Vm } from './relay-world.js';
import { key as permanentKey, reservePorts, until, vmAddress } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Entry point with which the platform starts the daemon. */
const entryPoint = 'deploy/start.cjs';
const loadedModules = './test/stand-ins/loaded-modules.cjs';
const exampleSettings = 'deploy/settings-example.json';
const run = util.promisify(childProcess.execFile);

cucumber.Given('the bundle of the daemon', async () => {
	await run('npm', ['run', '--silent', 'bundle']);
	const { stderr } = await run(process.execPath, ['deploy/compile.cjs']);
	assert.equal(stderr, '');
});

cucumber.Then('it finds nothing wrong with the example of settings', async () => {
	const { stdout, stderr } = await run(process.execPath, [entryPoint, exampleSettings, '--check']);
	assert.match(stdout, /no findings/);
	assert.equal(stderr, '');
});

cucumber.Then('it loads neither encryption nor clusters nor compression', async () => {
	const { stderr } = await run(process.execPath, [
		'--require',
		loadedModules,
		entryPoint,
		exampleSettings,
		'--check',
	]);
	const loaded = stderr.split(',');
	assert.ok(loaded.includes('NativeModule http'));
	for (const name of ['crypto', 'tls', 'cluster', 'zlib']) {
		assert.ok(!loaded.includes(`NativeModule ${name}`), name);
	}
});

cucumber.Given(
	/^a relay of (\d+) VMs? from the bundle with engines "(.*)"$/,
	async function (this: FleetWorld, vms: string, engines: string) {
		fixtureOf(this).program = entryPoint;
		await fixtureOf(this).start(Number(vms), engines.split(', '));
	},
);

cucumber.Given('a relay of 1 VM that has no configuration', async function (this: FleetWorld) {
	await fixtureOf(this).start(1, ['a'], false);
});

cucumber.When('{int} ms pass in quiet', async (ms: number) => {
	await new Promise((done) => setTimeout(done, ms));
});

cucumber.Given('the store turns VM {int} away', function (this: FleetWorld, vm: number) {
	const { address } = fixtureOf(this).vms[vm - 1] as Vm;
	fixtureOf(this).store.refuseVm(address);
});

cucumber.When(
	'the store forgets its history while engine {string} leaves',
	async function (this: FleetWorld, id: string) {
		const { store } = fixtureOf(this);
		store.failureStatus = 503;
		store.remove(`servers/${id}`);
		store.compact();
		store.failureStatus = undefined;
		// The engine stays usable for two seconds, since an outage may have removed its registration.
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
		const before = store.countRangeReads('servers/');
		await new Promise((done) => setTimeout(done, ms));
		assert.equal(store.countRangeReads('servers/') - before, 0);
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
		const before = engineOf(this, id).receivedRequests.length;
		const sent = fixture.vms.flatMap((vm) =>
			[1, 2, 3].map(() => fixture.send('GET /plain/', '', { vm })),
		);
		const statuses = (await Promise.all(sent)).map((answer) => answer.status);
		assert.ok(statuses.every((status) => status === 200));
		assert.equal(engineOf(this, id).receivedRequests.length, before);
	},
);

cucumber.When('a stream is on its way as the VM is stopped', async function (this: FleetWorld) {
	const fixture = fixtureOf(this);
	const { answer } = fixture.open('POST /stream/once/');
	await until(() => engineOf(this, 'a').receivedRequests.length > 0);
	firstVm(this).process.kill('SIGTERM');
	fixture.answers.push(await answer);
});

cucumber.When(
	'the relay starts with settings that lack a zone and a store',
	async function (this: FleetWorld) {
		const [callers = 0, readiness = 0, peers = 0, metrics = 0] = reservePorts(4);
		const ports = { callers, readiness, peers, metrics };
		const fixture = fixtureOf(this);
		fixture.vms.push(
			await fixture.startVm('127.0.0.1', 'vm-x', ports, { omit: ['zone', 'platform'] }),
		);
	},
);

cucumber.Then(
	'VM {int} sends nothing to engine {string} after {int} ms',
	async function (this: FleetWorld, vm: number, id: string, ms: number) {
		const fixture = fixtureOf(this);
		await new Promise((done) => setTimeout(done, ms));
		const before = engineOf(this, id).receivedRequests.length;
		for (let sent = 0; sent < 10; sent++) {
			const answer = await fixture.send('GET /plain/', '', { vm: fixture.vms[vm - 1] });
			assert.equal(answer.status, 200);
		}
		assert.equal(engineOf(this, id).receivedRequests.length, before);
	},
);

cucumber.Then(
	'no other process can listen where a VM reaches the store',
	async function (this: FleetWorld) {
		const [host, port] = fixtureOf(this).store.addressFor(vmAddress(9)).split(':');
		const other = net.createServer();
		const failure = await new Promise<NodeJS.ErrnoException | undefined>((done) => {
			other.once('error', done);
			other.listen(Number(port), host, () => other.close(() => done(undefined)));
		});
		assert.equal(failure?.code, 'EADDRINUSE');
	},
);

cucumber.When(
	'a second VM starts, turned away, with the first as its seed',
	async function (this: FleetWorld) {
		const fixture = fixtureOf(this);
		const address = vmAddress(2);
		fixture.store.refuseVm(address);
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

cucumber.Given('a store that withholds the engines', function (this: FleetWorld) {
	fixtureOf(this).store.withheldPrefix = 'servers/';
});

cucumber.When('a configuration comes', function (this: FleetWorld) {
	fixtureOf(this).configure([permanentKey]);
});

cucumber.When('the store tells the engines', function (this: FleetWorld) {
	fixtureOf(this).store.withheldPrefix = undefined;
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

cucumber.When(
	'the relay starts while another process listens at its readiness port',
	async function (this: FleetWorld) {
		const fixture = fixtureOf(this);
		await fixture.store.start();
		const [callers = 0, readiness = 0, peers = 0, metrics = 0] = reservePorts(4);
		const other = net.createServer();
		await new Promise<void>((done) => other.listen(readiness, vmAddress(1), done));
		const ports = { callers, readiness, peers, metrics };
		const vm = await fixture.startVm(vmAddress(1), 'vm-1', ports);
		fixture.vms.push(vm);
		void vm.ended.then(() => other.close());
	},
);

cucumber.Then(
	'its log says {string} with that address',
	function (this: FleetWorld, event: string) {
		const { output, address, ports } = firstVm(this);
		assert.match(output, new RegExp(`event=${event} .*${address}:${ports.readiness}`));
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

/** Sends a signal to the first VM's process and waits until it exits. */
async function stopProcess(world: FleetWorld, signal: NodeJS.Signals): Promise<void> {
	// A VM may become ready shortly before it is registered.
	await until(() => (fixtureOf(world).store.calls.get('/kv-txn') ?? 0) > 0);
	firstVm(world).process.kill(signal);
	await firstVm(world).ended;
}

/** Starts a new process with the first VM's address and ports. */
async function restart(world: FleetWorld): Promise<void> {
	const fixture = fixtureOf(world);
	const { address, ports } = firstVm(world);
	fixture.vms[0] = await fixture.startVm(address, 'vm-1', ports);
}

cucumber.When(
	/^its process (is killed|stops as planned) and is started again$/,
	async function (this: FleetWorld, how: string) {
		await stopProcess(this, how === 'is killed' ? 'SIGKILL' : 'SIGTERM');
		await restart(this);
	},
);

cucumber.When(
	'its process is killed, its lease ends and it is started again',
	async function (this: FleetWorld) {
		await stopProcess(this, 'SIGKILL');
		fixtureOf(this).store.expireLeases();
		await restart(this);
	},
);

cucumber.Then(
	/^the store granted (\d+) leases? and took (\d+) writes?$/,
	async function (this: FleetWorld, leases: string, writes: string) {
		const { calls } = fixtureOf(this).store;
		// A second registration would follow shortly after the VM becomes ready.
		await new Promise((done) => setTimeout(done, 300));
		assert.equal(calls.get('/kv-lease'), Number(leases));
		assert.equal(calls.get('/kv-txn'), Number(writes));
	},
);

cucumber.Then(
	'the last engines were read by a call that may not be seconds old',
	function (this: FleetWorld) {
		const { store } = fixtureOf(this);
		assert.ok(store.countRangeReads('servers/') >= 2, 'both processes read the engines');
		assert.equal(store.allowedStaleEntries('servers/'), false);
	},
);

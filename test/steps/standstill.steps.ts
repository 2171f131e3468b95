/**
 * Steps for VMs that stand still or end while they have requests, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import type { AnswerListener } from '../../src/core/relay/definitions.js';
import { UndiciEngineTransport } from '../../src/infra/relay/engine-transport.js';
import * as platform from '../../src/platform/index.js';
import { PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import { seen } from './relay-fakes.js';
import { engineOf, firstVm, fixtureOf } from './relay-fixture.js';
import type { Answer, Vm } from './relay-world.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

const requestCount = 6;
/** Blocks the event loop, as a stop of the process does. */
export function blockLoop(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Longer than the routes' time-out, so that a VM wakes after its callers were told. */
const freezeMs = 1800;
/** Time in which a request might still reach an engine, and in which answers end. */
const settleMs = 1500;
/** First part of a head, and the time between parts. */
const partBytes = 60;
const partDelayMs = 150;

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

async function standStill(vm: Vm, ms: number): Promise<void> {
	vm.process.kill('SIGSTOP');
	await sleep(ms);
	vm.process.kill('SIGCONT');
}

cucumber.When(
	'the VM stands still for {int} ms while {int} {string} requests are at their engines',
	async function (this: FleetWorld, ms: number, count: number, call: string) {
		const fixture = fixtureOf(this);
		const open = Array.from({ length: count }, (_, index) => fixture.open(call, `body ${index}`));
		const received = () =>
			[...fixture.engines.values()].reduce(
				(sum, engine) => sum + engine.receivedRequests.length,
				0,
			);
		await until(() => received() === count);
		await standStill(firstVm(this), ms);
		fixture.answers = await Promise.all(open.map(({ answer }) => answer));
	},
);

cucumber.When(
	'the last VM stands still for {int} ms while the first VM sends it {string} requests, whose callers leave after {int} ms',
	async function (this: FleetWorld, ms: number, call: string, leaveMs: number) {
		const fixture = fixtureOf(this);
		// Opens the connection between the VMs.
		assert.equal((await fixture.open('GET /plain/').answer).status, 200);
		for (const engine of fixture.engines.values()) {
			engine.receivedRequests.length = 0;
		}
		const stopped = standStill(fixture.vms.at(-1) as Vm, ms);
		const open = Array.from({ length: requestCount }, (_, index) => fixture.open(call, `${index}`));
		await sleep(leaveMs);
		for (const { req } of open) {
			req.destroy();
		}
		await stopped;
		await sleep(settleMs);
	},
);

cucumber.When(
	/^the last VM is (killed|frozen|cut off from all engines) (\d+) ms after the first VM sent it "(.*)" requests$/,
	async function (this: FleetWorld, fault: string, ms: string, call: string) {
		const fixture = fixtureOf(this);
		const vm = fixture.vms.at(-1) as Vm;
		const warmUp = await fixture.open('GET /plain/').answer;
		assert.equal(warmUp.status, 200);
		if (fault === 'frozen' && ms === '0') {
			vm.process.kill('SIGSTOP');
		}
		const open: Promise<Answer>[] = [];
		for (let index = 0; index < requestCount; index++) {
			open.push(fixture.open(call, `body ${index}`).answer);
			await sleep(2);
		}
		await sleep(Number(ms));
		if (fault === 'killed') {
			vm.process.kill('SIGKILL');
		} else if (fault === 'frozen') {
			await standStill(vm, freezeMs);
		} else {
			await fixture.setLinks(vm, 'hang');
		}
		this.state.set('answers', await Promise.all(open));
		await sleep(settleMs);
	},
);

interface ListeningEngine {
	engine: PlatformEngineStandIn;
	address: string;
	transport: UndiciEngineTransport;
}

cucumber.Given('a transport to an engine that listens', async function (this: FleetWorld) {
	const engine = new PlatformEngineStandIn('a');
	const address = await engine.start();
	const transport = new UndiciEngineTransport(platform);
	this.state.set('listening', { engine, address, transport });
});

cucumber.When(
	'it sends a request, and the process stands still for {int} ms',
	function (this: FleetWorld, ms: number) {
		const { address, transport } = seen<ListeningEngine>(this, 'listening');
		const result = new Promise<string>((done) => {
			const listener: AnswerListener = {
				shouldSend: () => true,
				onWithdrawn: () => done('withdrawn'),
				onSent() {},
				onHead() {},
				onData() {},
				onEnd: () => done('answered'),
				onError: done,
			};
			const req = { method: 'GET', target: '/plain/', headers: [], body: Buffer.alloc(0) };
			transport.sendEncoded(address, req, listener);
		});
		blockLoop(ms);
		this.state.set('result', result);
	},
);

cucumber.Then('the request is answered', async function (this: FleetWorld) {
	assert.equal(await seen<Promise<string>>(this, 'result'), 'answered');
});

cucumber.When(
	'it tries a connection, and the process stands still for {int} ms',
	function (this: FleetWorld, ms: number) {
		const { address, transport } = seen<ListeningEngine>(this, 'listening');
		this.state.set('result', transport.canConnect(address));
		blockLoop(ms);
	},
);

cucumber.Then('the connection can be made', async function (this: FleetWorld) {
	const { engine, transport } = seen<ListeningEngine>(this, 'listening');
	assert.equal(await seen<Promise<boolean>>(this, 'result'), true);
	await transport.close();
	engine.stop();
});

cucumber.When(
	'the last VM freezes for {int} ms between two parts of the head of a request to forward',
	async function (this: FleetWorld, ms: number) {
		const fixture = fixtureOf(this);
		const [first, last] = fixture.vms as [Vm, Vm];
		const engine = engineOf(this, 'a');
		const head = [
			'POST /once/ HTTP/1.1',
			'host: relay.example',
			'slategauge-attempt-id: hop',
			`forward-to: ${fixture.addressOf(engine)} a 1 0`,
			'content-length: 4',
		].join('\r\n');
		const opts = { host: last.address, port: last.ports.peers, localAddress: first.address };
		const socket = net.connect({ ...opts, noDelay: true });
		const chunks: Buffer[] = [];
		socket.on('data', (chunk) => chunks.push(chunk));
		socket.write(head.slice(0, partBytes));
		await sleep(partDelayMs);
		const frozen = standStill(last, ms);
		await sleep(partDelayMs);
		socket.write(`${head.slice(partBytes)}\r\n\r\nbody`);
		await frozen;
		await sleep(settleMs);
		socket.destroy();
		this.state.set('hop', Buffer.concat(chunks).toString());
	},
);

cucumber.Then(
	'the request ran once if its answer is that of engine {string}, and else not at all',
	function (this: FleetWorld, id: string) {
		const answer = seen<string>(this, 'hop');
		const isEngines = /\r\nforward-result: answer\r\n/i.test(answer);
		assert.match(answer, /^HTTP\/1\.1 \d{3} /);
		assert.equal(engineOf(this, id).receivedRequests.length, isEngines ? 1 : 0, answer);
	},
);

/**
 * Steps about crowds of clients that misbehave, and about single clients that are unusual but within the limits.
 * @module
 */
import * as assert from 'node:assert/strict';
import type * as childProcess from 'node:child_process';
import * as cucumber from '@cucumber/cucumber';
import { customerApiKey } from '../../bench/fleet.js';
import type { ProcessPeaks } from './crowds.js';
import {
	chatBody,
	daemonCrowds,
	largeAnswerBody,
	largeAnswerBytes,
	ProcessObserver,
	relayCrowds,
	runCrowd,
} from './crowds.js';
import { encodeRequest, RawCaller } from './raw-caller.js';
import { seen } from './relay-fakes.js';
import { engineOf, firstVm, fixtureOf } from './relay-fixture.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Flags of the command in the deploy file. */
const deployedNodeFlags = ['--single-threaded-gc', '--v8-pool-size=1'];
/** Time after which a process that does not answer hangs. */
const hangMs = 20_000;
/** Time within which a single unusual request is answered. */
const unusualMs = 30_000;

cucumber.Given(
	'a relay of 1 VM with {int} MB and {int} descriptors',
	async function (this: FleetWorld, memoryMb: number, descriptors: number) {
		const fixture = fixtureOf(this);
		fixture.program = 'deploy/start.cjs';
		fixture.nodeFlags = deployedNodeFlags;
		fixture.vmLimits = { 'memory-mb': memoryMb, 'max-fds': descriptors };
		await fixture.start(1, ['a']);
		engineOf(this, 'a').rawAnswer = {
			requestBody: largeAnswerBody,
			text: encodeLargeAnswer(),
			connection: 'keep',
		};
		const { pid } = firstVm(this).process;
		this.state.set('observer', new ProcessObserver(Number(pid)));
	},
);

function encodeLargeAnswer(): string {
	const head = [
		'HTTP/1.1 200 OK',
		'slategauge-attempt-id: crowd',
		'slategauge-response-signature: by-a',
		`content-length: ${largeAnswerBytes}`,
	];
	return `${head.join('\r\n')}\r\n\r\n${'x'.repeat(largeAnswerBytes)}`;
}

cucumber.When(
	/^(\d+) clients send (.*) to its port for (callers|readiness|peers|metrics) and read nothing$/,
	{ timeout: 60_000 },
	async function (
		this: FleetWorld,
		connections: string,
		what: string,
		port: 'callers' | 'readiness' | 'peers' | 'metrics',
	) {
		const { address, ports } = firstVm(this);
		const sent = relayCrowds[what];
		assert.ok(sent, what);
		await runCrowd({ host: address, port: ports[port] }, Number(connections), sent);
	},
);

cucumber.Then(
	'the VM lives within its memory and descriptors and answers an ordinary request',
	{ timeout: 60_000 },
	async function (this: FleetWorld) {
		const fixture = fixtureOf(this);
		const vm = firstVm(this);
		const answer = await Promise.race([
			fixture.send('POST /plain/', 'ordinary', { headers: { 'slategauge-deadline-ms': hangMs } }),
			new Promise<undefined>((done) => setTimeout(() => done(undefined), hangMs)),
		]);
		await assertWithin(this, vm.process, fixture.vmLimits, answer?.status);
	},
);

/** @param status of the answer to an ordinary request; undefined without one */
async function assertWithin(
	world: FleetWorld,
	child: childProcess.ChildProcess,
	limits: { 'memory-mb': number; 'max-fds': number },
	status: number | undefined,
): Promise<void> {
	assert.equal(child.exitCode ?? child.signalCode, null, 'the process has ended');
	const peaks = await seen<ProcessObserver>(world, 'observer').stop();
	world.log(formatPeaks(peaks));
	const found = {
		isWithinMemory: peaks.memoryMb < limits['memory-mb'],
		isWithinDescriptors: peaks.descriptors < limits['max-fds'],
		status: status ?? `none within ${hangMs} ms`,
	};
	const expected = { isWithinMemory: true, isWithinDescriptors: true, status: 200 };
	assert.deepEqual(found, expected, formatPeaks(peaks));
}

function formatPeaks({ memoryMb, descriptors }: ProcessPeaks): string {
	return `peak of ${Math.round(memoryMb)} MB and ${descriptors} descriptors`;
}

cucumber.Given('a daemon of a fleet', async function (this: FleetWorld) {
	await this.start(1, [{ stepBaseMs: 1 }]);
	const [daemon] = this.runningFleet.daemons;
	this.state.set('observer', new ProcessObserver(Number(daemon?.child.pid)));
});

cucumber.When(
	/^(\d+) clients of the daemon send (.*) to its port for (callers|control) and read nothing$/,
	{ timeout: 60_000 },
	async function (this: FleetWorld, connections: string, what: string, name: string) {
		const [daemon] = this.runningFleet.daemons;
		const sent = daemonCrowds[what];
		assert.ok(sent && daemon, what);
		const port = name === 'control' ? daemon.controlPort : daemon.port;
		await runCrowd({ host: '127.0.0.1', port }, Number(connections), sent);
	},
);

cucumber.Then(
	'the daemon lives within {int} MB and {int} descriptors and answers an ordinary request',
	{ timeout: 60_000 },
	async function (this: FleetWorld, memoryMb: number, descriptors: number) {
		const [daemon] = this.runningFleet.daemons;
		assert.ok(daemon);
		const limits = { 'memory-mb': memoryMb, 'max-fds': descriptors };
		await assertWithin(this, daemon.child, limits, await askForChat(daemon.port));
	},
);

/** @returns the status of the answer; undefined without one */
async function askForChat(port: number): Promise<number | undefined> {
	try {
		const res = await fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
			method: 'POST',
			headers: { authorization: `Bearer ${customerApiKey('listener-app')}` },
			body: chatBody,
			signal: AbortSignal.timeout(hangMs),
		});
		await res.text();
		return res.status;
	} catch {
		return undefined;
	}
}

cucumber.When(
	'a client sends a body of {int} bytes in chunks of {int} byte(s)',
	{ timeout: 60_000 },
	async function (this: FleetWorld, bytes: number, size: number) {
		const caller = new RawCaller(firstVm(this));
		const request = { method: 'POST', target: '/patient/', id: 'cut-up', deadlineMs: unusualMs };
		caller.write(encodeRequest({ ...request, lines: ['transfer-encoding: chunked'] }));
		caller.write(`${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`.repeat(bytes / size));
		caller.write('0\r\n\r\n');
		await until(() => caller.receivedBytes > bytes, unusualMs);
		const [answer] = caller.decode(['POST']);
		assert.equal(answer?.status, 200);
		assert.equal(answer.body, `answer to ${'x'.repeat(bytes)}`);
		caller.socket.destroy();
	},
);

cucumber.When(
	'a client sends a head in {int} pieces',
	async function (this: FleetWorld, pieces: number) {
		const text = encodeRequest({ method: 'POST', target: '/once/', id: 'pieces', body: 'whole' });
		const caller = new RawCaller(firstVm(this));
		const size = Math.ceil(text.length / pieces);
		for (let at = 0; at < text.length; at += size) {
			caller.write(text.slice(at, at + size));
			await new Promise((done) => setTimeout(done, 5));
		}
		await until(() => caller.received.includes('answer to whole'));
		caller.socket.destroy();
	},
);

cucumber.When(
	'a client sends {int} requests ahead and reads',
	async function (this: FleetWorld, count: number) {
		const caller = new RawCaller(firstVm(this));
		const bodies = Array.from({ length: count }, (_, index) => `body-${index}.`);
		const texts = bodies.map((body, index) =>
			encodeRequest({
				method: 'POST',
				target: '/patient/',
				id: `ahead-${index}`,
				deadlineMs: unusualMs,
				body,
			}),
		);
		caller.write(texts.join(''));
		const answers = () => caller.decode(bodies.map(() => 'POST'));
		await until(() => caller.received.includes(`answer to ${bodies.at(-1)}`), unusualMs);
		await until(() => answers().length === count && answers().every((each) => each.isWhole));
		const received = answers().map(({ body }) => body);
		assert.deepEqual(
			received,
			bodies.map((body) => `answer to ${body}`),
		);
		caller.socket.destroy();
	},
);

cucumber.When(
	'{int} clients send a request each and stay connected, at rest for {int} ms between two',
	{ timeout: 60_000 },
	async function (this: FleetWorld, count: number, restMs: number) {
		const callers = Array.from({ length: count }, () => new RawCaller(firstVm(this)));
		const hasAnswers = (expected: number) =>
			callers.every(({ received }) => received.split('answer to rest.').length === expected + 1);
		for (const round of [1, 2]) {
			callers.forEach((caller, index) => {
				const id = `rest-${index}-${round}`;
				caller.write(encodeRequest({ method: 'GET', target: '/plain/', id, body: 'rest.' }));
			});
			await until(() => hasAnswers(round), unusualMs);
			await new Promise((done) => setTimeout(done, round === 1 ? restMs : 0));
		}
		callers.forEach(({ socket }) => void socket.destroy());
	},
);

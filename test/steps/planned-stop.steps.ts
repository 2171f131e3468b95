/**
 * Steps for requests that come at the end of a planned stop, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { streamAcceptanceMs } from '../../src/daemon/relay/graceful-shutdown.js';
import type { RawAnswer } from './raw-caller.js';
import { encodeRequest, RawCaller } from './raw-caller.js';
import { seen } from './relay-fakes.js';
import { firstVm, fixtureOf } from './relay-fixture.js';
import type { Answer, Vm } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Time that engines take, so that a request is open as the process ends. */
const answerMs = 60;
/** When the first request reaches the first VM, before that VM looks for open requests; each VM gets its own a little later. */
const leadMs = 10;
const staggerMs = 3;
/** Requests to each VM, one each millisecond. */
const requestCount = 20;
/** Time in which a request reaches its engine. */
const underWayMs = 150;

interface LateRequest {
	body: string;
	answer: Promise<Answer>;
}

cucumber.When(
	'all VMs are stopped and requests come as they end',
	async function (this: FleetWorld) {
		const fixture = fixtureOf(this);
		for (const engine of fixture.engines.values()) {
			engine.answerDelayMs = answerMs;
		}
		const late: LateRequest[] = [];
		const stops = fixture.vms.map(async (vm, index) => {
			vm.process.kill('SIGTERM');
			await sleep(streamAcceptanceMs - leadMs + index * staggerMs);
			for (let count = 0; count < requestCount; count++) {
				const body = `${vm.address} ${count}`;
				late.push({ body, answer: fixture.open('POST /once/', body, { vm }).answer });
				await sleep(1);
			}
		});
		await Promise.all(stops);
		this.state.set('late requests', late);
	},
);

cucumber.Then(
	'each of these requests is answered or reached no engine',
	async function (this: FleetWorld) {
		const lost: string[] = [];
		for (const { body, answer } of seen<LateRequest[]>(this, 'late requests')) {
			const { cut } = await answer;
			if (cut && fixtureOf(this).countReached(body) > 0) {
				lost.push(body);
			}
		}
		assert.deepEqual(lost, []);
	},
);

cucumber.When(
	'the VM is stopped and a caller sends {string} at once {int} ms later',
	async function (this: FleetWorld, calls: string, ms: number) {
		const vm = firstVm(this);
		const words = calls.split(' ');
		const requests = words.flatMap((method, index) =>
			index % 2 === 0 ? [{ method, target: words[index + 1] ?? '', id: `pipelined-${index}` }] : [],
		);
		// Keeps the stopping VM running until the requests come.
		const open = fixtureOf(this).open('POST /stream/once/', 'long');
		for (const engine of fixtureOf(this).engines.values()) {
			engine.eventIntervalMs = 600;
		}
		const caller = new RawCaller(vm);
		await sleep(underWayMs);
		vm.process.kill('SIGTERM');
		await sleep(ms);
		caller.write(requests.map((req) => encodeRequest({ ...req, body: req.id })).join(''));
		const methods = requests.map(({ method }) => method);
		const answers = await caller.untilAnswered(methods, 8000);
		await open.answer;
		caller.close();
		const ids = requests.map(({ id }) => id);
		this.state.set('pipelined', { ids, answers });
	},
);

cucumber.Then(
	'each request that ran is answered whole, and none that was refused ran',
	function (this: FleetWorld) {
		const { ids, answers } = seen<{ ids: string[]; answers: RawAnswer[] }>(this, 'pipelined');
		const outcomes = ids.map((id, index) => {
			const answer = answers[index];
			const ran = fixtureOf(this).countReached(id);
			const isRight = answer?.isWhole
				? answer.status === 200
					? ran === 1
					: answer.status === 503 && ran === 0
				: ran === 0;
			return { isRight, told: answer?.status, isWhole: answer?.isWhole, ran };
		});
		assert.ok(
			outcomes.every(({ isRight }) => isRight),
			JSON.stringify(outcomes),
		);
	},
);

/** Interval of the requests that come during a grace. */
const graceIntervalMs = 100;
/** How long a VM that halts stands still, and how long it runs between. */
const haltMs = 60;
const runMs = 120;
const uploadMs = 900;

cucumber.Given(
	'engines answer after {int} ms, with events every {int} ms',
	function (this: FleetWorld, ms: number, eventMs: number) {
		for (const engine of fixtureOf(this).engines.values()) {
			engine.answerDelayMs = ms;
			engine.eventIntervalMs = eventMs;
		}
	},
);

cucumber.When(
	/^(?:the VM|VM (\d+)) is stopped, and callers(?: of the first VM)? send "(.*)" until it has ended, each (at once|as an upload of 900 ms)(, while the VM halts for 60 ms at a time)?$/,
	async function (
		this: FleetWorld,
		number: string | null,
		call: string,
		sending: string,
		halting: string | null,
	) {
		const vm = fixtureOf(this).vms[Number(number ?? 1) - 1];
		assert.ok(vm);
		let hasEnded = false;
		const ended = vm.ended.then(() => {
			hasEnded = true;
		});
		vm.process.kill('SIGTERM');
		const halts = halting ? haltUntil(vm, () => hasEnded) : undefined;
		const late: LateRequest[] = [];
		while (!hasEnded) {
			const body = `late ${late.length}`;
			const answer =
				sending === 'at once' ? fixtureOf(this).open(call, body).answer : upload(this, call, body);
			late.push({ body, answer });
			await sleep(graceIntervalMs);
		}
		await Promise.all([ended, halts]);
		this.state.set('late requests', late);
	},
);

/** Stops and continues a process again and again. */
async function haltUntil(vm: Vm, hasEnded: () => boolean): Promise<void> {
	while (!hasEnded()) {
		vm.process.kill('SIGSTOP');
		await sleep(haltMs);
		vm.process.kill('SIGCONT');
		await sleep(runMs);
	}
}

/** Sends the last byte of a body late. */
async function upload(world: FleetWorld, call: string, body: string): Promise<Answer> {
	const headers = { 'content-length': String(body.length) };
	const { req, answer } = fixtureOf(world).begin(call, { headers });
	req.write(body.slice(0, -1));
	await sleep(uploadMs);
	req.end(body.slice(-1));
	return answer;
}

cucumber.Then(
	/^each request that reached an engine is answered whole(, and some were refused)?$/,
	async function (this: FleetWorld, areRefused: string | null) {
		const lost: string[] = [];
		let refused = 0;
		for (const { body, answer } of seen<LateRequest[]>(this, 'late requests')) {
			const { status, cut } = await answer;
			const ran = fixtureOf(this).countReached(body) > 0;
			refused += status === 503 ? 1 : 0;
			if (ran && (status !== 200 || cut)) {
				lost.push(`${body}: ${status}${cut ? ' cut' : ''}`);
			}
		}
		assert.deepEqual(lost, []);
		assert.ok(!areRefused || refused > 0, 'none was refused');
	},
);

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

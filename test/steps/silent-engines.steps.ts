/**
 * Steps for engines that fall silent and go on, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import type * as http from 'node:http';
import * as cucumber from '@cucumber/cucumber';
import type { EngineBehaviour } from '../stand-ins/platform-engine.js';
import { wholeStream } from '../stand-ins/platform-engine.js';
import { seen } from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import type { Answer } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Time in which requests reach their engines; also the first events of streams. */
const underWayMs = 350;

interface OpenRequest {
	call: string;
	body: string;
	answer: Promise<Answer>;
	/** Longest time without a byte after the head, in milliseconds; final once the answer has ended. */
	pause: { maxMs: number };
}

cucumber.Given(
	'a relay of {int} VMs with {int} engines whose streams send an event each {int} ms',
	async function (this: FleetWorld, vms: number, engines: number, ms: number) {
		const fixture = fixtureOf(this);
		await fixture.start(
			vms,
			Array.from({ length: engines }, (_, index) => `e${index}`),
		);
		for (const engine of fixture.engines.values()) {
			engine.eventIntervalMs = ms;
		}
		this.state.set('open requests', []);
	},
);

cucumber.Given(
	'each VM serves {int} {string} requests',
	async function (this: FleetWorld, count: number, call: string) {
		const fixture = fixtureOf(this);
		for (const vm of fixture.vms) {
			const sent = Array.from({ length: count }, () => fixture.open(call, '', { vm }).answer);
			const answers = await Promise.all(sent);
			assert.ok(answers.every(({ status, cut }) => status === 200 && !cut));
		}
	},
);

cucumber.When(
	/^(\d+) (?:more )?"(.*)" requests are under way at each VM$/,
	async function (this: FleetWorld, count: string, call: string) {
		const fixture = fixtureOf(this);
		const open = seen<OpenRequest[]>(this, 'open requests');
		for (const vm of fixture.vms) {
			for (let index = 0; index < Number(count); index++) {
				const body = call.startsWith('GET') ? '' : `${vm.address} ${open.length}`;
				const { req, answer } = fixture.open(call, body, { vm });
				open.push({ call, body, answer, pause: measurePause(req) });
			}
		}
		await new Promise((done) => setTimeout(done, underWayMs));
	},
);

cucumber.When(
	'{int} engines fall silent for {int} ms',
	function (this: FleetWorld, count: number, ms: number) {
		const engines = [...fixtureOf(this).engines.values()];
		for (const engine of engines.slice(0, count)) {
			engine.fallSilent(ms);
		}
	},
);

cucumber.When('engine {string} now {string}', function (this: FleetWorld, id: string, how: string) {
	engineOf(this, id).behaviour = how as EngineBehaviour;
});

cucumber.Then(
	'all these answers are whole',
	{ timeout: 20_000 },
	async function (this: FleetWorld) {
		const open = seen<OpenRequest[]>(this, 'open requests');
		const answers = await Promise.all(open.map(({ answer }) => answer));
		const failures = open.flatMap(({ call, body }, index) => {
			const { id, status, body: received, cut } = answers[index] as Answer;
			const target = call.split(' ')[1] ?? '';
			const whole = target.startsWith('/stream')
				? wholeStream(body)
				: `answer to ${body || target}`;
			const isWhole = status === 200 && !cut && received === whole;
			const seenByCaller = `${call}: ${status}${cut ? ' cut' : ''} ${JSON.stringify(received)}`;
			return isWhole ? [] : [`${seenByCaller}\n${listLogLines(this, id)}`];
		});
		const summary = `${failures.length} of ${open.length} are not whole: ${failures.slice(0, 2)}`;
		assert.equal(failures.length, 0, summary);
	},
);

cucumber.Then('no stream paused for more than {int} ms', function (this: FleetWorld, ms: number) {
	const pauses = seen<OpenRequest[]>(this, 'open requests').map(({ pause }) => pause.maxMs);
	assert.ok(Math.max(...pauses) <= ms, `paused for ${Math.round(Math.max(...pauses))} ms`);
});

/** What VMs logged of a request. */
function listLogLines(world: FleetWorld, id: string): string {
	const lines = fixtureOf(world).vms.flatMap(({ output }) => output.split('\n'));
	return lines.filter((line) => line.includes(`request=${id} `)).join('\n');
}

function measurePause(req: http.ClientRequest): { maxMs: number } {
	const pause = { maxMs: 0 };
	req.on('response', (res) => {
		let lastAt = performance.now();
		res.on('data', () => {
			const now = performance.now();
			pause.maxMs = Math.max(pause.maxMs, now - lastAt);
			lastAt = now;
		});
	});
	return pause;
}

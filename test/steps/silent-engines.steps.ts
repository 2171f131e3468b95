/**
 * Steps for engines that fall silent and go on, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import type * as http from 'node:http';
import * as cucumber from '@cucumber/cucumber';
import type { EngineBehaviour } from '../stand-ins/platform-engine.js';
import { PlatformEngineStandIn, wholeStream } from '../stand-ins/platform-engine.js';
import { seen } from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import type { Answer } from './relay-world.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Time in which requests reach their engines; also the first events of streams. */
const underWayMs = 350;
/** Callers wait as long as the routes of streams allow, in milliseconds. */
const headers = { 'slategauge-deadline-ms': '6000' };
/** Retry budget of the fixture: share of the requests, and extra retries of the fleet in its window of 10 s. */
const retryRatio = 0.2;
const retryExtra = 20;

interface OpenRequest {
	call: string;
	body: string;
	req: http.ClientRequest;
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
				const { req, answer } = fixture.open(call, body, { vm, headers });
				open.push({ call, body, req, answer, pause: measurePause(req) });
			}
		}
		await new Promise((done) => setTimeout(done, underWayMs));
	},
);

cucumber.When(
	'{int} engines fall silent for {int} ms',
	async function (this: FleetWorld, count: number, ms: number) {
		await untilUnderWay(this);
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

cucumber.When(
	'engines fall silent for {string} ms',
	async function (this: FleetWorld, times: string) {
		await untilUnderWay(this);
		const engines = [...fixtureOf(this).engines.values()];
		for (const [index, ms] of times.split(', ').entries()) {
			engines[index]?.fallSilent(Number(ms));
		}
	},
);

cucumber.When('1 engine ends', function (this: FleetWorld) {
	const [engine] = fixtureOf(this).engines.values();
	engine?.stop();
});

cucumber.When(
	'one engine after the other leaves and a new one takes its place, each {int} ms',
	async function (this: FleetWorld, ms: number) {
		const fixture = fixtureOf(this);
		for (const engine of [...fixture.engines.values()]) {
			const next = new PlatformEngineStandIn(`new-${engine.id}`);
			next.eventIntervalMs = engine.eventIntervalMs;
			fixture.engines.set(next.id, next);
			await fixture.register(next, await next.start());
			engine.isDraining = true;
			await fixture.register(engine, fixture.addressOf(engine), 'draining');
			await new Promise((done) => setTimeout(done, ms));
		}
	},
);

/** A configuration as written to the store; only what the changes read. */
interface StoredConfiguration {
	version: number;
	routes: Record<string, unknown>[];
	services: Record<string, unknown>[];
}

const otherService = 'another-pool';
const weights = [
	{ service: 'pool', weight: 1 },
	{ service: otherService, weight: 9 },
];

/** Each returns the members of the configuration that change. */
const configurationChanges: Record<string, (from: StoredConfiguration) => object> = {
	'an idle time of 200 ms': () => ({ limits: { 'idle-timeout-ms': 200 } }),
	'timeouts of 900 ms': ({ routes }) => ({
		routes: routes.map((route) => ({ ...route, 'timeout-ms': 900 })),
	}),
	'weights over two services': ({ routes, services }) => ({
		routes: routes.map((route) => ({ ...route, 'traffic-split': weights })),
		services: [...services, { ...services[0], name: otherService }],
	}),
	'routes to another service': ({ routes, services }) => ({
		routes: routes.map((route) => ({ ...route, service: otherService })),
		services: services.map((service) => ({ ...service, name: otherService })),
	}),
	'other keys': () => ({ tenants: [{ name: 'station', 'api-keys': ['another-key'] }] }),
};

cucumber.When(
	/^the configuration has (.*) from now on$/,
	function (this: FleetWorld, change: string) {
		const { store } = fixtureOf(this);
		const { items } = store.createSnapshot();
		const text = Buffer.from(items.get('op/config')?.value ?? '', 'base64').toString();
		const from: StoredConfiguration = JSON.parse(text);
		const changed = configurationChanges[change]?.(from);
		assert.ok(changed, `no such change: ${change}`);
		store.put('op/config', { ...from, ...changed, version: from.version + 1 });
	},
);

cucumber.When('all VMs get settings with other bounds', async function (this: FleetWorld) {
	for (const vm of fixtureOf(this).vms) {
		const settings = JSON.parse(await fs.readFile(vm.file, 'utf8'));
		const bounds = { 'grace-s': 4, 'retry-ratio': 0.1, 'retry-extra': 2, 'contact-ms': 2500 };
		await fs.writeFile(vm.file, JSON.stringify({ ...settings, bounds }));
		vm.process.kill('SIGHUP');
	}
});

cucumber.When('VM {int} is told to stop', function (this: FleetWorld, vm: number) {
	fixtureOf(this).vms[vm - 1]?.process.kill('SIGTERM');
});

cucumber.When('all these callers leave', function (this: FleetWorld) {
	for (const { req } of seen<OpenRequest[]>(this, 'open requests')) {
		req.destroy();
	}
});

cucumber.Then(
	'no engine works on these requests after {int} ms',
	async function (this: FleetWorld, ms: number) {
		const received = [...fixtureOf(this).engines.values()].flatMap(
			({ receivedRequests }) => receivedRequests,
		);
		await until(() => received.every(({ hasCallerLeft }) => hasCallerLeft), ms);
	},
);

cucumber.Then('each of these requests reached one engine', function (this: FleetWorld) {
	const counts = countReached(this);
	assert.deepEqual([...new Set(counts)], [1]);
});

cucumber.Then('some of these requests reached two engines', function (this: FleetWorld) {
	assert.ok(countReached(this).includes(2), 'none reached two engines');
});

cucumber.Then(
	'no more of these requests were repeated than the retry budget allows',
	function (this: FleetWorld) {
		const counts = countReached(this);
		const repeats = counts.reduce((sum, count) => sum + count - 1, 0);
		const allowed = retryRatio * counts.length + retryExtra;
		assert.ok(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
	},
);

/** Waits until engines have all requests, which a busy machine may delay. */
async function untilUnderWay(world: FleetWorld): Promise<void> {
	const bodies = seen<OpenRequest[]>(world, 'open requests').map(({ body }) => body);
	await until(() => bodies.every((body) => fixtureOf(world).countReached(body) > 0));
}

/** @returns what VMs logged of a request */
function listLogLines(world: FleetWorld, id: string): string {
	const lines = fixtureOf(world).vms.flatMap(({ output }) => output.split('\n'));
	return lines.filter((line) => line.includes(`request=${id} `)).join('\n');
}

/** @returns for each open request how many engines received it */
function countReached(world: FleetWorld): number[] {
	const open = seen<OpenRequest[]>(world, 'open requests');
	return open.map(({ body }) => fixtureOf(world).countReached(body));
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

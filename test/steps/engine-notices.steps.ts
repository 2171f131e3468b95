/**
 * Steps about what engines say of themselves in the heads of their answers: that they leave, that they want rest.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
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

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

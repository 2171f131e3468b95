/**
 * Steps that inject failures of the platform, endpoints and daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { sleep, stopProcess } from '../../bench/fleet.js';
import type { EngineStats } from '../stand-ins/engine.js';
import { post } from './callers.steps.js';
import type { FleetWorld } from './world.js';

cucumber.Given('the key-value service loses its next reply', async function (this: FleetWorld) {
	await this.runningFleet.setFaults(this.runningFleet.platform, { loseReplies: 1 });
});

cucumber.Given('the key-value service is down', async function (this: FleetWorld) {
	await this.runningFleet.setFaults(this.runningFleet.platform, { down: true });
});

cucumber.Given(
	'the key-value service takes {int} ms for each call',
	async function (this: FleetWorld, delayMs: number) {
		await this.runningFleet.setFaults(this.runningFleet.platform, { delayMs });
	},
);

cucumber.When(
	'newsroom posts {string} with key {string} through daemon 1 and disconnects during the claim',
	async function (this: FleetWorld, id: string, key: string) {
		const { platform } = this.runningFleet;
		const writes = async () =>
			(await this.runningFleet.fetchStats<{ writes: number }>(platform)).writes;
		const before = await writes();
		const caller = new AbortController();
		const left = post(this, 0, 'newsroom', id, key, caller.signal).catch(() => undefined);
		while ((await writes()) === before) {
			await sleep(10);
		}
		caller.abort();
		await left;
		await sleep(1000);
	},
);

cucumber.Given('the portal closes connections after the effect', async function (this: FleetWorld) {
	await this.runningFleet.setFaults(this.runningFleet.services[0], { cutAfterEffect: true });
});

cucumber.Given('the portal is killed', async function (this: FleetWorld) {
	const [portal] = this.runningFleet.services;
	assert.ok(portal);
	await stopProcess(portal);
});

cucumber.Given(
	'engine {int} breaks its streams after {int} tokens',
	async function (this: FleetWorld, engine: number, tokens: number) {
		await this.runningFleet.setFaults(this.runningFleet.engines[engine - 1], {
			cutAfterTokens: tokens,
		});
	},
);

cucumber.Given(
	'engine {int} ends its streams cleanly after {int} tokens',
	async function (this: FleetWorld, engine: number, tokens: number) {
		const faults = { cutAfterTokens: tokens, endsCleanly: true };
		await this.runningFleet.setFaults(this.runningFleet.engines[engine - 1], faults);
	},
);

cucumber.When(
	'{word} posts {string} to the portal',
	async function (this: FleetWorld, customer: string, id: string) {
		this.state.set('post', await post(this, 0, customer, id));
	},
);

cucumber.When(
	'{word} posts {string} with key {string} through every daemon at once',
	async function (this: FleetWorld, customer: string, id: string, key: string) {
		await this.runningFleet.setFaults(this.runningFleet.services[0], { delayMs: 200 });
		const posts = this.runningFleet.daemons.map((_daemon, index) =>
			post(this, index, customer, id, key),
		);
		this.state.set('posts', await Promise.all(posts));
	},
);

cucumber.Then('every post is complete', function (this: FleetWorld) {
	for (const one of this.state.get('posts') as { status: number; outcome: string }[]) {
		assert.deepEqual(one, { status: 200, outcome: 'complete' });
	}
});

cucumber.When(
	'newsroom posts {string} with key {string} and daemon 1 is killed after the effect',
	async function (this: FleetWorld, id: string, key: string) {
		await this.runningFleet.setFaults(this.runningFleet.services[0], { delayMs: 60_000 });
		const lost = post(this, 0, 'newsroom', id, key).catch(() => undefined);
		await waitForEffect(this, id);
		await stopProcess(this.runningFleet.daemons[0] as never);
		await lost;
		const isDead = (member: { state: string }) => member.state === 'dead';
		const survivor = this.runningFleet.createControlClient(1);
		while (!(await survivor.status.query()).members.some(isDead)) {
			await sleep(100);
		}
	},
);

cucumber.When(
	'newsroom posts {string} with key {string} through daemon 1 and disconnects',
	async function (this: FleetWorld, id: string, key: string) {
		await this.runningFleet.setFaults(this.runningFleet.services[0], { delayMs: 1500 });
		const caller = new AbortController();
		const left = post(this, 0, 'newsroom', id, key, caller.signal).catch(() => undefined);
		await waitForEffect(this, id);
		caller.abort();
		await left;
	},
);

cucumber.When(
	'newsroom retries {string} with key {string} through daemon 2',
	async function (this: FleetWorld, id: string, key: string) {
		this.state.set('post', await post(this, 1, 'newsroom', id, key));
	},
);

/** Waits until the portal has recorded the effect. */
async function waitForEffect(world: FleetWorld, id: string): Promise<void> {
	const [portal] = world.runningFleet.services;
	while (!(await world.runningFleet.fetchStats<Record<string, number>>(portal, '/effects'))[id]) {
		await sleep(20);
	}
}

cucumber.When(
	'daemon {int} is killed and started again',
	async function (this: FleetWorld, daemon: number) {
		const proc = this.runningFleet.daemons[daemon - 1];
		assert.ok(proc);
		await stopProcess(proc);
		await this.runningFleet.startDaemon(daemon - 1);
	},
);

cucumber.When('daemon {int} is frozen', function (this: FleetWorld, daemon: number) {
	this.runningFleet.daemons[daemon - 1]?.child.kill('SIGSTOP');
});

cucumber.When('daemon {int} is thawed', function (this: FleetWorld, daemon: number) {
	this.runningFleet.daemons[daemon - 1]?.child.kill('SIGCONT');
});

cucumber.When(
	'daemon {int} is cut off from its peers',
	async function (this: FleetWorld, daemon: number) {
		const names = this.runningFleet.daemons.map((proc) => proc.name);
		const cutOff = names[daemon - 1] ?? '';
		for (const [index, name] of names.entries()) {
			const peers = name === cutOff ? names.filter((other) => other !== name) : [cutOff];
			await this.runningFleet.createControlClient(index).cutPeers.mutate({ peers });
		}
		const isDead = (member: { state: string }) => member.state === 'dead';
		await this.runningFleet.waitForStatus((status) => status.members.some(isDead));
	},
);

cucumber.When(
	'engine {int} reports that it is leaving and {int} seconds pass',
	async function (this: FleetWorld, engine: number, seconds: number) {
		await this.runningFleet.setFaults(this.runningFleet.engines[engine - 1], { leaving: true });
		await sleep(seconds * 1000);
	},
);

cucumber.Then(
	'engine {int} received no requests',
	async function (this: FleetWorld, engine: number) {
		const stats = await this.runningFleet.fetchStats<EngineStats>(
			this.runningFleet.engines[engine - 1],
		);
		assert.deepEqual(stats.runs, {});
		assert.equal(stats.refused, 0);
	},
);

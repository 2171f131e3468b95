/**
 * Steps for requests that come at the end of a planned stop, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { streamAcceptanceMs } from '../../src/daemon/relay/graceful-shutdown.js';
import { seen } from './relay-fakes.js';
import { fixtureOf } from './relay-fixture.js';
import type { Answer } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Time that engines take, so that a request is open as the process ends. */
const answerMs = 60;
/** When the first request reaches the first VM, before that VM looks for open requests; each VM gets its own a little later. */
const leadMs = 10;
const staggerMs = 3;
/** Requests to each VM, one each millisecond. */
const requestCount = 20;

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

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

/**
 * Steps about parts of prompts that crash the engines that answer them, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { encodeTraitKey, toPromptPart } from '../../src/core/quarantine/traits.js';
import { partsOf } from '../stand-ins/platform-engine.js';
import { seen } from './relay-fakes.js';
import { fixtureOf } from './relay-fixture.js';
import type { Answer, RelayFixture, Vm } from './relay-world.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** From a crash to the end of the engine's registration, in milliseconds. */
const registrationExpiryMs = 1200;
/** Interval between the events of a stream. */
const eventIntervalMs = 40;
/** When a VM is killed, and how long it is away. */
const killedAtMs = 1500;
const awayMs = 500;
/** Interval between crashes that no prompt causes. */
const crashIntervalMs = 600;
const quarantineText = /crashed/;

interface SoundPrompt {
	/** Milliseconds since the load began. */
	sentAt: number;
	answer: Promise<Answer>;
}

interface PromptLoad {
	calls: readonly string[];
	parts: readonly string[];
	perS: number;
	s: number;
}

cucumber.Given(
	'a relay of {int} VMs with {int} engines that crash on {string} and are back after {int} ms',
	async function (this: FleetWorld, vms: number, engines: number, parts: string, ms: number) {
		const fixture = fixtureOf(this);
		const ids = Array.from({ length: engines }, (_, index) => `e${index}`);
		await fixture.start(vms, ids);
		for (const engine of fixture.engines.values()) {
			engine.eventIntervalMs = eventIntervalMs;
		}
		crashOnParts(this, parts, ms);
	},
);

cucumber.Given(
	'these engines crash on {string} and are back after {int} ms',
	function (this: FleetWorld, parts: string, ms: number) {
		crashOnParts(this, parts, ms);
	},
);

function crashOnParts(world: FleetWorld, parts: string, backMs: number): void {
	const deadly = parts.split(', ');
	fixtureOf(world).crashOn({ parts: deadly }, registrationExpiryMs, backMs);
	world.state.set('deadly parts', deadly);
}

cucumber.When('the engines no longer crash on {string}', function (this: FleetWorld, _: string) {
	for (const engine of fixtureOf(this).engines.values()) {
		engine.crashParts = [];
	}
});

cucumber.When(
	'the store holds the quarantine of part {string} as lifted and the VMs reload their settings',
	async function (this: FleetWorld, part: string) {
		const fixture = fixtureOf(this);
		const key = `quarantine/${encodeTraitKey(toPromptPart(part))}`;
		await until(() => fixture.store.keys('quarantine/').includes(key));
		fixture.store.put(key, 'lifted');
		for (const vm of fixture.vms) {
			vm.process.kill('SIGHUP');
		}
	},
);

cucumber.Then(
	/^a prompt with parts "(.*)" is (refused|served) by each VM$/,
	async function (this: FleetWorld, parts: string, result: string) {
		const fixture = fixtureOf(this);
		const ids = [...parts.split(', '), 'own'];
		const headers = { 'slategauge-prefix-hash': ids.map((id) => `${id}:100`).join(',') };
		const status = result === 'served' ? 200 : 503;
		for (const vm of fixture.vms) {
			await until(async () => {
				const answer = await fixture.open('POST /stream/resumed/', '', { vm, headers }).answer;
				return answer.status === status;
			});
		}
	},
);

cucumber.When(
	/^prompts "(.*)" arrive at "(.*)" (\d+) times a second, and (\d+) a second with other parts than "(.*)", for (\d+) s(, and a VM is killed and started again)?$/,
	{ timeout: 60_000 },
	async function (
		this: FleetWorld,
		prompt: string,
		calls: string,
		perS: string,
		otherPerS: string,
		deadly: string,
		s: string,
		isKilled?: string,
	) {
		const fixture = fixtureOf(this);
		const parts = prompt.split(', ');
		const common = { calls: calls.split(', '), parts, s: Number(s) };
		const replaced = deadly.split(', ');
		const restart = isKilled ? restartVm(fixture, fixture.vms[1] as Vm) : Promise.resolve();
		const crashing = Promise.all(
			replaced.map((part) =>
				send(fixture, { ...common, perS: Number(perS) }, () =>
					parts.map((id) => (id === replaced[0] ? part : id)),
				),
			),
		);
		const sound = await send(fixture, { ...common, perS: Number(otherPerS) }, (index) =>
			parts.map((id) => (replaced.includes(id) ? `other-${index % 3}` : id)),
		);
		this.state.set('sound prompts', sound);
		await Promise.all([crashing, restart]);
	},
);

cucumber.When(
	'{int} prompts {string} a second arrive at {string} for {int} s, and {int} engines crash one after the other',
	{ timeout: 60_000 },
	async function (
		this: FleetWorld,
		perS: number,
		prompt: string,
		call: string,
		s: number,
		crashes: number,
	) {
		const fixture = fixtureOf(this);
		const parts = prompt.split(', ');
		const crashed = [...fixture.engines.values()].slice(0, crashes);
		const crashAll = async () => {
			for (const engine of crashed) {
				await new Promise((done) => setTimeout(done, crashIntervalMs));
				engine.stop();
				engine.onCrash?.();
			}
		};
		const [sound] = await Promise.all([
			send(fixture, { calls: [call], parts, perS, s }, () => parts),
			crashAll(),
		]);
		this.state.set('sound prompts', sound);
	},
);

/** Sends prompts at a steady rate to the VMs in turn, each with a body and a last part of its own. */
async function send(
	fixture: RelayFixture,
	{ calls, perS, s }: PromptLoad,
	partsAt: (index: number) => readonly string[],
): Promise<SoundPrompt[]> {
	const startedAt = performance.now();
	const prompts: SoundPrompt[] = [];
	for (let index = 0; index < perS * s; index++) {
		const sentAt = (index * 1000) / perS;
		const waitMs = startedAt + sentAt - performance.now();
		await new Promise((done) => setTimeout(done, Math.max(0, waitMs)));
		const call = calls[index % calls.length] as string;
		const vm = fixture.vms[index % fixture.vms.length] as Vm;
		const own = `${partsAt(index)[0]}-${perS}-${index}`;
		const ids = [...partsAt(index), `own-${own}`];
		const headers = { 'slategauge-prefix-hash': ids.map((id) => `${id}:100`).join(',') };
		prompts.push({ sentAt, answer: fixture.open(call, own, { vm, headers }).answer });
	}
	await Promise.all(prompts.map(({ answer }) => answer));
	return prompts;
}

async function restartVm(fixture: RelayFixture, vm: Vm): Promise<void> {
	await new Promise((done) => setTimeout(done, killedAtMs));
	vm.process.kill('SIGKILL');
	await vm.ended;
	await new Promise((done) => setTimeout(done, awayMs));
	const index = fixture.vms.indexOf(vm);
	const next = await fixture.startVm(vm.address, `vm-${index + 1}`, vm.ports);
	fixture.vms[index] = next;
	await until(() => fixture.isReady(next));
}

/** Monotonic times at which prompts with the deadly parts reached engines. */
function reachedAt(world: FleetWorld): number[] {
	const deadly = seen<string[]>(world, 'deadly parts');
	const received = [...fixtureOf(world).engines.values()].flatMap((e) => e.receivedRequests);
	const crashing = received.filter((req) => partsOf(req).some((part) => deadly.includes(part)));
	return crashing.map(({ at }) => at);
}

cucumber.Then('at most {int} engines crash', function (this: FleetWorld, max: number) {
	const { length } = fixtureOf(this).crashTimes;
	assert.ok(length <= max, `${length} crashed`);
});

cucumber.Then(
	'none of these prompts reaches an engine later than {int} ms after the fifth crash',
	function (this: FleetWorld, ms: number) {
		const { crashTimes } = fixtureOf(this);
		assert.ok(crashTimes.length > 0);
		const fifth = crashTimes[Math.min(4, crashTimes.length - 1)] as number;
		const late = reachedAt(this).filter((at) => at > fifth + ms);
		assert.equal(late.length, 0, `${late.length} of ${reachedAt(this).length}`);
	},
);

cucumber.Then(
	'at least {int} % of the other prompts from second {int} on are served',
	async function (this: FleetWorld, percent: number, s: number) {
		const prompts = seen<SoundPrompt[]>(this, 'sound prompts');
		const answers = await Promise.all(
			prompts.filter(({ sentAt }) => sentAt >= s * 1000).map(({ answer }) => answer),
		);
		const served = answers.filter(({ status, cut }) => status === 200 && !cut).length;
		const detail = `${served} of ${answers.length} served`;
		assert.ok(served * 100 >= answers.length * percent, detail);
	},
);

cucumber.Then(
	'at most {int} in {int} of the other prompts is refused for what it shares',
	async function (this: FleetWorld, max: number, total: number) {
		const prompts = seen<SoundPrompt[]>(this, 'sound prompts');
		const answers = await Promise.all(prompts.map(({ answer }) => answer));
		const refused = answers.filter(
			({ status, body }) => status === 503 && quarantineText.test(body),
		);
		assert.ok(refused.length * total <= answers.length * max, `${refused.length} refused`);
	},
);

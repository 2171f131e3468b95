/**
 * Steps with several concurrent streams and a fault while they run.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import OpenAI from 'openai';
import { customerApiKey, stopProcess } from '../../bench/fleet.js';
import { wholeAnswer } from '../stand-ins/engine-text.js';
import type { FleetWorld } from './world.js';

interface Answer {
	prompt: string;
	text: string;
	error?: string;
}

/** Injects a fault once every stream has begun. */
type Fault = () => void | Promise<void>;

cucumber.Given(
	'a fleet of {int} daemon(s) and {int} engines with a stall timeout of {int} ms',
	async function (this: FleetWorld, daemons: number, engines: number, stallMs: number) {
		const settings = () => `[limits]\nstall_ms = ${stallMs}`;
		const stalling = Array.from({ length: engines }, () => ({}));
		await this.start(daemons, stalling, 1, { settings });
	},
);

async function stream(
	world: FleetWorld,
	index: number,
	tokens: number,
	begun: () => void,
): Promise<Answer> {
	const prompt = `stream ${index} len=${tokens}`;
	const answer: Answer = { prompt, text: '' };
	const urls = world.runningFleet.daemonUrls;
	const client = new OpenAI({
		baseURL: `${urls[index % urls.length]}/v1`,
		apiKey: customerApiKey('listener-app'),
		maxRetries: 0,
	});
	try {
		const chunks = await client.chat.completions.create({
			model: 'station-1',
			messages: [{ role: 'user', content: prompt }],
			stream: true,
		});
		for await (const chunk of chunks) {
			answer.text += chunk.choices[0]?.delta.content ?? '';
			begun();
		}
	} catch (err) {
		answer.error = (err as Error).message;
		begun();
	}
	return answer;
}

async function streamAll(
	world: FleetWorld,
	callers: number,
	tokens: number,
	fault: Fault,
): Promise<void> {
	let waiting = callers;
	const faulted = new Promise<void>((done, failed) => {
		const seen = new Set<number>();
		const begun = (index: number) => {
			if (!seen.has(index)) {
				seen.add(index);
				waiting--;
				if (waiting === 0) {
					Promise.resolve(fault()).then(done, failed);
				}
			}
		};
		const all = Array.from({ length: callers }, (_, index) =>
			stream(world, index, tokens, () => begun(index)),
		);
		world.state.set('streams', Promise.all(all));
	});
	await faulted;
	world.state.set('answers', await world.state.get('streams'));
}

cucumber.When(
	'{int} callers stream answers of {int} tokens',
	async function (this: FleetWorld, callers: number, tokens: number) {
		await streamAll(this, callers, tokens, () => {});
	},
);

cucumber.When(
	'{int} callers stream answers of {int} tokens and engine {int} is killed midway',
	async function (this: FleetWorld, callers: number, tokens: number, engine: number) {
		const proc = this.runningFleet.engines[engine - 1];
		assert.ok(proc);
		await streamAll(this, callers, tokens, () => stopProcess(proc));
	},
);

cucumber.When(
	'{int} callers stream answers of {int} tokens and engine {int} stalls midway',
	async function (this: FleetWorld, callers: number, tokens: number, engine: number) {
		const proc = this.runningFleet.engines[engine - 1];
		await streamAll(this, callers, tokens, () =>
			this.runningFleet.setFaults(proc, { stalled: true }),
		);
	},
);

cucumber.When(
	'{int} callers stream answers of {int} tokens and daemon {int} receives SIGTERM midway',
	async function (this: FleetWorld, callers: number, tokens: number, daemon: number) {
		const proc = this.runningFleet.daemons[daemon - 1];
		assert.ok(proc);
		await streamAll(this, callers, tokens, async () => {
			proc.child.kill('SIGTERM');
			while (!proc.lines.some((line) => line.includes('event=daemon.stopping'))) {
				await new Promise((wake) => setTimeout(wake, 5));
			}
			const res = await fetch(`http://127.0.0.1:${proc.port}/readyz`);
			this.state.set('ready while stopping', res.status);
		});
		if (proc.child.exitCode === null) {
			await new Promise((done) => proc.child.once('exit', done));
		}
		this.state.set('exit code', proc.child.exitCode);
	},
);

cucumber.When(
	'{int} callers stream answers of {int} tokens and the VM list marks VM {int} as leaving',
	async function (this: FleetWorld, callers: number, tokens: number, vm: number) {
		const proc = this.runningFleet.daemons[vm - 1];
		assert.ok(proc);
		await streamAll(this, callers, tokens, () => this.runningFleet.registerVm(proc, 'leaving'));
		const ready = `http://127.0.0.1:${proc.port}/readyz`;
		while ((await fetch(ready)).status === 200) {
			await new Promise((wake) => setTimeout(wake, 50));
		}
		this.state.set('ready while stopping', (await fetch(ready)).status);
	},
);

cucumber.Then('every answer is whole', function (this: FleetWorld) {
	for (const answer of this.state.get('answers') as Answer[]) {
		assert.equal(answer.error, undefined);
		assert.equal(answer.text, wholeAnswer(answer.prompt));
	}
});

cucumber.Then(
	'every answer is whole or ends with an error that says {string}',
	function (this: FleetWorld, _outcome: string) {
		for (const answer of this.state.get('answers') as Answer[]) {
			const whole = answer.text === wholeAnswer(answer.prompt);
			assert.ok(whole || answer.error?.includes('broke off'), JSON.stringify(answer));
		}
	},
);

cucumber.Then('no incomplete answer ended cleanly', function (this: FleetWorld) {
	const answers = this.state.get('answers') as Answer[];
	assert.ok(answers.some((answer) => answer.error !== undefined));
	for (const answer of answers) {
		const isPrefix = wholeAnswer(answer.prompt).startsWith(answer.text);
		assert.ok(isPrefix, 'the text is not a prefix of the answer');
		assert.ok(answer.error !== undefined || answer.text === wholeAnswer(answer.prompt));
	}
});

cucumber.Then(
	'daemon {int} ended with exit code {int}',
	function (this: FleetWorld, _daemon: number, code: number) {
		assert.equal(this.state.get('exit code'), code);
	},
);

cucumber.Then(
	'daemon {int} refused new requests while it was stopping',
	function (this: FleetWorld, _daemon: number) {
		assert.equal(this.state.get('ready while stopping'), 503);
	},
);

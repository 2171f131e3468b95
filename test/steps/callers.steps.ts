/**
 * Steps of callers that use the openai client or plain HTTP.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import OpenAI from 'openai';
import { customerApiKey } from '../../bench/fleet.js';
import { wholeAnswer } from '../stand-ins/engine-text.js';
import { writeThenRead } from './late-reader.js';
import type { FleetWorld } from './world.js';

cucumber.Given(
	'a fleet of {int} daemon(s) and {int} engine(s)',
	async function (this: FleetWorld, daemons: number, engines: number) {
		await this.start(
			daemons,
			Array.from({ length: engines }, () => ({})),
		);
	},
);

function client(world: FleetWorld, customer: string): OpenAI {
	const url = world.runningFleet.daemonUrls[0];
	return new OpenAI({ baseURL: `${url}/v1`, apiKey: customerApiKey(customer), maxRetries: 0 });
}

cucumber.When(
	'the openai client of {word} asks {string} as a stream',
	async function (this: FleetWorld, customer: string, prompt: string) {
		const stream = await client(this, customer).chat.completions.create({
			model: 'station-1',
			messages: [{ role: 'user', content: prompt }],
			stream: true,
		});
		let text = '';
		try {
			for await (const chunk of stream) {
				text += chunk.choices[0]?.delta.content ?? '';
			}
		} catch (err) {
			this.state.set('error', err);
		}
		this.state.set('answer', text);
	},
);

cucumber.When(
	'the openai client of {word} asks {string}',
	async function (this: FleetWorld, customer: string, prompt: string) {
		const answer = await client(this, customer).chat.completions.create({
			model: 'station-1',
			messages: [{ role: 'user', content: prompt }],
		});
		assert.equal(answer.choices[0]?.finish_reason, 'stop');
		this.state.set('answer', answer.choices[0]?.message.content);
	},
);

cucumber.When(
	'the openai client of {word} asks for model {word}',
	async function (this: FleetWorld, customer: string, model: string) {
		const call = client(this, customer).chat.completions.create({
			model,
			messages: [{ role: 'user', content: 'x' }],
		});
		this.state.set('error', await call.then(() => undefined).catch((err: unknown) => err));
	},
);

cucumber.Then('the answer is that of {string}', function (this: FleetWorld, prompt: string) {
	assert.equal(this.state.get('answer'), wholeAnswer(prompt));
});

cucumber.Then(
	'the error has status {int} and says {string}',
	function (this: FleetWorld, status: number, text: string) {
		const err = this.state.get('error') as InstanceType<typeof OpenAI.APIError>;
		assert.equal(err.status, status);
		assert.match(err.message, new RegExp(text));
	},
);

cucumber.When(
	'{word} posts {string} to the portal with key {string}',
	async function (this: FleetWorld, customer: string, id: string, key: string) {
		this.state.set('post', await post(this, 0, customer, id, key));
	},
);

/** Posts to the member-portal service through a daemon. */
export async function post(
	world: FleetWorld,
	daemon: number,
	customer: string,
	id: string,
	key?: string,
	signal?: AbortSignal,
): Promise<{ status: number; outcome: string | null }> {
	const headers: Record<string, string> = { authorization: `Bearer ${customerApiKey(customer)}` };
	if (key !== undefined) {
		headers['idempotency-key'] = key;
	}
	const res = await fetch(`${world.runningFleet.daemonUrls[daemon]}/services/member-portal/post`, {
		method: 'POST',
		signal,
		headers: { ...headers, 'x-slategauge-class': 'recap-post' },
		body: JSON.stringify({ id }),
	});
	await res.text();
	return { status: res.status, outcome: res.headers.get('x-slategauge-outcome') };
}

cucumber.Then(
	'the post has status {int} and outcome {string}',
	function (this: FleetWorld, status: number, outcome: string) {
		assert.deepEqual(this.state.get('post'), { status, outcome });
	},
);

cucumber.Then(
	'the portal counted {int} effect(s) of {string}',
	async function (this: FleetWorld, count: number, id: string) {
		const [service] = this.runningFleet.services;
		const effects = await this.runningFleet.fetchStats<Record<string, number>>(service, '/effects');
		assert.equal(effects[id] ?? 0, count);
	},
);

/** Sends a chat request by plain HTTP; resolves with status, error name and outcome. */
async function refusal(
	world: FleetWorld,
	body: string,
	headers: Record<string, string> = {},
): Promise<{ status: number; name: string; outcome: string | null }> {
	const res = await fetch(`${world.runningFleet.daemonUrls[0]}/v1/chat/completions`, {
		method: 'POST',
		headers: { authorization: `Bearer ${customerApiKey('listener-app')}`, ...headers },
		body,
	});
	const json = (await res.json()) as { error: { code: string } };
	const outcome = res.headers.get('x-slategauge-outcome');
	return { status: res.status, name: json.error.code, outcome };
}

cucumber.Then(
	'a request with a body of {int} bytes is refused with {int} and {string}',
	async function (this: FleetWorld, bytes: number, status: number, name: string) {
		const refused = await refusal(this, 'x'.repeat(bytes));
		assert.deepEqual(refused, { status, name, outcome: 'not-run' });
	},
);

cucumber.Then(
	'a request with a head of {int} bytes is refused with {int} and {string}',
	async function (this: FleetWorld, bytes: number, status: number, name: string) {
		const refused = await refusal(this, '{}', { 'x-filler': 'x'.repeat(bytes) });
		assert.deepEqual(refused, { status, name, outcome: 'not-run' });
	},
);

cucumber.Then(
	'a request with the body {string} is refused with {int} and {string}',
	async function (this: FleetWorld, body: string, status: number, name: string) {
		assert.deepEqual(await refusal(this, body), { status, name, outcome: 'not-run' });
	},
);

cucumber.Then(
	'a request with the class {string} is refused with {int} and {string}',
	async function (this: FleetWorld, cls: string, status: number, name: string) {
		const refused = await refusal(this, '{}', { 'x-slategauge-class': cls });
		assert.deepEqual(refused, { status, name, outcome: 'not-run' });
	},
);

cucumber.Then(
	'a caller that writes {int} bytes before it reads receives status {int}',
	async function (this: FleetWorld, bytes: number, status: number) {
		const url = new URL(this.runningFleet.daemonUrls[0] as string);
		const authorization = `authorization: Bearer ${customerApiKey('listener-app')}`;
		const head = ['POST /v1/chat/completions HTTP/1.1', `host: ${url.host}`, authorization];
		const answer = await writeThenRead(url, head, bytes);
		assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
	},
);

/**
 * Steps about error answers of engines on kept connections of callers, and about errors of the relay itself.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as cucumber from '@cucumber/cucumber';
import type { CallerResponse } from '../../src/core/relay/definitions.js';
import { RelayedRequest } from '../../src/core/relay/relayed-request.js';
import type { ErrorAnswer } from '../stand-ins/platform-engine.js';
import { errorBody, framings, wholeStream } from '../stand-ins/platform-engine.js';
import { seen, silentLog } from './relay-fakes.js';
import { fixtureOf } from './relay-fixture.js';
import type { Answer } from './relay-world.js';
import { contextOf, type RequestInFlight, termsOf } from './suspension.steps.js';
import type { FleetWorld } from './world.js';

/** Sizes of error answers in bytes: buffered by the relay, and too large for that. */
const errorSizes = [40, 300_000];
/** Time from an engine's crash until its registration ends, well before its requests time out. */
const registrationExpiryMs = 300;
/** Time in which bytes after the end of an answer would arrive. */
const quietMs = 30;

const expectations: Readonly<Record<string, (error: ErrorAnswer, call: string) => string>> = {
	"the engine's error": ({ requestBody, status, bytes }) =>
		`${status} ${errorBody(requestBody, bytes)}`,
	"another engine's answer": ({ requestBody }, call) => soundAnswer(requestBody, call),
	'an error of the relay': () => '502 the engine failed\n',
};

function soundAnswer(body: string, call: string): string {
	return `200 ${call.includes('/stream') ? wholeStream(body) : `answer to ${body}`}`;
}

function shorten(text: string): string {
	return text.length <= 200 ? text : `${text.slice(0, 200)}… (${text.length} characters)`;
}

function assertAnswer({ status, body, cut }: Answer, expected: string, name: string): void {
	const actual = `${status} ${body}${cut ? ' (cut)' : ''}`;
	assert.ok(actual === expected, `${name}: ${shorten(actual)} for ${shorten(expected)}`);
}

cucumber.Then(
	/^a (\d+) of an engine to "(.*)" reaches the caller as (.*)$/,
	{ timeout: 20_000 },
	async function (this: FleetWorld, status: string, call: string, expectation: string) {
		const fixture = fixtureOf(this);
		const expect = expectations[expectation];
		assert.ok(expect, expectation);
		for (const framing of Object.values(framings)) {
			for (const bytes of errorSizes) {
				const name = `${framing} ${bytes}`;
				const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
				const error = { requestBody: `bad ${name}`, status: Number(status), bytes, framing };
				const shared = { ...error, wasGiven: false };
				for (const engine of fixture.engines.values()) {
					engine.errorAnswer = shared;
				}
				const { req, answer } = fixture.open(call, error.requestBody, { agent });
				const first = await answer;
				assert.ok(shared.wasGiven, name);
				assertAnswer(first, expect(error, call), name);
				await assertQuiet(req, first, name);
				const next = await fixture.send(call, `next ${name}`, { agent });
				assertAnswer(next, soundAnswer(`next ${name}`, call), `after ${name}`);
				agent.destroy();
			}
		}
	},
);

/** Nothing follows an answer on a connection that is kept. */
async function assertQuiet(req: http.ClientRequest, answer: Answer, name: string): Promise<void> {
	const { socket } = req;
	const before = socket?.bytesRead;
	await new Promise((done) => setTimeout(done, quietMs));
	assert.equal(socket?.bytesRead, before, `${name}: bytes after the end of the answer`);
	if (answer.headers.connection !== 'close') {
		assert.ok(!socket?.destroyed, `${name}: the connection was not kept`);
	}
}

cucumber.Given(
	'each engine falls silent for good as it runs {string}',
	function (this: FleetWorld, body: string) {
		const { store, engines } = fixtureOf(this);
		for (const engine of engines.values()) {
			const onCrash = () =>
				setTimeout(() => store.remove(`servers/${engine.id}`), registrationExpiryMs);
			Object.assign(engine, { crashBody: body, crashesSilently: true, onCrash });
		}
	},
);

cucumber.When(
	'{string} with body {string} is sent to each VM, {int} ms after the one before',
	{ timeout: 20_000 },
	async function (this: FleetWorld, call: string, body: string, ms: number) {
		const fixture = fixtureOf(this);
		const answers: Promise<Answer>[] = [];
		for (const vm of fixture.vms) {
			answers.push(fixture.open(call, body, { vm }).answer);
			await new Promise((done) => setTimeout(done, ms));
		}
		fixture.answers = await Promise.all(answers);
	},
);

cucumber.Then(
	'each of them is answered with {int}, and no VM has ended',
	function (this: FleetWorld, status: number) {
		const fixture = fixtureOf(this);
		for (const vm of fixture.vms) {
			assert.equal(vm.process.exitCode, null, vm.errors);
		}
		assert.deepEqual(
			fixture.answers.map((answer) => answer.status),
			fixture.vms.map(() => status),
		);
	},
);

cucumber.Given(
	'two requests under way, and the answer of the first makes the relay throw',
	function (this: FleetWorld) {
		const inFlight: RequestInFlight = { calls: [], listeners: [], statuses: [] };
		const events: string[] = [];
		const ctx = contextOf(this, inFlight);
		ctx.log = { ...silentLog, error: (event) => events.push(event) };
		ctx.metrics.recordRequestDefect = () => events.push('counted');
		const ends = ['first', 'second'].map((id) => {
			const told: string[] = [];
			const res: CallerResponse = {
				writeHead: (status) => {
					if (id === 'first') {
						throw new Error('a defect');
					}
					told.push(String(status));
				},
				write: () => true,
				end: () => told.push('end'),
				abort: () => told.push('abort'),
				onDrain() {},
				onDisconnect() {},
			};
			const terms = termsOf(this, id, 1000);
			new RelayedRequest(ctx, terms, res, (outcome) => told.push(outcome)).start();
			return told;
		});
		for (const [index, listener] of inFlight.listeners.entries()) {
			const id = ['first', 'second'][index];
			listener.onSent();
			listener.onHead({ status: 200, id, isSigned: true, headers: [], notice: {} } as never);
			listener.onEnd();
		}
		this.state.set('ends', ends);
		this.state.set('events', events);
	},
);

cucumber.Then(
	'only the first is aborted, with a log line and a count',
	function (this: FleetWorld) {
		const [first, second] = seen<string[][]>(this, 'ends');
		assert.deepEqual([...new Set(first)], ['abort', 'unknown']);
		assert.deepEqual(second, ['200', 'end', 'complete']);
		assert.deepEqual(seen(this, 'events'), ['request.defect', 'counted']);
	},
);

/**
 * Steps about unusual answers of engines, and the bytes that callers on kept connections receive, with real daemons.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { RawEngineAnswer } from '../stand-ins/platform-engine.js';
import { wholeStream } from '../stand-ins/platform-engine.js';
import type { RawAnswer } from './raw-caller.js';
import { encodeRequest, RawCaller } from './raw-caller.js';
import { seen } from './relay-fakes.js';
import { engineOf, firstVm, fixtureOf } from './relay-fixture.js';
import type { Answer, RelayFixture } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Body of requests that get the unusual answer. */
const unusualBody = 'unusual';
const answerTimeoutMs = 4000;
/** Time in which requests reach their engines. */
const underWayMs = 150;
/** Time in which bytes after the end of an answer would arrive. */
const quietMs = 60;
/** Tries of a caller whose requests are refused. */
const maxTries = 5;
/** More than the relay buffers of an answer. */
const largeBytes = 600_000;

interface Sample extends Omit<RawEngineAnswer, 'requestBody'> {
	/** Status and body that the caller receives, and whether the answer is whole. */
	expected: string;
	/** The same where another engine answers in its place. */
	repeated?: string;
}

const whole = 'HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-length: 5\r\n\r\nwhole';
const half = 'x'.repeat(largeBytes / 2);
const otherAnswer = `200 answer to ${unusualBody}`;
const broken = '502 the engine broke off\n';

/** Answers by name. */
const samples: Readonly<Record<string, Sample>> = {
	'no content': {
		text: 'HTTP/1.1 204 No Content\r\nSIGNED\r\n\r\n',
		connection: 'keep',
		expected: '204 ',
	},
	'not modified': {
		text: 'HTTP/1.1 304 Not Modified\r\nSIGNED\r\netag: "x"\r\ncontent-length: 12\r\n\r\n',
		connection: 'keep',
		expected: '304 ',
	},
	'early hints': {
		text: `HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n${whole}`,
		connection: 'keep',
		expected: '200 whole',
	},
	trailers: {
		text: 'HTTP/1.1 200 OK\r\nSIGNED\r\ntrailer: x-sum\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nx-sum: 1\r\n\r\n',
		connection: 'keep',
		expected: '200 whole',
	},
	'a later version': {
		text: whole.replace('HTTP/1.1', 'HTTP/2.0'),
		connection: 'keep',
		expected: '200 whole',
	},
	'more than its length': { text: `${whole} and more`, connection: 'keep', expected: '200 whole' },
	'a length, then a reset': { text: whole, connection: 'reset', expected: '200 whole' },
	'an encoding': {
		text: 'HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-encoding: gzip\r\ncontent-length: 5\r\n\r\nwhole',
		connection: 'keep',
		expected: broken,
		repeated: otherAnswer,
	},
	'continue twice': {
		text: `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n${whole}`,
		connection: 'keep',
		expected: broken,
		repeated: otherAnswer,
	},
	'another protocol': {
		text: 'HTTP/1.1 101 Switching Protocols\r\nSIGNED\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nfoo',
		connection: 'keep',
		expected: broken,
		repeated: otherAnswer,
	},
	'half a small answer': {
		text: 'HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-length: 10\r\n\r\nwhole',
		connection: 'close',
		expected: broken,
		repeated: otherAnswer,
	},
	'half a large answer with a length': {
		text: `HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-length: ${largeBytes}\r\n\r\n${half}`,
		connection: 'reset',
		expected: '200 cut',
	},
	'half a large answer in chunks': {
		text: `HTTP/1.1 200 OK\r\nSIGNED\r\ntransfer-encoding: chunked\r\n\r\n${largeBytes.toString(16)}\r\n${half}`,
		connection: 'close',
		expected: '200 cut',
	},
	'half a large answer without a length': {
		text: `HTTP/1.1 200 OK\r\nSIGNED\r\n\r\n${half}`,
		connection: 'reset',
		expected: '200 cut',
	},
	'an error with more than its length': {
		text: 'HTTP/1.1 404 Not Found\r\nSIGNED\r\ncontent-length: 5\r\n\r\nwhole and more',
		connection: 'keep',
		expected: '404 whole',
	},
};

function describe({ status, body, isWhole }: RawAnswer): string {
	return isWhole ? `${status} ${body}` : `${status} cut`;
}

cucumber.Then(
	/^an answer of an engine to "(.*)" with (.*) reaches the caller (unchanged|or is repeated|cut)$/,
	async function (this: FleetWorld, call: string, name: string, _how: string) {
		await assertPassedOn(this, call, name);
	},
);

cucumber.Then(
	'answers of each form to {string} reach the caller as they do from its own VM',
	{ timeout: 60_000 },
	async function (this: FleetWorld, call: string) {
		for (const name of Object.keys(samples)) {
			await assertPassedOn(this, call, name);
		}
	},
);

/** A request that gets an unusual answer, and one behind it on the same connection, are answered as they should. */
async function assertPassedOn(world: FleetWorld, call: string, name: string): Promise<void> {
	const fixture = fixtureOf(world);
	const sample = samples[name];
	assert.ok(sample, name);
	const mayRepeat = call.includes('/plain/');
	const isAtOne = mayRepeat && sample.repeated !== undefined;
	for (const [index, engine] of [...fixture.engines.values()].entries()) {
		const isUnusual = index === 0 || !isAtOne;
		engine.rawAnswer = isUnusual ? { ...sample, requestBody: unusualBody } : undefined;
	}
	const allowed = [sample.expected, ...(mayRepeat ? [sample.repeated] : [])];
	const [method = '', target = ''] = call.split(' ');
	const caller = new RawCaller(firstVm(world));
	caller.write(encodeRequest({ method, target, id: `${name}-1`, body: unusualBody }));
	await caller.untilAnswered([method], answerTimeoutMs);
	await new Promise((done) => setTimeout(done, quietMs));
	const [answer] = caller.decode([method]);
	assert.ok(answer, `${name}: no answer`);
	const received = describe(answer);
	assert.ok(allowed.includes(received), `${name}: ${received.slice(0, 300)}`);
	if (!caller.hasEnded) {
		caller.write(encodeRequest({ method, target, id: `${name}-2`, body: 'next' }));
		const [, next] = await caller.untilAnswered([method, method], answerTimeoutMs);
		assert.equal(next && describe(next), '200 answer to next', name);
	}
	caller.close();
}

cucumber.Then(
	'a HEAD request to {string} is answered with the length alone, and the next one whole',
	async function (this: FleetWorld, target: string) {
		for (const framing of ['content-length: 5', 'transfer-encoding: chunked']) {
			for (const engine of fixtureOf(this).engines.values()) {
				const text = `HTTP/1.1 200 OK\r\nSIGNED\r\n${framing}\r\n\r\n`;
				engine.rawAnswer = { requestBody: '', text, connection: 'keep' };
			}
			const caller = new RawCaller(firstVm(this));
			caller.write(encodeRequest({ method: 'HEAD', target, id: `head ${framing}` }));
			await caller.untilAnswered(['HEAD'], answerTimeoutMs);
			await new Promise((done) => setTimeout(done, quietMs));
			const [answer] = caller.decode(['HEAD']);
			assert.equal(answer?.status, 200);
			caller.write(encodeRequest({ method: 'POST', target, id: `after ${framing}`, body: 'next' }));
			const answers = await caller.untilAnswered(['HEAD', 'POST'], answerTimeoutMs);
			assert.equal(answers[1] && describe(answers[1]), '200 answer to next');
			caller.close();
		}
	},
);

cucumber.Given(
	/^(?:all engines|engine "(\w+)") send(?:s)? (.*) of a stream and then (close|reset)s? the connection$/,
	function (this: FleetWorld, id: string | null, part: string, connection: 'close' | 'reset') {
		const event = 'id: 1\ndata: token 1 of stream\n\n';
		const parts: Readonly<Record<string, string>> = {
			'half of the first event': event.slice(0, 12),
			'the first event but its last byte': event.slice(0, -1),
			'an event and a half': `${event}id: 2\nda`,
		};
		const body = parts[part];
		assert.ok(body, part);
		const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
		const text = `HTTP/1.1 200 OK\r\nSIGNED\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`;
		for (const engine of fixtureOf(this).engines.values()) {
			if (id === null || engine.id === id) {
				engine.rawAnswer = { requestBody: 'stream', text, connection };
			}
		}
	},
);

cucumber.Then(
	/^each of (\d+) "(.*)" requests with the body "stream" is (whole|whole, or is told that it may have run|cut or told that it may have run)$/,
	async function (this: FleetWorld, count: string, call: string, expectation: string) {
		const fixture = fixtureOf(this);
		for (let index = 0; index < Number(count); index++) {
			const { status, body, cut } = await fixture.send(call, 'stream');
			const isWhole = status === 200 && !cut && body === wholeStream('stream');
			const isCut = status === 200 && cut && wholeStream('stream').startsWith(body);
			const isAllowed =
				expectation === 'whole'
					? isWhole
					: expectation.startsWith('whole')
						? isWhole || status === 502
						: isCut || status === 502;
			assert.ok(isAllowed, `${status}${cut ? ' cut' : ''} ${JSON.stringify(body)}`);
		}
	},
);

/** Statuses that tell a caller that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time in which a request that was refused might still run. */
const lateRunMs = 1500;

interface Unusual {
	lines?: readonly string[];
	body?: string;
	version?: string;
	/** Bytes of the request that are left out; the caller then stops writing. */
	missingBytes?: number;
	stopsWriting?: boolean;
}

/** Ways in which a caller sends a request. */
const unusualRequests: Readonly<Record<string, Unusual>> = {
	'waits to be told to continue': { lines: ['expect: 100-continue'] },
	'names a protocol to change to': { lines: ['connection: upgrade', 'upgrade: websocket'] },
	'names headers of its connection': {
		lines: ['connection: x-hop, keep-alive', 'x-hop: 1', 'keep-alive: timeout=5', 'te: trailers'],
	},
	'sends chunks with trailers': {
		lines: ['transfer-encoding: chunked', 'trailer: x-sum'],
		body: '4\r\nbody\r\n0\r\nx-sum: 1\r\n\r\n',
	},
	'speaks HTTP/1.0': { version: '1.0' },
	'ends its body early': { missingBytes: 2, stopsWriting: true },
	'leaves its body unfinished': { missingBytes: 2 },
	'stops writing behind its body': { stopsWriting: true },
};

cucumber.When(
	/^a caller that (.*) sends "(.*)"$/,
	async function (this: FleetWorld, how: string, call: string) {
		const unusual = unusualRequests[how];
		assert.ok(unusual, how);
		const [method = '', target = ''] = call.split(' ');
		const { missingBytes = 0, stopsWriting, ...request } = unusual;
		const text = encodeRequest({ method, target, id: 'unusual', body: 'body', ...request });
		const caller = new RawCaller(firstVm(this));
		const sent = text.slice(0, text.length - missingBytes);
		if (stopsWriting) {
			caller.socket.end(sent);
		} else {
			caller.write(sent);
		}
		const answers = await caller.untilAnswered([method], answerTimeoutMs / 2);
		await new Promise((done) => setTimeout(done, lateRunMs));
		this.state.set('raw answers', answers);
		this.state.set('was reset', caller.wasReset);
		caller.close();
	},
);

cucumber.Then(/^its connection was (reset|closed)$/, function (this: FleetWorld, how: string) {
	assert.equal(seen<boolean>(this, 'was reset') ? 'reset' : 'closed', how);
});

cucumber.Then('it is answered with {string}', function (this: FleetWorld, expected: string) {
	const [answer] = seen<RawAnswer[]>(this, 'raw answers');
	assert.equal(answer && describe(answer), expected);
});

cucumber.Then('it ran at most once, and not if it was told so', function (this: FleetWorld) {
	const [answer] = seen<RawAnswer[]>(this, 'raw answers');
	const engines = [...fixtureOf(this).engines.values()];
	const ran = engines.flatMap(({ receivedRequests }) => receivedRequests).length;
	assert.ok(ran <= 1, `ran ${ran} times`);
	assert.ok(
		!(answer && notRunStatuses.has(answer.status) && ran > 0),
		`${answer?.status}, and ran`,
	);
});

cucumber.Then('requests after it are served', async function (this: FleetWorld) {
	const answers = await Promise.all(
		Array.from({ length: 6 }, () => fixtureOf(this).open('POST /once/', 'next').answer),
	);
	assert.deepEqual(
		[...new Set(answers.map(({ status, body }) => `${status} ${body}`))],
		['200 answer to next'],
	);
});

cucumber.Given(
	'engine {string} holds the second half of errors of {int} bytes back for {int} ms',
	function (this: FleetWorld, id: string, bytes: number, pauseMs: number) {
		const body = 'e'.repeat(bytes);
		const text = `HTTP/1.1 500 Error\r\nSIGNED\r\ncontent-length: ${bytes}\r\n\r\n${body}`;
		const answer: RawEngineAnswer = { requestBody: unusualBody, text, pauseMs, connection: 'keep' };
		engineOf(this, id).rawAnswer = answer;
		this.state.set('error', body);
	},
);

cucumber.When(
	'{int} {string} requests are sent to each VM at once, each third of which that engine fails',
	async function (this: FleetWorld, count: number, call: string) {
		const fixture = fixtureOf(this);
		const sent = fixture.vms.flatMap((vm) =>
			Array.from({ length: count }, (_, index) => {
				const body = index % 3 === 0 ? unusualBody : `${vm.address} ${index}`;
				return fixture
					.open(call, body, { vm })
					.answer.then((answer) => ({ ...answer, sent: body }));
			}),
		);
		this.state.set('pairs', await Promise.all(sent));
	},
);

cucumber.Then(
	'each of them gets the answer of a sound engine, or that error whole',
	function (this: FleetWorld) {
		const error = seen<string>(this, 'error');
		const wrong = seen<(Answer & { sent: string })[]>(this, 'pairs').filter(
			({ status, body, cut, sent }) => {
				const isSound = status === 200 && !cut && body === `answer to ${sent}`;
				return !isSound && !(status === 500 && !cut && body === error && sent === unusualBody);
			},
		);
		const first = wrong.map(
			({ status, body, cut }) => `${status}${cut ? ' cut' : ''} ${body.slice(0, 60)}`,
		);
		assert.deepEqual(first, []);
	},
);

cucumber.When(
	'{int} {string} requests are sent to the first VM, and {int} of the engines fall silent for {int} ms',
	async function (this: FleetWorld, count: number, call: string, silent: number, ms: number) {
		const fixture = fixtureOf(this);
		const bodies = Array.from({ length: count }, (_, index) => `body ${index}`);
		const open = bodies.map((body) => sendUntilAccepted(fixture, call, body));
		await new Promise((done) => setTimeout(done, underWayMs));
		for (const engine of [...fixture.engines.values()].slice(0, silent)) {
			engine.fallSilent(ms);
		}
		const answers = await Promise.all(open);
		const expected = bodies.map((body) =>
			call.includes('/stream/') ? wholeStream(body) : `answer to ${body}`,
		);
		this.state.set('whole', { answers, expected });
	},
);

/** Sends a request again when it is refused, as the VMs that forward may be too busy, at the time that the refusal tells. */
async function sendUntilAccepted(
	fixture: RelayFixture,
	call: string,
	body: string,
): Promise<Answer> {
	for (let count = 1; ; count++) {
		const answer = await fixture.open(call, body).answer;
		if (answer.status !== 503 || count === maxTries) {
			return answer;
		}
		const retryAfterS = Number(answer.headers['retry-after']);
		await new Promise((done) => setTimeout(done, retryAfterS * 1000));
	}
}

cucumber.Then('each of them is whole', function (this: FleetWorld) {
	const { answers, expected } = seen<{ answers: Answer[]; expected: string[] }>(this, 'whole');
	assert.deepEqual(
		answers.map(({ status, body, cut }) => ({ status, body, cut })),
		expected.map((body) => ({ status: 200, body, cut: false })),
	);
});

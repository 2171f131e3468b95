/**
 * Steps about answers that engines break in any way, as real relay daemons pass them on.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as cucumber from '@cucumber/cucumber';
import { malformedAnswers } from '../stand-ins/malformed-answers.js';
import type { RawArrival, RawReply, ReplyChooser } from '../stand-ins/raw-engine.js';
import { RawEngine, soundBody } from '../stand-ins/raw-engine.js';
import type { RawAnswer } from './raw-caller.js';
import { encodeRequest, RawCaller } from './raw-caller.js';
import { seen } from './relay-fakes.js';
import { firstVm, fixtureOf } from './relay-fixture.js';
import type { Vm } from './relay-world.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** More than the buffers of the kernel take, so that a part of the upload is unwritten when its answer comes. */
const uploadBytes = 12_000_000;
const answerTimeoutMs = 8000;
/** Tries of a caller whose requests are refused. */
const maxTries = 20;
/** Requests before an answer without end, and the interval of those beside it. */
const warmUpCount = 20;
const otherIntervalMs = 50;
/** Time in which bytes after the end of an answer would arrive. */
const quietMs = 60;
/** Time for which a VM stands still before and behind the bytes of an engine. */
const standstillMs = 60;
/** Pause of a caller that reads slowly, after each part of an answer. */
const slowReadMs = 5;
/** Time in which engines have sent most of an answer that is read slowly. */
const slowAnswerMs = 300;
/** Marks requests whose first engine sends the bytes of the scenario. */
const marker = 'x-marked: 1';

const part = 'x'.repeat(20_000);
const event = 'id: 1\ndata: token 1\n\n';
/** A stream that went on at a sound engine behind the event of the first one. */
const resumed = '200 resumed';
const eventStream = 'content-type: text/event-stream';

/** Answers without a length, by name. */
const unframedAnswers: Readonly<Record<string, string>> = {
	'20 KB': `HTTP/1.1 200 OK\r\nSIGNED\r\n\r\n${part}`,
	'20 KB and Connection: close': `HTTP/1.1 200 OK\r\nSIGNED\r\nconnection: close\r\n\r\n${part}`,
	'20 KB in HTTP/1.0': `HTTP/1.0 200 OK\r\nSIGNED\r\n\r\n${part}`,
	'no byte': 'HTTP/1.1 200 OK\r\nSIGNED\r\n\r\n',
	'an event of a stream': `HTTP/1.1 200 OK\r\nSIGNED\r\n${eventStream}\r\n\r\n${event}`,
};

const chunkedHead = 'HTTP/1.1 200 OK\r\nSIGNED\r\ntransfer-encoding: chunked\r\n\r\n';
const manyBytes = 'x'.repeat(64 * 1024);

/** Replies without end, by name. */
const endlessReplies: Readonly<Record<string, Pick<RawReply, 'pieces' | 'endless'>>> = {
	'chunks of 5 bytes': { pieces: [chunkedHead], endless: '5\r\nabcde\r\n'.repeat(2000) },
	'chunks of 1 byte': { pieces: [chunkedHead], endless: '1\r\na\r\n'.repeat(2000) },
	'a body without a length': { pieces: ['HTTP/1.1 200 OK\r\nSIGNED\r\n\r\n'], endless: manyBytes },
	'large chunks': { pieces: [chunkedHead], endless: `10000\r\n${manyBytes}\r\n` },
	'a chunk extension': { pieces: [`${chunkedHead}5;`], endless: manyBytes },
	'a status line': { pieces: ['HTTP/1.1 200 '], endless: manyBytes },
	'the name of a field': { pieces: ['HTTP/1.1 200 OK\r\n'], endless: manyBytes },
	'fields of a head': { pieces: ['HTTP/1.1 200 OK\r\n'], endless: 'x-a: 1\r\n'.repeat(2000) },
	trailers: { pieces: [`${chunkedHead}0\r\n`], endless: 'x-a: 1\r\n'.repeat(2000) },
	'informational heads': { pieces: [''], endless: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500) },
	'heads that tell to continue': {
		pieces: [''],
		endless: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500),
	},
	'an event': {
		pieces: [`HTTP/1.1 200 OK\r\nSIGNED\r\n${eventStream}\r\n\r\ndata: `],
		endless: manyBytes,
	},
};

interface EndlessOutcome {
	/** Times that the requests took whose answers have no end, in milliseconds. */
	endless: number[];
	others: { status: number; tookMs: number }[];
	peakMb: number;
}

cucumber.Given('engines that send any bytes', function (this: FleetWorld) {
	const fixture = fixtureOf(this);
	fixture.requestLimits = { 'max-body-bytes': uploadBytes };
	fixture.createEngine = (id) => new RawEngine(id, (arrival) => replyChooserOf(this)?.(arrival));
});

function replyChooserOf(world: FleetWorld): ReplyChooser | undefined {
	return world.state.get('reply chooser') as ReplyChooser | undefined;
}

/** The first engine that a marked request reaches sends this reply; the others are sound. */
function replyOnce(world: FleetWorld, reply: RawReply): void {
	const arrivedIds = new Set<string>();
	world.state.set('arrived ids', arrivedIds);
	world.state.set('reply chooser', ({ id, head }: RawArrival) => {
		const isFirst = head.includes(marker) && !arrivedIds.has(id);
		arrivedIds.add(id);
		return isFirst ? reply : undefined;
	});
}

/** Sends a marked request on a connection of its own. */
async function sendMarked(
	world: FleetWorld,
	call: string,
	id: string,
	body: string,
): Promise<string> {
	const [method = '', target = ''] = call.split(' ');
	const caller = new RawCaller(firstVm(world));
	caller.write(encodeRequest({ method, target, id, body, lines: [marker] }));
	await caller.untilAnswered([method], answerTimeoutMs);
	await new Promise((done) => setTimeout(done, quietMs));
	const [answer] = caller.decode([method]);
	caller.close();
	return describe(answer, seen<Set<string>>(world, 'arrived ids').has(id));
}

cucumber.When(
	/^(\d+) "(.*)" uploads of 12 MB are answered early by (.*) without a length, and the connection is (reset at once|reset \d+ ms later|reset while the VM stands still|closed in order while the upload is read on|closed in order while the VM stands still)$/,
	{ timeout: 60_000 },
	async function (this: FleetWorld, count: string, call: string, name: string, end: string) {
		const text = unframedAnswers[name];
		assert.ok(text, name);
		const delay = /(\d+) ms/.exec(end)?.[1];
		const reply: RawReply = {
			pieces: [text],
			isEarly: true,
			readsOn: end.startsWith('closed'),
			connection: end.startsWith('closed') ? 'close' : 'reset',
			endDelayMs: delay === undefined ? undefined : Number(delay),
			...(end.endsWith('stands still') ? standstillOf(this) : undefined),
		};
		replyOnce(this, reply);
		const body = 'u'.repeat(uploadBytes);
		const answers: string[] = [];
		for (let index = 0; index < Number(count); index++) {
			answers.push(await sendMarked(this, call, `upload-${index}`, body));
		}
		this.state.set('call', call);
		this.state.set('answers', answers);
	},
);

/** Stops the VM while an engine sends its bytes and ends the connection, so that both are read together. */
function standstillOf(world: FleetWorld): Pick<RawReply, 'beforeSend' | 'afterEnd'> {
	const { process } = firstVm(world);
	const pause = () => new Promise<void>((done) => setTimeout(done, standstillMs));
	return {
		beforeSend: async () => {
			process.kill('SIGSTOP');
			await pause();
		},
		afterEnd: async () => {
			await pause();
			process.kill('SIGCONT');
		},
	};
}

cucumber.Then(
	'none of these answers is a part that looks whole',
	async function (this: FleetWorld) {
		const told = seen<string[]>(this, 'answers');
		const allowed = new Set([`200 ${soundBody}`, '200 cut', '502', '503 and not run', 'no answer']);
		if (seen<string>(this, 'call').includes('/resumed/')) {
			allowed.add(resumed);
		}
		assert.deepEqual(
			told.filter((answer) => !allowed.has(answer)),
			[],
		);
	},
);

cucumber.Then('each of these answers is the whole one of its engine', function (this: FleetWorld) {
	const told = seen<string[]>(this, 'answers');
	assert.deepEqual([...new Set(told)], [`200 ${part.length} bytes`]);
});

cucumber.When(
	/^(\d+) callers that read slowly send "(.*)", and an answer of (\d+) MB without a length is (closed in order|reset)$/,
	{ timeout: 60_000 },
	async function (this: FleetWorld, count: string, call: string, mb: string, end: string) {
		const isStream = call.includes('/stream/');
		const body = isStream ? longStream(Number(mb) * 1_000_000) : 'x'.repeat(Number(mb) * 1_000_000);
		const head = `HTTP/1.1 200 OK\r\nSIGNED${isStream ? `\r\n${eventStream}` : ''}\r\n\r\n`;
		replyOnce(this, {
			pieces: [`${head}${body}`],
			connection: end === 'reset' ? 'reset' : 'close',
			endDelayMs: end === 'reset' ? slowAnswerMs : undefined,
		});
		const answers = Array.from({ length: Number(count) }, (_, index) =>
			readSlowly(this, call, `slow-${index}`, body.length),
		);
		const told = (await Promise.all(answers)).map((answer) => {
			const isPart = answer?.isWhole && answer.body.length < body.length;
			return isPart ? 'a part that looks whole' : describe(answer, true);
		});
		this.state.set('call', call);
		this.state.set('answers', told);
		this.state.set('whole', `200 ${body.length} bytes`);
	},
);

async function readSlowly(
	world: FleetWorld,
	call: string,
	id: string,
	bytes: number,
): Promise<RawAnswer | undefined> {
	const [method = '', target = ''] = call.split(' ');
	const caller = new RawCaller(firstVm(world));
	const { socket } = caller;
	socket.on('data', () => {
		socket.pause();
		setTimeout(() => socket.resume(), slowReadMs);
	});
	caller.write(
		encodeRequest({ method, target, id, body: id, lines: [marker], deadlineMs: 30_000 }),
	);
	await until(() => caller.receivedBytes > bytes || caller.hasEnded, 4 * answerTimeoutMs);
	const [answer] = await caller.untilAnswered([method], answerTimeoutMs);
	caller.close();
	return answer;
}

/** A stream of at least this length. */
function longStream(bytes: number): string {
	const events: string[] = [];
	for (let length = 0, id = 1; length < bytes; id++) {
		const text = `id: ${id}\ndata: ${'t'.repeat(200)}\n\n`;
		events.push(text);
		length += text.length;
	}
	return events.join('');
}

cucumber.Then('each of them gets the whole answer', function (this: FleetWorld) {
	const told = seen<string[]>(this, 'answers');
	assert.deepEqual([...new Set(told)], [seen<string>(this, 'whole')]);
});

cucumber.Then('the VM has not ended', function (this: FleetWorld) {
	const { process, errors } = firstVm(this);
	assert.equal(process.exitCode, null, errors);
});

cucumber.Then(
	'no caller of {string} gets any part of a malformed answer',
	{ timeout: 120_000 },
	async function (this: FleetWorld, call: string) {
		const wrong: string[] = [];
		for (const [name, text] of malformedAnswers) {
			const middle = Math.floor(text.length / 3);
			replyOnce(this, {
				pieces: [text.slice(0, middle), text.slice(middle)],
				gapMs: 5,
				connection: 'close',
			});
			const told = await untilArrived(this, call, name);
			if (told !== '502' && told !== `200 ${soundBody}`) {
				wrong.push(`${name}: ${told}`);
			}
		}
		assert.deepEqual(wrong, []);
	},
);

/** Sends marked requests until one is not refused without having run, with sound ones between them, which bring engines back. */
async function untilArrived(world: FleetWorld, call: string, name: string): Promise<string> {
	for (let count = 1; ; count++) {
		const id = `${name.replaceAll(' ', '-')}-${count}`;
		// Contents of their own, as the same one that breaks off at several engines is quarantined.
		const told = await sendMarked(world, call, id, id);
		if (!told.endsWith('not run') || count === maxTries) {
			return told;
		}
		await fixtureOf(world).open(call, 'sound').answer;
	}
}

cucumber.When(
	/^(\d+) "(.*)" requests are answered by (.*) without end, and others are sent meanwhile$/,
	async function (this: FleetWorld, count: string, call: string, name: string) {
		const fixture = fixtureOf(this);
		const reply = endlessReplies[name];
		assert.ok(reply, name);
		this.state.set('reply chooser', ({ head }: RawArrival) =>
			head.includes(marker) ? { ...reply, connection: 'keep' } : undefined,
		);
		const send = async (body: string) => {
			const sentAt = performance.now();
			const { status } = await fixture.open(call, body).answer;
			return { status, tookMs: Math.round(performance.now() - sentAt) };
		};
		const warmUp = Array.from({ length: warmUpCount }, (_, index) => send(`first ${index}`));
		await Promise.all(warmUp);
		const endless = Array.from({ length: Number(count) }, (_, index) =>
			measureMarked(firstVm(this), call, `endless-${index}`),
		);
		let hasEnded = false;
		const ended = Promise.all(endless).finally(() => {
			hasEnded = true;
		});
		const others: ReturnType<typeof send>[] = [];
		let peakMb = 0;
		while (!hasEnded) {
			others.push(send(`other ${others.length}`));
			await new Promise((done) => setTimeout(done, otherIntervalMs));
			peakMb = Math.max(peakMb, await readMemoryMb(firstVm(this)));
		}
		const outcome: EndlessOutcome = {
			endless: await ended,
			others: await Promise.all(others),
			peakMb,
		};
		this.state.set('endless outcome', outcome);
	},
);

/**
 * Sends a marked request on a connection of its own, and drops what comes, since collecting it would keep this process busy.
 * @returns the time until the connection has ended, in milliseconds
 */
async function measureMarked(vm: Vm, call: string, id: string): Promise<number> {
	const [method = '', target = ''] = call.split(' ');
	const sentAt = performance.now();
	const { socket } = new RawCaller(vm);
	socket.removeAllListeners('data').resume();
	socket.write(
		encodeRequest({ method, target, id, body: id, lines: [marker, 'connection: close'] }),
	);
	await new Promise((done) => socket.once('end', done).once('close', done));
	socket.destroy();
	return Math.round(performance.now() - sentAt);
}

async function readMemoryMb({ process }: Vm): Promise<number> {
	const status = await fs.readFile(`/proc/${process.pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1024;
}

cucumber.Then(
	'these end within {int} ms, the others are answered within {int} ms, and the VM stays within its memory',
	function (this: FleetWorld, endMs: number, otherMs: number) {
		const { endless, others, peakMb } = seen<EndlessOutcome>(this, 'endless outcome');
		const late = {
			endless: endless.filter((tookMs) => tookMs > endMs),
			others: others.filter(({ status, tookMs }) => status !== 200 || tookMs > otherMs),
		};
		assert.deepEqual(late, { endless: [], others: [] });
		const { 'memory-mb': limitMb } = fixtureOf(this).vmLimits;
		assert.ok(peakMb <= limitMb, `${Math.round(peakMb)} MB`);
	},
);

/** @param hasArrived whether the request reached an engine */
function describe(answer: RawAnswer | undefined, hasArrived: boolean): string {
	if (!answer) {
		return 'no answer';
	}
	const { status, body, isWhole } = answer;
	if (status >= 300) {
		return hasArrived ? String(status) : `${status} and not run`;
	}
	if (!isWhole) {
		return `${status} cut`;
	}
	if (body === `${event}${soundBody}`) {
		return resumed;
	}
	return body === soundBody ? `${status} ${body}` : `${status} ${body.length} bytes`;
}

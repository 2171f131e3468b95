/**
 * Steps for the relay's HTTP server: pipelined requests and slow callers.
 * @module
 */
import * as assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import * as net from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import type { CallerRequest, CallerResponse } from '../../src/core/relay/definitions.js';
import { RelayHttpServer } from '../../src/infra/relay/relay-http-server.js';
import { SystemClock } from '../../src/infra/system-clock.js';
import * as platform from '../../src/platform/index.js';
import { createTestMeter, seen } from './relay-fakes.js';
import { blockLoop } from './standstill.steps.js';
import type { FleetWorld } from './world.js';

const pieceBytes = 64 * 1024;
/** What nine callers with bodies of 5 MB and one more request may hold; a further request is too much. */
const heldBytes = 9 * 5_000_000 + 10 * 8192 + 4096;

/** Writes pieces and waits for the caller to read when the connection is full. */
class PieceWriter {
	/** How often the connection was full. */
	blockedCount = 0;

	constructor(
		readonly target: string,
		private readonly res: CallerResponse,
		private readonly pieces: readonly Buffer[],
	) {
		res.writeHead(200, ['content-type', 'text/event-stream']);
	}

	writeFrom(first: number): void {
		for (let index = first; index < this.pieces.length; index++) {
			if (!this.res.write(this.pieces[index] as Buffer)) {
				this.blockedCount++;
				this.res.onDrain(() => this.writeFrom(index + 1));
				return;
			}
		}
		this.res.end();
	}
}

/** Statuses of refused requests. */
interface Refusals {
	logged: number[];
	counted: number[];
}

interface HeldAnswers {
	target: string;
	writers: PieceWriter[];
}

cucumber.Given(
	'an HTTP server that answers each path with {int} pieces',
	async function (this: FleetWorld, count: number) {
		const writers: PieceWriter[] = [];
		const handle = (req: CallerRequest, res: CallerResponse) => {
			const pieces = Array.from({ length: count }, (_, index) => createPiece(req.target, index));
			const writer = new PieceWriter(req.target, res, pieces);
			writers.push(writer);
			const held = this.state.get('held') as HeldAnswers | undefined;
			if (held?.target === req.target) {
				held.writers.push(writer);
			} else {
				writer.writeFrom(0);
			}
		};
		const clock = new SystemClock();
		const refusals: Refusals = { logged: [], counted: [] };
		const warn = (event: string, fields?: Record<string, unknown>) => {
			if (event === 'callers.refused') {
				refusals.logged.push(Number(fields?.status));
			}
		};
		const log = { debug() {}, info() {}, warn, error() {} };
		const decode = platform.decodeRequest;
		const relayServer = new RelayHttpServer({
			clock,
			log,
			...createTestMeter(clock, heldBytes),
			decode,
			isEventLoopLagging: () => false,
			handle,
			requestIdOf: platform.requestIdOf,
			onRefused: (status) => refusals.counted.push(status),
		});
		this.state.set('refusals', refusals);
		await new Promise<void>((done) => relayServer.server.listen(0, '127.0.0.1', done));
		this.state.set('relayServer', relayServer);
		this.state.set('writers', writers);
		this.state.set('pieces', count);
	},
);

cucumber.Given(
	'it allows {int} ms and {int} bytes for heads, and {int} bytes for bodies',
	function (this: FleetWorld, headTimeoutMs: number, headBytes: number, bodyBytes: number) {
		const relayServer = seen<RelayHttpServer>(this, 'relayServer');
		relayServer.configure({ headTimeoutMs, headBytes, bodyBytes, idleTimeoutMs: 15_000 });
	},
);

cucumber.Given('it holds the answers to {string}', function (this: FleetWorld, target: string) {
	this.state.set('held', { target, writers: [] });
});

cucumber.Given(
	'a caller that has sent a request to {string}',
	async function (this: FleetWorld, target: string) {
		const socket = connect(this);
		socket.write(
			`GET ${target} HTTP/1.1\r\nhost: relay.example\r\nslategauge-attempt-id: first\r\n\r\n`,
		);
		await untilHeld(this, 1);
		this.state.set('socket', socket);
	},
);

cucumber.When(
	'{int} other callers send {int} bytes of body each to {string}',
	async function (this: FleetWorld, count: number, bytes: number, target: string) {
		const others = Array.from({ length: count }, (_, index) => {
			const head = ['POST', target, 'HTTP/1.1\r\nhost: relay.example\r\n'].join(' ');
			const socket = connect(this);
			socket.write(
				`${head}slategauge-attempt-id: other-${index}\r\ncontent-length: ${bytes}\r\n\r\n`,
			);
			socket.write(Buffer.alloc(bytes, 'x'));
			return socket.on('error', () => {});
		});
		await untilHeld(this, 1 + count);
		this.state.set('others', others);
	},
);

cucumber.When(
	'the first caller sends requests to {string} behind it',
	async function (this: FleetWorld, targets: string) {
		const { server } = seen<RelayHttpServer>(this, 'relayServer');
		const received = new Promise((done) => server.once('request', done));
		seen<net.Socket>(this, 'socket').write(encodeRequests(targets.split(' '), '1.1'));
		await received;
	},
);

cucumber.Then(
	'once answers are no longer held it receives that to {string}, and then only the status {word}',
	async function (this: FleetWorld, target: string, status: string) {
		const { writers } = seen<HeldAnswers>(this, 'held');
		const socket = seen<net.Socket>(this, 'socket');
		for (const writer of writers) {
			writer.writeFrom(0);
		}
		socket.once('end', () => socket.end());
		const others = seen<net.Socket[]>(this, 'others');
		const read = readAll(this, socket);
		socket.once('close', () => {
			for (const other of others) {
				other.destroy();
			}
		});
		const bytes = await read;
		const headEnd = bytes.indexOf('\r\n\r\n') + 4;
		const { body, rest } = decodeChunks(bytes.subarray(headEnd));
		assert.ok(body.equals(createPiece(target, 0)));
		assertOnlyStatus(rest, status);
	},
);

cucumber.Then(
	'only requests to {string} were handled',
	function (this: FleetWorld, target: string) {
		const targets = seen<PieceWriter[]>(this, 'writers').map((writer) => writer.target);
		assert.deepEqual([...new Set(targets)], [target]);
	},
);

async function untilHeld(world: FleetWorld, count: number): Promise<void> {
	while (seen<HeldAnswers>(world, 'held').writers.length < count) {
		await new Promise((done) => setImmediate(done));
	}
}

cucumber.Given(
	'a caller that has sent {int} bytes of its head',
	async function (this: FleetWorld, bytes: number) {
		const { server } = seen<RelayHttpServer>(this, 'relayServer');
		const socket = connect(this);
		const head = encodeRequests(['/a'], '1.1');
		socket.write(head.slice(0, bytes));
		const accepted = await new Promise<net.Socket>((done) => server.once('connection', done));
		while (accepted.bytesRead < bytes) {
			await new Promise((done) => setImmediate(done));
		}
		this.state.set('socket', socket);
		this.state.set('rest', head.slice(bytes));
	},
);

cucumber.When(
	'it sends the rest and the process stands still for {int} ms',
	async function (this: FleetWorld, pauseMs: number) {
		const socket = seen<net.Socket>(this, 'socket');
		socket.write(seen<string>(this, 'rest'));
		blockLoop(pauseMs);
		this.state.set('read', await readAll(this, socket));
	},
);

cucumber.When(
	'the process stands still for {int} ms and the caller sends the rest once it is answered',
	async function (this: FleetWorld, pauseMs: number) {
		const socket = seen<net.Socket>(this, 'socket');
		blockLoop(pauseMs);
		socket.once('data', () => socket.end(seen<string>(this, 'rest')));
		this.state.set('read', await readAll(this, socket));
	},
);

cucumber.When(
	/^a caller sends a request with the lines (.*) and one behind it$/,
	async function (this: FleetWorld, lines: string) {
		const socket = connect(this);
		const head = decodeText(`POST /a HTTP/1.1~host: relay.example~${lines}`);
		socket.end(head + encodeRequests(['/b'], '1.1'));
		this.state.set('read', await readAll(this, socket));
	},
);

cucumber.When(
	/^a caller requests "(.*)" with HTTP (\S+) and (reads|leaves) once (\d+) answers are blocked$/,
	async function (
		this: FleetWorld,
		paths: string,
		version: string,
		action: string,
		blocked: number,
	) {
		const writers = seen<PieceWriter[]>(this, 'writers');
		const socket = connect(this).pause();
		socket.write(encodeRequests(paths.split(' '), version));
		while (writers.filter(({ blockedCount }) => blockedCount > 0).length < blocked) {
			await new Promise((done) => setImmediate(done));
		}
		if (action === 'leaves') {
			socket.destroy();
		}
		this.state.set('read', await readAll(this, socket));
	},
);

cucumber.Then(
	/^it receives complete answers to "(.*)"(, with chunked encoding)?(?:, and then the status (\d+))?$/,
	function (this: FleetWorld, paths: string, isChunked?: string, status?: string) {
		let remaining = seen<Buffer>(this, 'read');
		for (const target of paths.split(' ')) {
			const headEnd = remaining.indexOf('\r\n\r\n') + 4;
			assert.match(remaining.toString('latin1', 0, headEnd), /^HTTP\/1.1 200 OK\r\n/);
			remaining = remaining.subarray(headEnd);
			const { body, rest } = isChunked
				? decodeChunks(remaining)
				: { body: remaining, rest: Buffer.alloc(0) };
			const pieces = Array.from({ length: seen<number>(this, 'pieces') }, (_, index) =>
				createPiece(target, index),
			);
			assert.ok(body.equals(Buffer.concat(pieces)));
			remaining = rest;
		}
		if (status) {
			assertOnlyStatus(remaining, status);
		} else {
			assert.equal(remaining.length, 0);
		}
	},
);

cucumber.Then('it receives only the status {word}', function (this: FleetWorld, status: string) {
	assertOnlyStatus(seen<Buffer>(this, 'read'), status);
});

cucumber.Then(
	'a line in the log and a count tell {int}',
	function (this: FleetWorld, status: number) {
		assert.deepEqual(seen<Refusals>(this, 'refusals'), { logged: [status], counted: [status] });
	},
);

cucumber.Then('no request was handled', function (this: FleetWorld) {
	assert.equal(seen<PieceWriter[]>(this, 'writers').length, 0);
});

cucumber.Then('no request is open within {int} ms', async function (this: FleetWorld, ms: number) {
	const relayServer = seen<RelayHttpServer>(this, 'relayServer');
	const deadline = performance.now() + ms;
	while (relayServer.openRequests > 0 && performance.now() < deadline) {
		await new Promise((done) => setImmediate(done));
	}
	assert.equal(relayServer.openRequests, 0);
});

function assertOnlyStatus(read: Buffer, status: string): void {
	const text = read.toString('latin1');
	assert.match(text, new RegExp(`^HTTP/1.1 ${status} `));
	assert.equal(text.split('HTTP/1.1').length, 2, text);
}

function connect(world: FleetWorld): net.Socket {
	const { server } = seen<RelayHttpServer>(world, 'relayServer');
	return net.connect((server.address() as AddressInfo).port, '127.0.0.1');
}

/** Reads until the connection is closed on both sides, then stops the server. */
async function readAll(world: FleetWorld, socket: net.Socket): Promise<Buffer> {
	const chunks: Buffer[] = [];
	socket.on('data', (chunk) => chunks.push(chunk));
	socket.resume();
	await new Promise((done) => socket.on('close', done));
	const { server } = seen<RelayHttpServer>(world, 'relayServer');
	await new Promise((done) => server.close(done));
	return Buffer.concat(chunks);
}

/** Decodes text with `~` for line ends and a number behind `x` for its repetition. */
function decodeText(text: string): string {
	return text.replaceAll('~', '\r\n').replace(/x(\d+)/, (_, count) => 'x'.repeat(Number(count)));
}

function createPiece(target: string, index: number): Buffer {
	return Buffer.alloc(pieceBytes, `${target} ${index} `);
}

/** Encodes requests; the last one closes the connection. */
function encodeRequests(targets: readonly string[], version: string): string {
	const heads = targets.map((target, index) => {
		const isLast = index === targets.length - 1;
		const head = [`GET ${target} HTTP/${version}`, 'host: relay.example'];
		head.push(`slategauge-attempt-id: request-${index}`, ...(isLast ? ['connection: close'] : []));
		return `${head.join('\r\n')}\r\n\r\n`;
	});
	return heads.join('');
}

/** Decodes the chunked body at the start of the bytes. */
function decodeChunks(bytes: Buffer): { body: Buffer; rest: Buffer } {
	const chunks: Buffer[] = [];
	for (let index = 0; ; ) {
		const sizeEnd = bytes.indexOf('\r\n', index);
		const size = Number.parseInt(bytes.toString('latin1', index, sizeEnd), 16);
		const end = sizeEnd + 2 + size;
		assert.equal(bytes.toString('latin1', end, end + 2), '\r\n');
		if (size === 0) {
			return { body: Buffer.concat(chunks), rest: bytes.subarray(end + 2) };
		}
		chunks.push(bytes.subarray(sizeEnd + 2, end));
		index = end + 2;
	}
}

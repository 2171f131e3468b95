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
import { seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const pieceBytes = 64 * 1024;
const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** Writes pieces and waits for the caller to read when the connection is full. */
class PieceWriter {
	/** How often the connection was full. */
	blockedCount = 0;

	constructor(
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

cucumber.Given(
	'an HTTP server that answers each path with {int} pieces',
	async function (this: FleetWorld, count: number) {
		const writers: PieceWriter[] = [];
		const handle = (req: CallerRequest, res: CallerResponse) => {
			const pieces = Array.from({ length: count }, (_, index) => createPiece(req.target, index));
			const writer = new PieceWriter(res, pieces);
			writers.push(writer);
			writer.writeFrom(0);
		};
		const clock = new SystemClock();
		const decode = platform.decodeRequest;
		const relayServer = new RelayHttpServer({
			clock,
			log,
			decode,
			isEventLoopLagging: () => false,
			handle,
		});
		await new Promise<void>((done) => relayServer.server.listen(0, '127.0.0.1', done));
		this.state.set('relayServer', relayServer);
		this.state.set('writers', writers);
		this.state.set('pieces', count);
	},
);

cucumber.When(
	'a caller requests {string} with HTTP {word} and reads once {int} answers are blocked',
	async function (this: FleetWorld, paths: string, version: string, blocked: number) {
		const { server } = seen<RelayHttpServer>(this, 'relayServer');
		const writers = seen<PieceWriter[]>(this, 'writers');
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		socket.pause();
		socket.write(encodeRequests(paths.split(' '), version));
		while (writers.filter(({ blockedCount }) => blockedCount > 0).length < blocked) {
			await new Promise((done) => setImmediate(done));
		}
		const chunks: Buffer[] = [];
		socket.on('data', (chunk) => chunks.push(chunk));
		socket.resume();
		await new Promise((done) => socket.on('end', done));
		socket.destroy();
		server.close();
		this.state.set('read', Buffer.concat(chunks));
	},
);

cucumber.Then(
	/^it receives complete answers to "(.*)"(, with chunked encoding)?$/,
	function (this: FleetWorld, paths: string, isChunked: string | undefined) {
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
		assert.equal(remaining.length, 0);
	},
);

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

/**
 * Steps about the callers' side alone: answers over a connection that carries several, or that is read late.
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

/** Writes the pieces as fast as the caller takes them. */
class PieceWriter {
	/** Times that the caller read too slowly. */
	waits = 0;

	constructor(
		private readonly res: CallerResponse,
		private readonly pieces: readonly Buffer[],
	) {
		res.writeHead(200, ['content-type', 'text/event-stream']);
	}

	writeFrom(first: number): void {
		for (let at = first; at < this.pieces.length; at++) {
			if (!this.res.write(this.pieces[at] as Buffer)) {
				this.waits++;
				this.res.onDrain(() => this.writeFrom(at + 1));
				return;
			}
		}
		this.res.end();
	}
}

cucumber.Given(
	'a callers’ side that answers each path with {int} pieces',
	async function (this: FleetWorld, count: number) {
		const writers: PieceWriter[] = [];
		const handle = (req: CallerRequest, res: CallerResponse) => {
			const pieces = Array.from({ length: count }, (_, at) => pieceOf(req.target, at));
			const writer = new PieceWriter(res, pieces);
			writers.push(writer);
			writer.writeFrom(0);
		};
		const clock = new SystemClock();
		const decode = platform.decodeRequest;
		const front = new RelayHttpServer({
			clock,
			log,
			decode,
			isEventLoopLagging: () => false,
			handle,
		});
		await new Promise<void>((done) => front.server.listen(0, '127.0.0.1', done));
		this.seen.set('front', front);
		this.seen.set('writers', writers);
		this.seen.set('pieces', count);
	},
);

cucumber.When(
	'a caller asks for {string} by HTTP {word} and reads once {int} answers wait for it',
	async function (this: FleetWorld, paths: string, version: string, waiting: number) {
		const { server } = seen<RelayHttpServer>(this, 'front');
		const writers = seen<PieceWriter[]>(this, 'writers');
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		socket.pause();
		socket.write(requestsOf(paths.split(' '), version));
		while (writers.filter(({ waits }) => waits > 0).length < waiting) {
			await new Promise((done) => setImmediate(done));
		}
		const chunks: Buffer[] = [];
		socket.on('data', (chunk) => chunks.push(chunk));
		socket.resume();
		await new Promise((done) => socket.on('end', done));
		socket.destroy();
		server.close();
		this.seen.set('read', Buffer.concat(chunks));
	},
);

cucumber.Then(
	/^it gets whole answers to "(.*)"(, in chunks)?$/,
	function (this: FleetWorld, paths: string, inChunks: string | undefined) {
		let rest = seen<Buffer>(this, 'read');
		for (const target of paths.split(' ')) {
			const headEnd = rest.indexOf('\r\n\r\n') + 4;
			assert.match(rest.toString('latin1', 0, headEnd), /^HTTP\/1.1 200 OK\r\n/);
			rest = rest.subarray(headEnd);
			const { body, behind } = inChunks ? unchunk(rest) : { body: rest, behind: Buffer.alloc(0) };
			const pieces = Array.from({ length: seen<number>(this, 'pieces') }, (_, at) =>
				pieceOf(target, at),
			);
			assert.ok(body.equals(Buffer.concat(pieces)));
			rest = behind;
		}
		assert.equal(rest.length, 0);
	},
);

function pieceOf(target: string, at: number): Buffer {
	return Buffer.alloc(pieceBytes, `${target} ${at} `);
}

/** The last asks for the end of the connection. */
function requestsOf(targets: readonly string[], version: string): string {
	const heads = targets.map((target, at) => {
		const isLast = at === targets.length - 1;
		const head = [`GET ${target} HTTP/${version}`, 'host: relay.example'];
		head.push(`slategauge-attempt-id: request-${at}`, ...(isLast ? ['connection: close'] : []));
		return `${head.join('\r\n')}\r\n\r\n`;
	});
	return heads.join('');
}

/** Cuts the first body in chunks off the bytes. */
function unchunk(bytes: Buffer): { body: Buffer; behind: Buffer } {
	const chunks: Buffer[] = [];
	for (let at = 0; ; ) {
		const sizeEnd = bytes.indexOf('\r\n', at);
		const size = Number.parseInt(bytes.toString('latin1', at, sizeEnd), 16);
		const end = sizeEnd + 2 + size;
		assert.equal(bytes.toString('latin1', end, end + 2), '\r\n');
		if (size === 0) {
			return { body: Buffer.concat(chunks), behind: bytes.subarray(end + 2) };
		}
		chunks.push(bytes.subarray(sizeEnd + 2, end));
		at = end + 2;
	}
}

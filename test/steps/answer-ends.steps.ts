/**
 * Steps for the ends of answers without a length, as the clients of engines and endpoints report them.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as cucumber from '@cucumber/cucumber';
import { EngineConnectionPool } from '../../src/infra/relay/engine-connection-pool.js';
import { EngineRunningCall } from '../../src/infra/relay/engine-running-call.js';
import { UndiciEndpointClient } from '../../src/infra/undici-endpoint-client.js';
import { decodeAnswer } from '../../src/platform/http-messages.js';
import { malformedAnswers } from '../stand-ins/malformed-answers.js';
import { serverCertificate } from '../stand-ins/server-certificate.js';
import { seen } from './relay-fakes.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** More than the buffers of the kernel take. */
const uploadBytes = 12_000_000;
const partBytes = 20_000;
const partGapMs = 60;
/** Longer than the server takes for the whole answer. */
const pauseMs = 400;

/** The server's certificate is its own, so the client must not verify it. */
const verificationVariable = 'NODE_TLS_REJECT_UNAUTHORIZED';

const ends = {
	closes: (socket: net.Socket) => socket.end(),
	resets: (_socket: net.Socket, connection: net.Socket) => connection.resetAndDestroy(),
} as const;

/** What a client has reported of one answer. */
class Recorder {
	bytes = 0;
	/** How often bytes were reported. */
	reports = 0;
	result?: 'whole' | 'broken';
	/** Resumes and pauses the call; undefined for a reader that never pauses. */
	call?: { pause(): void; resume(): void };

	shouldSend(): boolean {
		return true;
	}

	onWithdrawn(): void {}
	onSent(): void {}
	onHead(): void {}
	onEvents(): void {}

	onData({ length }: Uint8Array): void {
		this.bytes += length;
		this.reports++;
		const { call } = this;
		// undici reports no bytes when it goes on after a pause.
		if (call && length > 0) {
			call.pause();
			setTimeout(() => call.resume(), pauseMs);
		}
	}

	onBytes(chunk: Uint8Array): void {
		this.onData(chunk);
	}

	onEnd(): void {
		this.result = 'whole';
	}

	onError(): void {
		this.result = 'broken';
	}
}

cucumber.Given(
	/^a server (with a certificate )?that answers (a request|an upload) with (\d+) parts? without a length and (closes|resets) the connection$/,
	async function (
		this: FleetWorld,
		certificate: string | null,
		request: string,
		parts: string,
		end: keyof typeof ends,
	) {
		const part = 'x'.repeat(partBytes);
		const server = net.createServer((connection) => {
			connection.on('error', () => {});
			const socket = certificate
				? new tls.TLSSocket(connection, { isServer: true, ...serverCertificate })
				: connection;
			socket.on('error', () => {});
			socket.once('data', async () => {
				if (end === 'resets') {
					socket.pause();
				} else {
					socket.resume();
				}
				socket.write(`HTTP/1.1 200 OK\r\n\r\n${part}`);
				for (let index = 1; index < Number(parts); index++) {
					await new Promise((done) => setTimeout(done, partGapMs));
					socket.write(part);
				}
				ends[end](socket, connection);
			});
		});
		await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
		this.state.set('server', server);
		this.state.set('body', request === 'an upload' ? Buffer.alloc(uploadBytes) : Buffer.alloc(1));
		this.state.set('bytes', Number(parts) * partBytes);
	},
);

cucumber.When(
	/^an (engine|endpoint|https endpoint)'s client calls it and reads (at once|with pauses)$/,
	async function (this: FleetWorld, kind: string, reading: string) {
		const { port } = seen<net.Server>(this, 'server').address() as net.AddressInfo;
		const body = seen<Buffer>(this, 'body');
		const recorder = new Recorder();
		if (kind === 'https endpoint') {
			process.env[verificationVariable] = '0';
		}
		const { call, close } =
			kind === 'engine'
				? callEngine(port, body, recorder)
				: callEndpoint(port, body, recorder, kind === 'endpoint' ? 'http' : 'https');
		recorder.call = reading === 'with pauses' ? call : undefined;
		await until(() => recorder.result !== undefined);
		await close();
		delete process.env[verificationVariable];
		seen<net.Server>(this, 'server').close();
		this.state.set('recorder', recorder);
	},
);

function callEngine(port: number, body: Buffer, recorder: Recorder) {
	const pool = new EngineConnectionPool(`127.0.0.1:${port}`);
	const call = new EngineRunningCall(decodeAnswer, recorder, pool);
	const headers = ['content-length', String(body.length)];
	call.start({ method: 'POST', path: '/', headers, body });
	return { call, close: () => pool.destroy() };
}

function callEndpoint(port: number, body: Buffer, recorder: Recorder, scheme = 'http') {
	const client = new UndiciEndpointClient();
	const common = { id: 'call', method: 'POST', path: '/', headers: {}, priority: 0, offset: 0 };
	const url = `${scheme}://127.0.0.1:${port}`;
	const call = client.open({ ...common, url, body, stallMs: 10_000 }, recorder);
	return { call, close: () => client.close() };
}

cucumber.Then(
	/^an (engine|endpoint)'s client reports each malformed answer as broken, whole or in pieces, and a sound one as whole$/,
	async function (this: FleetWorld, kind: string) {
		const wrong: string[] = [];
		const sound = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound';
		assert.equal(await callPieces(kind, [sound]), 'whole');
		assert.equal(await callPieces(kind, [...sound]), 'whole');
		for (const [name, text] of malformedAnswers) {
			const bytes = text.replace('SIGNED', 'x-signed: 1');
			for (const pieces of [[bytes], [...bytes]]) {
				const result = await callPieces(kind, pieces);
				if (result !== 'broken') {
					wrong.push(`${name} in ${pieces.length} pieces: ${result}`);
				}
			}
		}
		assert.deepEqual(wrong, []);
	},
);

cucumber.Then(
	/^an (engine|endpoint)'s client reports (\d+) chunks of 1 byte in less than (\d+) parts$/,
	async function (this: FleetWorld, kind: string, count: string, parts: string) {
		const chunks = '1\r\na\r\n'.repeat(Number(count));
		const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
		const recorder = await callFor(kind, [`${head}${chunks}0\r\n\r\n`]);
		assert.deepEqual([recorder.result, recorder.bytes], ['whole', Number(count)]);
		assert.ok(recorder.reports < Number(parts), `${recorder.reports} parts`);
	},
);

async function callPieces(kind: string, pieces: readonly string[]): Promise<string | undefined> {
	return (await callFor(kind, pieces)).result;
}

/** @returns what a client reports of an answer that comes in these pieces */
async function callFor(kind: string, pieces: readonly string[]): Promise<Recorder> {
	const server = net.createServer({ noDelay: true }, (socket) => {
		socket.on('error', () => {});
		socket.once('data', async () => {
			for (const piece of pieces) {
				socket.write(piece, 'latin1');
				await new Promise((done) => setImmediate(done));
			}
			socket.end();
		});
	});
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	const { port } = server.address() as net.AddressInfo;
	const recorder = new Recorder();
	const { close } = (kind === 'engine' ? callEngine : callEndpoint)(
		port,
		Buffer.alloc(1),
		recorder,
	);
	await until(() => recorder.result !== undefined);
	await close();
	server.close();
	return recorder;
}

cucumber.Then(
	/^the answer is reported as (whole|broken)$/,
	function (this: FleetWorld, expected: string) {
		const { result, bytes } = seen<Recorder>(this, 'recorder');
		assert.equal(result, expected);
		if (expected === 'whole') {
			assert.equal(bytes, seen<number>(this, 'bytes'));
		}
	},
);

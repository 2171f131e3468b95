/**
 * Steps about the soak's own parts: its oracle, its proxy, a short run.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as cucumber from '@cucumber/cucumber';
import { LoopbackProxy } from '../soak/loopback-proxy.js';
import { checkGuarantees, guarantees } from '../soak/oracle.js';
import type { SoakResult } from '../soak/run.js';
import { runSoak } from '../soak/run.js';
import type { CallerRecord, EngineArrival, SoakRecords } from '../soak/types.js';
import { wholeStream } from '../stand-ins/platform-engine.js';
import type { FleetWorld } from './world.js';

/** When the first request of the records was sent, in milliseconds. */
const startAt = 20_000;

function request(part: Partial<CallerRecord> & { id: string }): CallerRecord {
	const sentAt = part.sentAt ?? startAt;
	const common = { vm: 'vm-1', life: 1, key: 'key', sentAt, endedAt: sentAt + 100, cut: false };
	return { kind: 'plain', status: 200, body: `answer to ${part.id}`, ...common, ...part };
}

function arrival(id: string, part: Partial<EngineArrival> = {}): EngineArrival {
	return { id, engine: 'e1', at: startAt + 10, rejected: false, customer: 'station', ...part };
}

function goodRecords(): SoakRecords {
	return {
		bounds: {
			contactMs: 3000,
			drainMs: 2000,
			configurationMs: 2000,
			stopMs: 8000,
			retryRatio: 0.2,
			retryExtra: 2,
			retryWindowMs: 10_000,
		},
		requests: [
			request({ id: 'a' }),
			request({ id: 'b', kind: 'once' }),
			request({ id: 'c', kind: 'resumed', body: wholeStream('c') }),
			request({ id: 'd', kind: 'cut', body: wholeStream('d').slice(0, 30), truncated: true }),
			request({ id: 'e', status: 503, body: 'the request has not run' }),
		],
		// The stream was resumed at a second engine; the order was refused by the first.
		arrivals: [
			arrival('a'),
			arrival('b', { rejected: true }),
			arrival('b', { engine: 'e2' }),
			arrival('c'),
			arrival('c', { engine: 'e2' }),
			arrival('d'),
			arrival('e', { rejected: true }),
		],
		announcedLimits: [],
		injectedFaults: [],
		keyChanges: [
			{ key: 'old', version: 3, at: 1000, kind: 'added' },
			{ key: 'old', version: 5, at: 9000, kind: 'removed' },
			{ key: 'new', version: 5, at: 9000, kind: 'added' },
		],
		departures: [{ engine: 'e9', at: 5000 }],
		notRecovered: [],
		resourceLeaks: [],
		unexpectedExits: [],
	};
}

/** Each adds one request or event that a right relay would not bring about. */
const defects: Record<string, (records: SoakRecords) => void> = {
	'runs an order twice': (records) => {
		records.requests.push(request({ id: 'x', kind: 'once' }));
		records.arrivals.push(arrival('x'), arrival('x', { engine: 'e2' }));
	},
	'says that a request that ran has not run': (records) => {
		records.requests.push(request({ id: 'x', kind: 'once', status: 503, body: '' }));
		records.arrivals.push(arrival('x', { at: startAt + 5000 }));
	},
	'ends an answer too soon': (records) => {
		const body = wholeStream('x').slice(0, 60);
		records.requests.push(request({ id: 'x', kind: 'resumed', body }));
	},
	'joins the streams of two requests': (records) => {
		const body = wholeStream('x').slice(0, 60) + wholeStream('y').slice(60);
		records.requests.push(request({ id: 'x', kind: 'resumed', body }));
	},
	'sends work to an engine that left': (records) => {
		records.requests.push(request({ id: 'x' }));
		records.arrivals.push(arrival('x', { engine: 'e9' }));
	},
	'sends work to an engine that said so': (records) => {
		const notice = { at: startAt, leaving: true, restMs: 0 };
		records.arrivals.push(arrival('a', { notice }));
		records.requests.push(request({ id: 'x', sentAt: startAt + 2500 }));
		records.arrivals.push(arrival('x', { at: startAt + 2510 }));
	},
	'gives an engine no rest': (records) => {
		const notice = { at: startAt, leaving: false, restMs: 3000 };
		records.arrivals.push(arrival('e', { notice, rejected: true }));
		for (const id of ['x', 'y', 'z']) {
			records.requests.push(request({ id, sentAt: startAt + 1000 }));
			records.arrivals.push(arrival(id, { at: startAt + 1010 }));
		}
	},
	'divides a limit by nothing': (records) => {
		const notice = { at: startAt, leaving: false, restMs: 0, limitPerS: 2 };
		records.announcedLimits.push({
			engine: 'e1',
			limitPerS: 2,
			from: startAt - 10,
			until: startAt + 9000,
		});
		records.requests.push(request({ id: 'f' }), request({ id: 'g', vm: 'vm-2' }));
		records.arrivals.push(arrival('f', { notice }), arrival('g', { notice }));
		for (let count = 0; count < 9; count++) {
			for (const vm of ['vm-1', 'vm-2']) {
				const id = `${vm}-${count}`;
				records.requests.push(request({ id, vm, sentAt: startAt + 4000 }));
				records.arrivals.push(arrival(id, { at: startAt + 4000 + count * 400 }));
			}
		}
	},
	'cuts a request in a planned stop': (records) => {
		const from = startAt - 200;
		const stop = { target: 'vm-1', what: 'stopped', from, until: startAt + 4000, planned: true };
		records.injectedFaults.push(stop);
		records.requests.push(request({ id: 'x', status: 0, body: '', truncated: true }));
		records.arrivals.push(arrival('x'));
	},
	'serves a key that was taken away': (records) => {
		records.requests.push(request({ id: 'x', key: 'old' }));
		records.arrivals.push(arrival('x'));
	},
	'refuses a key that was added': (records) => {
		records.requests.push(request({ id: 'x', key: 'new', status: 401, body: '' }));
	},
	'goes back to an older configuration': (records) => {
		records.requests.push(request({ id: 'x', key: 'new', sentAt: 9500 }));
		records.requests.push(request({ id: 'y', key: 'old', sentAt: 10_000 }));
		records.arrivals.push(arrival('x', { at: 9510 }), arrival('y', { at: 10_010 }));
	},
	'names the wrong customer': (records) => {
		records.requests.push(request({ id: 'x' }));
		records.arrivals.push(arrival('x', { customer: 'another' }));
	},
	'retries each request': (records) => {
		for (const id of ['x1', 'x2', 'x3', 'x4', 'x5']) {
			records.requests.push(request({ id }));
			records.arrivals.push(arrival(id), arrival(id, { engine: 'e2' }));
		}
	},
	'stays down after the last fault': (records) => {
		records.notRecovered.push('vm-1');
	},
	'holds more and more open files': (records) => {
		records.resourceLeaks.push('vm-1');
	},
	'ends by itself': (records) => {
		records.unexpectedExits.push('vm-1');
	},
};

cucumber.Given('records of a run in which all promises hold', function (this: FleetWorld) {
	const records = goodRecords();
	assert.deepEqual(checkGuarantees(records), []);
	this.seen.set('records', records);
});

for (const [name, apply] of Object.entries(defects)) {
	cucumber.When(`the relay ${name}`, function (this: FleetWorld) {
		apply(this.seen.get('records') as SoakRecords);
	});
}

cucumber.When('the VM was paused meanwhile', function (this: FleetWorld) {
	const pause = { target: 'vm-1', what: 'paused', from: 9500, until: 19_000, planned: false };
	(this.seen.get('records') as SoakRecords).injectedFaults.push(pause);
});

cucumber.Then(
	'the oracle finds that {string} and nothing else',
	function (this: FleetWorld, promise: keyof typeof guarantees) {
		const findings = checkGuarantees(this.seen.get('records') as SoakRecords);
		assert.deepEqual(
			[...new Set(findings.map((finding) => finding.guarantee))],
			[guarantees[promise]],
		);
	},
);

cucumber.Then('the oracle finds nothing', function (this: FleetWorld) {
	assert.deepEqual(checkGuarantees(this.seen.get('records') as SoakRecords), []);
});

/** A connection through the proxy to a server that sends back all it gets. */
interface Echo {
	proxy: LoopbackProxy;
	socket: net.Socket;
	port: number;
	received: string;
}

function echoOf(world: FleetWorld): Echo {
	return world.seen.get('echo') as Echo;
}

cucumber.Given('an echo server behind a proxy', async function (this: FleetWorld) {
	const server = net.createServer((socket) => socket.on('error', () => {}).pipe(socket));
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	const { port } = server.address() as net.AddressInfo;
	const proxy = new LoopbackProxy({ host: '127.0.0.1', port });
	const [, proxyPort] = (await proxy.start()).split(':');
	const socket = net.connect(Number(proxyPort), '127.0.0.1');
	const echo: Echo = { proxy, socket, port: Number(proxyPort), received: '' };
	socket.on('data', (chunk: Buffer) => {
		echo.received += chunk.toString();
	});
	socket.on('close', () => server.close());
	socket.on('error', () => {});
	this.seen.set('echo', echo);
});

cucumber.After(function (this: FleetWorld) {
	(this.seen.get('echo') as Echo | undefined)?.proxy.stop();
});

cucumber.Then(
	'what is sent comes back in order while its delay rises and falls',
	async function (this: FleetWorld) {
		const echo = echoOf(this);
		for (const delayMs of [0, 120, 0, 60, 0]) {
			echo.proxy.setDelay(delayMs);
			echo.socket.write(`${delayMs} `);
			await pause(15);
		}
		await pause(400);
		assert.equal(echo.received, '0 120 0 60 0 ');
	},
);

cucumber.Then(
	'nothing comes back while it is silent, and all of it after that',
	async function (this: FleetWorld) {
		const echo = echoOf(this);
		echo.proxy.setState('silent');
		echo.received = '';
		echo.socket.write('waits');
		await pause(200);
		assert.equal(echo.received, '');
		echo.proxy.setState('well');
		await pause(200);
		assert.equal(echo.received, 'waits');
	},
);

cucumber.Then('a new connection is reset while it refuses', async function (this: FleetWorld) {
	const echo = echoOf(this);
	echo.proxy.setState('refusing');
	const socket = net.connect(echo.port, '127.0.0.1');
	const code = await new Promise((done) => {
		socket.on('error', (err: NodeJS.ErrnoException) => done(err.code));
		socket.on('end', () => done('ended'));
	});
	assert.equal(code, 'ECONNRESET');
});

cucumber.When(
	'the soak runs seed {int} for {int} seconds with {int} VMs',
	async function (this: FleetWorld, seed: number, seconds: number, vms: number) {
		const out = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));
		const size = { vms, engines: 4, callers: 12, series: 3 };
		this.seen.set('result', await runSoak({ ...size, seed, seconds, out }));
		fs.rmSync(out, { recursive: true });
	},
);

cucumber.Then('it has no finding and served requests', function (this: FleetWorld) {
	const { findings, served } = this.seen.get('result') as SoakResult;
	assert.deepEqual(findings, []);
	assert.ok(served > 0);
});

function pause(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

cucumber.Given(
	/^a server behind a proxy that writes and (resets|ends) at once$/,
	async function (this: FleetWorld, how: string) {
		const server = net.createServer((socket) => {
			socket.on('error', () => {});
			// Once the proxy's own connection is up: a reset before that is plain to see.
			setTimeout(() => {
				socket.write('half');
				if (how === 'resets') {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			}, 20);
		});
		await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
		server.unref();
		const { port } = server.address() as net.AddressInfo;
		const proxy = new LoopbackProxy({ host: '127.0.0.1', port });
		const [, proxyPort] = (await proxy.start()).split(':');
		this.seen.set('echo', { proxy, port: Number(proxyPort) });
	},
);

cucumber.Then(
	/^a connection through the proxy is (reset|ended) (\d+) times$/,
	async function (this: FleetWorld, how: string, times: string) {
		for (let at = 0; at < Number(times); at++) {
			assert.equal(await howItEnds(echoOf(this).port), how);
		}
		echoOf(this).proxy.stop();
	},
);

/** A reset may be read as an end here too: writing nothing asks. */
function howItEnds(port: number): Promise<string> {
	const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
	socket.resume();
	return new Promise((done) => {
		socket.on('error', () => done('reset'));
		socket.on('end', () => socket.write('', (err) => done(err ? 'reset' : 'ended')));
	}).finally(() => socket.destroy()) as Promise<string>;
}

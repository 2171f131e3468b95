/**
 * Steps for the soak itself: its oracle, its proxy and a short run.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as cucumber from '@cucumber/cucumber';
import { LogfmtLog } from '../../src/infra/logfmt-log.js';
import { LoopbackProxy } from '../soak/loopback-proxy.js';
import { checkGuarantees, guarantees } from '../soak/oracle.js';
import type { SoakResult } from '../soak/run.js';
import { findRequestDefects, runSoak } from '../soak/run.js';
import type { CallerRecord, EngineArrival, SoakRecords } from '../soak/types.js';
import { wholeStream } from '../stand-ins/platform-engine.js';
import type { FleetWorld } from './world.js';

/** Default send time of the requests in the records. */
const startMs = 20_000;
/** When an engine resets a request in these records: before the others, so that it excuses none of them. */
const resetAtMs = startMs - 5000;

function request(overrides: Partial<CallerRecord> & { id: string }): CallerRecord {
	const sentAt = overrides.sentAt ?? startMs;
	const common = {
		vm: 'vm-1',
		incarnation: 1,
		key: 'key',
		sentAt,
		endedAt: sentAt + 100,
		truncated: false,
	};
	return { kind: 'plain', status: 200, body: `answer to ${overrides.id}`, ...common, ...overrides };
}

function arrival(id: string, overrides: Partial<EngineArrival> = {}): EngineArrival {
	return { id, engine: 'e1', at: startMs + 10, rejected: false, customer: 'station', ...overrides };
}

function recordsWithoutViolation(): SoakRecords {
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
			request({
				id: 'd',
				kind: 'cut',
				body: wholeStream('d').slice(0, 30),
				truncated: true,
				sentAt: resetAtMs,
			}),
			request({ id: 'e', status: 503, body: 'the request has not run' }),
		],
		// The second engine resumes the stream c, and runs b, which the first one refused.
		arrivals: [
			arrival('a'),
			arrival('b', { rejected: true }),
			arrival('b', { engine: 'e2' }),
			arrival('c'),
			arrival('c', { engine: 'e2' }),
			arrival('d', { engine: 'e3', at: resetAtMs + 10 }),
			arrival('e', { rejected: true }),
		],
		announcedLimits: [],
		// The third engine resets the connection of the stream d.
		injectedFaults: [
			{ target: 'e3', fault: 'resets', from: resetAtMs, until: resetAtMs + 50, planned: false },
		],
		keyChanges: [
			{ key: 'old', version: 3, at: 1000, kind: 'added' },
			{ key: 'old', version: 5, at: 9000, kind: 'removed' },
			{ key: 'new', version: 5, at: 9000, kind: 'added' },
		],
		departures: [{ engine: 'e9', at: 5000 }],
		notRecovered: [],
		resourceLeaks: [],
		unexpectedExits: [],
		requestDefects: [],
	};
}

/** Each adds requests or events that violate one guarantee. */
const defects: Record<string, (records: SoakRecords) => void> = {
	'runs a non-idempotent request twice': (records) => {
		records.requests.push(request({ id: 'x', kind: 'once' }));
		records.arrivals.push(arrival('x'), arrival('x', { engine: 'e2' }));
	},
	'reports a request that ran as not run': (records) => {
		records.requests.push(request({ id: 'x', kind: 'once', status: 503, body: '' }));
		records.arrivals.push(arrival('x', { at: startMs + 5000 }));
	},
	'ends an answer too early': (records) => {
		const body = wholeStream('x').slice(0, 60);
		records.requests.push(request({ id: 'x', kind: 'resumed', body }));
	},
	'mixes the streams of two requests': (records) => {
		const body = wholeStream('x').slice(0, 60) + wholeStream('y').slice(60);
		records.requests.push(request({ id: 'x', kind: 'resumed', body }));
	},
	'sends requests to an engine that has departed': (records) => {
		records.requests.push(request({ id: 'x' }));
		records.arrivals.push(arrival('x', { engine: 'e9' }));
	},
	'sends requests to an engine that announced leaving': (records) => {
		const notice = { at: startMs, isDraining: true, backOffMs: 0 };
		records.arrivals.push(arrival('a', { notice }));
		records.requests.push(request({ id: 'x', sentAt: startMs + 2500 }));
		records.arrivals.push(arrival('x', { at: startMs + 2510 }));
	},
	'ignores the back-off of an engine': (records) => {
		const notice = { at: startMs, isDraining: false, backOffMs: 3000 };
		records.arrivals.push(arrival('e', { notice, rejected: true }));
		for (const id of ['x', 'y', 'z']) {
			records.requests.push(request({ id, sentAt: startMs + 1000 }));
			records.arrivals.push(arrival(id, { at: startMs + 1010 }));
		}
	},
	"does not share an engine's limit between VMs": (records) => {
		const notice = { at: startMs, isDraining: false, backOffMs: 0, limitPerS: 2 };
		records.announcedLimits.push({
			engine: 'e1',
			limitPerS: 2,
			from: startMs - 10,
			until: startMs + 9000,
		});
		records.requests.push(request({ id: 'f' }), request({ id: 'g', vm: 'vm-2' }));
		records.arrivals.push(arrival('f', { notice }), arrival('g', { notice }));
		for (let count = 0; count < 9; count++) {
			for (const vm of ['vm-1', 'vm-2']) {
				const id = `${vm}-${count}`;
				records.requests.push(request({ id, vm, sentAt: startMs + 4000 }));
				records.arrivals.push(arrival(id, { at: startMs + 4000 + count * 400 }));
			}
		}
	},
	'breaks a request in a planned stop': (records) => {
		const from = startMs - 200;
		const stop = { target: 'vm-1', fault: 'stopped', from, until: startMs + 4000, planned: true };
		records.injectedFaults.push(stop);
		records.requests.push(request({ id: 'x', status: 0, body: '', truncated: true }));
		records.arrivals.push(arrival('x'));
	},
	'cuts a stream of an engine that falls silent': (records) => {
		const from = startMs - 200;
		const silence = { fault: 'falls silent', from, until: startMs + 900, planned: false };
		records.injectedFaults.push({ target: 'e1', ...silence }, { target: 'e2', ...silence });
		const body = wholeStream('x').slice(0, 60);
		const endedAt = startMs + 700;
		records.requests.push(request({ id: 'x', kind: 'resumed', body, truncated: true, endedAt }));
		records.arrivals.push(arrival('x'));
	},
	'serves a removed key': (records) => {
		records.requests.push(request({ id: 'x', key: 'old' }));
		records.arrivals.push(arrival('x'));
	},
	'refuses an added key': (records) => {
		records.requests.push(request({ id: 'x', key: 'new', status: 401, body: '' }));
	},
	'goes back to an older configuration': (records) => {
		records.requests.push(request({ id: 'x', key: 'new', sentAt: 9500 }));
		records.requests.push(request({ id: 'y', key: 'old', sentAt: 10_000 }));
		records.arrivals.push(arrival('x', { at: 9510 }), arrival('y', { at: 10_010 }));
	},
	'reports the wrong customer': (records) => {
		records.requests.push(request({ id: 'x' }));
		records.arrivals.push(arrival('x', { customer: 'another' }));
	},
	'retries every request': (records) => {
		for (const id of ['x1', 'x2', 'x3', 'x4', 'x5']) {
			records.requests.push(request({ id }));
			records.arrivals.push(arrival(id), arrival(id, { engine: 'e2' }));
		}
	},
	'stays down after the last fault': (records) => {
		records.notRecovered.push('vm-1');
	},
	'leaks open files': (records) => {
		records.resourceLeaks.push('vm-1');
	},
	'exits unexpectedly': (records) => {
		records.unexpectedExits.push('vm-1');
	},
	'ends a request by an error of its own': (records) => {
		const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));
		const write = (line: string) => fs.appendFileSync(path.join(folder, 'vm-1.log'), line);
		const log = new LogfmtLog({ level: 'info', baseFields: { vm: 'vm-1' }, write });
		log.info('request.ended', { request: 'x', reason: 'not event=request.defect' });
		log.error('request.defect', { request: 'y', error: 'TypeError: no such thing' });
		records.requestDefects.push(...findRequestDefects(folder));
		fs.rmSync(folder, { recursive: true });
		assert.equal(records.requestDefects.length, 1);
	},
};

cucumber.Given('records of a run in which all guarantees hold', function (this: FleetWorld) {
	const records = recordsWithoutViolation();
	assert.deepEqual(checkGuarantees(records), []);
	this.state.set('records', records);
});

for (const [name, apply] of Object.entries(defects)) {
	cucumber.When(`the relay ${name}`, function (this: FleetWorld) {
		apply(this.state.get('records') as SoakRecords);
	});
}

cucumber.When('the engine crashed meanwhile', function (this: FleetWorld) {
	const at = startMs + 600;
	const crash = { target: 'e1', fault: 'crashed', from: at, until: at, planned: false };
	(this.state.get('records') as SoakRecords).injectedFaults.push(crash);
});

cucumber.When('the VM was paused meanwhile', function (this: FleetWorld) {
	const pause = { target: 'vm-1', fault: 'paused', from: 9500, until: 19_000, planned: false };
	(this.state.get('records') as SoakRecords).injectedFaults.push(pause);
});

cucumber.Then(
	'the oracle reports a violation of {string} only',
	function (this: FleetWorld, guarantee: keyof typeof guarantees) {
		const findings = checkGuarantees(this.state.get('records') as SoakRecords);
		assert.deepEqual(
			[...new Set(findings.map((finding) => finding.guarantee))],
			[guarantees[guarantee]],
		);
	},
);

cucumber.Then('the oracle reports no finding', function (this: FleetWorld) {
	assert.deepEqual(checkGuarantees(this.state.get('records') as SoakRecords), []);
});

/** A connection through the proxy to an echo server. */
interface Echo {
	proxy: LoopbackProxy;
	socket: net.Socket;
	port: number;
	received: string;
}

function echoOf(world: FleetWorld): Echo {
	return world.state.get('echo') as Echo;
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
	this.state.set('echo', echo);
});

cucumber.After(function (this: FleetWorld) {
	(this.state.get('echo') as Echo | undefined)?.proxy.stop();
});

cucumber.Then(
	"bytes come back in order while the proxy's delay rises and falls",
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
	'bytes are held back while the link is stalled, and come back afterwards',
	async function (this: FleetWorld) {
		const echo = echoOf(this);
		echo.proxy.setState('stalled');
		echo.received = '';
		echo.socket.write('waits');
		await pause(200);
		assert.equal(echo.received, '');
		echo.proxy.setState('healthy');
		await pause(200);
		assert.equal(echo.received, 'waits');
	},
);

cucumber.Then(
	'a new connection is reset while the link is refusing',
	async function (this: FleetWorld) {
		const echo = echoOf(this);
		echo.proxy.setState('refusing');
		const socket = net.connect(echo.port, '127.0.0.1');
		const code = await new Promise((done) => {
			socket.on('error', (err: NodeJS.ErrnoException) => done(err.code));
			socket.on('end', () => done('ended'));
		});
		assert.equal(code, 'ECONNRESET');
	},
);

cucumber.When(
	'the soak runs seed {int} for {int} seconds with {int} VMs',
	async function (this: FleetWorld, seed: number, seconds: number, vms: number) {
		const out = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));
		const size = { vms, engines: 4, callers: 12, concurrentFaults: 3 };
		this.state.set('result', await runSoak({ ...size, seed, seconds, out }));
		fs.rmSync(out, { recursive: true });
	},
);

cucumber.Then('the run has no findings and served requests', function (this: FleetWorld) {
	const { findings, served } = this.state.get('result') as SoakResult;
	assert.deepEqual(findings, []);
	assert.ok(served > 0);
});

function pause(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

cucumber.Given(
	/^a server behind a proxy that writes and (resets|ends) at once$/,
	async function (this: FleetWorld, ending: string) {
		const server = net.createServer((socket) => {
			socket.on('error', () => {});
			// Waits for the proxy's connection, as an earlier reset would fail its connect.
			setTimeout(() => {
				socket.write('half');
				if (ending === 'resets') {
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
		this.state.set('echo', { proxy, port: Number(proxyPort) });
	},
);

cucumber.Then(
	/^a connection through the proxy is (reset|ended) (\d+) times$/,
	async function (this: FleetWorld, ending: string, times: string) {
		for (let index = 0; index < Number(times); index++) {
			assert.equal(await observeClose(echoOf(this).port), ending);
		}
		echoOf(this).proxy.stop();
	},
);

/** An empty write fails after a reset, which Node.js may report as an end. */
function observeClose(port: number): Promise<string> {
	const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
	socket.resume();
	return new Promise((done) => {
		socket.on('error', () => done('reset'));
		socket.on('end', () => socket.write('', (err) => done(err ? 'reset' : 'ended')));
	}).finally(() => socket.destroy()) as Promise<string>;
}

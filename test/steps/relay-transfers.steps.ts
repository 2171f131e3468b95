/**
 * Steps about copies of configurations between VMs.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import type { CallerRequest } from '../../src/core/relay/definitions.js';
import { PeerTransfers } from '../../src/infra/relay/peer-transfers.js';
import { RelayHttpServer } from '../../src/infra/relay/relay-http-server.js';
import { clockOf, seededRandom, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const path = '/configuration';
const opened = new WeakMap<FleetWorld, (() => void)[]>();

function closeLater(world: FleetWorld, close: () => void): void {
	opened.set(world, [...(opened.get(world) ?? []), close]);
}

cucumber.After(function (this: FleetWorld) {
	for (const close of opened.get(this) ?? []) {
		close();
	}
});

/** A configuration whose names are as hard to compress as real ones. */
function configurationText(routes: number): string {
	const next = seededRandom(5);
	const word = (length: number) =>
		Array.from({ length }, () => Math.floor(next() * 36).toString(36)).join('');
	const one = () => ({
		name: `r-${word(7)}`,
		hostname: `${word(6)}.example`,
		'path-prefix': `/${word(7)}/`,
		type: 'idempotent',
		'timeout-ms': 800,
		'target-latency-ms': 300,
		priority: 2,
		service: 'web',
		'max-attempts': 2,
	});
	return JSON.stringify({ version: 7, routes: Array.from({ length: routes }, one) });
}

function newTransfers(world: FleetWorld, text?: string): PeerTransfers {
	const transfers = new PeerTransfers({ log: silentLog, getDocument: () => text });
	closeLater(world, () => transfers.close());
	return transfers;
}

/** Counts the bytes that a server sends, and the answers that it sends at a time. */
function watchSends(world: FleetWorld, transfers: PeerTransfers): void {
	const sends = { bytes: 0, open: 0, most: 0 };
	transfers.server.on('connection', (socket: net.Socket) => {
		socket.on('close', () => {
			sends.bytes += socket.bytesWritten;
		});
	});
	transfers.server.on('request', (_, res) => {
		const end = res.end.bind(res);
		res.end = (...args: never[]) => {
			sends.open++;
			sends.most = Math.max(sends.most, sends.open);
			res.on('close', () => sends.open--);
			return end(...args);
		};
	});
	world.seen.set('sends', sends);
}

async function addressOf(server: net.Server): Promise<string> {
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

cucumber.Given(
	'a VM that has a configuration of {int} routes',
	async function (this: FleetWorld, routes: number) {
		const text = configurationText(routes);
		const source = newTransfers(this, text);
		// Seen before the server's own listener, so that each answer is counted.
		const [serve] = source.server.listeners('request') as ((...args: unknown[]) => void)[];
		source.server.removeAllListeners('request');
		watchSends(this, source);
		source.server.on('request', serve as (...args: unknown[]) => void);
		this.seen.set('text', text);
		this.seen.set('source', await addressOf(source.server));
	},
);

cucumber.Given('a VM that accepts calls and says nothing', async function (this: FleetWorld) {
	const sockets: net.Socket[] = [];
	const server = net.createServer((socket) => sockets.push(socket));
	closeLater(this, () => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	this.seen.set('silent', await addressOf(server));
});

cucumber.When(
	'{int} VMs fetch it from that VM at once',
	async function (this: FleetWorld, count: number) {
		const members = Array.from({ length: count }, () => newTransfers(this));
		const source = seen<string>(this, 'source');
		this.seen.set('got', await Promise.all(members.map((vm) => vm.fetch(source, path))));
		for (const vm of members) {
			vm.close();
		}
		await new Promise((done) => setTimeout(done, 50));
	},
);

cucumber.When('the configuration is fetched from the silent VM', function (this: FleetWorld) {
	const member = newTransfers(this);
	this.seen.set('member', member);
	void member.fetch(seen<string>(this, 'silent'), path);
});

cucumber.When('{int} ms later from the other', async function (this: FleetWorld, ms: number) {
	await new Promise((done) => setTimeout(done, ms));
	const member = seen<PeerTransfers>(this, 'member');
	this.seen.set('got', [await member.fetch(seen<string>(this, 'source'), path)]);
});

cucumber.Then('each has the configuration as it was', function (this: FleetWorld) {
	for (const text of seen<(string | undefined)[]>(this, 'got')) {
		assert.ok(text === seen<string>(this, 'text'), `${text?.length} characters`);
	}
});

cucumber.Then(
	'at most {int} copies were sent at a time',
	function (this: FleetWorld, most: number) {
		assert.ok(seen<{ most: number }>(this, 'sends').most <= most);
	},
);

cucumber.Then(
	'a link of {int} Mbit\\/s carries all copies within {int} ms',
	function (this: FleetWorld, mbit: number, ms: number) {
		const { bytes } = seen<{ bytes: number }>(this, 'sends');
		assert.ok(bytes > 0);
		const tookMs = (bytes * 8) / (mbit * 1000);
		assert.ok(tookMs <= ms, `${bytes} bytes take ${tookMs} ms`);
	},
);

cucumber.Given('a front for callers', async function (this: FleetWorld) {
	const handed: string[] = [];
	const front = new RelayHttpServer({
		clock: clockOf(this),
		log: silentLog,
		decode: ({ target }) => ({ target }) as CallerRequest,
		isEventLoopLagging: () => true,
		handle: ({ target }, res) => {
			handed.push(target);
			res.writeHead(200, ['Content-Length', '0']);
			res.end();
		},
	});
	closeLater(this, () => {
		front.server.close();
		front.server.closeAllConnections();
	});
	this.seen.set('handed', handed);
	this.seen.set('front', await addressOf(front.server));
});

async function connected(address: string): Promise<net.Socket> {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	socket.on('error', () => {});
	await new Promise<void>((done) => socket.once('connect', done));
	// The front has taken the connection.
	await new Promise((done) => setTimeout(done, 20));
	return socket;
}

cucumber.When(
	'a caller sends a request and hangs up while the VM is busy',
	async function (this: FleetWorld) {
		const socket = await connected(seen<string>(this, 'front'));
		// Both reach the front before its loop turns again.
		socket.write('GET /left HTTP/1.1\r\nhost: a.example\r\n\r\n');
		socket.destroy();
		await new Promise((done) => setTimeout(done, 50));
	},
);

cucumber.When('another caller sends a request', async function (this: FleetWorld) {
	const socket = await connected(seen<string>(this, 'front'));
	socket.write('GET /stays HTTP/1.1\r\nhost: a.example\r\n\r\n');
	await new Promise<void>((done) => socket.once('data', () => done()));
	socket.destroy();
});

cucumber.Then('only the request of the other is handed on', function (this: FleetWorld) {
	assert.deepEqual(seen<string[]>(this, 'handed'), ['/stays']);
});

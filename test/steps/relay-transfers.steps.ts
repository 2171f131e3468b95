/**
 * Steps for transfers of configurations between VMs and for requests of disconnected callers.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as cucumber from '@cucumber/cucumber';
import type { CallerRequest } from '../../src/core/relay/definitions.js';
import { PeerTransfers } from '../../src/infra/relay/peer-transfers.js';
import { RelayHttpServer } from '../../src/infra/relay/relay-http-server.js';
import { clockOf, createTestMeter, seededRandom, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const path = '/configuration';
const closersByWorld = new WeakMap<FleetWorld, (() => void)[]>();

function closeAfterScenario(world: FleetWorld, close: () => void): void {
	closersByWorld.set(world, [...(closersByWorld.get(world) ?? []), close]);
}

cucumber.After(function (this: FleetWorld) {
	for (const close of closersByWorld.get(this) ?? []) {
		close();
	}
});

/** Returns a configuration with random names, which compress as badly as real ones. */
function configurationText(routes: number): string {
	const random = seededRandom(5);
	const word = (length: number) =>
		Array.from({ length }, () => Math.floor(random() * 36).toString(36)).join('');
	const createRoute = () => ({
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
	return JSON.stringify({ version: 7, routes: Array.from({ length: routes }, createRoute) });
}

function createTransfers(world: FleetWorld, text?: string): PeerTransfers {
	const transfers = new PeerTransfers({
		log: silentLog,
		meter: createTestMeter(clockOf(world)),
		getDocument: () => text,
		handleForward: () => false,
	});
	closeAfterScenario(world, () => transfers.close());
	return transfers;
}

/** Counts the bytes that a server sends and its concurrent answers. */
function countSends(world: FleetWorld, transfers: PeerTransfers): void {
	const sends = { bytes: 0, open: 0, max: 0 };
	transfers.server.on('connection', (socket: net.Socket) => {
		socket.on('close', () => {
			sends.bytes += socket.bytesWritten;
		});
	});
	transfers.server.on('request', (_, res) => {
		const end = res.end.bind(res);
		res.end = (...args: never[]) => {
			sends.open++;
			sends.max = Math.max(sends.max, sends.open);
			res.on('close', () => sends.open--);
			return end(...args);
		};
	});
	world.state.set('sends', sends);
}

async function addressOf(server: net.Server): Promise<string> {
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

cucumber.Given(
	'a VM that has a configuration of {int} routes',
	async function (this: FleetWorld, routes: number) {
		const text = configurationText(routes);
		const source = createTransfers(this, text);
		// Registered before the server's own listener, to count every answer.
		const [serve] = source.server.listeners('request') as ((...args: unknown[]) => void)[];
		source.server.removeAllListeners('request');
		countSends(this, source);
		source.server.on('request', serve as (...args: unknown[]) => void);
		this.state.set('text', text);
		this.state.set('source', await addressOf(source.server));
	},
);

cucumber.Given(
	'a VM that accepts connections but sends nothing',
	async function (this: FleetWorld) {
		const sockets: net.Socket[] = [];
		const server = net.createServer((socket) => sockets.push(socket));
		closeAfterScenario(this, () => {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		});
		this.state.set('unresponsive', await addressOf(server));
	},
);

cucumber.When('{int} VMs fetch it concurrently', async function (this: FleetWorld, count: number) {
	const members = Array.from({ length: count }, () => createTransfers(this));
	const source = seen<string>(this, 'source');
	this.state.set('received', await Promise.all(members.map((vm) => vm.fetch(source, path))));
	for (const vm of members) {
		vm.close();
	}
	await new Promise((done) => setTimeout(done, 50));
});

cucumber.When(
	'a VM fetches the configuration from the unresponsive VM',
	function (this: FleetWorld) {
		const member = createTransfers(this);
		this.state.set('member', member);
		void member.fetch(seen<string>(this, 'unresponsive'), path);
	},
);

cucumber.When('{int} ms later from the other VM', async function (this: FleetWorld, ms: number) {
	await new Promise((done) => setTimeout(done, ms));
	const member = seen<PeerTransfers>(this, 'member');
	this.state.set('received', [await member.fetch(seen<string>(this, 'source'), path)]);
});

cucumber.Then('each received the unchanged configuration', function (this: FleetWorld) {
	for (const text of seen<(string | undefined)[]>(this, 'received')) {
		assert.ok(text === seen<string>(this, 'text'), `${text?.length} characters`);
	}
});

cucumber.Then(
	'at most {int} transfers ran concurrently',
	function (this: FleetWorld, limit: number) {
		assert.ok(seen<{ max: number }>(this, 'sends').max <= limit);
	},
);

cucumber.Then(
	'a link of {int} Mbit\\/s carries all transfers within {int} ms',
	function (this: FleetWorld, mbit: number, ms: number) {
		const { bytes } = seen<{ bytes: number }>(this, 'sends');
		assert.ok(bytes > 0);
		const tookMs = (bytes * 8) / (mbit * 1000);
		assert.ok(tookMs <= ms, `${bytes} bytes take ${tookMs} ms`);
	},
);

cucumber.Given('an HTTP server whose event loop lags', async function (this: FleetWorld) {
	const forwarded: string[] = [];
	const relayServer = new RelayHttpServer({
		clock: clockOf(this),
		log: silentLog,
		...createTestMeter(clockOf(this)),
		decode: ({ target }) => ({ target }) as CallerRequest,
		isEventLoopLagging: () => true,
		requestIdOf: () => '',
		onRefused() {},
		handle: ({ target }, res) => {
			forwarded.push(target);
			res.writeHead(200, ['Content-Length', '0']);
			res.end();
		},
	});
	closeAfterScenario(this, () => {
		relayServer.server.close();
		relayServer.server.closeAllConnections();
	});
	this.state.set('forwarded', forwarded);
	this.state.set('server', await addressOf(relayServer.server));
});

async function connect(address: string): Promise<net.Socket> {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	socket.on('error', () => {});
	await new Promise<void>((done) => socket.once('connect', done));
	// Lets the server accept the connection.
	await new Promise((done) => setTimeout(done, 20));
	return socket;
}

cucumber.When(
	'a caller sends a request and disconnects before the server reads it',
	async function (this: FleetWorld) {
		const socket = await connect(seen<string>(this, 'server'));
		// The server reads both in the same iteration of the event loop.
		socket.write('GET /left HTTP/1.1\r\nhost: a.example\r\n\r\n');
		socket.destroy();
		await new Promise((done) => setTimeout(done, 50));
	},
);

cucumber.When('another caller sends a request', async function (this: FleetWorld) {
	const socket = await connect(seen<string>(this, 'server'));
	socket.write('GET /stays HTTP/1.1\r\nhost: a.example\r\n\r\n');
	await new Promise<void>((done) => socket.once('data', () => done()));
	socket.destroy();
});

cucumber.Then('only the request of the other caller is forwarded', function (this: FleetWorld) {
	assert.deepEqual(seen<string[]>(this, 'forwarded'), ['/stays']);
});

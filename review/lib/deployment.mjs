/**
 * A small deployment on loopback for the scripts of the cases: relays started with the command of the deploy file, the project's
 * stand-in of the store, and engines that each script brings along.
 * @module
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import { PlatformStoreStandIn } from '../../dist/test/stand-ins/platform-store.js';

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
/** The command of deploy/system.toml. */
const metricsPort = 9464;
const command = [
	'--single-threaded-gc',
	'--v8-pool-size=1',
	'deploy/start.cjs',
	'--metrics-port',
	String(metricsPort),
];
const startTimeoutMs = 10_000;
const heartbeatMs = 1200;
/** From the end of a process to its next start. */
const restartDelayMs = 500;

/** Address of the store and the engines. */
export const loopback = '127.0.0.1';
export const host = 'relay.example';
export const apiKey = 'key-of-studio';

/** The case could not run: exit code 2. */
export class SetupError extends Error {}

export function sleep(ms) {
	return new Promise((done) => setTimeout(done, ms));
}

export async function until(condition, what, withinMs = startTimeoutMs) {
	const deadline = performance.now() + withinMs;
	while (!(await condition())) {
		if (performance.now() > deadline) {
			throw new SetupError(`${what}: not within ${withinMs} ms`);
		}
		await sleep(20);
	}
}

/** Lines of record.txt, with the time since the start of the script. */
export class Record {
	#lines = [];
	#startedAt = performance.now();

	constructor(file) {
		this.file = file;
	}

	add(text) {
		const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`;
		this.#lines.push(line);
	}

	save() {
		fs.writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
	}
}

export class Deployment {
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#timers = [];
	#isStopping = false;
	store = new PlatformStoreStandIn();
	relays = [];
	/** Log lines of all relays. */
	log = '';
	/** Called when a process ends; returns whether the platform starts it again. */
	onEnd;

	/**
	 * @param bounds as in the settings of the platform
	 * @param routes and services of the configuration
	 */
	constructor({ bounds, routes, services, limits = {}, relayCount = 2 }) {
		this.bounds = bounds;
		this.routes = routes;
		this.services = services;
		this.limits = limits;
		this.relayCount = relayCount;
	}

	async start() {
		// The stand-in's own start() listens at all addresses of the machine.
		await new Promise((done) => this.store.server.listen(0, loopback, done));
		this.store.put('op/config', {
			version: 3,
			routes: this.routes,
			services: this.services,
			limits: this.limits,
			tenants: [{ name: 'studio', 'api-keys': [apiKey] }],
		});
		const addresses = Array.from({ length: this.relayCount }, (_, index) => pickAddress(index));
		const ports = await pickPorts(addresses, 4);
		for (const [index, address] of addresses.entries()) {
			this.relays.push(this.#startRelay(`edge-${index + 1}`, address, ports));
		}
		for (const relay of this.relays) {
			await until(() => this.isReady(relay), `${relay.name} is ready`);
		}
		// The first seconds after a start are no steady state.
		await sleep(2500);
	}

	/**
	 * Registers an engine and repeats its heartbeat, until the deployment stops.
	 * @returns ends the heartbeat; the entry goes after three that are missing
	 */
	register(id, fields) {
		let sequence = 0;
		const born = Date.now();
		const write = () => {
			this.store.put(`servers/${id}`, {
				zone: 'zone-a',
				version: 'v1',
				slots: 6,
				state: 'ready',
				'warmup-left-ms': 0,
				sequence: ++sequence,
				born,
				...fields,
			});
		};
		write();
		const timer = setInterval(write, heartbeatMs);
		this.#timers.push(timer);
		return () => {
			clearInterval(timer);
			this.#timers.push(setTimeout(() => this.store.remove(`servers/${id}`), 3 * heartbeatMs));
		};
	}

	async stop() {
		this.#isStopping = true;
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
		for (const relay of this.relays) {
			relay.child.kill('SIGKILL');
			await relay.ended;
		}
		this.store.stop();
		fs.rmSync(this.#folder, { recursive: true, force: true });
	}

	isReady({ address, ports }) {
		return new Promise((done) => {
			const req = http.get(
				{ host: address, port: ports.readiness, path: '/readyz', agent: false },
				(res) => {
					res.resume();
					done(res.statusCode === 200);
				},
			);
			req.on('error', () => done(false));
		});
	}

	#startRelay(name, address, [frontend, readiness, first, last]) {
		const settings = {
			'node-name': name,
			role: 'relay',
			'machine-class': 'edge',
			serves: ['edge', 'control'],
			ip: address,
			zone: 'zone-a',
			region: 'region',
			zones: { 'zone-a': 'region' },
			listen: { frontend: `${address}:${frontend}`, readiness: `${address}:${readiness}` },
			'port-range': [first, last],
			'seed-nodes': [],
			bootstrap: true,
			limits: {
				'cpu-quota': 0.675,
				'cpu-cores': 1,
				'memory-mb': 350,
				'max-fds': 4100,
				'link-mbps': 1000,
				'disk-mb': 0,
			},
			'data-dir': null,
			'heartbeat-ms': heartbeatMs,
			bounds: this.bounds,
			platform: {
				address: `${loopback}:${this.store.server.address().port}`,
				'writes-per-s': 400,
				'reads-per-s': 2000,
				'ttl-min-ms': 1000,
			},
		};
		const file = path.join(this.#folder, `${name}.json`);
		fs.writeFileSync(file, JSON.stringify(settings));
		const relay = { name, address, ports: { frontend, readiness }, file };
		this.#startProcess(relay);
		return relay;
	}

	/** Starts the process of a relay, and starts it again a moment after it has ended by itself, as the platform does. */
	#startProcess(relay) {
		const { PATH, HOME, LANG } = process.env;
		const child = childProcess.spawn(process.execPath, command, {
			cwd: root,
			env: { PATH, HOME, LANG, SLATEGAUGE_SETTINGS: relay.file },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		relay.child = child;
		relay.exitCode = undefined;
		relay.ended = new Promise((done) => {
			child.on('exit', (code, signal) => {
				relay.exitCode = code ?? signal;
				done();
				if (!this.#isStopping && this.onEnd?.(relay)) {
					this.#timers.push(setTimeout(() => this.#startProcess(relay), restartDelayMs));
				}
			});
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', (chunk) => {
				this.log += chunk.toString();
			});
		}
	}
}

/** Addresses that other processes hardly use. */
function pickAddress(index) {
	return `127.${40 + (process.pid % 150)}.${(process.pid >> 8) % 250}.${10 + index}`;
}

/** Ports that are free at all addresses. */
async function pickPorts(addresses, count) {
	for (let first = 20_000 + (process.pid % 500) * 16; first < 32_000; first += 16) {
		const ports = Array.from({ length: count }, (_, index) => first + index);
		const checks = addresses.flatMap((address) =>
			[...ports, metricsPort].map((port) => isFree(address, port)),
		);
		if ((await Promise.all(checks)).every(Boolean)) {
			return ports;
		}
	}
	throw new SetupError('no free ports');
}

function isFree(address, port) {
	return new Promise((done) => {
		const server = net.createServer();
		server.once('error', () => done(false));
		server.listen(port, address, () => server.close(() => done(true)));
	});
}

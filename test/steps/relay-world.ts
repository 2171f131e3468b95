/**
 * Runs real relay daemons with stand-ins for the store and the engines, for one scenario.
 * @module
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import { PlatformStoreStandIn } from '../stand-ins/platform-store.js';

export const host = 'relay.example';
export const key = 'key-of-station';

export interface Answer {
	/** Id of the request. */
	id: string;
	status: number;
	headers: http.IncomingHttpHeaders;
	body: string;
	/** Whether the connection ended before the answer was complete. */
	cut: boolean;
}

export interface Vm {
	address: string;
	ports: Ports;
	/** Path of its settings file. */
	file: string;
	process: childProcess.ChildProcess;
	ended: Promise<number | null>;
	errors: string;
	/** End of its log, unless the log goes to a file. */
	output: string;
}

/** Preloaded into VMs whose links can fail. */
const cuttableLinks = './test/stand-ins/cut-links.cjs';
/** Characters of a VM's log that are kept; enough for all lines of a start. */
const maxOutputLength = 20_000;

export class RelayFixture {
	readonly store = new PlatformStoreStandIn();
	readonly engines = new Map<string, PlatformEngineStandIn>();
	readonly vms: Vm[] = [];
	answers: Answer[] = [];
	/** Monotonic times of engine crashes, in milliseconds. */
	readonly crashTimes: number[] = [];
	/** Creates the engines of the start. */
	createEngine = (id: string) => new PlatformEngineStandIn(id);
	/** Program started for each VM. */
	program = 'dist/src/daemon/relay/main.js';
	nodeFlags: readonly string[] = [];
	/** Memory and descriptors of each VM. */
	vmLimits = { 'memory-mb': 350, 'max-fds': 4100 };
	/** Bounds of requests in the configuration. */
	requestLimits: Readonly<Record<string, number>> = {};
	/** Whether `setLinks` can make links of VMs to engines fail. */
	hasCuttableLinks = false;
	private nextId = 1;
	private version = 1;
	private configuration: Record<string, unknown> = {};
	private readonly files: string[] = [];
	private readonly timers: NodeJS.Timeout[] = [];

	async start(vms: number, engines: readonly string[], configured = true): Promise<void> {
		await this.store.start();
		for (const id of engines) {
			const engine = this.createEngine(id);
			this.engines.set(id, engine);
			await this.register(engine, await engine.start());
		}
		if (configured) {
			this.configure([key]);
		}
		// As on the platform, each VM has its own address and all use the same ports.
		const [callers, readiness, peers, metrics] = reservePorts(4);
		for (let index = 1; index <= vms; index++) {
			const ports = { callers, readiness, peers, metrics } as Ports;
			this.vms.push(await this.startVm(vmAddress(index), `vm-${index}`, ports));
		}
		for (const vm of this.vms) {
			await this.untilStarted(vm, configured);
		}
	}

	/** Reports the output of a VM that does not start. */
	private async untilStarted(vm: Vm, configured: boolean): Promise<void> {
		try {
			await until(
				async () => (await this.readiness(vm)) !== 0 && (!configured || this.isReady(vm)),
			);
		} catch (err) {
			const { exitCode } = vm.process;
			throw new Error(
				`${(err as Error).message}; exit code ${exitCode}; output:\n${vm.errors}${vm.output}`,
			);
		}
	}

	async isReady(vm: Vm): Promise<boolean> {
		return (await this.readiness(vm)) === 200;
	}

	/**
	 * Writes the next configuration, with these keys for its only customer.
	 * @returns its version
	 */
	configure(keys: readonly string[]): number {
		this.version += 2;
		this.configuration = this.configurationOf(keys);
		this.writeConfiguration();
		return this.version;
	}

	/** Writes the latest configuration again. */
	writeConfiguration(): void {
		this.store.put('op/config', this.configuration);
	}

	private configurationOf(keys: readonly string[]): Record<string, unknown> {
		const common = { hostname: host, service: 'pool', priority: 1, anonymous: false };
		const stream = { ...common, type: 'streaming', 'timeout-ms': 6000, 'target-latency-ms': 500 };
		const plain = { ...common, 'timeout-ms': 1200, 'target-latency-ms': 300, 'max-attempts': 2 };
		return {
			version: this.version,
			routes: [
				{ ...plain, name: 'plain', 'path-prefix': '/plain/', type: 'idempotent' },
				{
					...plain,
					name: 'once',
					'path-prefix': '/once/',
					type: 'non_idempotent',
					'max-attempts': 2,
				},
				{
					...plain,
					name: 'patient',
					'path-prefix': '/patient/',
					type: 'non_idempotent',
					'timeout-ms': 60_000,
				},
				{ ...stream, name: 'cut', 'path-prefix': '/stream/once/', 'max-attempts': 1 },
				{
					...stream,
					name: 'resumed',
					'path-prefix': '/stream/resumed/',
					'max-attempts': 2,
					'stream-resume': true,
				},
			],
			services: [{ name: 'pool', 'health-path': '/healthz', 'max-connections': 50 }],
			limits: this.requestLimits,
			tenants: [{ name: 'station', 'api-keys': keys }],
		};
	}

	/**
	 * Makes every engine crash when it runs the cause. Its registration is removed after `goneMs`, and it is replaced under a new id
	 * after `backMs`.
	 */
	crashOn({ body, parts = [] }: CrashCause, goneMs: number, backMs: number): void {
		for (const engine of this.engines.values()) {
			this.crashEngineOn(engine, { body, parts }, goneMs, backMs);
		}
	}

	private crashEngineOn(
		engine: PlatformEngineStandIn,
		cause: CrashCause,
		goneMs: number,
		backMs: number,
	) {
		engine.crashBody = cause.body;
		engine.crashParts = cause.parts ?? [];
		engine.onCrash = () => {
			this.crashTimes.push(performance.now());
			const start = async () => {
				const next = new PlatformEngineStandIn(`${engine.id}-${this.engines.size}`);
				next.eventIntervalMs = engine.eventIntervalMs;
				this.engines.set(next.id, next);
				this.crashEngineOn(next, cause, goneMs, backMs);
				await this.register(next, await next.start());
			};
			this.timers.push(setTimeout(() => this.store.remove(`servers/${engine.id}`), goneMs));
			this.timers.push(setTimeout(() => void start(), backMs));
		};
	}

	/** Number of requests with this body that reached engines. */
	countReached(body: string): number {
		const seen = [...this.engines.values()].flatMap((engine) => engine.receivedRequests);
		return seen.filter((request) => request.body === body).length;
	}

	/** @param born Unix milliseconds of the engine's start, if registered */
	async register(
		engine: PlatformEngineStandIn,
		address: string,
		state = 'ready',
		born?: number,
	): Promise<void> {
		const entry = { service: 'pool', address, zone: 'z1', version: 'v1', slots: 4, state, born };
		this.store.put(`servers/${engine.id}`, { ...entry, 'warmup-left-ms': 0, sequence: 1 });
	}

	addressOf(engine: PlatformEngineStandIn): string {
		return `127.0.0.1:${(engine.server.address() as net.AddressInfo).port}`;
	}

	/** Sends a request, to the first VM by default, and records the answer. */
	async send(call: string, body = '', opts: SendOptions = {}): Promise<Answer> {
		const answer = await this.open(call, body, opts).answer;
		this.answers.push(answer);
		return answer;
	}

	open(
		call: string,
		body = '',
		opts: SendOptions = {},
	): { req: http.ClientRequest; answer: Promise<Answer> } {
		const { req, answer } = this.begin(call, opts);
		req.end(body);
		return { req, answer };
	}

	/** Begins a request whose body the caller writes and ends. */
	begin(
		call: string,
		opts: SendOptions = {},
	): { req: http.ClientRequest; answer: Promise<Answer> } {
		const [method, target] = call.split(' ');
		const vm = opts.vm ?? (this.vms[0] as Vm);
		const req = http.request({
			host: vm.address,
			port: vm.ports.callers,
			method,
			path: target,
			agent: opts.agent ?? false,
			headers: {
				host,
				authorization: `Bearer ${opts.key ?? key}`,
				'slategauge-attempt-id': `request-${this.nextId++}`,
				'slategauge-deadline-ms': '5000',
				'slategauge-tenant': 'forged',
				...opts.headers,
			},
		});
		const answer = readAnswer(req, String(req.getHeader('slategauge-attempt-id')));
		return { req, answer };
	}

	async stop(): Promise<void> {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
		for (const vm of this.vms) {
			vm.process.kill('SIGKILL');
			await vm.ended;
		}
		for (const engine of this.engines.values()) {
			engine.stop();
		}
		this.store.stop();
		await Promise.all(this.files.map((file) => fs.rm(file, { force: true })));
	}

	/** Starts a daemon with a settings file in the platform's format. */
	async startVm(address: string, id: string, ports: Ports, opts: StartOptions = {}): Promise<Vm> {
		const settings: Record<string, unknown> = {
			'node-name': id,
			ip: address,
			zone: 'z1',
			listen: {
				frontend: `${address}:${ports.callers}`,
				readiness: `${address}:${ports.readiness}`,
			},
			'port-range': [ports.peers, ports.metrics],
			'seed-nodes': opts.seeds ?? [],
			limits: this.vmLimits,
			bounds: {},
			platform: { address: opts.store ?? this.store.addressFor(address) },
			'not-known-yet': 1,
		};
		for (const name of opts.omit ?? []) {
			delete settings[name];
		}
		const file = path.join(os.tmpdir(), `relay-${process.pid}-${id}-${ports.callers}.json`);
		this.files.push(file);
		await fs.writeFile(file, JSON.stringify(settings));
		const child = childProcess.spawn(
			process.execPath,
			[
				...this.nodeFlags,
				...(this.hasCuttableLinks ? ['--require', cuttableLinks] : []),
				this.program,
			],
			{
				env: { ...process.env, SLATEGAUGE_SETTINGS: file },
				stdio: [
					'ignore',
					opts.log ?? 'pipe',
					'pipe',
					...(this.hasCuttableLinks ? ['ipc' as const] : []),
				],
			},
		);
		if (this.hasCuttableLinks) {
			// Sockets that are open when the links fail have to be known, so the engines are named at the start.
			child.send({ state: 'sound', engines: this.engineAddresses });
		}
		const vm: Vm = {
			address,
			ports,
			file,
			process: child,
			ended: new Promise((done) => child.on('exit', done)),
			errors: '',
			output: '',
		};
		child.stdout?.on('data', (chunk: Buffer) => {
			vm.output = (vm.output + chunk.toString()).slice(-maxOutputLength);
		});
		child.stderr?.on('data', (chunk: Buffer) => {
			vm.errors += chunk.toString();
		});
		return vm;
	}

	/**
	 * Sets the state of a VM's links to all engines; it is in force when the promise resolves.
	 * @param state `sound`, `hang`, `reset`, or `refuse`, where open connections live on
	 */
	setLinks(vm: Vm, state: string): Promise<void> {
		if (!vm.process.connected) {
			return Promise.resolve();
		}
		return new Promise((done) => {
			vm.process.once('message', () => done());
			// A process that ends meanwhile has no links any more.
			vm.process.send({ state, engines: this.engineAddresses }, (err) => err && done());
		});
	}

	/** Value of a metric of a VM; 0 while it has none of this name and labels. */
	async readMetric(vm: Vm, name: string): Promise<number> {
		const url = `http://${vm.address}:${vm.ports.metrics}/metrics`;
		const text = await new Promise<string>((done, fail) => {
			http
				.get(url, { agent: false }, (res) => {
					const chunks: Buffer[] = [];
					res.on('data', (chunk: Buffer) => chunks.push(chunk));
					res.on('end', () => done(Buffer.concat(chunks).toString()));
				})
				.on('error', fail);
		});
		const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
		return line === undefined ? 0 : Number(line.slice(name.length + 1));
	}

	/** Addresses at which VMs reach the engines. */
	protected get engineAddresses(): string[] {
		return [...this.engines.values()].map((engine) => this.addressOf(engine));
	}

	/** Status of the readiness port; 0 when it is unreachable. */
	private readiness(vm: Vm): Promise<number> {
		return new Promise((done) => {
			const url = `http://${vm.address}:${vm.ports.readiness}/readyz`;
			http
				.get(url, { agent: false }, (res) => {
					res.resume();
					done(res.statusCode ?? 0);
				})
				.on('error', () => done(0));
		});
	}
}

/** What crashes the engines: one body, or parts of prompts. */
export interface CrashCause {
	body?: string;
	parts?: readonly string[];
}

export interface SendOptions {
	/** @default the key of the only customer */
	key?: string;
	/** @default the first VM */
	vm?: Vm;
	/** Further headers of the request. */
	headers?: http.OutgoingHttpHeaders;
	/** @default a connection of its own */
	agent?: http.Agent;
}

export interface StartOptions {
	/** Settings to leave out. */
	omit?: readonly string[];
	seeds?: readonly string[];
	/** Address of the store. @default the address of the stand-in for this VM */
	store?: string;
	/** File descriptor for the log. @default the log is dropped */
	log?: number;
}

export interface Ports {
	callers: number;
	readiness: number;
	peers: number;
	metrics: number;
}

/**
 * Address of a VM by its number, from 1. Each run of the tests has loopback addresses of its own, since another run may take
 * a port at a shared address between the choice of the port and its use.
 */
export function vmAddress(index: number): string {
	const { pid } = process;
	return `127.${10 + ((pid >> 8) % 200)}.${pid % 256}.${10 + index}`;
}

/** Ports for VMs, below those that the operating system gives to others, so that none is taken before a VM listens. */
const vmPorts = { first: 10_000, end: 30_000 };
/** Runs of the soak may share addresses, so each run starts elsewhere. */
let nextPort = vmPorts.first + ((process.pid * 20) % (vmPorts.end - vmPorts.first));

/** Reserves ports for VMs of this run. */
export function reservePorts(count: number): number[] {
	return Array.from({ length: count }, () => {
		const port = nextPort;
		nextPort = port + 1 < vmPorts.end ? port + 1 : vmPorts.first;
		return port;
	});
}

/** Waits until the condition holds; fails after `withinMs`. */
export async function until(
	condition: () => boolean | Promise<boolean>,
	withinMs = 10_000,
): Promise<void> {
	const deadline = Date.now() + withinMs;
	while (!(await condition())) {
		if (Date.now() > deadline) {
			throw new Error(`condition not met within ${withinMs} ms`);
		}
		await new Promise((done) => setTimeout(done, 20));
	}
}

function readAnswer(req: http.ClientRequest, id: string): Promise<Answer> {
	return new Promise((done) => {
		req.on('error', () => done({ id, status: 0, headers: {}, body: '', cut: true }));
		req.on('response', (res) => {
			const chunks: Buffer[] = [];
			const finish = (cut: boolean) => {
				const body = Buffer.concat(chunks).toString();
				done({ id, status: res.statusCode ?? 0, headers: res.headers, body, cut });
			};
			res.on('data', (chunk: Buffer) => chunks.push(chunk));
			res.on('end', () => finish(!res.complete));
			res.on('error', () => finish(true));
		});
	});
}

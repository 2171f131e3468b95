/**
 * Runs a fleet of daemons with stand-in engines, services and platform as separate processes on
 * loopback.
 * @module
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { Configuration } from '../src/core/configuration/index.js';
import { hashToken } from '../src/core/configuration/index.js';
import type { ControlClient } from '../src/infra/control/control-client.js';
import { createControlClient } from '../src/infra/control/control-client.js';
import type { EngineOptions } from '../test/stand-ins/engine.js';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const daemonPath = path.join(root, 'src/daemon/main.js');
const standInPath = path.join(root, 'test/stand-ins/main.js');
/** Shared secret of the daemons, also accepted as the operators' token. */
export const peerToken = 'bench-peer-token-0123456789';
const startTimeoutMs = 20_000;

/** Options of one engine process, which may hold several engines. */
export type EngineProcessOptions = Partial<EngineOptions> & { count?: number };

/** A running stand-in or daemon. */
export interface ManagedProcess {
	name: string;
	child: childProcess.ChildProcess;
	port: number;
	/** 0 unless the process is a daemon. */
	controlPort: number;
	/** Failure domain; empty unless the process is a daemon. */
	domain: string;
	/** Lines that the process has written to standard output. */
	lines: string[];
}

export interface FleetOptions {
	daemons: number;
	domains: string[];
	/** Returns TOML tables to append to a daemon's settings. */
	settings?: (index: number) => string;
}

export class Fleet {
	readonly daemons: ManagedProcess[] = [];
	readonly engines: ManagedProcess[] = [];
	readonly services: ManagedProcess[] = [];
	platform?: ManagedProcess;
	private tempDir = '';
	private configurationVersion = 0;

	constructor(private readonly opts: FleetOptions) {}

	get platformUrl(): string {
		return `http://127.0.0.1:${this.platform?.port}`;
	}

	get daemonUrls(): string[] {
		return this.daemons.map((daemon) => `http://127.0.0.1:${daemon.port}`);
	}

	/** Starts the platform, engines and services; `startDaemons` starts the daemons. */
	async startStandIns(engines: EngineProcessOptions[], services: number): Promise<void> {
		this.tempDir = await fs.mkdtemp(path.join(os.tmpdir(), 'slategauge-'));
		this.platform = (await this.startStandIn('platform', 'platform'))[0];
		const started = engines.map((opts, index) =>
			this.startStandIn(`engine-${index + 1}`, 'engine', JSON.stringify(opts)),
		);
		this.engines.push(...(await Promise.all(started)).flat());
		for (let index = 0; index < services; index++) {
			this.services.push(...(await this.startStandIn(`service-${index + 1}`, 'service')));
		}
	}

	async startDaemons(): Promise<void> {
		const indexes = Array.from({ length: this.opts.daemons }, (_, index) => index);
		await Promise.all(indexes.map((index) => this.startDaemon(index)));
	}

	/** Starts or restarts the daemon at `index`. */
	async startDaemon(index: number): Promise<ManagedProcess> {
		const id = `vm-${index + 1}`;
		const domain = this.opts.domains[index % this.opts.domains.length] ?? 'hall';
		const file = path.join(this.tempDir, `${id}.toml`);
		await fs.writeFile(file, this.formatSettings(index, id, domain));
		const proc = spawn(id, [daemonPath, 'run', file]);
		const line = await waitForLine(proc, 'event=daemon.listening');
		proc.port = Number(/callers_port=(\d+)/.exec(line)?.[1]);
		proc.controlPort = Number(/control_port=(\d+)/.exec(line)?.[1]);
		this.daemons[index] = proc;
		proc.domain = domain;
		await this.registerVm(proc, 'live');
		return proc;
	}

	/** Registers a daemon in the platform's VM list. */
	async registerVm(proc: ManagedProcess, state: 'live' | 'leaving'): Promise<void> {
		await this.post(this.platformUrl, '/vms', {
			id: proc.name,
			address: '127.0.0.1',
			callers_port: proc.port,
			control_port: proc.controlPort,
			failure_domain: proc.domain,
			state,
		});
	}

	createControlClient(index: number): ControlClient {
		return createControlClient(`127.0.0.1:${this.daemons[index]?.controlPort}`, peerToken);
	}

	/** Applies a configuration and waits until it is in force on every daemon. */
	async applyConfiguration(document: Configuration): Promise<void> {
		const client = this.createControlClient(0);
		const accepted = await client.applyConfiguration.mutate({
			document,
			base: this.configurationVersion,
			by: 'bench',
		});
		this.configurationVersion = accepted.version;
		await this.waitForStatus(
			async (status) => status.configuration_version >= this.configurationVersion,
		);
	}

	/** Waits until the status of every daemon satisfies the predicate; throws on timeout. */
	async waitForStatus(
		predicate: (
			status: Awaited<ReturnType<ControlClient['status']['query']>>,
		) => Promise<boolean> | boolean,
		timeoutMs = 20_000,
	): Promise<void> {
		const deadline = Date.now() + timeoutMs;
		for (const index of this.daemons.keys()) {
			while (!(await this.checkStatus(index, predicate))) {
				if (Date.now() > deadline) {
					throw new Error(
						`daemon ${index + 1} did not reach the expected status within ${timeoutMs} ms`,
					);
				}
				await sleep(50);
			}
		}
	}

	/** Configures the faults that a stand-in simulates. */
	async setFaults(proc: ManagedProcess | undefined, faults: object): Promise<void> {
		await this.post(`http://127.0.0.1:${proc?.port}`, '/control', faults);
	}

	async fetchStats<T>(proc: ManagedProcess | undefined, urlPath = '/stats'): Promise<T> {
		const res = await fetch(`http://127.0.0.1:${proc?.port}${urlPath}`);
		return (await res.json()) as T;
	}

	/** Kills all processes of this fleet and removes its settings files. */
	async stop(): Promise<void> {
		const all = [...this.daemons, ...this.engines, ...this.services];
		if (this.platform) {
			all.push(this.platform);
		}
		await Promise.all(all.map((proc) => stopProcess(proc)));
		await fs.rm(this.tempDir, { recursive: true, force: true });
	}

	private async checkStatus(
		index: number,
		predicate: (
			status: Awaited<ReturnType<ControlClient['status']['query']>>,
		) => Promise<boolean> | boolean,
	): Promise<boolean> {
		try {
			return await predicate(await this.createControlClient(index).status.query());
		} catch {
			return false;
		}
	}

	/** Returns one entry per port, since several engines may share a process. */
	private async startStandIn(
		name: string,
		kind: string,
		options = '{}',
	): Promise<ManagedProcess[]> {
		const proc = spawn(name, [standInPath, kind, options]);
		const line = await waitForLine(proc, 'ports=');
		const ports = line.slice('ports='.length).split(',').map(Number);
		return ports.map((port, index) => ({
			...proc,
			name: index === 0 ? name : `${name}-${index + 1}`,
			port,
		}));
	}

	private async post(base: string, urlPath: string, body: object): Promise<void> {
		await fetch(`${base}${urlPath}`, { method: 'POST', body: JSON.stringify(body) });
	}

	private formatSettings(index: number, id: string, domain: string): string {
		return [
			'[vm]',
			`id = "${id}"`,
			`failure_domain = "${domain}"`,
			'address = "127.0.0.1"',
			'[listen]',
			'callers_port = 0',
			'control_port = 0',
			'[platform]',
			`kv = "${this.platformUrl}"`,
			`vm_list = "${this.platformUrl}"`,
			`weights = "${this.platformUrl}"`,
			'[peers]',
			`token = "${peerToken}"`,
			this.opts.settings?.(index) ?? '',
			'',
		].join('\n');
	}
}

export function customerApiKey(customer: string): string {
	return `key-of-${customer}`;
}

/** Hashes a customer's API key as the configuration stores it. */
export function hashCustomerApiKey(customer: string): string {
	return hashToken(customerApiKey(customer));
}

/** Signals a process and waits until it exits. */
export async function stopProcess(
	proc: ManagedProcess,
	signal: NodeJS.Signals = 'SIGKILL',
): Promise<void> {
	if (proc.child.exitCode !== null || proc.child.signalCode !== null) {
		return;
	}
	proc.child.setMaxListeners(0);
	const exited = new Promise((done) => proc.child.once('exit', done));
	proc.child.kill(signal);
	await exited;
}

export function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

export const bareRelayPath = path.join(root, 'bench/relay.js');

/** Starts a program that prints its port as `ports=PORT`. */
export async function spawnWithPort(name: string, args: string[]): Promise<ManagedProcess> {
	const proc = spawn(name, args);
	const line = await waitForLine(proc, 'ports=');
	proc.port = Number(line.slice('ports='.length));
	return proc;
}

/** Starts an idle Node.js process and returns its resident memory in bytes. */
export async function spawnIdleRuntime(): Promise<{ proc: ManagedProcess; rss: number }> {
	const program = 'setInterval(() => {}, 1e6); console.log("rss=" + process.memoryUsage.rss())';
	const proc = spawn('idle', ['-e', program]);
	const line = await waitForLine(proc, 'rss=');
	return { proc, rss: Number(line.slice('rss='.length)) };
}

function spawn(name: string, args: string[]): ManagedProcess {
	const child = childProcess.spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'inherit'] });
	const proc: ManagedProcess = { name, child, port: 0, controlPort: 0, domain: '', lines: [] };
	readline.createInterface({ input: child.stdout }).on('line', (line) => proc.lines.push(line));
	return proc;
}

async function waitForLine(proc: ManagedProcess, text: string): Promise<string> {
	const deadline = Date.now() + startTimeoutMs;
	while (Date.now() < deadline) {
		const line = proc.lines.find((line) => line.includes(text));
		if (line !== undefined) {
			return line;
		}
		if (proc.child.exitCode !== null) {
			break;
		}
		await sleep(20);
	}
	throw new Error(`${proc.name} did not start: ${proc.lines.join(' | ')}`);
}

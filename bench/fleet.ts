/**
 * Starts stand-ins and daemons as separate processes on loopback, and ends them by id.
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
const daemonMain = path.join(root, 'src/daemon/main.js');
const standInMain = path.join(root, 'test/stand-ins/main.js');
/** Secret of the daemons of one fleet; loopback only. */
export const peerToken = 'bench-peer-token-0123456789';
const startTimeoutMs = 20_000;

/** Options of one engine process, which may hold several engines. */
export type EngineProcessOptions = Partial<EngineOptions> & { count?: number };

/** A stand-in or daemon that runs. */
export interface ManagedProcess {
	name: string;
	child: childProcess.ChildProcess;
	port: number;
	/** Daemons only. */
	controlPort: number;
	domain: string;
	lines: string[];
}

export interface FleetOptions {
	daemons: number;
	domains: string[];
	/** Extra TOML lines for each daemon's settings, by table. */
	settings?: (index: number) => string;
}

export class Fleet {
	readonly daemons: ManagedProcess[] = [];
	readonly engines: ManagedProcess[] = [];
	readonly services: ManagedProcess[] = [];
	platform?: ManagedProcess;
	private dir = '';
	private version = 0;

	constructor(private readonly opts: FleetOptions) {}

	get platformUrl(): string {
		return `http://127.0.0.1:${this.platform?.port}`;
	}

	get daemonUrls(): string[] {
		return this.daemons.map((daemon) => `http://127.0.0.1:${daemon.port}`);
	}

	/** Starts platform, engines and services; daemons follow with `startDaemons`. */
	async startStandIns(engines: EngineProcessOptions[], services: number): Promise<void> {
		this.dir = await fs.mkdtemp(path.join(os.tmpdir(), 'slategauge-'));
		this.platform = (await this.standIn('platform', 'platform'))[0];
		const started = engines.map((opts, index) =>
			this.standIn(`engine-${index + 1}`, 'engine', JSON.stringify(opts)),
		);
		this.engines.push(...(await Promise.all(started)).flat());
		for (let index = 0; index < services; index++) {
			this.services.push(...(await this.standIn(`service-${index + 1}`, 'service')));
		}
	}

	async startDaemons(): Promise<void> {
		const indexes = Array.from({ length: this.opts.daemons }, (_, index) => index);
		await Promise.all(indexes.map((index) => this.startDaemon(index)));
	}

	/** Starts daemon `index`, again after it was ended. */
	async startDaemon(index: number): Promise<ManagedProcess> {
		const id = `vm-${index + 1}`;
		const domain = this.opts.domains[index % this.opts.domains.length] ?? 'hall';
		const file = path.join(this.dir, `${id}.toml`);
		await fs.writeFile(file, this.settingsText(index, id, domain));
		const proc = spawn(id, [daemonMain, 'run', file]);
		const line = await firstLine(proc, 'event=daemon.listening');
		proc.port = Number(/callers_port=(\d+)/.exec(line)?.[1]);
		proc.controlPort = Number(/control_port=(\d+)/.exec(line)?.[1]);
		this.daemons[index] = proc;
		proc.domain = domain;
		await this.registerVm(proc, 'live');
		return proc;
	}

	/** Puts a daemon into the platform's list. */
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

	/** Applies a configuration and waits until every daemon has it in force. */
	async applyConfiguration(document: Configuration): Promise<void> {
		const client = this.createControlClient(0);
		const accepted = await client.applyConfiguration.mutate({
			document,
			base: this.version,
			by: 'bench',
		});
		this.version = accepted.version;
		await this.waitForStatus(async (status) => status.configuration_version >= this.version);
	}

	/** Waits until the status of every daemon passes. */
	async waitForStatus(
		passes: (
			status: Awaited<ReturnType<ControlClient['status']['query']>>,
		) => Promise<boolean> | boolean,
		timeoutMs = 20_000,
	): Promise<void> {
		const until = Date.now() + timeoutMs;
		for (const index of this.daemons.keys()) {
			while (!(await this.passes(index, passes))) {
				if (Date.now() > until) {
					throw new Error(`daemon ${index + 1} did not get there in time`);
				}
				await sleep(50);
			}
		}
	}

	/** Sets faults of a stand-in. */
	async setFaults(proc: ManagedProcess | undefined, faults: object): Promise<void> {
		await this.post(`http://127.0.0.1:${proc?.port}`, '/control', faults);
	}

	async fetchStats<T>(proc: ManagedProcess | undefined, at = '/stats'): Promise<T> {
		const res = await fetch(`http://127.0.0.1:${proc?.port}${at}`);
		return (await res.json()) as T;
	}

	/** Ends every process that this fleet started. */
	async stop(): Promise<void> {
		const all = [...this.daemons, ...this.engines, ...this.services];
		if (this.platform) {
			all.push(this.platform);
		}
		await Promise.all(all.map((proc) => stopProcess(proc)));
		await fs.rm(this.dir, { recursive: true, force: true });
	}

	private async passes(
		index: number,
		passes: (
			status: Awaited<ReturnType<ControlClient['status']['query']>>,
		) => Promise<boolean> | boolean,
	): Promise<boolean> {
		try {
			return await passes(await this.createControlClient(index).status.query());
		} catch {
			return false;
		}
	}

	/** One entry for each port; several engines may share a process. */
	private async standIn(name: string, kind: string, options = '{}'): Promise<ManagedProcess[]> {
		const proc = spawn(name, [standInMain, kind, options]);
		const line = await firstLine(proc, 'ports=');
		const ports = line.slice('ports='.length).split(',').map(Number);
		return ports.map((port, index) => ({
			...proc,
			name: index === 0 ? name : `${name}-${index + 1}`,
			port,
		}));
	}

	private async post(base: string, at: string, body: object): Promise<void> {
		await fetch(`${base}${at}`, { method: 'POST', body: JSON.stringify(body) });
	}

	private settingsText(index: number, id: string, domain: string): string {
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

/** Bearer key of a customer of a bench. */
export function customerApiKey(customer: string): string {
	return `key-of-${customer}`;
}

/** Hash of a customer's key, as the configuration keeps it. */
export function hashCustomerApiKey(customer: string): string {
	return hashToken(customerApiKey(customer));
}

/** Ends a process and waits until it is gone. */
export async function stopProcess(
	proc: ManagedProcess,
	signal: NodeJS.Signals = 'SIGKILL',
): Promise<void> {
	if (proc.child.exitCode !== null || proc.child.signalCode !== null) {
		return;
	}
	proc.child.setMaxListeners(0);
	const gone = new Promise((done) => proc.child.once('exit', done));
	proc.child.kill(signal);
	await gone;
}

export function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

/** Program of the bare relay. */
export const bareRelayPath = path.join(root, 'bench/relay.js');

/** Starts a program that prints its port. */
export async function spawnWithPort(name: string, args: string[]): Promise<ManagedProcess> {
	const proc = spawn(name, args);
	const line = await firstLine(proc, 'ports=');
	proc.port = Number(line.slice('ports='.length));
	return proc;
}

/** Starts a runtime that does nothing, and its resident bytes. */
export async function spawnIdleRuntime(): Promise<{ proc: ManagedProcess; rss: number }> {
	const program = 'setInterval(() => {}, 1e6); console.log("rss=" + process.memoryUsage.rss())';
	const proc = spawn('idle', ['-e', program]);
	const line = await firstLine(proc, 'rss=');
	return { proc, rss: Number(line.slice('rss='.length)) };
}

function spawn(name: string, args: string[]): ManagedProcess {
	const child = childProcess.spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'inherit'] });
	const proc: ManagedProcess = { name, child, port: 0, controlPort: 0, domain: '', lines: [] };
	readline.createInterface({ input: child.stdout }).on('line', (line) => proc.lines.push(line));
	return proc;
}

async function firstLine(proc: ManagedProcess, part: string): Promise<string> {
	const until = Date.now() + startTimeoutMs;
	while (Date.now() < until) {
		const line = proc.lines.find((known) => known.includes(part));
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

/**
 * The processes of one soak run: real daemons, stand-ins for the store and the engines, and proxies between
 * them. Records every injected fault.
 * @module
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import { engineBehaviours, PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import type { Ports, Vm } from '../steps/relay-world.js';
import { key, RelayFixture, reservePorts, until } from '../steps/relay-world.js';
import { LoopbackProxy } from './loopback-proxy.js';
import type {
	AnnouncedLimit,
	EngineDeparture,
	InjectedFault,
	KeyChange,
	SoakBounds,
} from './types.js';

/** Default settings of the daemons, which the fixture doesn't override. */
export const bounds: SoakBounds = {
	contactMs: 3000,
	drainMs: 2000,
	configurationMs: 2000,
	stopMs: 8000,
	retryRatio: 0.2,
	retryExtra: 20,
	retryWindowMs: 10_000,
};
/** Time within which all daemons are ready, with room for a busy machine. */
const maxStartupMs = 40_000;
/** Time for which a departing engine keeps serving. */
const lingerMs = 3000;

/** Delay between a restore of the store and the renewed registration of the engines. */
const reregistrationDelayMs = 600;

/** A VM with its daemon and its proxy to the store. */
export interface SoakVm {
	name: string;
	vm: Vm;
	/** Number of starts of its process. */
	incarnation: number;
	storeProxy: LoopbackProxy;
	/** State of its links to engines. */
	links: string;
	/** Whether a fault is being injected into it. */
	hasFault: boolean;
}

export interface SoakEngine {
	standIn: PlatformEngineStandIn;
	proxy: LoopbackProxy;
	address: string;
	hasFault: boolean;
	/** Whether it is departing or has departed. */
	isLeaving: boolean;
	/** Unix milliseconds of its last restart, if any. */
	startedAt?: number;
	/** State in its registration; undefined once unregistered. */
	registeredState?: 'ready' | 'draining';
}

/** VMs reach the engines through proxies. */
class SoakFixture extends RelayFixture {
	override hasCuttableLinks = true;

	constructor(private readonly soakEngines: readonly SoakEngine[]) {
		super();
	}

	protected override get engineAddresses(): string[] {
		return this.soakEngines.map(({ address }) => address);
	}
}

export class SoakDeployment {
	readonly vms: SoakVm[] = [];
	readonly engines: SoakEngine[] = [];
	readonly fixture: RelayFixture = new SoakFixture(this.engines);
	readonly injectedFaults: InjectedFault[] = [];
	readonly keyChanges: KeyChange[] = [];
	readonly departures: EngineDeparture[] = [];
	readonly announcedLimits: AnnouncedLimit[] = [];
	/** Processes that ended without having been signalled, one line each. */
	readonly unexpectedExits: string[] = [];
	/** The rotating key of the newest configuration, and the one it replaced; empty before the first rotation. */
	currentKey = '';
	previousKey = '';
	private nextEngineNumber = 1;
	private nextKeyNumber = 1;
	private isStopping = false;
	private readonly storeAddresses = new Map<string, string>();

	/** @param logFolder folder for the logs of all daemons */
	constructor(private readonly logFolder: string) {}

	/**
	 * Starts all processes and waits until all VMs are ready.
	 * @param subnet third octet of the VMs' loopback addresses
	 */
	async start(vms: number, engines: number, subnet: number): Promise<void> {
		const { store } = this.fixture;
		await store.start();
		for (let index = 0; index < engines; index++) {
			await this.addEngine();
		}
		this.rotateKey();
		const [callers = 0, readiness = 0, peers = 0, metrics = 0] = reservePorts(4);
		const ports: Ports = { callers, readiness, peers, metrics };
		for (let index = 0; index < vms; index++) {
			await this.addVm(`vm-${index + 1}`, `127.0.${subnet}.${10 + index}`, ports);
		}
		await until(async () => {
			const ready = await Promise.all(this.vms.map((item) => this.isReady(item)));
			return ready.every(Boolean);
		}, maxStartupMs);
	}

	/** Kills all daemons without waiting for them to end. */
	killAll(): void {
		for (const { vm } of this.vms) {
			vm.process.kill('SIGKILL');
		}
	}

	isReady(item: SoakVm): Promise<boolean> {
		return this.fixture.isReady(item.vm);
	}

	/** @returns a function that records the end of the fault */
	recordFault(target: string, fault: string, planned = false): () => void {
		const item = {
			target,
			fault,
			from: performance.now(),
			until: Number.POSITIVE_INFINITY,
			planned,
		};
		this.injectedFaults.push(item);
		return () => {
			item.until = performance.now();
		};
	}

	/** Makes an engine announce a limit in its answers from now on, or none if undefined. */
	announceLimit({ standIn }: SoakEngine, limitPerS: number | undefined): void {
		const now = performance.now();
		const previous = this.announcedLimits.findLast(({ engine }) => engine === standIn.id);
		if (previous) {
			previous.until = Math.min(previous.until, now);
		}
		if (limitPerS !== undefined) {
			this.announcedLimits.push({
				engine: standIn.id,
				limitPerS,
				from: now,
				until: Number.POSITIVE_INFINITY,
			});
		}
		standIn.limitPerS = limitPerS;
	}

	async addEngine(): Promise<SoakEngine> {
		const standIn = new PlatformEngineStandIn(`e${this.nextEngineNumber++}`);
		const [host = '', port = ''] = (await standIn.start()).split(':');
		const proxy = new LoopbackProxy({ host, port: Number(port) });
		const address = await proxy.start();
		const engine: SoakEngine = { standIn, proxy, address, hasFault: false, isLeaving: false };
		this.engines.push(engine);
		this.fixture.engines.set(standIn.id, standIn);
		for (const { vm, links } of this.vms) {
			void this.fixture.setLinks(vm, links);
		}
		await this.writeRegistration(engine, 'ready');
		return engine;
	}

	/** Sets the state of a VM's links to all engines, as `RelayFixture.setLinks`. */
	async setLinks(item: SoakVm, state: string): Promise<void> {
		item.links = state;
		await this.fixture.setLinks(item.vm, state);
	}

	/** Restarts an engine under the same id and address; the limit it announced before is void. */
	async restartEngine(engine: SoakEngine): Promise<void> {
		this.announceLimit(engine, undefined);
		engine.standIn.server.closeAllConnections();
		engine.startedAt = Date.now();
		await this.writeRegistration(engine, 'ready');
	}

	/** @param announced whether the engine registers as draining first; else it is unregistered at once */
	async removeEngine(engine: SoakEngine, announced: boolean): Promise<void> {
		engine.isLeaving = true;
		const { id } = engine.standIn;
		if (announced) {
			await this.writeRegistration(engine, 'draining');
		} else {
			this.unregister(engine);
		}
		this.departures.push({ engine: id, at: performance.now() });
		await sleep(lingerMs);
		this.unregister(engine);
		const end = this.recordFault(id, 'gone');
		engine.proxy.stop();
		engine.standIn.stop();
		end();
	}

	/** Restores the store from a copy, then has the operator and the engines write their current state again. */
	async restoreStore(copyAgeMs: number, downtimeMs: number): Promise<void> {
		const { store } = this.fixture;
		const copy = store.createSnapshot();
		await sleep(copyAgeMs);
		const end = this.recordFault('store', 'restored');
		store.failureStatus = 503;
		await sleep(downtimeMs);
		store.failureStatus = undefined;
		store.restore(copy);
		this.fixture.writeConfiguration();
		await sleep(reregistrationDelayMs);
		for (const engine of this.engines) {
			if (engine.registeredState) {
				await this.writeRegistration(engine, engine.registeredState);
			} else {
				this.unregister(engine);
			}
		}
		end();
	}

	private async writeRegistration(engine: SoakEngine, state: 'ready' | 'draining'): Promise<void> {
		engine.registeredState = state;
		await this.fixture.register(engine.standIn, engine.address, state, engine.startedAt);
	}

	private unregister(engine: SoakEngine): void {
		engine.registeredState = undefined;
		this.fixture.store.remove(`servers/${engine.standIn.id}`);
	}

	/** Writes a configuration with the permanent key and a new one that replaces the current one. */
	rotateKey(): void {
		const next = `key-${this.nextKeyNumber++}`;
		const version = this.fixture.configure([key, next]);
		const at = performance.now();
		this.keyChanges.push({ key: next, version, at, kind: 'added' });
		if (this.currentKey !== '') {
			this.keyChanges.push({ key: this.currentKey, version, at, kind: 'removed' });
		}
		this.previousKey = this.currentKey;
		this.currentKey = next;
	}

	/** Starts the VM's process again once the previous one has ended. */
	async restartVm(item: SoakVm): Promise<void> {
		await item.vm.ended;
		item.vm = await this.startProcess(item.name, item.vm.address, item.vm.ports);
		item.incarnation++;
		this.watchExit(item);
	}

	async stop(): Promise<void> {
		this.isStopping = true;
		for (const { vm, storeProxy } of this.vms) {
			vm.process.kill('SIGKILL');
			await vm.ended;
			storeProxy.stop();
		}
		for (const { proxy, isLeaving } of this.engines) {
			if (!isLeaving) {
				proxy.stop();
			}
		}
		await this.fixture.stop();
	}

	private async addVm(name: string, address: string, ports: Ports): Promise<void> {
		const [host = '', port = ''] = this.fixture.store.addressFor(address).split(':');
		const storeProxy = new LoopbackProxy({ host, port: Number(port) });
		this.storeAddresses.set(name, await storeProxy.start());
		const vm = await this.startProcess(name, address, ports);
		const item = { name, vm, incarnation: 1, storeProxy, links: 'sound', hasFault: false };
		this.vms.push(item);
		this.watchExit(item);
	}

	private startProcess(name: string, address: string, ports: Ports): Promise<Vm> {
		const log = fs.openSync(path.join(this.logFolder, `${name}.log`), 'a');
		const seeds = this.vms.slice(0, 3).map((other) => `${other.vm.address}:9`);
		return this.fixture.startVm(address, name, ports, {
			log,
			seeds,
			store: this.storeAddresses.get(name),
		});
	}

	private watchExit(item: SoakVm): void {
		const { vm } = item;
		void vm.ended.then((code) => {
			// Faults that end the process set hasFault first, and lead to exit code 0 or none.
			const isUnexpected = !item.hasFault || (code !== null && code !== 0);
			if (isUnexpected && !this.isStopping) {
				this.unexpectedExits.push(`${item.name} exited with code ${code}: ${vm.errors}`);
			}
		});
	}
}

/** Behaviours that are correct, or are left out so that the seeds in regressions.ts draw the same faults. */
const excludedBehaviours: ReadonlySet<string> = new Set([
	engineBehaviours.healthy,
	engineBehaviours.unframed,
	engineBehaviours.answersTwice,
	engineBehaviours.answersEarly,
	// Streams in answer to requests that expect none.
	engineBehaviours.unframedStream,
	engineBehaviours.unframedStreamCut,
	engineBehaviours.unframedStreamCutInId,
]);

/** Faulty engine behaviours to draw from. */
export const faultyBehaviours = Object.values(engineBehaviours).filter(
	(name) => !excludedBehaviours.has(name),
);

export function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

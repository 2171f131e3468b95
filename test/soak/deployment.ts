/**
 * The processes of one run: real daemons, stand-ins of store and engines, and a proxy before the store
 * for each VM and before each engine. Notes every harm that it is told to do.
 * @module
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import { engineBehaviours, PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import type { Ports, Vm } from '../steps/relay-world.js';
import { freePorts, key, RelayFixture, until } from '../steps/relay-world.js';
import { LoopbackProxy } from './loopback-proxy.js';
import type {
	AnnouncedLimit,
	EngineDeparture,
	InjectedFault,
	KeyChange,
	SoakBounds,
} from './types.js';

/** The bounds that the daemons read from their settings; the settings of the fixture leave them at defaults. */
export const bounds: SoakBounds = {
	contactMs: 3000,
	drainMs: 2000,
	configurationMs: 2000,
	stopMs: 8000,
	retryRatio: 0.2,
	retryExtra: 20,
	retryWindowMs: 10_000,
};
/** All daemons are ready within this time, in milliseconds; on a machine with a load of 24 one took 10.5 s to start. */
const startMs = 40_000;
/** A leaving engine serves on for so long, then ends, in milliseconds. */
const lingerMs = 3000;

/** Engines write again so long after the store came back from an older copy, in milliseconds. */
const writeAgainMs = 600;

/** A VM with what lies around it. */
export interface SoakVm {
	name: string;
	vm: Vm;
	/** Counts the starts of its process. */
	incarnation: number;
	storeProxy: LoopbackProxy;
	/** A fault holds it now. */
	hasFault: boolean;
}

export interface SoakEngine {
	standIn: PlatformEngineStandIn;
	proxy: LoopbackProxy;
	address: string;
	hasFault: boolean;
	/** It leaves or has left. */
	isLeaving: boolean;
	/** Unix milliseconds of its last start, once it began again. */
	startedAt?: number;
	/** What its registration says; undefined once that is gone. */
	registeredState?: 'ready' | 'draining';
}

export class SoakDeployment {
	readonly fixture = new RelayFixture();
	readonly vms: SoakVm[] = [];
	readonly engines: SoakEngine[] = [];
	readonly injectedFaults: InjectedFault[] = [];
	readonly keyChanges: KeyChange[] = [];
	readonly departures: EngineDeparture[] = [];
	readonly announcedLimits: AnnouncedLimit[] = [];
	/** Processes that ended without having been told to. */
	readonly unexpectedExits: string[] = [];
	/** The key of the newest configuration beside the permanent one, and the one before. */
	currentKey = '';
	previousKey = '';
	private nextEngine = 1;
	private nextKey = 1;
	private stopping = false;
	private readonly addresses = new Map<string, string>();

	/** @param logs folder for the logs of all daemons */
	constructor(private readonly logs: string) {}

	async start(vms: number, engines: number, firstHost: number): Promise<void> {
		const { store } = this.fixture;
		await store.start();
		for (let at = 0; at < engines; at++) {
			await this.addEngine();
		}
		this.rotateKey();
		const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts(4);
		const ports: Ports = { callers, readiness, peers, metrics };
		for (let at = 0; at < vms; at++) {
			await this.addVm(`vm-${at + 1}`, `127.0.${firstHost}.${10 + at}`, ports);
		}
		await until(async () => {
			const ready = await Promise.all(this.vms.map((item) => this.isReady(item)));
			return ready.every(Boolean);
		}, startMs);
	}

	/** Ends all daemons at once, without waiting; for when the soak itself is ended. */
	killAll(): void {
		for (const { vm } of this.vms) {
			vm.process.kill('SIGKILL');
		}
	}

	isReady(item: SoakVm): Promise<boolean> {
		return this.fixture.isReady(item.vm);
	}

	/** Notes a harm; the returned function ends it. */
	recordFault(target: string, what: string, planned = false): () => void {
		const item = {
			target,
			what,
			from: performance.now(),
			until: Number.POSITIVE_INFINITY,
			planned,
		};
		this.injectedFaults.push(item);
		return () => {
			item.until = performance.now();
		};
	}

	/** An engine names a limit from now on, or none. */
	announceLimit({ standIn }: SoakEngine, perS: number | undefined): void {
		const now = performance.now();
		const before = this.announcedLimits.findLast(({ engine }) => engine === standIn.id);
		if (before) {
			before.until = Math.min(before.until, now);
		}
		if (perS !== undefined) {
			this.announcedLimits.push({
				engine: standIn.id,
				limitPerS: perS,
				from: now,
				until: Number.POSITIVE_INFINITY,
			});
		}
		standIn.limitPerS = perS;
	}

	async addEngine(): Promise<SoakEngine> {
		const standIn = new PlatformEngineStandIn(`e${this.nextEngine++}`);
		const [host = '', port = ''] = (await standIn.start()).split(':');
		const proxy = new LoopbackProxy({ host, port: Number(port) });
		const address = await proxy.start();
		const engine: SoakEngine = { standIn, proxy, address, hasFault: false, isLeaving: false };
		this.engines.push(engine);
		this.fixture.engines.set(standIn.id, standIn);
		await this.writeRegistration(engine, 'ready');
		return engine;
	}

	/** An engine starts again under its id and its address: what it said before no longer counts. */
	async restartEngine(engine: SoakEngine): Promise<void> {
		this.announceLimit(engine, undefined);
		engine.standIn.server.closeAllConnections();
		engine.startedAt = Date.now();
		await this.writeRegistration(engine, 'ready');
	}

	/** @param announced it says that it leaves; else its registration goes without a word */
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

	/** The store comes back from a copy of some time ago; operator and engines write again what they wrote since. */
	async restoreStore(agoMs: number, absentMs: number): Promise<void> {
		const { store } = this.fixture;
		const copy = store.copy();
		await sleep(agoMs);
		const end = this.recordFault('store', 'restored');
		store.failWith = 503;
		await sleep(absentMs);
		store.failWith = undefined;
		store.restore(copy);
		this.fixture.writeConfiguration();
		await sleep(writeAgainMs);
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

	/** Puts a new key in force beside the permanent one and takes the one before away. */
	rotateKey(): void {
		const next = `key-${this.nextKey++}`;
		const version = this.fixture.configure([key, next]);
		const at = performance.now();
		this.keyChanges.push({ key: next, version, at, kind: 'added' });
		if (this.currentKey !== '') {
			this.keyChanges.push({ key: this.currentKey, version, at, kind: 'removed' });
		}
		this.previousKey = this.currentKey;
		this.currentKey = next;
	}

	/** Starts the VM's process anew, once the one before has ended. */
	async restartVm(item: SoakVm): Promise<void> {
		await item.vm.ended;
		item.vm = await this.startProcess(item.name, item.vm.address, item.vm.ports);
		item.incarnation++;
		this.watchEnd(item);
	}

	async stop(): Promise<void> {
		this.stopping = true;
		for (const { vm, storeProxy: store } of this.vms) {
			vm.process.kill('SIGKILL');
			await vm.ended;
			store.stop();
		}
		for (const { proxy, isLeaving: leaving } of this.engines) {
			if (!leaving) {
				proxy.stop();
			}
		}
		await this.fixture.stop();
	}

	private async addVm(name: string, address: string, ports: Ports): Promise<void> {
		const [host = '', port = ''] = (await this.fixture.store.addressFor(address)).split(':');
		const store = new LoopbackProxy({ host, port: Number(port) });
		this.addresses.set(name, await store.start());
		const vm = await this.startProcess(name, address, ports);
		const item = { name, vm, life: 1, store, busy: false };
		this.vms.push(item);
		this.watchEnd(item);
	}

	private startProcess(name: string, address: string, ports: Ports): Promise<Vm> {
		const log = fs.openSync(path.join(this.logs, `${name}.log`), 'a');
		const seeds = this.vms.slice(0, 3).map((other) => `${other.vm.address}:9`);
		return this.fixture.startVm(address, name, ports, {
			log,
			seeds,
			store: this.addresses.get(name),
		});
	}

	private watchEnd(item: SoakVm): void {
		const { vm } = item;
		void vm.ended.then((code) => {
			// A fault that ends processes marks the VM as busy before, and leaves no code or 0.
			const isByItself = !item.hasFault || (code !== null && code !== 0);
			if (isByItself && !this.stopping) {
				this.unexpectedExits.push(`${item.name} ended with ${code}: ${vm.errors}`);
			}
		});
	}
}

/** Not drawn as harm: they answer well, or came later than the seeds that failed once. */
const notHarmful: ReadonlySet<string> = new Set([
	engineBehaviours.well,
	engineBehaviours.unframed,
	engineBehaviours.answersTwice,
	engineBehaviours.answersEarly,
]);

/** Behaviours of engines that do harm. */
export const faultyBehaviours = Object.values(engineBehaviours).filter(
	(name) => !notHarmful.has(name),
);

export function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

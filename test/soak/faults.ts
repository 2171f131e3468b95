/**
 * Fault injection, driven by the seed of a run. Each fault picks a healthy target, disturbs it for a while
 * and restores it; several run concurrently.
 * @module
 */
import type { Rng } from '../../bench/random.js';
import { engineBehaviours } from '../stand-ins/platform-engine.js';
import { crashingPart } from './callers.js';
import type { SoakDeployment, SoakEngine, SoakVm } from './deployment.js';
import { faultyBehaviours, sleep } from './deployment.js';
import type { LinkState } from './loopback-proxy.js';
import { linkStates } from './loopback-proxy.js';
import { engineFaults } from './types.js';

/** Shortest and longest duration of a fault. */
const minFaultMs = 150;
const maxFaultMs = 3500;
/** Shortest duration of a cut from all engines; a VM notices it within some 1.5 s. */
const minCutMs = 1500;
/** Shortest duration for which a prompt part crashes engines. */
const minCrashingMs = 1500;
/** VMs and engines that always stay healthy, so that requests can be served. */
const minHealthy = 1;
/** Longest back-off that an engine asks for. */
const maxBackOffS = 4;
/** Shortest and longest silence of an engine that goes on afterwards, and the longest time until it falls silent again. */
const minSilenceMs = 750;
const maxSilenceMs = 1500;
const maxSpeakingMs = 1000;
/** Share of these silences that come twice in a row. */
const repeatedSilenceShare = 0.3;
/** Limits that an engine announces, in requests per second, and for how long. */
const limitsPerS = [0.5, 1, 3, 10, 30];
const minLimitMs = 4000;
const maxLimitMs = 9000;
/** Behaviours of an overloaded engine. */
const overloadedBehaviours = [engineBehaviours.rejects, engineBehaviours.unmarked503];
const overloadedOrHealthy = [...overloadedBehaviours, engineBehaviours.healthy];

type Fault = (injector: FaultInjector) => Promise<void>;

export class FaultInjector {
	/** @param faultTypeCount number of entries of the fault list to draw from */
	constructor(
		readonly deployment: SoakDeployment,
		readonly rng: Rng,
		private readonly faultTypeCount = faults.length,
	) {}

	/** Injects faults in concurrent loops until the given time; resolves when all targets are restored. */
	async run(concurrentFaults: number, untilMs: number): Promise<void> {
		await Promise.all(Array.from({ length: concurrentFaults }, () => this.injectUntil(untilMs)));
	}

	randomDurationMs(): number {
		return minFaultMs + this.rng() ** 2 * (maxFaultMs - minFaultMs);
	}

	pickRandom<T>(items: readonly T[]): T {
		return items[Math.floor(this.rng() * items.length)] as T;
	}

	/** Disturbs a random healthy VM, if enough others are healthy. */
	async injectVmFault(
		fault: string,
		planned: boolean,
		disturb: (vm: SoakVm) => Promise<void>,
	): Promise<void> {
		const healthy = this.deployment.vms.filter((vm) => !vm.hasFault);
		if (healthy.length > minHealthy) {
			await this.inject(this.pickRandom(healthy), (vm) => vm.name, fault, planned, disturb);
		}
	}

	/** Disturbs a random healthy engine, if enough others are healthy. */
	async injectEngineFault(
		fault: string,
		disturb: (engine: SoakEngine) => Promise<void>,
	): Promise<void> {
		const healthy = this.deployment.engines.filter(
			(engine) => !engine.hasFault && !engine.isLeaving,
		);
		if (healthy.length > minHealthy) {
			await this.inject(
				this.pickRandom(healthy),
				(engine) => engine.standIn.id,
				fault,
				false,
				disturb,
			);
		}
	}

	private async inject<T extends { hasFault: boolean }>(
		target: T,
		getName: (target: T) => string,
		fault: string,
		planned: boolean,
		disturb: (target: T) => Promise<void>,
	): Promise<void> {
		target.hasFault = true;
		const end = this.deployment.recordFault(getName(target), fault, planned);
		await disturb(target);
		end();
		target.hasFault = false;
	}

	private async injectUntil(untilMs: number): Promise<void> {
		while (performance.now() < untilMs) {
			await this.pickRandom(faults.slice(0, this.faultTypeCount))(this);
			await sleep(this.rng() * 400);
		}
	}
}

const vmKilled: Fault = (injector) =>
	injector.injectVmFault('killed', false, async (item) => {
		item.vm.process.kill('SIGKILL');
		await sleep(injector.rng() * 1000);
		await injector.deployment.restartVm(item);
		await waitUntilReady(injector, item);
	});

const vmPaused: Fault = (injector) =>
	injector.injectVmFault('paused', false, async (item) => {
		item.vm.process.kill('SIGSTOP');
		await sleep(injector.randomDurationMs());
		item.vm.process.kill('SIGCONT');
	});

const vmStopped: Fault = (injector) =>
	injector.injectVmFault('stopped', true, async (item) => {
		item.vm.process.kill('SIGTERM');
		await injector.deployment.restartVm(item);
		await waitUntilReady(injector, item);
	});

const vmReloaded: Fault = (injector) =>
	injector.injectVmFault('reloaded', true, async (item) => {
		item.vm.process.kill('SIGHUP');
		await sleep(100);
	});

/** One VM's connection to the store fails. */
const storeLinkFails: Fault = (injector) => {
	const state = injector.pickRandom<LinkState>(Object.values(linkStates));
	return injector.injectVmFault(`store ${state}`, false, async (item) => {
		item.storeProxy.setState(state);
		if (injector.rng() < 0.3) {
			item.storeProxy.resetConnections();
		}
		await sleep(injector.randomDurationMs());
		item.storeProxy.setState(linkStates.healthy);
	});
};

const storeLinkSlow: Fault = (injector) =>
	injector.injectVmFault('store slow', false, async (item) => {
		item.storeProxy.setDelay(20 + injector.rng() * 600);
		await sleep(injector.randomDurationMs());
		item.storeProxy.setDelay(0);
	});

const storeDeniesAccess: Fault = (injector) =>
	injector.injectVmFault('store access denied', false, async (item) => {
		const { store } = injector.deployment.fixture;
		store.refuseVm(item.vm.address);
		await sleep(injector.randomDurationMs());
		store.readmitVm(item.vm.address);
	});

const storeDown: Fault = async (injector) => {
	const { deployment } = injector;
	const end = deployment.recordFault('store', 'down');
	deployment.fixture.store.failureStatus = injector.pickRandom([503, 429]);
	await sleep(injector.randomDurationMs() / 2);
	deployment.fixture.store.failureStatus = undefined;
	end();
};

const storeCompacted: Fault = async (injector) => {
	const end = injector.deployment.recordFault('store', 'compacted');
	injector.deployment.fixture.store.compact();
	end();
};

const storeLosesAnswers: Fault = async (injector) => {
	const { deployment } = injector;
	const end = deployment.recordFault('store', 'answers lost');
	deployment.fixture.store.losesReplies = true;
	await sleep(injector.randomDurationMs() / 2);
	deployment.fixture.store.losesReplies = false;
	end();
};

const engineMisbehaves: Fault = (injector) => {
	const behaviour = injector.pickRandom(faultyBehaviours);
	return injector.injectEngineFault(behaviour, async ({ standIn }) => {
		standIn.behaviour = behaviour;
		await sleep(injector.randomDurationMs());
		standIn.behaviour = 'well';
	});
};

const engineLinkFails: Fault = (injector) => {
	const state = injector.pickRandom<LinkState>(Object.values(linkStates));
	return injector.injectEngineFault(`link ${state}`, async ({ proxy }) => {
		proxy.setState(state);
		if (injector.rng() < 0.5) {
			proxy.resetConnections();
		}
		await sleep(injector.randomDurationMs());
		proxy.setState(linkStates.healthy);
	});
};

const engineLinkSlow: Fault = (injector) =>
	injector.injectEngineFault('link slow', async ({ proxy }) => {
		proxy.setDelay(injector.rng() * 400);
		await sleep(injector.randomDurationMs());
		proxy.setDelay(0);
	});

/** An engine departs after a new one has joined. */
const engineLeaves: Fault = async (injector) => {
	const { deployment } = injector;
	const healthy = deployment.engines.filter((engine) => !engine.hasFault && !engine.isLeaving);
	if (healthy.length > minHealthy) {
		await deployment.addEngine();
		await deployment.removeEngine(injector.pickRandom(healthy), injector.rng() < 0.6);
	}
};

/**
 * An engine departs, and the watches that wait for it, of one VM or of all, get no answer. Not recorded as a fault of a VM, which
 * has to notice it within the usual bounds.
 */
const engineLeavesUnheard: Fault = async (injector) => {
	const { deployment } = injector;
	const { address } = injector.pickRandom(deployment.vms).vm;
	const isForAll = injector.rng() < 0.5;
	const end = deployment.recordFault(isForAll ? 'watches' : `watches of ${address}`, 'lost');
	deployment.fixture.store.loseWaitingWatches((vm) => isForAll || vm === address);
	await engineLeaves(injector);
	end();
};

/** An engine announces only in its answers that it leaves, and is unregistered later. */
const engineAnnouncesLeaving: Fault = async (injector) => {
	const { deployment } = injector;
	const healthy = deployment.engines.filter((engine) => !engine.hasFault && !engine.isLeaving);
	if (healthy.length > minHealthy) {
		await deployment.addEngine();
		const engine = injector.pickRandom(healthy);
		engine.isLeaving = true;
		engine.standIn.isDraining = true;
		await sleep(injector.randomDurationMs());
		engine.standIn.behaviour = injector.pickRandom(overloadedOrHealthy);
		const end = deployment.recordFault(engine.standIn.id, engineFaults.overloaded);
		await sleep(injector.randomDurationMs());
		await deployment.removeEngine(engine, false);
		end();
	}
};

/** An engine refuses requests and asks for back-off; it may accept requests again before the back-off ends. */
const engineSheds: Fault = (injector) =>
	injector.injectEngineFault('sheds', async ({ standIn }) => {
		standIn.backOffS = injector.rng() * maxBackOffS;
		standIn.behaviour = injector.pickRandom(overloadedBehaviours);
		await sleep(injector.randomDurationMs());
		standIn.behaviour = 'well';
		standIn.backOffS = undefined;
	});

/** An engine announces a limit, and may then shed requests under another limit. */
const engineAnnouncesLimit: Fault = (injector) =>
	injector.injectEngineFault('announces a limit', async (engine) => {
		const { deployment, rng } = injector;
		deployment.announceLimit(engine, injector.pickRandom(limitsPerS));
		await sleep(minLimitMs + rng() * (maxLimitMs - minLimitMs));
		if (rng() < 0.3) {
			engine.standIn.behaviour = injector.pickRandom(overloadedBehaviours);
			deployment.announceLimit(engine, injector.pickRandom(limitsPerS));
			await sleep(minLimitMs);
			engine.standIn.behaviour = engineBehaviours.healthy;
		}
		deployment.announceLimit(engine, undefined);
	});

const engineAnswersTwice: Fault = (injector) =>
	injector.injectEngineFault('answers twice', async ({ standIn }) => {
		standIn.behaviour = engineBehaviours.answersTwice;
		await sleep(injector.randomDurationMs());
		standIn.behaviour = engineBehaviours.healthy;
	});

/** The store is restored from an older copy, once or twice in a row. */
const storeRestored: Fault = async (injector) => {
	const { deployment } = injector;
	await deployment.restoreStore(injector.randomDurationMs(), injector.randomDurationMs() / 4);
	if (injector.rng() < 0.4) {
		await deployment.restoreStore(injector.randomDurationMs() / 2, injector.randomDurationMs() / 4);
	}
};

const keyRotated: Fault = async (injector) => {
	injector.deployment.rotateKey();
};

const keysRotatedRapidly: Fault = async (injector) => {
	for (let remaining = 5; remaining > 0; remaining--) {
		injector.deployment.rotateKey();
		await sleep(injector.rng() * 150);
	}
};

/** An engine drops idle connections, resets new ones, or both. */
const engineDropsConnections: Fault = (injector) =>
	injector.injectEngineFault('drops connections', async ({ standIn }) => {
		standIn.resetsReusedConnections = injector.rng() < 0.7;
		standIn.resetsNewConnections = !standIn.resetsReusedConnections || injector.rng() < 0.3;
		await sleep(injector.randomDurationMs());
		standIn.resetsReusedConnections = false;
		standIn.resetsNewConnections = false;
	});

const engineRestarts: Fault = (injector) =>
	injector.injectEngineFault('restarted', (engine) => injector.deployment.restartEngine(engine));

/** One VM or most of them lose their links to all engines. */
const vmsLoseLinks: Fault = async (injector) => {
	const { deployment, rng } = injector;
	const state = injector.pickRandom(['hang', 'reset', 'refuse']);
	const ms = minCutMs + injector.randomDurationMs();
	const count = Math.ceil(rng() ** 2 * deployment.vms.length);
	const cut = () =>
		injector.injectVmFault(`links ${state}`, false, async (item) => {
			await deployment.setLinks(item, state);
			await sleep(ms);
			await deployment.setLinks(item, 'sound');
		});
	await Promise.all(Array.from({ length: count }, cut));
};

/** All engines crash, and start again, as they begin to answer prompts with one part. */
const promptPartCrashesEngines: Fault = async ({ deployment, rng }) => {
	const engines = deployment.engines.filter(({ isLeaving }) => !isLeaving);
	for (const engine of engines) {
		engine.standIn.restartsAtOnce = true;
		engine.standIn.onCrash = () => {
			deployment.recordFault(engine.standIn.id, engineFaults.crashed)();
			// One that leaves does not register again.
			if (!engine.isLeaving) {
				void deployment.restartEngine(engine);
			}
		};
		engine.standIn.crashParts = [crashingPart];
	}
	await sleep(minCrashingMs + rng() * maxFaultMs);
	for (const { standIn } of engines) {
		standIn.crashParts = [];
	}
};

/** One engine, several or all fall silent at the same time, whatever else disturbs them, and go on; once or twice in a row. */
const enginesFallSilent: Fault = async ({ deployment, rng }) => {
	const present = deployment.engines.filter(({ registeredState }) => registeredState !== undefined);
	const count = Math.ceil(rng() * present.length);
	// Half of the silences are of all engines.
	const engines = rng() < 0.5 ? present : present.slice(0, count);
	for (let left = rng() < repeatedSilenceShare ? 2 : 1; left > 0; left--) {
		const ms = minSilenceMs + rng() * (maxSilenceMs - minSilenceMs);
		const ends = engines.map(({ standIn }) => {
			standIn.fallSilent(ms);
			return deployment.recordFault(standIn.id, engineFaults.silent);
		});
		await sleep(ms);
		for (const end of ends) {
			end();
		}
		await sleep(rng() * maxSpeakingMs);
	}
};

const faults: readonly Fault[] = [
	vmKilled,
	vmPaused,
	vmStopped,
	vmStopped,
	vmReloaded,
	storeLinkFails,
	storeLinkSlow,
	storeDeniesAccess,
	storeDown,
	storeCompacted,
	storeLosesAnswers,
	engineMisbehaves,
	engineMisbehaves,
	engineLinkFails,
	engineLinkSlow,
	engineLeaves,
	keyRotated,
	keysRotatedRapidly,
	// Append new faults at the end: the seeds in regressions.ts draw from the first entries.
	engineAnnouncesLeaving,
	engineSheds,
	storeRestored,
	engineAnswersTwice,
	engineAnnouncesLimit,
	engineAnnouncesLimit,
	engineDropsConnections,
	engineRestarts,
	engineLeavesUnheard,
	engineLeavesUnheard,
	vmsLoseLinks,
	vmsLoseLinks,
	promptPartCrashesEngines,
	enginesFallSilent,
	enginesFallSilent,
];

/** Waits until a started VM is ready, or gives up after a while, as the store may be unavailable. */
async function waitUntilReady(injector: FaultInjector, item: SoakVm): Promise<void> {
	const deadline = performance.now() + 10_000;
	while (!(await injector.deployment.isReady(item)) && performance.now() < deadline) {
		await sleep(100);
	}
}

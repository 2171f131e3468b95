/**
 * The faults of a run, drawn from its seed. Each draws its target among what is whole, harms it for a
 * while and puts it right again; several run at the same time.
 * @module
 */
import type { Rng } from '../../bench/random.js';
import { engineBehaviours } from '../stand-ins/platform-engine.js';
import type { SoakDeployment, SoakEngine, SoakVm } from './deployment.js';
import { faultyBehaviours, sleep } from './deployment.js';
import type { LinkState } from './loopback-proxy.js';
import { linkStates } from './loopback-proxy.js';

/** Shortest and longest fault, in milliseconds. */
const shortestMs = 150;
const longestMs = 3500;
/** VMs and engines that stay whole, so that requests can be served at all. */
const spared = 1;
/** Longest rest that an engine asks for, in seconds. */
const mostRestS = 4;
/** Limits that an engine names, in requests a second, and for how long, in milliseconds. */
const limits = [0.5, 1, 3, 10, 30];
const shortestLimitMs = 4000;
const longestLimitMs = 9000;
/** What an engine does that has too much to do. */
const shedding = [engineBehaviours.rejects, engineBehaviours.bare503];
const sheddingOrWell = [...shedding, engineBehaviours.well];

type Fault = (run: FaultInjector) => Promise<void>;

export class FaultInjector {
	/** @param known draws among the first so many faults; all unless given */
	constructor(
		readonly deployment: SoakDeployment,
		readonly rng: Rng,
		private readonly known = faults.length,
	) {}

	/** Runs faults in several series until the time is over; resolves when all are put right. */
	async run(series: number, untilMs: number): Promise<void> {
		await Promise.all(Array.from({ length: series }, () => this.injectUntil(untilMs)));
	}

	/** Length of a fault, in milliseconds. */
	randomDurationMs(): number {
		return shortestMs + this.rng() ** 2 * (longestMs - shortestMs);
	}

	pickRandom<T>(items: readonly T[]): T {
		return items[Math.floor(this.rng() * items.length)] as T;
	}

	/** Harms one VM that is whole, if enough others are. */
	async injectVmFault(
		what: string,
		planned: boolean,
		harm: (vm: SoakVm) => Promise<void>,
	): Promise<void> {
		const whole = this.deployment.vms.filter((vm) => !vm.hasFault);
		if (whole.length > spared) {
			await this.inject(this.pickRandom(whole), (vm) => vm.name, what, planned, harm);
		}
	}

	async injectEngineFault(
		what: string,
		harm: (engine: SoakEngine) => Promise<void>,
	): Promise<void> {
		const whole = this.deployment.engines.filter((engine) => !engine.hasFault && !engine.isLeaving);
		if (whole.length > spared) {
			await this.inject(this.pickRandom(whole), (engine) => engine.standIn.id, what, false, harm);
		}
	}

	private async inject<T extends { busy: boolean }>(
		target: T,
		name: (target: T) => string,
		what: string,
		planned: boolean,
		harm: (target: T) => Promise<void>,
	): Promise<void> {
		target.busy = true;
		const end = this.deployment.recordFault(name(target), what, planned);
		await harm(target);
		end();
		target.busy = false;
	}

	private async injectUntil(untilMs: number): Promise<void> {
		while (performance.now() < untilMs) {
			await this.pickRandom(faults.slice(0, this.known))(this);
			await sleep(this.rng() * 400);
		}
	}
}

const kill: Fault = (run) =>
	run.injectVmFault('killed', false, async (item) => {
		item.vm.process.kill('SIGKILL');
		await sleep(run.rng() * 1000);
		await run.deployment.restartVm(item);
		await ready(run, item);
	});

const pause: Fault = (run) =>
	run.injectVmFault('paused', false, async (item) => {
		item.vm.process.kill('SIGSTOP');
		await sleep(run.randomDurationMs());
		item.vm.process.kill('SIGCONT');
	});

const term: Fault = (run) =>
	run.injectVmFault('stopped', true, async (item) => {
		item.vm.process.kill('SIGTERM');
		await run.deployment.restartVm(item);
		await ready(run, item);
	});

const reload: Fault = (run) =>
	run.injectVmFault('reloaded', true, async (item) => {
		item.vm.process.kill('SIGHUP');
		await sleep(100);
	});

/** The store is not reached by one VM. */
const storeLink: Fault = (run) => {
	const state = run.pickRandom<LinkState>(Object.values(linkStates));
	return run.injectVmFault(`store ${state}`, false, async (item) => {
		item.storeProxy.setState(state);
		if (run.rng() < 0.3) {
			item.storeProxy.resetConnections();
		}
		await sleep(run.randomDurationMs());
		item.storeProxy.setState(linkStates.healthy);
	});
};

const storeSlow: Fault = (run) =>
	run.injectVmFault('store slow', false, async (item) => {
		item.storeProxy.setDelay(20 + run.rng() * 600);
		await sleep(run.randomDurationMs());
		item.storeProxy.setDelay(0);
	});

const turnedAway: Fault = (run) =>
	run.injectVmFault('turned away', false, async (item) => {
		const { store } = run.deployment.fixture;
		store.turnAway(item.vm.address);
		await sleep(run.randomDurationMs());
		store.takeBack(item.vm.address);
	});

const storeDown: Fault = async (run) => {
	const { deployment } = run;
	const end = deployment.recordFault('store', 'down');
	deployment.fixture.store.failWith = run.pickRandom([503, 429]);
	await sleep(run.randomDurationMs() / 2);
	deployment.fixture.store.failWith = undefined;
	end();
};

const storeCompacted: Fault = async (run) => {
	const end = run.deployment.recordFault('store', 'compacted');
	run.deployment.fixture.store.compact();
	end();
};

const storeLosesAnswers: Fault = async (run) => {
	const { deployment } = run;
	const end = deployment.recordFault('store', 'answers lost');
	deployment.fixture.store.loseAnswers = true;
	await sleep(run.randomDurationMs() / 2);
	deployment.fixture.store.loseAnswers = false;
	end();
};

const engineMisbehaves: Fault = (run) => {
	const behaviour = run.pickRandom(faultyBehaviours);
	return run.injectEngineFault(behaviour, async ({ standIn }) => {
		standIn.behaviour = behaviour;
		await sleep(run.randomDurationMs());
		standIn.behaviour = 'well';
	});
};

const engineLink: Fault = (run) => {
	const state = run.pickRandom<LinkState>(Object.values(linkStates));
	return run.injectEngineFault(`link ${state}`, async ({ proxy }) => {
		proxy.setState(state);
		if (run.rng() < 0.5) {
			proxy.resetConnections();
		}
		await sleep(run.randomDurationMs());
		proxy.setState(linkStates.healthy);
	});
};

const engineSlow: Fault = (run) =>
	run.injectEngineFault('link slow', async ({ proxy }) => {
		proxy.setDelay(run.rng() * 400);
		await sleep(run.randomDurationMs());
		proxy.setDelay(0);
	});

/** An engine leaves while another takes its place. */
const engineLeaves: Fault = async (run) => {
	const { deployment } = run;
	const whole = deployment.engines.filter((engine) => !engine.hasFault && !engine.isLeaving);
	if (whole.length > spared) {
		await deployment.addEngine();
		await deployment.removeEngine(run.pickRandom(whole), run.rng() < 0.6);
	}
};

/** An engine says only in its answers that it leaves, whatever else it does; its registration goes later. */
const engineSaysLeaving: Fault = async (run) => {
	const { deployment } = run;
	const whole = deployment.engines.filter((engine) => !engine.hasFault && !engine.isLeaving);
	if (whole.length > spared) {
		await deployment.addEngine();
		const engine = run.pickRandom(whole);
		engine.isLeaving = true;
		engine.standIn.isLeaving = true;
		await sleep(run.randomDurationMs());
		engine.standIn.behaviour = run.pickRandom(sheddingOrWell);
		await sleep(run.randomDurationMs());
		await deployment.removeEngine(engine, false);
	}
};

/** An engine turns requests away and asks for rest; it may take some again before that is over. */
const engineSheds: Fault = (run) =>
	run.injectEngineFault('sheds', async ({ standIn }) => {
		standIn.restS = run.rng() * mostRestS;
		standIn.behaviour = run.pickRandom(shedding);
		await sleep(run.randomDurationMs());
		standIn.behaviour = 'well';
		standIn.restS = undefined;
	});

/** An engine names a limit, perhaps another one later, and may shed or say that it leaves meanwhile. */
const engineLimits: Fault = (run) =>
	run.injectEngineFault('names a limit', async (engine) => {
		const { deployment, rng } = run;
		deployment.announceLimit(engine, run.pickRandom(limits));
		await sleep(shortestLimitMs + rng() * (longestLimitMs - shortestLimitMs));
		if (rng() < 0.3) {
			engine.standIn.behaviour = run.pickRandom(shedding);
			deployment.announceLimit(engine, run.pickRandom(limits));
			await sleep(shortestLimitMs);
			engine.standIn.behaviour = engineBehaviours.well;
		}
		deployment.announceLimit(engine, undefined);
	});

const engineAnswersTwice: Fault = (run) =>
	run.injectEngineFault('answers twice', async ({ standIn }) => {
		standIn.behaviour = engineBehaviours.answersTwice;
		await sleep(run.randomDurationMs());
		standIn.behaviour = engineBehaviours.well;
	});

/** The store comes back from older copies, once or twice in a row. */
const storeRestored: Fault = async (run) => {
	const { deployment } = run;
	await deployment.restoreStore(run.randomDurationMs(), run.randomDurationMs() / 4);
	if (run.rng() < 0.4) {
		await deployment.restoreStore(run.randomDurationMs() / 2, run.randomDurationMs() / 4);
	}
};

const keyChange: Fault = async (run) => {
	run.deployment.rotateKey();
};

const keyStorm: Fault = async (run) => {
	for (let left = 5; left > 0; left--) {
		run.deployment.rotateKey();
		await sleep(run.rng() * 150);
	}
};

/** An engine forgets idle connections, or resets new ones, or both. */
const engineDropsConnections: Fault = (run) =>
	run.injectEngineFault('drops connections', async ({ standIn }) => {
		standIn.dropsIdle = run.rng() < 0.7;
		standIn.resetsNew = !standIn.dropsIdle || run.rng() < 0.3;
		await sleep(run.randomDurationMs());
		standIn.dropsIdle = false;
		standIn.resetsNew = false;
	});

const engineBeginsAgain: Fault = (run) =>
	run.injectEngineFault('begins again', (engine) => run.deployment.restartEngine(engine));

const faults: readonly Fault[] = [
	kill,
	pause,
	term,
	term,
	reload,
	storeLink,
	storeSlow,
	turnedAway,
	storeDown,
	storeCompacted,
	storeLosesAnswers,
	engineMisbehaves,
	engineMisbehaves,
	engineLink,
	engineSlow,
	engineLeaves,
	keyChange,
	keyStorm,
	// New ones come last: seeds that failed draw among those that were there then.
	engineSaysLeaving,
	engineSheds,
	storeRestored,
	engineAnswersTwice,
	engineLimits,
	engineLimits,
	engineDropsConnections,
	engineBeginsAgain,
];

/** Waits until a started process says that it is ready; the store may be harmed meanwhile. */
async function ready(run: FaultInjector, item: SoakVm): Promise<void> {
	const latest = performance.now() + 10_000;
	while (!(await run.deployment.isReady(item)) && performance.now() < latest) {
		await sleep(100);
	}
}

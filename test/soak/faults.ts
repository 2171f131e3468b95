/**
 * The faults of a run, drawn from its seed. Each draws its target among what is whole, harms it for a
 * while and puts it right again; several run at the same time.
 * @module
 */
import type { Rng } from '../../bench/random.js';
import { engineBehaviours } from '../stand-ins/platform-engine.js';
import type { SoakDeployment, SoakEngine, SoakVm } from './deployment.js';
import { harmful, sleep } from './deployment.js';
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

type Fault = (run: FaultRun) => Promise<void>;

export class FaultRun {
	/** @param known draws among the first so many faults; all unless given */
	constructor(
		readonly deployment: SoakDeployment,
		readonly rng: Rng,
		private readonly known = faults.length,
	) {}

	/** Runs faults in several series until the time is over; resolves when all are put right. */
	async run(series: number, untilMs: number): Promise<void> {
		await Promise.all(Array.from({ length: series }, () => this.oneSeries(untilMs)));
	}

	/** Length of a fault, in milliseconds. */
	duration(): number {
		return shortestMs + this.rng() ** 2 * (longestMs - shortestMs);
	}

	pick<T>(items: readonly T[]): T {
		return items[Math.floor(this.rng() * items.length)] as T;
	}

	/** Harms one VM that is whole, if enough others are. */
	async withVm(what: string, planned: boolean, harm: (vm: SoakVm) => Promise<void>): Promise<void> {
		const whole = this.deployment.vms.filter((vm) => !vm.busy);
		if (whole.length > spared) {
			await this.hold(this.pick(whole), (vm) => vm.name, what, planned, harm);
		}
	}

	async withEngine(what: string, harm: (engine: SoakEngine) => Promise<void>): Promise<void> {
		const whole = this.deployment.engines.filter((engine) => !engine.busy && !engine.leaving);
		if (whole.length > spared) {
			await this.hold(this.pick(whole), (engine) => engine.standIn.id, what, false, harm);
		}
	}

	private async hold<T extends { busy: boolean }>(
		target: T,
		name: (target: T) => string,
		what: string,
		planned: boolean,
		harm: (target: T) => Promise<void>,
	): Promise<void> {
		target.busy = true;
		const end = this.deployment.disturb(name(target), what, planned);
		await harm(target);
		end();
		target.busy = false;
	}

	private async oneSeries(untilMs: number): Promise<void> {
		while (performance.now() < untilMs) {
			await this.pick(faults.slice(0, this.known))(this);
			await sleep(this.rng() * 400);
		}
	}
}

const kill: Fault = (run) =>
	run.withVm('killed', false, async (item) => {
		item.vm.process.kill('SIGKILL');
		await sleep(run.rng() * 1000);
		await run.deployment.restart(item);
		await ready(run, item);
	});

const pause: Fault = (run) =>
	run.withVm('paused', false, async (item) => {
		item.vm.process.kill('SIGSTOP');
		await sleep(run.duration());
		item.vm.process.kill('SIGCONT');
	});

const term: Fault = (run) =>
	run.withVm('stopped', true, async (item) => {
		item.vm.process.kill('SIGTERM');
		await run.deployment.restart(item);
		await ready(run, item);
	});

const reload: Fault = (run) =>
	run.withVm('reloaded', true, async (item) => {
		item.vm.process.kill('SIGHUP');
		await sleep(100);
	});

/** The store is not reached by one VM. */
const storeLink: Fault = (run) => {
	const state = run.pick<LinkState>(Object.values(linkStates));
	return run.withVm(`store ${state}`, false, async (item) => {
		item.store.set(state);
		if (run.rng() < 0.3) {
			item.store.reset();
		}
		await sleep(run.duration());
		item.store.set(linkStates.well);
	});
};

const storeSlow: Fault = (run) =>
	run.withVm('store slow', false, async (item) => {
		item.store.delay(20 + run.rng() * 600);
		await sleep(run.duration());
		item.store.delay(0);
	});

const turnedAway: Fault = (run) =>
	run.withVm('turned away', false, async (item) => {
		const { store } = run.deployment.fixture;
		store.turnAway(item.vm.address);
		await sleep(run.duration());
		store.takeBack(item.vm.address);
	});

const storeDown: Fault = async (run) => {
	const { deployment } = run;
	const end = deployment.disturb('store', 'down');
	deployment.fixture.store.failWith = run.pick([503, 429]);
	await sleep(run.duration() / 2);
	deployment.fixture.store.failWith = undefined;
	end();
};

const storeCompacted: Fault = async (run) => {
	const end = run.deployment.disturb('store', 'compacted');
	run.deployment.fixture.store.compact();
	end();
};

const storeLosesAnswers: Fault = async (run) => {
	const { deployment } = run;
	const end = deployment.disturb('store', 'answers lost');
	deployment.fixture.store.loseAnswers = true;
	await sleep(run.duration() / 2);
	deployment.fixture.store.loseAnswers = false;
	end();
};

const engineMisbehaves: Fault = (run) => {
	const behaviour = run.pick(harmful);
	return run.withEngine(behaviour, async ({ standIn }) => {
		standIn.behaviour = behaviour;
		await sleep(run.duration());
		standIn.behaviour = 'well';
	});
};

const engineLink: Fault = (run) => {
	const state = run.pick<LinkState>(Object.values(linkStates));
	return run.withEngine(`link ${state}`, async ({ proxy }) => {
		proxy.set(state);
		if (run.rng() < 0.5) {
			proxy.reset();
		}
		await sleep(run.duration());
		proxy.set(linkStates.well);
	});
};

const engineSlow: Fault = (run) =>
	run.withEngine('link slow', async ({ proxy }) => {
		proxy.delay(run.rng() * 400);
		await sleep(run.duration());
		proxy.delay(0);
	});

/** An engine leaves while another takes its place. */
const engineLeaves: Fault = async (run) => {
	const { deployment } = run;
	const whole = deployment.engines.filter((engine) => !engine.busy && !engine.leaving);
	if (whole.length > spared) {
		await deployment.addEngine();
		await deployment.removeEngine(run.pick(whole), run.rng() < 0.6);
	}
};

/** An engine says only in its answers that it leaves, whatever else it does; its registration goes later. */
const engineSaysLeaving: Fault = async (run) => {
	const { deployment } = run;
	const whole = deployment.engines.filter((engine) => !engine.busy && !engine.leaving);
	if (whole.length > spared) {
		await deployment.addEngine();
		const engine = run.pick(whole);
		engine.leaving = true;
		engine.standIn.isLeaving = true;
		await sleep(run.duration());
		engine.standIn.behaviour = run.pick(sheddingOrWell);
		await sleep(run.duration());
		await deployment.removeEngine(engine, false);
	}
};

/** An engine turns requests away and asks for rest; it may take some again before that is over. */
const engineSheds: Fault = (run) =>
	run.withEngine('sheds', async ({ standIn }) => {
		standIn.restS = run.rng() * mostRestS;
		standIn.behaviour = run.pick(shedding);
		await sleep(run.duration());
		standIn.behaviour = 'well';
		standIn.restS = undefined;
	});

/** An engine names a limit, perhaps another one later, and may shed or say that it leaves meanwhile. */
const engineLimits: Fault = (run) =>
	run.withEngine('names a limit', async (engine) => {
		const { deployment, rng } = run;
		deployment.nameLimit(engine, run.pick(limits));
		await sleep(shortestLimitMs + rng() * (longestLimitMs - shortestLimitMs));
		if (rng() < 0.3) {
			engine.standIn.behaviour = run.pick(shedding);
			deployment.nameLimit(engine, run.pick(limits));
			await sleep(shortestLimitMs);
			engine.standIn.behaviour = engineBehaviours.well;
		}
		deployment.nameLimit(engine, undefined);
	});

const engineAnswersTwice: Fault = (run) =>
	run.withEngine('answers twice', async ({ standIn }) => {
		standIn.behaviour = engineBehaviours.answersTwice;
		await sleep(run.duration());
		standIn.behaviour = engineBehaviours.well;
	});

/** The store comes back from older copies, once or twice in a row. */
const storeRestored: Fault = async (run) => {
	const { deployment } = run;
	await deployment.restoreStore(run.duration(), run.duration() / 4);
	if (run.rng() < 0.4) {
		await deployment.restoreStore(run.duration() / 2, run.duration() / 4);
	}
};

const keyChange: Fault = async (run) => {
	run.deployment.changeKey();
};

const keyStorm: Fault = async (run) => {
	for (let left = 5; left > 0; left--) {
		run.deployment.changeKey();
		await sleep(run.rng() * 150);
	}
};

/** An engine forgets idle connections, or resets new ones, or both. */
const engineDropsConnections: Fault = (run) =>
	run.withEngine('drops connections', async ({ standIn }) => {
		standIn.dropsIdle = run.rng() < 0.7;
		standIn.resetsNew = !standIn.dropsIdle || run.rng() < 0.3;
		await sleep(run.duration());
		standIn.dropsIdle = false;
		standIn.resetsNew = false;
	});

const engineBeginsAgain: Fault = (run) =>
	run.withEngine('begins again', (engine) => run.deployment.beginAgain(engine));

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
async function ready(run: FaultRun, item: SoakVm): Promise<void> {
	const latest = performance.now() + 10_000;
	while (!(await run.deployment.isReady(item)) && performance.now() < latest) {
		await sleep(100);
	}
}

/**
 * Simulates a fleet and engines that crash on one content or on parts of prompts. Every request goes to the least loaded engine.
 * @module
 */
import type { Trait } from '../../src/core/quarantine/traits.js';
import { toPromptPart } from '../../src/core/quarantine/traits.js';
import { seededRandom } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const stepMs = 5;
/** From the arrival of a request at an engine to its first event, in milliseconds. */
const firstEventMs = 120;
/** Extra wait for each request that runs there. */
const queueMs = 40;
/** From the first event to the end of the answer. */
const runMs = 1500;
/** From the first event of a crashing request to the crash. */
const crashMs = 60;
/** From a crash to the restart of the engine. */
const restartMs = 3500;
/** From a crash until a VM with a request there has probed the port. */
const probeMs = 5;
/** Delay until a caller repeats a failed request. */
const repeatMs = 200;
/** A request that ran this long did not crash its engine, as in the relay. */
const harmlessMs = 250;
/** Interval at which requests look whether they are cleared, as in the relay. */
const clearanceCheckMs = 40;
/** Multiples of it are spread evenly between 0 and 1 by their fraction. */
const goldenRatio = 0.618;
/** Prompts share the first of these parts, and each has one of the others. */
const systemPart = toPromptPart('aa');
const otherParts = ['b0', 'b1', 'b2', 'b3', 'b4', 'b5'].map(toPromptPart);

export const crashingContent = 1;

interface Running {
	/** Its content first, then its prompt parts. */
	traits: readonly Trait[];
	isCrashing: boolean;
	failedAt?: number;
	isProven: boolean;
	vm: SimulatedVm;
	engine: number;
	sentAt: number;
	/** Time of its first event. */
	startsAt: number;
	tries: number;
	isRepeated: boolean;
}

interface Due {
	at: number;
	run: () => void;
}

export interface CrashLoadOptions {
	vms: number;
	engines: number;
	/** Arrivals of crashing requests per second. */
	crashesPerS: number;
	/** Arrivals of all other requests per second. */
	harmlessPerS: number;
	/** Prompt parts that crash engines; a single content does where there are none. */
	crashingParts?: readonly Trait[];
	seed: number;
}

export class SimulatedCrashes {
	readonly fleet: SimulatedFleet;
	/** Times at which crashing requests reached an engine. */
	readonly reachedAt: number[] = [];
	/** Times of engine crashes. */
	readonly crashedAt: number[] = [];
	harmlessCount = 0;
	harmlessRefusedCount = 0;
	harmlessServedCount = 0;
	private readonly next: () => number;
	private readonly up = new Set<number>();
	private running: Running[] = [];
	private due: Due[] = [];
	private lastEngineRef = 0;
	private lastContent = crashingContent;
	/** Crashing requests that are due. */
	private crashingDue = 0;

	constructor(private readonly load: CrashLoadOptions) {
		this.fleet = new SimulatedFleet(load.vms, 3, load.seed);
		this.next = seededRandom(load.seed);
		for (let index = 0; index < load.engines; index++) {
			this.up.add(++this.lastEngineRef);
		}
		for (const vm of this.fleet.vms) {
			vm.onQuarantined = () => this.withdraw(vm);
		}
		this.fleet.run(2000);
	}

	get now(): number {
		return this.fleet.clock.now;
	}

	run(ms: number): void {
		for (const until = this.now + ms; this.now < until; ) {
			this.fleet.run(stepMs);
			this.runDue();
			this.arrive();
			this.proceed();
		}
	}

	private runDue(): void {
		const ready = this.due.filter(({ at }) => at <= this.now);
		this.due = this.due.filter(({ at }) => at > this.now);
		for (const { run } of ready) {
			run();
		}
	}

	private arrive(): void {
		if (this.isCrashingDue()) {
			this.send(this.crashingTraits(), true, false);
		}
		if (this.next() < (this.load.harmlessPerS * stepMs) / 1000) {
			this.harmlessCount++;
			this.send([++this.lastContent, ...this.sharedParts()], false, false);
		}
	}

	/** Prompts arrive at a steady rate, single contents by chance. */
	private isCrashingDue(): boolean {
		const perStep = (this.load.crashesPerS * stepMs) / 1000;
		if (!this.load.crashingParts) {
			return this.next() < perStep;
		}
		this.crashingDue += perStep;
		const isDue = this.crashingDue >= 1;
		this.crashingDue -= isDue ? 1 : 0;
		return isDue;
	}

	private crashingTraits(): Trait[] {
		const { crashingParts = [] } = this.load;
		if (crashingParts.length === 0) {
			return [crashingContent];
		}
		const part = crashingParts[Math.floor(this.next() * crashingParts.length)] as Trait;
		return [++this.lastContent, part, ...this.sharedParts()];
	}

	private sharedParts(): Trait[] {
		if (!this.load.crashingParts) {
			return [];
		}
		return [systemPart, otherParts[Math.floor(this.next() * otherParts.length)] as Trait];
	}

	private send(traits: readonly Trait[], isCrashing: boolean, isRepeated: boolean): void {
		const { running } = this.fleet;
		const vm = running[Math.floor(this.next() * running.length)] as SimulatedVm;
		const state = {
			isProven: false,
			engine: 0,
			sentAt: 0,
			startsAt: 0,
			tries: 0,
		};
		this.place({ traits, isCrashing, vm, isRepeated, ...state });
	}

	private place(request: Running): void {
		const { vm, traits, isCrashing } = request;
		if (vm.quarantine.findCause(traits) !== undefined) {
			this.harmlessRefusedCount += isCrashing ? 0 : 1;
			return;
		}
		const turn = ((traits[0] as number) * goldenRatio) % 1;
		const clearanceMs = vm.quarantine.getClearanceMs(traits.slice(1), turn, request.failedAt);
		if (clearanceMs > 0) {
			const at = this.now + Math.min(clearanceMs, clearanceCheckMs);
			this.due.push({ at, run: () => this.place(request) });
			return;
		}
		const engines = [...this.up];
		if (engines.length === 0) {
			return;
		}
		const engine = this.pickLeastLoaded(engines);
		const ahead = this.running.filter((other) => other.engine === engine).length;
		const startsAt = this.now + firstEventMs + ahead * queueMs;
		const tries = request.tries + 1;
		this.running.push({ ...request, engine, sentAt: this.now, startsAt, tries, isProven: false });
		if (isCrashing) {
			this.reachedAt.push(this.now);
		}
	}

	/** Withdraws what a VM quarantined from engines that have not begun to answer it. */
	private withdraw(vm: SimulatedVm): void {
		this.running = this.running.filter(
			(request) =>
				request.vm !== vm ||
				request.startsAt <= this.now ||
				vm.quarantine.findCause(request.traits) === undefined,
		);
	}

	private pickLeastLoaded(engines: readonly number[]): number {
		const count = (engine: number) =>
			this.running.filter((other) => other.engine === engine).length;
		return [...engines].sort((a, b) => count(a) - count(b))[0] as number;
	}

	private proceed(): void {
		for (const request of this.running) {
			const forMs = this.now - request.startsAt;
			if (request.isCrashing) {
				if (forMs >= crashMs) {
					this.crash(request.engine);
				}
			} else if (forMs >= runMs) {
				this.running = this.running.filter((other) => other !== request);
				this.harmlessServedCount++;
				request.vm.quarantine.recordSuccess(request.traits, request.startsAt);
			} else if (forMs >= harmlessMs && !request.isProven) {
				request.isProven = true;
				request.vm.quarantine.recordSuccess(request.traits, request.startsAt);
			}
		}
	}

	private crash(engine: number): void {
		if (!this.up.delete(engine)) {
			return;
		}
		this.crashedAt.push(this.now);
		const failed = this.running.filter((other) => other.engine === engine);
		this.running = this.running.filter((other) => other.engine !== engine);
		for (const request of failed) {
			this.handleFailure(request);
		}
		this.due.push({ at: this.now + restartMs, run: () => this.up.add(++this.lastEngineRef) });
	}

	private handleFailure(request: Running): void {
		const { traits, isCrashing, vm, engine, startsAt, tries, isRepeated } = request;
		const { quarantine } = vm;
		const [content = 0] = traits;
		const mayBeCause = this.now - startsAt < harmlessMs;
		if (mayBeCause) {
			quarantine.recordFailure(traits, engine);
			this.due.push({ at: this.now + probeMs, run: () => quarantine.recordEngineCrash(engine) });
		}
		if (tries < 2 && quarantine.isRetryAllowed(content)) {
			const failedAt = mayBeCause ? engine : undefined;
			this.due.push({ at: this.now + probeMs, run: () => this.place({ ...request, failedAt }) });
		} else if (!isRepeated && this.next() < 0.5) {
			this.due.push({
				at: this.now + repeatMs,
				run: () => this.send(traits, isCrashing, true),
			});
		}
	}
}

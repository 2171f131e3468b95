/**
 * Simulates a fleet and engines that crash on one content. Every request goes to the least loaded engine.
 * @module
 */
import type { Engine } from '../../src/core/engines/engine.js';
import type { Quarantine } from '../../src/core/quarantine/quarantine.js';
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
/** From the first event of the crashing content to the crash. */
const crashMs = 60;
/** From a crash to the restart of the engine. */
const restartMs = 3500;
/** From a crash until a VM with a request there has probed the port. */
const probeMs = 5;
/** Delay until a caller repeats a failed request. */
const repeatMs = 200;
/** A request that ran this long did not crash its engine, as in the relay. */
const harmlessMs = 500;

export const crashingContent = 1;

interface Running {
	content: number;
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
	/** Arrivals of the crashing content per second. */
	crashesPerS: number;
	/** Arrivals of all other contents per second. */
	harmlessPerS: number;
	seed: number;
}

export class SimulatedCrashes {
	readonly fleet: SimulatedFleet;
	/** Times at which the crashing content reached an engine. */
	readonly reachedAt: number[] = [];
	/** Times of engine crashes. */
	readonly crashedAt: number[] = [];
	harmlessCount = 0;
	harmlessRefusedCount = 0;
	private readonly next: () => number;
	private readonly up = new Set<number>();
	private running: Running[] = [];
	private due: Due[] = [];
	private lastEngineRef = 0;
	private lastContent = crashingContent;

	constructor(private readonly load: CrashLoadOptions) {
		this.fleet = new SimulatedFleet(load.vms, 3, load.seed);
		this.next = seededRandom(load.seed);
		for (let index = 0; index < load.engines; index++) {
			this.up.add(++this.lastEngineRef);
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
		if (this.next() < (this.load.crashesPerS * stepMs) / 1000) {
			this.send(crashingContent, false);
		}
		if (this.next() < (this.load.harmlessPerS * stepMs) / 1000) {
			this.harmlessCount++;
			this.send(++this.lastContent, false);
		}
	}

	private send(content: number, isRepeated: boolean): void {
		const { running } = this.fleet;
		const vm = running[Math.floor(this.next() * running.length)] as SimulatedVm;
		if (vm.quarantine.isQuarantined(content)) {
			this.harmlessRefusedCount += content === crashingContent ? 0 : 1;
			return;
		}
		this.place({ content, vm, engine: 0, sentAt: 0, startsAt: 0, tries: 0, isRepeated });
	}

	private place(request: Running): void {
		const engines = [...this.up];
		if (engines.length === 0) {
			return;
		}
		const engine = this.pickLeastLoaded(engines);
		const ahead = this.running.filter((other) => other.engine === engine).length;
		const startsAt = this.now + firstEventMs + ahead * queueMs;
		const tries = request.tries + 1;
		this.running.push({ ...request, engine, sentAt: this.now, startsAt, tries });
		if (request.content === crashingContent) {
			this.reachedAt.push(this.now);
		}
	}

	private pickLeastLoaded(engines: readonly number[]): number {
		const count = (engine: number) =>
			this.running.filter((other) => other.engine === engine).length;
		return [...engines].sort((a, b) => count(a) - count(b))[0] as number;
	}

	private proceed(): void {
		for (const request of this.running) {
			const forMs = this.now - request.startsAt;
			if (request.content === crashingContent && forMs >= crashMs) {
				this.crash(request.engine);
			} else if (request.content !== crashingContent && forMs >= runMs) {
				this.running = this.running.filter((other) => other !== request);
				request.vm.quarantine.recordSuccess(request.content);
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
		const { content, vm, engine, startsAt, tries, isRepeated } = request;
		const { quarantine } = vm;
		if (this.now - startsAt < harmlessMs) {
			quarantine.recordFailure(content, engineOf(engine));
			this.due.push({ at: this.now + probeMs, run: () => quarantine.recordEngineCrash(engine) });
		}
		if (tries < 2 && quarantine.isRetryAllowed(content)) {
			this.place(request);
		} else if (!isRepeated && this.next() < 0.5) {
			this.due.push({ at: this.now + repeatMs, run: () => this.send(content, true) });
		}
	}
}

/** The part of an engine that the quarantine uses. */
function engineOf(ref: number): Parameters<Quarantine['recordFailure']>[1] {
	return { ref, registration: { address: `10.0.0.1:${ref}` } } as Engine;
}

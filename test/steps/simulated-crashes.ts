/**
 * A fleet before engines, one content of which ends each engine that begins to run it, in simulated time. Every request goes to
 * the engine that is emptiest.
 * @module
 */
import type { Engine } from '../../src/core/engines/engine.js';
import type { Quarantine } from '../../src/core/quarantine/quarantine.js';
import { sequence } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const stepMs = 5;
/** From the arrival of a request at an engine to its first event, and as much more for each that runs there; then to its end. */
const waitMs = 120;
const queueMs = 40;
const runMs = 1500;
/** From the first event of the one content to the end of its engine. */
const crashMs = 60;
/** From the end of an engine to its return. */
const backMs = 3500;
/** From an engine's end until a VM that had a request there knows, by one connection. */
const askedMs = 5;
/** Callers ask once more so long after a failure, one of two. */
const againMs = 200;
/** A stream that ran so long did not end its engine, as for the relay. */
const harmlessMs = 500;

export const crashingContent = 1;

interface Running {
	content: number;
	vm: SimulatedVm;
	engine: number;
	sentAt: number;
	/** When its first event comes. */
	beginsAt: number;
	tries: number;
	isAgain: boolean;
}

interface Due {
	at: number;
	run: () => void;
}

export interface CrashLoadOptions {
	vms: number;
	engines: number;
	/** Arrivals in a second, of the one content and of all others. */
	crashesPerS: number;
	harmlessPerS: number;
	seed: number;
}

export class SimulatedCrashes {
	readonly fleet: SimulatedFleet;
	/** Times at which the one content reached an engine. */
	readonly reachedAt: number[] = [];
	/** Ends of engines by it. */
	readonly crashedAt: number[] = [];
	harmlessCount = 0;
	harmlessRefusedCount = 0;
	private readonly next: () => number;
	private readonly up = new Set<number>();
	private running: Running[] = [];
	private due: Due[] = [];
	private lastEngine = 0;
	private lastContent = crashingContent;

	constructor(private readonly load: CrashLoadOptions) {
		this.fleet = new SimulatedFleet(load.vms, 3, load.seed);
		this.next = sequence(load.seed);
		for (let at = 0; at < load.engines; at++) {
			this.up.add(++this.lastEngine);
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
			this.ask(crashingContent, false);
		}
		if (this.next() < (this.load.harmlessPerS * stepMs) / 1000) {
			this.harmlessCount++;
			this.ask(++this.lastContent, false);
		}
	}

	private ask(content: number, isAgain: boolean): void {
		const { running } = this.fleet;
		const vm = running[Math.floor(this.next() * running.length)] as SimulatedVm;
		if (vm.quarantine.isQuarantined(content)) {
			this.harmlessRefusedCount += content === crashingContent ? 0 : 1;
			return;
		}
		this.place({ content, vm, engine: 0, sentAt: 0, beginsAt: 0, tries: 0, isAgain });
	}

	private place(request: Running): void {
		const engines = [...this.up];
		if (engines.length === 0) {
			return;
		}
		const engine = this.emptiest(engines);
		const ahead = this.running.filter((one) => one.engine === engine).length;
		const beginsAt = this.now + waitMs + ahead * queueMs;
		const tries = request.tries + 1;
		this.running.push({ ...request, engine, sentAt: this.now, beginsAt, tries });
		if (request.content === crashingContent) {
			this.reachedAt.push(this.now);
		}
	}

	private emptiest(engines: readonly number[]): number {
		const count = (engine: number) => this.running.filter((one) => one.engine === engine).length;
		return [...engines].sort((a, b) => count(a) - count(b))[0] as number;
	}

	private proceed(): void {
		for (const request of this.running) {
			const forMs = this.now - request.beginsAt;
			if (request.content === crashingContent && forMs >= crashMs) {
				this.end(request.engine);
			} else if (request.content !== crashingContent && forMs >= runMs) {
				this.running = this.running.filter((one) => one !== request);
				request.vm.quarantine.recordSuccess(request.content);
			}
		}
	}

	private end(engine: number): void {
		if (!this.up.delete(engine)) {
			return;
		}
		this.crashedAt.push(this.now);
		const broken = this.running.filter((one) => one.engine === engine);
		this.running = this.running.filter((one) => one.engine !== engine);
		for (const request of broken) {
			this.broke(request);
		}
		this.due.push({ at: this.now + backMs, run: () => this.up.add(++this.lastEngine) });
	}

	private broke(request: Running): void {
		const { content, vm, engine, beginsAt, tries, isAgain } = request;
		const { quarantine } = vm;
		if (this.now - beginsAt < harmlessMs) {
			quarantine.recordFailure(content, engineOf(engine));
			this.due.push({ at: this.now + askedMs, run: () => quarantine.recordEngineCrash(engine) });
		}
		if (tries < 2 && quarantine.isRetryAllowed(content)) {
			this.place(request);
		} else if (!isAgain && this.next() < 0.5) {
			this.due.push({ at: this.now + againMs, run: () => this.ask(content, true) });
		}
	}
}

/** What the quarantine needs of an engine. */
function engineOf(ref: number): Parameters<Quarantine['recordFailure']>[1] {
	return { ref, entry: { address: `10.0.0.1:${ref}` } } as Engine;
}

/**
 * Streams of a simulated fleet to engines that fall silent: a stream goes on at another engine that is available, beside the silent one.
 * @module
 */
import { Engine } from '../../src/core/engines/engine.js';
import type { Attempt } from '../../src/core/relay/attempt.js';
import { AttemptResults } from '../../src/core/relay/attempt-results.js';
import type { RelayContext } from '../../src/core/relay/types.js';
import { entry, seededRandom } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const stepMs = 20;
const settleMs = 1500;
const firstEventMs = 40;
const eventIntervalMs = 240;
const eventsOfStream = 6;
const maxEngines = 4;

interface Vm {
	engines: Engine[];
	vm: SimulatedVm;
	results: AttemptResults;
}

interface StreamAttempt {
	engine: Engine;
	nextEventAt: number;
}

interface Stream {
	owner: Vm;
	eventsLeft: number;
	attempts: StreamAttempt[];
	tried: Set<string>;
}

export class SilentFleet {
	readonly fleet: SimulatedFleet;
	readonly vms: Vm[];
	refused = 0;
	/** Attempts sent to each engine, by its index. */
	readonly sent: number[];
	/** VMs that avoided an engine because of what the fleet knows, at some time; by the engine's id. */
	readonly avoidedBy = new Map<string, Set<Vm>>();
	private readonly silentUntil: number[];
	private streams: Stream[] = [];
	private readonly nextRandom = seededRandom(7);

	constructor(
		vms: number,
		engines: number,
		private readonly perS: number,
	) {
		this.fleet = new SimulatedFleet(vms, 3);
		this.silentUntil = new Array(engines).fill(0);
		this.sent = new Array(engines).fill(0);
		this.vms = this.fleet.vms.map((vm) => {
			const { clock } = this.fleet;
			const ctx = { clock, fleetHealth: vm.health, metrics: { recordCircuitOpened() {} } };
			const ports = [{ log() {} }, { recordFailure() {}, content: 0, parts: [] }];
			const [outcome, quarantine] = ports as never[];
			const results = new AttemptResults(
				ctx as unknown as RelayContext,
				outcome as never,
				quarantine as never,
			);
			const ownEngines = this.silentUntil.map((_, index) => new Engine(entry(`engine-${index}`)));
			return { vm, results, engines: ownEngines };
		});
		this.run(settleMs);
	}

	/** The first engines send nothing for a time. */
	silence(count: number, ms: number): void {
		this.silentUntil.fill(this.now + ms, 0, count);
	}

	run(ms: number): void {
		for (const until = this.now + ms; this.now < until; ) {
			for (const vm of this.vms) {
				if (this.nextRandom() < (this.perS * stepMs) / 1000) {
					this.open(vm);
				}
				this.recordAvoided(vm);
			}
			for (const stream of this.streams) {
				this.step(stream);
			}
			this.streams = this.streams.filter(({ eventsLeft }) => eventsLeft > 0);
			this.fleet.run(stepMs);
		}
	}

	/** Number of engines that VMs do not use by what they know themselves, over all VMs. */
	get closedCount(): number {
		const closed = this.vms.flatMap(({ engines }) =>
			engines.filter(({ health }) => !health.isAvailable(this.now)),
		);
		return closed.length;
	}

	private get now(): number {
		return this.fleet.clock.now;
	}

	private recordAvoided(vm: Vm): void {
		const available = new Set(vm.vm.health.filterAvailable(vm.engines));
		for (const engine of vm.engines.filter((one) => !available.has(one))) {
			const by = this.avoidedBy.get(engine.id) ?? new Set();
			this.avoidedBy.set(engine.id, by.add(vm));
		}
	}

	private open(owner: Vm): void {
		const stream = { owner, eventsLeft: eventsOfStream, attempts: [], tried: new Set<string>() };
		const engine = this.choose(stream, true);
		if (engine) {
			this.send(stream, engine);
			this.streams.push(stream);
		} else {
			this.refused++;
		}
	}

	private choose({ owner, tried }: Stream, acceptsSilent: boolean): Engine | undefined {
		const all = owner.vm.health.filterAvailable(owner.engines);
		const untried = all.filter(({ id }) => !tried.has(id));
		const available = untried.filter(({ health }) => health.isAvailable(this.now));
		const silent = untried.filter(({ health }) => health.isBrieflySilent(this.now));
		const usable = available.length === 0 && acceptsSilent ? silent : available;
		return usable[Math.floor(this.nextRandom() * usable.length)];
	}

	private send(stream: Stream, engine: Engine): void {
		engine.health.recordSent(this.now, 0);
		stream.tried.add(engine.id);
		stream.attempts.push({ engine, nextEventAt: this.now + firstEventMs });
		const index = stream.owner.engines.indexOf(engine);
		this.sent[index] = (this.sent[index] ?? 0) + 1;
	}

	private step(stream: Stream): void {
		const { attempts, owner } = stream;
		const first = attempts.find(({ engine, nextEventAt }) => {
			return nextEventAt <= this.now && !this.isSilent(owner, engine);
		});
		if (first) {
			this.receiveEvent(stream, first);
		} else if (
			attempts.length < maxEngines &&
			attempts.every(({ engine }) => engine.health.isSilent(this.now))
		) {
			const engine = this.choose(stream, false);
			if (engine) {
				this.send(stream, engine);
			}
		}
	}

	/** Ends an attempt that lost. */
	private end(owner: Vm, engine: Engine): void {
		const { health } = engine;
		const silentMs = health.isSilent(this.now) ? health.silentMs(this.now) : undefined;
		health.recordEnd(0);
		if (silentMs !== undefined) {
			owner.results.recordSilence(attemptAt(engine), 'another engine answered first', silentMs);
		}
	}

	private isSilent({ engines }: Vm, engine: Engine): boolean {
		return this.now < (this.silentUntil[engines.indexOf(engine)] ?? 0);
	}

	private receiveEvent(stream: Stream, attempt: StreamAttempt): void {
		const { owner, attempts } = stream;
		const { health } = attempt.engine;
		health.recordActivity(this.now);
		for (const other of attempts.filter((one) => one !== attempt)) {
			this.end(owner, other.engine);
		}
		stream.attempts = [attempt];
		attempt.nextEventAt = this.now + eventIntervalMs;
		stream.eventsLeft--;
		if (stream.eventsLeft === 0) {
			health.recordEnd(0);
			owner.results.recordSuccess(attemptAt(attempt.engine));
		}
	}
}

function attemptAt(engine: Engine): Attempt {
	return { engine, health: engine.health, sinceSentMs: 0 } as unknown as Attempt;
}

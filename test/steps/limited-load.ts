/**
 * Work for engines that name limits, brought to many VMs in simulated time: what arrives at each engine, and what is refused.
 * @module
 */
import { urgencyLevels } from '../../src/core/relay/definitions.js';
import { sequence } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

/** Arrivals are counted in spans of this length, in milliseconds. */
const spanMs = 4000;
/** Between two looks whether requests come, in milliseconds. */
const stepMs = 5;
/** From a permit to the engine, and from the engine's first word to its VM, in milliseconds. */
const wayMs = 3;
const answerMs = 40;
/** From the first answer that names a limit until it has to be kept, in milliseconds. */
const knownMs = 2000;
/** Longest wait of a request for a permit, in milliseconds. */
const usualWaitMs = 50;

export interface LimitedEngine {
	ref: number;
	/** Requests a second that it names now, if it does. */
	limitPerS?: number;
	arrivals: { at: number; vm: SimulatedVm; urgency: number }[];
	/** From when on which limit counts. */
	limits: { from: number; perS: number | undefined }[];
}

export interface LimitedLoadOptions {
	vms: number;
	domains: number;
	engines: number;
	limitPerS: number;
	/** Requests a second at each VM. */
	requestsPerS: (vm: SimulatedVm, at: number) => number;
	/** @default all alike */
	urgency?: () => number;
	/** Longest wait of a request for a permit, in milliseconds. @default 50 */
	waitMs?: (urgency: number) => number;
	seed?: number;
}

export class LimitedLoad {
	readonly fleet: SimulatedFleet;
	readonly engines: LimitedEngine[];
	refusedCount = 0;
	/** Longest time between two permits of each VM while it has work, in milliseconds. */
	private readonly lastTurn = new Map<SimulatedVm, number>();
	maxWithoutPermitMs = 0;
	private readonly next: () => number;
	/** Picks engines: drawn from the numbers that decide whether a request comes, some engines would never be picked. */
	private readonly pick: () => number;
	private flying: { at: number; run: () => void }[] = [];

	constructor(private readonly opts: LimitedLoadOptions) {
		this.fleet = new SimulatedFleet(opts.vms, opts.domains, opts.seed);
		this.next = sequence((opts.seed ?? 1) + 17);
		this.pick = sequence((opts.seed ?? 1) + 71);
		this.engines = Array.from({ length: opts.engines }, (_, at) => ({
			ref: 1000 + at,
			perS: opts.limitPerS,
			arrivals: [],
			limits: [{ from: this.fleet.clock.now, perS: opts.limitPerS }],
		}));
	}

	get now(): number {
		return this.fleet.clock.now;
	}

	run(ms: number): void {
		for (const until = this.now + ms; this.now < until; ) {
			this.fleet.run(stepMs);
			const due = this.flying.filter(({ at }) => at <= this.now);
			this.flying = this.flying.filter(({ at }) => at > this.now);
			for (const one of due) {
				one.run();
			}
			for (const vm of this.fleet.running) {
				this.bring(vm);
			}
		}
	}

	/** All engines name another limit from now on, or none. */
	changeLimit(perS: number | undefined): void {
		for (const engine of this.engines) {
			engine.limitPerS = perS;
			engine.limits.push({ from: this.now, perS });
		}
	}

	/** What is known of limits was lost: they have to be kept again once they were named. */
	restartLimitPeriods(): void {
		for (const { limits, limitPerS: perS } of this.engines) {
			limits.push({ from: this.now, perS });
		}
	}

	/** Spans in which more arrived at an engine than its limit allows, from a while after it was named. */
	findViolations({ arrivals, limits }: LimitedEngine): string[] {
		return limits.flatMap(({ from, perS }, at) => {
			const to = limits[at + 1]?.from ?? Number.POSITIVE_INFINITY;
			const times = arrivals
				.map((one) => one.at)
				.filter((time) => time >= from + knownMs && time < to);
			const most = mostInSpan(times);
			const allowed = perS === undefined ? Number.POSITIVE_INFINITY : maxAllowedArrivals(perS);
			return most > allowed ? [`${most} in 4 s, allowed ${allowed}`] : [];
		});
	}

	/** Most arrivals at an engine in any span that begins after a time. */
	countMaxArrivals(engine: LimitedEngine, from: number): number {
		return mostInSpan(engine.arrivals.map(({ at }) => at).filter((at) => at >= from));
	}

	/** Share of what the engines take that was used from a time to now. */
	getUtilization(from: number): number {
		const all = this.engines.flatMap(({ arrivals }) => arrivals);
		const count = all.filter(({ at }) => at >= from).length;
		const perS = this.engines.reduce((sum, engine) => sum + (engine.limitPerS ?? 0), 0);
		return (count * 1000) / (perS * (this.now - from));
	}

	/** Bytes that a VM sent in a second, in the mean. */
	get bytesPerSecondPerVm(): number {
		const sent = this.fleet.vms.reduce((sum, vm) => sum + vm.sentBytes, 0);
		return (sent * 1000) / (this.fleet.vms.length * this.countedMs);
	}

	private countedFrom = 0;

	private get countedMs(): number {
		return this.now - this.countedFrom;
	}

	resetCounts(): void {
		this.fleet.resetCounts();
		this.countedFrom = this.now;
		this.lastTurn.clear();
		this.maxWithoutPermitMs = 0;
	}

	private bring(vm: SimulatedVm): void {
		const expected = (this.opts.requestsPerS(vm, this.now) * stepMs) / 1000;
		const whole = Math.floor(expected) + (this.next() < expected % 1 ? 1 : 0);
		for (let at = 0; at < whole; at++) {
			this.request(vm, this.opts.urgency?.() ?? 5);
		}
	}

	/** A request asks for the engine that is open soonest, and is refused when it gets no permit. */
	private request(vm: SimulatedVm, urgency: number): void {
		if (!this.lastTurn.has(vm)) {
			this.lastTurn.set(vm, this.now);
		}
		const without = this.now - (this.lastTurn.get(vm) ?? this.now);
		this.maxWithoutPermitMs = Math.max(this.maxWithoutPermitMs, without);
		const { ledger, permits } = vm.limits;
		const from = Math.floor(this.pick() * this.engines.length);
		const turn = [...this.engines.slice(from), ...this.engines.slice(0, from)];
		const level = Math.min(urgency, urgencyLevels - 1);
		const waitMs = this.opts.waitMs?.(urgency) ?? usualWaitMs;
		const engine = turn.find(({ ref }) => permits.getRetryDelayMs(ref, level) <= waitMs);
		if (!engine) {
			this.refusedCount++;
			return;
		}
		if (ledger.getLimitPerS(engine.ref) === undefined) {
			this.send(vm, engine, level);
			return;
		}
		permits.request(engine.ref, level, waitMs, ({ isGranted }) => {
			if (isGranted) {
				this.send(vm, engine, level);
			} else {
				this.refusedCount++;
			}
		});
	}

	private send(vm: SimulatedVm, engine: LimitedEngine, urgency: number): void {
		this.lastTurn.set(vm, this.now);
		const sentAt = this.now;
		this.later(wayMs, () => {
			engine.arrivals.push({ at: this.now, vm, urgency });
			const { limitPerS: perS } = engine;
			this.later(answerMs, () => {
				if (vm.isRunning && perS !== undefined) {
					vm.limits.ledger.recordLimit(engine.ref, perS);
				} else if (vm.isRunning) {
					vm.limits.ledger.recordNoLimit(engine.ref, sentAt);
				}
			});
		});
	}

	private later(ms: number, run: () => void): void {
		this.flying.push({ at: this.now + ms * (0.5 + this.next()), run });
	}
}

/** Requests that may arrive in a span. */
export function maxAllowedArrivals(perS: number): number {
	return (1.5 * perS * spanMs) / 1000 + 5;
}

function mostInSpan(times: readonly number[]): number {
	let most = 0;
	let end = 0;
	for (let first = 0; first < times.length; first++) {
		while (end < times.length && (times[end] as number) < (times[first] as number) + spanMs) {
			end++;
		}
		most = Math.max(most, end - first);
	}
	return most;
}

/**
 * Simulates load on rate-limited engines through many VMs; records arrivals at each engine and refusals.
 * @module
 */
import { urgencyLevels } from '../../src/core/relay/definitions.js';
import { seededRandom } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

/** Window over which arrivals are counted, in milliseconds. */
const windowMs = 4000;
/** Simulation step, in milliseconds. */
const stepMs = 5;
/** Mean delay from a permit to the arrival at the engine, in milliseconds. */
const transitMs = 3;
/** Mean delay from the arrival to the head of the answer, in milliseconds. */
const answerMs = 40;
/** Time after a change until the limit must be kept, in milliseconds. */
const propagationMs = 2000;
/** Default maximum wait for a permit, in milliseconds. */
const defaultWaitMs = 50;

export interface LimitedEngine {
	ref: number;
	/** Limit that it names now, in requests per second. */
	limitPerS?: number;
	arrivals: { at: number; vm: SimulatedVm; urgency: number }[];
	/** Limits and the times from which they apply. */
	limits: { from: number; limitPerS: number | undefined }[];
}

export interface LimitedLoadOptions {
	vms: number;
	domains: number;
	engines: number;
	limitPerS: number;
	/** Requests per second at a VM. */
	requestsPerS: (vm: SimulatedVm, at: number) => number;
	/** @default 5 */
	urgency?: () => number;
	/** Maximum wait for a permit, in milliseconds. @default 50 */
	waitMs?: (urgency: number) => number;
	seed?: number;
}

export class LimitedLoad {
	readonly fleet: SimulatedFleet;
	readonly engines: LimitedEngine[];
	refusedCount = 0;
	private readonly lastPermitAt = new Map<SimulatedVm, number>();
	/** Longest time between two permits of any VM with work, in milliseconds. */
	maxWithoutPermitMs = 0;
	private readonly next: () => number;
	/** Picks engines; independent of the sequence that decides arrivals, so that all engines are picked. */
	private readonly nextPick: () => number;
	private inFlight: { at: number; run: () => void }[] = [];

	constructor(private readonly opts: LimitedLoadOptions) {
		this.fleet = new SimulatedFleet(opts.vms, opts.domains, opts.seed);
		this.next = seededRandom((opts.seed ?? 1) + 17);
		this.nextPick = seededRandom((opts.seed ?? 1) + 71);
		this.engines = Array.from({ length: opts.engines }, (_, index) => ({
			ref: 1000 + index,
			limitPerS: opts.limitPerS,
			arrivals: [],
			limits: [{ from: this.fleet.clock.now, limitPerS: opts.limitPerS }],
		}));
	}

	get now(): number {
		return this.fleet.clock.now;
	}

	run(ms: number): void {
		for (const until = this.now + ms; this.now < until; ) {
			this.fleet.run(stepMs);
			const due = this.inFlight.filter(({ at }) => at <= this.now);
			this.inFlight = this.inFlight.filter(({ at }) => at > this.now);
			for (const event of due) {
				event.run();
			}
			for (const vm of this.fleet.running) {
				this.generate(vm);
			}
		}
	}

	/** Changes or removes the limit of all engines. */
	changeLimit(limitPerS: number | undefined): void {
		for (const engine of this.engines) {
			engine.limitPerS = limitPerS;
			engine.limits.push({ from: this.now, limitPerS });
		}
	}

	/** Allows time to learn the limits again, after all VMs lost them. */
	restartLimitPeriods(): void {
		for (const { limits, limitPerS } of this.engines) {
			limits.push({ from: this.now, limitPerS });
		}
	}

	/** Describes windows in which more requests arrived than the limit allows. */
	findViolations({ arrivals, limits }: LimitedEngine): string[] {
		return limits.flatMap(({ from, limitPerS }, index) => {
			const to = limits[index + 1]?.from ?? Number.POSITIVE_INFINITY;
			const times = arrivals
				.map((one) => one.at)
				.filter((time) => time >= from + propagationMs && time < to);
			const count = countMaxInWindow(times);
			const allowed =
				limitPerS === undefined ? Number.POSITIVE_INFINITY : maxAllowedArrivals(limitPerS);
			return count > allowed ? [`${count} in 4 s, allowed ${allowed}`] : [];
		});
	}

	/** Highest number of arrivals at an engine in any window after a time. */
	countMaxArrivals(engine: LimitedEngine, from: number): number {
		return countMaxInWindow(engine.arrivals.map(({ at }) => at).filter((at) => at >= from));
	}

	/** Share of the limits that was used from a time until now. */
	getUtilization(from: number): number {
		const all = this.engines.flatMap(({ arrivals }) => arrivals);
		const count = all.filter(({ at }) => at >= from).length;
		const limitPerS = this.engines.reduce((sum, engine) => sum + (engine.limitPerS ?? 0), 0);
		return (count * 1000) / (limitPerS * (this.now - from));
	}

	/** Mean rate of sent bytes per VM. */
	get bytesPerSecondPerVm(): number {
		const sent = this.fleet.vms.reduce((sum, vm) => sum + vm.sentBytes, 0);
		return (sent * 1000) / (this.fleet.vms.length * this.countedPeriodMs);
	}

	private countsStartedAt = 0;

	private get countedPeriodMs(): number {
		return this.now - this.countsStartedAt;
	}

	resetCounts(): void {
		this.fleet.resetCounts();
		this.countsStartedAt = this.now;
		this.lastPermitAt.clear();
		this.maxWithoutPermitMs = 0;
	}

	private generate(vm: SimulatedVm): void {
		const expected = (this.opts.requestsPerS(vm, this.now) * stepMs) / 1000;
		const count = Math.floor(expected) + (this.next() < expected % 1 ? 1 : 0);
		for (let index = 0; index < count; index++) {
			this.request(vm, this.opts.urgency?.() ?? 5);
		}
	}

	/** Requests a permit for the first engine that may grant one in time; refuses the request without a permit. */
	private request(vm: SimulatedVm, urgency: number): void {
		if (!this.lastPermitAt.has(vm)) {
			this.lastPermitAt.set(vm, this.now);
		}
		const withoutPermitMs = this.now - (this.lastPermitAt.get(vm) ?? this.now);
		this.maxWithoutPermitMs = Math.max(this.maxWithoutPermitMs, withoutPermitMs);
		const { ledger, permits } = vm.limits;
		const from = Math.floor(this.nextPick() * this.engines.length);
		const candidates = [...this.engines.slice(from), ...this.engines.slice(0, from)];
		const level = Math.min(urgency, urgencyLevels - 1);
		const waitMs = this.opts.waitMs?.(urgency) ?? defaultWaitMs;
		const engine = candidates.find(({ ref }) => permits.getRetryDelayMs(ref, level) <= waitMs);
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
		this.lastPermitAt.set(vm, this.now);
		const sentAt = this.now;
		this.schedule(transitMs, () => {
			engine.arrivals.push({ at: this.now, vm, urgency });
			const { limitPerS } = engine;
			this.schedule(answerMs, () => {
				if (vm.isRunning && limitPerS !== undefined) {
					vm.limits.ledger.recordLimit(engine.ref, limitPerS);
				} else if (vm.isRunning) {
					vm.limits.ledger.recordNoLimit(engine.ref, sentAt);
				}
			});
		});
	}

	private schedule(ms: number, run: () => void): void {
		this.inFlight.push({ at: this.now + ms * (0.5 + this.next()), run });
	}
}

/** Upper bound of arrivals in a window, with a tolerance. */
export function maxAllowedArrivals(limitPerS: number): number {
	return (1.5 * limitPerS * windowMs) / 1000 + 5;
}

function countMaxInWindow(times: readonly number[]): number {
	let max = 0;
	let end = 0;
	for (let first = 0; first < times.length; first++) {
		while (end < times.length && (times[end] as number) < (times[first] as number) + windowMs) {
			end++;
		}
		max = Math.max(max, end - first);
	}
	return max;
}

/**
 * How fast each engine works beside the others of its service, learned by all VMs together from the answers that pass
 * through. VMs tell what they saw of each engine in the last second as sums; aggregators add these up.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Pace } from './engine-pace.js';
import { EnginePace, nominalPace } from './engine-pace.js';
import { PaceExportRotation } from './pace-export-rotation.js';
import type { PaceKind, PaceSums } from './pace-sums.js';
import { addPaceSums, DecayingSums, emptyPaceSums, paceKinds } from './pace-sums.js';

/** A single observation counts as at most, and at least, so many times what was expected. */
const outlierFactor = 10;
/** Time between two updates of the steady memory and of the service's means, in milliseconds. */
const settleMs = 100;
/** The figures of the service count as so many observations beside the means of its engines. */
const meanPrior = 10;

/** What some VMs saw of one engine in the last second. */
export interface EnginePaceSums extends PaceSums {
	engine: EngineRef;
}

/** The same of a service's engines. */
export interface ServicePaceSums {
	/** 32 bits that stand for the service in messages. */
	service: number;
	engines: EnginePaceSums[];
}

/** An engine's pace, for operators. */
export interface ReportedPace extends Pace {
	engine: EngineRef;
	isDeviating: boolean;
}

class ServiceSpeeds {
	private readonly engines = new Map<EngineRef, EnginePace>();
	private readonly own = new Map<EngineRef, DecayingSums>();
	private readonly told = new Map<string, Map<EngineRef, DecayingSums>>();
	private readonly turns = new PaceExportRotation();
	private readonly means = { reading: 0, steps: 0 };
	private settledAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly ref: number) {}

	observe(engine: EngineRef, kind: PaceKind, ratio: number, weight: number, now: number): void {
		const bounded = Math.min(Math.max(ratio, 1 / outlierFactor), outlierFactor);
		this.settle(now);
		sumsOf(this.own, engine, now).observe(now, kind, bounded, weight);
		this.paceOf(engine, now).recent.observe(now, kind, bounded, weight);
	}

	/** Counted by time, as a slow engine shows fewer pauses. */
	pauseSeen(engine: EngineRef, ratio: number, now: number): void {
		this.observe(engine, 'steps', ratio, Math.min(ratio, outlierFactor), now);
	}

	pace(engine: EngineRef, now: number): Pace {
		this.settle(now);
		return this.engines.get(engine)?.pace ?? nominalPace;
	}

	steadyPace(engine: EngineRef, now: number): Pace {
		this.settle(now);
		return this.engines.get(engine)?.steadyPace ?? nominalPace;
	}

	speeds(now: number): ReportedPace[] {
		this.settle(now);
		return [...this.engines].map(([engine, { pace, isDeviating: isTurned }]) => ({
			engine,
			...pace,
			isTurned,
		}));
	}

	export(names: readonly string[], now: number, most: number): ServicePaceSums {
		this.settle(now);
		const sums = new Map<EngineRef, PaceSums>();
		const sources = [this.own, ...names.flatMap((name) => this.told.get(name) ?? [])];
		for (const source of sources) {
			for (const [engine, fading] of source) {
				const sum = sums.get(engine) ?? emptyPaceSums();
				addPaceSums(sum, fading.read(now));
				sums.set(engine, sum);
			}
		}
		const isUrgent = (engine: EngineRef) => {
			return this.engines.get(engine)?.isDeviating ?? false;
		};
		const told = this.turns.next([...sums.keys()], isUrgent, most);
		return { service: this.ref, engines: told.map((engine) => row(engine, sums.get(engine))) };
	}

	take(from: string, rows: readonly EnginePaceSums[], now: number): void {
		this.settle(now);
		const source = this.told.get(from) ?? new Map<EngineRef, DecayingSums>();
		this.told.set(from, source);
		for (const { engine, ...sums } of rows) {
			const pace = this.paceOf(engine, now);
			const before = source.get(engine);
			if (before) {
				pace.recent.add(now, before.read(now), -1);
			}
			const fading = new DecayingSums(now);
			fading.add(now, sums);
			source.set(engine, fading);
			pace.recent.add(now, sums);
		}
	}

	forget(from: string, now: number): void {
		for (const [engine, fading] of this.told.get(from) ?? []) {
			this.engines.get(engine)?.recent.add(now, fading.read(now), -1);
		}
		this.told.delete(from);
	}

	forgetEngine(engine: EngineRef): void {
		this.engines.delete(engine);
		for (const source of [this.own, ...this.told.values()]) {
			source.delete(engine);
		}
	}

	private paceOf(engine: EngineRef, now: number): EnginePace {
		const pace = this.engines.get(engine) ?? new EnginePace(now);
		this.engines.set(engine, pace);
		return pace;
	}

	private settle(now: number): void {
		if (now - this.settledAt < settleMs) {
			return;
		}
		this.settledAt = now;
		const all = emptyPaceSums();
		const recent = emptyPaceSums();
		for (const pace of this.engines.values()) {
			pace.advance(now, this.means);
			addPaceSums(all, pace.total(now, this.means));
			addPaceSums(recent, pace.recent.read(now));
		}
		const recentMeans = { ...this.means };
		for (const kind of paceKinds) {
			this.means[kind] = all[kind].sum / (all[kind].weight + meanPrior);
			const { sum, weight } = recent[kind];
			recentMeans[kind] = (sum + this.means[kind] * meanPrior) / (weight + meanPrior);
		}
		for (const pace of this.engines.values()) {
			pace.refresh(now, this.means, recentMeans);
		}
		this.dropFaded(now);
	}

	private dropFaded(now: number): void {
		for (const [engine, pace] of this.engines) {
			if (pace.isNegligible(now)) {
				this.engines.delete(engine);
			}
		}
		for (const source of [this.own, ...this.told.values()]) {
			for (const [engine, fading] of source) {
				if (fading.isNegligible(now)) {
					source.delete(engine);
				}
			}
		}
	}
}

export class EnginePaces {
	private readonly services = new Map<number, ServiceSpeeds>();

	/**
	 * @param ratio observed time over the time that the service's figures say
	 * @param weight 1 where nothing else is known to have delayed it
	 */
	recordFirstEvent(
		service: string,
		engine: EngineRef,
		ratio: number,
		weight: number,
		now: number,
	): void {
		this.of(service).observe(engine, 'reading', ratio, weight, now);
	}

	/** A calm pause of a stream; `ratio` as for first events. */
	recordPause(service: string, engine: EngineRef, ratio: number, now: number): void {
		this.of(service).pauseSeen(engine, ratio, now);
	}

	/** Pace of an engine now. */
	pace(service: string, engine: EngineRef, now: number): Pace {
		return this.of(service).pace(engine, now);
	}

	/** Pace without short changes, for what must not follow each of them. */
	steadyPace(service: string, engine: EngineRef, now: number): Pace {
		return this.of(service).steadyPace(engine, now);
	}

	list(service: string, now: number): ReportedPace[] {
		return this.of(service).speeds(now);
	}

	/**
	 * What this VM has seen lately, and what the named ones told.
	 * @param most engines of a service that are told at once; the others follow in turn
	 */
	export(names: readonly string[], now: number, most: number): ServicePaceSums[] {
		const all = [...this.services.values()].map((speeds) => speeds.export(names, now, most));
		return all.filter(({ engines }) => engines.length > 0);
	}

	merge(from: string, told: readonly ServicePaceSums[], now: number): void {
		for (const { service, engines } of told) {
			this.ofRef(service).take(from, engines, now);
		}
	}

	/** Another VM no longer tells anything. */
	removePeer(from: string, now: number): void {
		for (const speeds of this.services.values()) {
			speeds.forget(from, now);
		}
	}

	/** This start of an engine is over. */
	removeEngine(engine: EngineRef): void {
		for (const speeds of this.services.values()) {
			speeds.forgetEngine(engine);
		}
	}

	private of(service: string): ServiceSpeeds {
		return this.ofRef(rendezvous.hashText(service));
	}

	private ofRef(ref: number): ServiceSpeeds {
		const speeds = this.services.get(ref) ?? new ServiceSpeeds(ref);
		this.services.set(ref, speeds);
		return speeds;
	}
}

function sumsOf(
	source: Map<EngineRef, DecayingSums>,
	engine: EngineRef,
	now: number,
): DecayingSums {
	const sums = source.get(engine) ?? new DecayingSums(now);
	source.set(engine, sums);
	return sums;
}

function row(engine: EngineRef, sums = emptyPaceSums()): EnginePaceSums {
	return { engine, ...sums };
}

/**
 * Tracks the pace of each engine relative to the others of its service, from the answers relayed by all VMs. VMs gossip
 * decaying sums of their observations of each engine; aggregators add these up.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Pace } from './engine-pace.js';
import { EnginePace, nominalPace } from './engine-pace.js';
import { PaceExportRotation } from './pace-export-rotation.js';
import type { PaceKind, PaceSums } from './pace-sums.js';
import { addPaceSums, DecayingSums, emptyPaceSums, paceKinds } from './pace-sums.js';

/** An observation is clamped to within this factor of the expected value. */
const outlierFactor = 10;
/** Interval between updates of the paces and of the service's means, in milliseconds. */
const updateIntervalMs = 100;
/** Weight of the service's estimates in the means of its engines, in observations. */
const meanPrior = 10;

/** Recent observations of one engine by one or several VMs. */
export interface EnginePaceSums extends PaceSums {
	engine: EngineRef;
	/** Time since the newest of these sums left the VM that observed the engine, in milliseconds. */
	ageMs: number;
}

/** Recent observations of a service's engines. */
export interface ServicePaceSums {
	/** 32-bit hash that identifies the service in messages. */
	service: number;
	engines: EnginePaceSums[];
}

/** Pace of an engine, for reports to operators. */
export interface ReportedPace extends Pace {
	engine: EngineRef;
	/** Whether its recent pace differs from its steady one by more than noise. */
	isDeviating: boolean;
}

/** Observations of an engine that another VM sent. */
interface ReceivedSums {
	sums: DecayingSums;
	/** When they left the VM that observed the engine, in monotonic milliseconds. */
	sentAt: number;
}

class ServicePaces {
	private readonly engines = new Map<EngineRef, EnginePace>();
	private readonly own = new Map<EngineRef, DecayingSums>();
	private readonly peerSums = new Map<string, Map<EngineRef, ReceivedSums>>();
	private readonly rotation = new PaceExportRotation();
	private readonly means = { reading: 0, steps: 0 };
	private updatedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly ref: number) {}

	observe(engine: EngineRef, kind: PaceKind, ratio: number, weight: number, now: number): void {
		const clamped = Math.min(Math.max(ratio, 1 / outlierFactor), outlierFactor);
		this.update(now);
		sumsOf(this.own, engine, now).observe(now, kind, clamped, weight);
		this.paceOf(engine, now).recent.observe(now, kind, clamped, weight);
	}

	/** Weighted by duration, since a slow engine has fewer pauses. */
	recordPause(engine: EngineRef, ratio: number, now: number): void {
		this.observe(engine, 'steps', ratio, Math.min(ratio, outlierFactor), now);
	}

	pace(engine: EngineRef, now: number): Pace {
		this.update(now);
		return this.engines.get(engine)?.pace ?? nominalPace;
	}

	steadyPace(engine: EngineRef, now: number): Pace {
		this.update(now);
		return this.engines.get(engine)?.steadyPace ?? nominalPace;
	}

	list(now: number): ReportedPace[] {
		this.update(now);
		return [...this.engines].map(([engine, { pace, isDeviating }]) => ({
			engine,
			...pace,
			isDeviating,
		}));
	}

	export(vmNames: readonly string[], now: number, maxEngines: number): ServicePaceSums {
		this.update(now);
		const rows = new Map<EngineRef, EnginePaceSums>();
		const addRow = (engine: EngineRef, sums: DecayingSums, sentAt: number) => {
			const row = rows.get(engine) ?? { engine, ageMs: Infinity, ...emptyPaceSums() };
			addPaceSums(row, sums.read(now));
			row.ageMs = Math.min(row.ageMs, now - sentAt);
			rows.set(engine, row);
		};
		for (const [engine, sums] of this.own) {
			addRow(engine, sums, now);
		}
		for (const source of vmNames.flatMap((name) => this.peerSums.get(name) ?? [])) {
			for (const [engine, { sums, sentAt }] of source) {
				addRow(engine, sums, sentAt);
			}
		}
		const isUrgent = (engine: EngineRef) => {
			return this.engines.get(engine)?.isDeviating ?? false;
		};
		const exported = this.rotation.next([...rows.keys()], isUrgent, maxEngines);
		return { service: this.ref, engines: exported.flatMap((engine) => rows.get(engine) ?? []) };
	}

	merge(peer: string, rows: readonly EnginePaceSums[], now: number): void {
		this.update(now);
		const source = this.peerSums.get(peer) ?? new Map<EngineRef, ReceivedSums>();
		this.peerSums.set(peer, source);
		for (const { engine, ageMs, ...sums } of rows) {
			const pace = this.paceOf(engine, now);
			const previous = source.get(engine)?.sums;
			if (previous) {
				pace.recent.add(now, previous.read(now), -1);
			}
			const received = new DecayingSums(now);
			received.add(now, sums);
			source.set(engine, { sums: received, sentAt: now - ageMs });
			pace.recent.add(now, sums);
			pace.recordReceived(now, ageMs);
		}
	}

	removePeer(peer: string, now: number): void {
		for (const [engine, { sums }] of this.peerSums.get(peer) ?? []) {
			this.engines.get(engine)?.recent.add(now, sums.read(now), -1);
		}
		this.peerSums.delete(peer);
	}

	removeEngine(engine: EngineRef): void {
		this.engines.delete(engine);
		for (const source of [this.own, ...this.peerSums.values()]) {
			source.delete(engine);
		}
	}

	private paceOf(engine: EngineRef, now: number): EnginePace {
		const pace = this.engines.get(engine) ?? new EnginePace(now);
		this.engines.set(engine, pace);
		return pace;
	}

	private update(now: number): void {
		if (now - this.updatedAt < updateIntervalMs) {
			return;
		}
		this.updatedAt = now;
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
		this.dropNegligible(now);
	}

	private dropNegligible(now: number): void {
		for (const [engine, pace] of this.engines) {
			if (pace.isNegligible(now)) {
				this.engines.delete(engine);
			}
		}
		for (const [engine, sums] of this.own) {
			if (sums.isNegligible(now)) {
				this.own.delete(engine);
			}
		}
		for (const source of this.peerSums.values()) {
			for (const [engine, { sums }] of source) {
				if (sums.isNegligible(now)) {
					source.delete(engine);
				}
			}
		}
	}
}

export class EnginePaces {
	private readonly services = new Map<number, ServicePaces>();

	/**
	 * @param ratio observed time over the time estimated for the service
	 * @param weight 1 where no other request is known to have delayed it
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

	/** Records an undisturbed pause of a stream; `ratio` as for first events. */
	recordPause(service: string, engine: EngineRef, ratio: number, now: number): void {
		this.of(service).recordPause(engine, ratio, now);
	}

	/** Current pace of an engine. */
	getPace(service: string, engine: EngineRef, now: number): Pace {
		return this.of(service).pace(engine, now);
	}

	/** Pace without short deviations, for decisions that must stay stable. */
	getSteadyPace(service: string, engine: EngineRef, now: number): Pace {
		return this.of(service).steadyPace(engine, now);
	}

	list(service: string, now: number): ReportedPace[] {
		return this.of(service).list(now);
	}

	/**
	 * Exports recent observations for gossip.
	 * @param vmNames VMs whose observations are added to those of this VM
	 * @param maxEngines maximum number of engines of a service; the others follow in turn with the next calls
	 */
	export(vmNames: readonly string[], now: number, maxEngines: number): ServicePaceSums[] {
		const all = [...this.services.values()].map((paces) => paces.export(vmNames, now, maxEngines));
		return all.filter(({ engines }) => engines.length > 0);
	}

	/** Replaces what another VM sent before about the same engines. */
	merge(peer: string, received: readonly ServicePaceSums[], now: number): void {
		for (const { service, engines } of received) {
			this.byRef(service).merge(peer, engines, now);
		}
	}

	/** Drops the observations of another VM. */
	removePeer(peer: string, now: number): void {
		for (const paces of this.services.values()) {
			paces.removePeer(peer, now);
		}
	}

	/** Drops an incarnation of an engine that ended. */
	removeEngine(engine: EngineRef): void {
		for (const paces of this.services.values()) {
			paces.removeEngine(engine);
		}
	}

	private of(service: string): ServicePaces {
		return this.byRef(rendezvous.hashText(service));
	}

	private byRef(ref: number): ServicePaces {
		const paces = this.services.get(ref) ?? new ServicePaces(ref);
		this.services.set(ref, paces);
		return paces;
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

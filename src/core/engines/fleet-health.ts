/**
 * Fleet-wide circuit breaker over the recent answers that all VMs got from each engine. Where each VM sends few requests to an
 * engine, it opens after a few failures in total rather than on every VM.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { EngineAnswerCounts } from './recent-answers.js';
import {
	addAnswerCounts,
	areCountsEqual,
	emptyAnswerCounts,
	RecentAnswers,
} from './recent-answers.js';

/** Minimum number of recent failures, over all VMs, that opens the circuit. */
const failuresToOpen = 3;
/** Minimum share of failures among the recent answers that opens the circuit. */
const failureShareToOpen = 0.25;
/** Minimum number of VMs that saw failures: a single VM may itself be cut off. */
const vmsToOpen = 2;
/** Initial and maximum time that the circuit stays open, in milliseconds. The initial one outlasts the counted answers. */
const initialOpenMs = 2500;
const maxOpenMs = 8000;
/** Random spread of the trials by different VMs, in milliseconds, so that the first results reach the others in time. */
const trialSpreadMs = 1000;
/** The circuit closes after this time on trial without a failure, in milliseconds. */
const trialMs = 10_000;
/** Maximum number of engines in a message, those with the most failures: when more fail, the engines are not the cause. */
const maxExportedRows = 24;
/** With a larger share of a service's circuits open, the engines are not the cause and none is avoided. */
const maxOpenShare = 0.5;

/** State of a circuit that is open or half-open. */
interface Circuit {
	openMs: number;
	openUntil: number;
	/** When this VM may send a trial request. */
	trialAt: number;
}

/** Anything identified by an engine reference. */
interface HasRef {
	ref: EngineRef;
}

export interface FleetHealthOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** Number of VMs whose gossip arrives, including this one. */
	countLiveVms: () => number;
	/** Called when there is something new to gossip. */
	onUpdate: () => void;
	getEngineId: (ref: EngineRef) => string | undefined;
}

/** Exchange of answer counts through gossip. */
export interface AnswerGossip {
	/** @param vmNames VMs whose counts are added to those of this VM */
	export(vmNames: readonly string[]): EngineAnswerCounts[];
	/**
	 * Replaces the counts that a VM sent before.
	 * @param isTotal whether the rows include this VM's own counts
	 * @returns whether they differ from the previous ones
	 */
	merge(peer: string, rows: readonly EngineAnswerCounts[], isTotal: boolean): boolean;
	removePeer(peer: string): void;
}

export class FleetHealth implements AnswerGossip {
	private readonly own: RecentAnswers;
	private readonly peerAnswers = new Map<string, PeerAnswers>();
	private readonly circuits = new Map<EngineRef, Circuit>();

	constructor(private readonly opts: FleetHealthOptions) {
		this.own = new RecentAnswers(opts.clock);
	}

	/** Records that the engine failed a request of this VM, or could not be reached. */
	recordFailure({ ref }: HasRef): void {
		this.own.recordFailure(ref);
		this.updateCircuit(ref);
		this.opts.onUpdate();
	}

	/** Records that the engine served a request of this VM to its end. */
	recordSuccess({ ref }: HasRef): void {
		this.own.recordSuccess(ref);
		if (this.circuits.has(ref)) {
			this.updateCircuit(ref);
			this.opts.onUpdate();
		}
	}

	/**
	 * Engines whose circuit is closed or due for a trial; all engines where these would be too few.
	 * @param engines eligible engines of one service
	 */
	filterAvailable<T extends HasRef>(engines: readonly T[]): readonly T[] {
		if (this.circuits.size === 0) {
			return engines;
		}
		const { now } = this;
		const available = engines.filter(({ ref }) => now >= (this.circuits.get(ref)?.trialAt ?? now));
		return available.length < engines.length * maxOpenShare ? engines : available;
	}

	export(vmNames: readonly string[]): EngineAnswerCounts[] {
		const peers = vmNames.map((name) => this.peerAnswers.get(name));
		const rows: EngineAnswerCounts[] = [];
		for (const ref of this.suspects()) {
			const row = emptyAnswerCounts(ref);
			addAnswerCounts(row, this.own.of(ref));
			for (const answers of peers) {
				addAnswerCounts(row, answers?.rows.get(ref));
			}
			if (row.failed > 0 || row.served > 0) {
				rows.push(row);
			}
		}
		return rows.sort((a, b) => b.failed - a.failed).slice(0, maxExportedRows);
	}

	merge(peer: string, rows: readonly EngineAnswerCounts[], isTotal: boolean): boolean {
		const previous = this.peerAnswers.get(peer)?.rows;
		const isNew = rows.some((row) => !areCountsEqual(row, previous?.get(row.engine)));
		if (rows.length === 0) {
			this.peerAnswers.delete(peer);
			return false;
		}
		this.peerAnswers.set(peer, { rows: new Map(rows.map((row) => [row.engine, row])), isTotal });
		for (const { engine } of rows) {
			this.updateCircuit(engine);
		}
		return isNew;
	}

	removePeer(peer: string): void {
		this.peerAnswers.delete(peer);
	}

	/** Drops old counts and closes circuits after their trial; called each second. */
	sweep(): void {
		this.own.sweep();
		for (const [ref, { openUntil }] of this.circuits) {
			if (this.now - openUntil > trialMs) {
				this.circuits.delete(ref);
			}
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Engines with failures at any VM, or with a circuit that is open or half-open. */
	private suspects(): ReadonlySet<EngineRef> {
		const refs = new Set([...this.own.failingEngines(), ...this.circuits.keys()]);
		for (const { rows } of this.peerAnswers.values()) {
			for (const ref of rows.keys()) {
				refs.add(ref);
			}
		}
		return refs;
	}

	/** Answer counts over all VMs. */
	private totalOf(ref: EngineRef): EngineAnswerCounts {
		const sum = emptyAnswerCounts(ref);
		const own = this.own.of(ref);
		addAnswerCounts(sum, own);
		for (const { rows, isTotal } of this.peerAnswers.values()) {
			const row = rows.get(ref);
			if (isTotal && row) {
				// The totals include this VM's own counts as it last sent them, which may be outdated.
				sum.failed = Math.max(own.failed, row.failed);
				sum.served = Math.max(own.served, row.served);
				sum.failingVms = Math.max(own.failingVms, row.failingVms);
			} else {
				addAnswerCounts(sum, row);
			}
		}
		return sum;
	}

	private updateCircuit(ref: EngineRef): void {
		const total = this.totalOf(ref);
		const circuit = this.circuits.get(ref);
		if (!circuit) {
			if (this.shouldOpen(total)) {
				this.open(ref, total, initialOpenMs);
			}
		} else if (this.now >= circuit.openUntil) {
			this.evaluateTrial(ref, total, circuit);
		}
	}

	/** Counts from before the circuit opened have expired by now, so every answer belongs to the trial. */
	private evaluateTrial(ref: EngineRef, total: EngineAnswerCounts, { openMs }: Circuit): void {
		if (total.failed > 0 && hasOpeningShare(total)) {
			this.open(ref, total, Math.min(openMs * 2, maxOpenMs));
		} else if (total.served > 0) {
			this.circuits.delete(ref);
			this.opts.log.info('engine.restored', { engine: this.opts.getEngineId(ref) });
		}
	}

	private shouldOpen({ failed, served, failingVms }: EngineAnswerCounts): boolean {
		const minVms = Math.min(vmsToOpen, this.opts.countLiveVms());
		const isFailing = failed >= failuresToOpen && failingVms >= minVms;
		return isFailing && hasOpeningShare({ failed, served });
	}

	private open(ref: EngineRef, { failed, served }: EngineAnswerCounts, openMs: number): void {
		const openUntil = this.now + openMs;
		const trialAt = openUntil + this.opts.random.next() * trialSpreadMs;
		this.circuits.set(ref, { openMs, openUntil, trialAt });
		this.opts.log.warn('engine.suspected', {
			engine: this.opts.getEngineId(ref),
			failed,
			served,
			close_ms: openMs,
		});
	}
}

/** Whether the share of failures among some answers opens a circuit. */
function hasOpeningShare({ failed, served }: { failed: number; served: number }): boolean {
	return failed / (failed + served) >= failureShareToOpen;
}

/** Counts that one VM sent last. */
interface PeerAnswers {
	rows: ReadonlyMap<EngineRef, EngineAnswerCounts>;
	isTotal: boolean;
}

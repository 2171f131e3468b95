/**
 * Replicated ledger of the traits of requests that ran on engines when these crashed. Records only go from absent to present to
 * cleared, so that lost, duplicate and late gossip does no harm and all VMs converge.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { CrashEvidence, Failure as CrashRecord } from './crash-causes.js';
import type { QueuedReport } from './report-queue.js';
import { ReportQueue } from './report-queue.js';
import type { Trait } from './traits.js';
import type { CrashGossip, CrashReport } from './types.js';

/** How long crashes are remembered, in milliseconds; equals the longest lease of the store. */
export const crashRetentionMs = 600_000;
/**
 * How long a failure waits for the crash of its engine to be confirmed, in milliseconds; covers the expiry of the registration (three
 * heartbeats of 1,200 ms) and a short outage of the store.
 */
const confirmationMs = 15_000;
/** Upper bound of remembered traits; the least recently updated are evicted first. */
const maxTraits = 4000;

/** A failed request at an engine that is not known to have crashed. */
interface UnconfirmedFailure {
	trait: Trait;
	engine: EngineRef;
	at: number;
	/** Whether the engine was silent towards all requests, so that its failure is a guess. */
	isSilent: boolean;
}

export interface CrashLedgerOptions {
	clock: Clock;
	/** Called when records were added or cleared, by this VM or a peer. */
	onChanged: () => void;
	/** Called when this VM itself observed the change, so that no peer announces it. */
	onLocalChange: () => void;
}

export class CrashLedger implements CrashGossip {
	private readonly records = new Map<Trait, Map<EngineRef, CrashRecord>>();
	/** When the last served request with a trait began to be answered; while no engine has crashed, none is kept. */
	private readonly servedSince = new Map<Trait, number>();
	/** Crashed engines, and when this VM learned of it. */
	private readonly crashed = new Map<EngineRef, number>();
	private unconfirmed: UnconfirmedFailure[] = [];
	private readonly reports: ReportQueue;
	private repeatedTraits: ReadonlySet<Trait> = new Set();
	/** Traits whose crashes this VM itself observed. */
	private readonly locallyObserved = new Set<Trait>();

	constructor(private readonly opts: CrashLedgerOptions) {
		this.reports = new ReportQueue({
			clock: opts.clock,
			countCrashes: (trait) => this.records.get(trait)?.size ?? 0,
			getRepeated: () => this.getRepeatedReports(),
		});
	}

	/** Whether no request failed at an engine and no engine crashed, as far as is remembered. */
	get isEmpty(): boolean {
		return this.records.size + this.unconfirmed.length + this.crashed.size === 0;
	}

	/** Traits of requests that failed at any engine. */
	listTraits(): Iterable<Trait> {
		return [...this.records.keys(), ...this.unconfirmed.map(({ trait }) => trait)];
	}

	/** Whether this VM itself observed an engine crash with the trait. */
	isLocallyObserved(trait: Trait): boolean {
		return this.locallyObserved.has(trait);
	}

	/** Engines that crashed while running each trait. */
	get evidence(): CrashEvidence {
		return this.records;
	}

	/** Number of engines at which the trait failed, whether or not their crash is confirmed; without engines that were only silent. */
	countFailedEngines(trait: Trait): number {
		const engines = new Set<EngineRef>();
		for (const [engine, record] of this.records.get(trait) ?? []) {
			if (!record.isCleared) {
				engines.add(engine);
			}
		}
		for (const failure of this.unconfirmed) {
			if (failure.trait === trait && !failure.isSilent) {
				engines.add(failure.engine);
			}
		}
		return engines.size;
	}

	hasCrashed(engine: EngineRef): boolean {
		return this.crashed.has(engine);
	}

	/**
	 * Records a failed request of this VM.
	 * @param isSilent whether the engine was silent towards all requests; it counts only once its crash is known
	 */
	recordFailure(traits: readonly Trait[], engine: EngineRef, isSilent = false): void {
		const failures = traits.map((trait) => ({ trait, engine, at: this.now, isSilent }));
		if (this.crashed.has(engine)) {
			this.addLocallyObserved(failures);
		} else {
			this.unconfirmed.push(...failures);
			this.opts.onChanged();
		}
	}

	/** Records that the port of an engine is closed or its registration expired without notice. */
	recordEngineCrash(engine: EngineRef): void {
		if (!this.crashed.has(engine)) {
			this.reports.add({ engine, isCleared: false, at: this.now });
		}
		this.crashed.set(engine, this.now);
		const failures = this.unconfirmed.filter((failure) => failure.engine === engine);
		this.unconfirmed = this.unconfirmed.filter((failure) => failure.engine !== engine);
		this.addLocallyObserved(failures);
	}

	/**
	 * Clears the records of the traits of a request that an engine served, as far as they are of crashes before.
	 * @param beganAt when the engine began to answer it, in monotonic milliseconds
	 */
	recordSuccess(traits: readonly Trait[], beganAt: number): void {
		const changed = traits.filter((trait) => this.clear(trait, beganAt));
		if (changed.length > 0) {
			this.opts.onChanged();
			this.opts.onLocalChange();
		}
	}

	/** Sets the traits whose reports are repeated as long as they are remembered, for VMs that start. */
	setRepeatedTraits(traits: ReadonlySet<Trait>): void {
		this.repeatedTraits = traits;
	}

	getReportsToSend(): CrashReport[] {
		return this.reports.take();
	}

	merge(reports: readonly CrashReport[]): boolean {
		let isNew = false;
		for (const { trait, engine, ageMs, ...state } of reports) {
			if (trait === undefined) {
				isNew ||= !this.crashed.has(engine);
				this.recordEngineCrash(engine);
			} else if (
				ageMs < crashRetentionMs &&
				this.record(trait, engine, { ...state, at: this.now - ageMs })
			) {
				isNew = true;
			}
		}
		if (isNew) {
			this.opts.onChanged();
		}
		return isNew;
	}

	/** Removes old records; called each second. */
	sweep(): void {
		const { now } = this;
		this.unconfirmed = this.unconfirmed.filter(({ at }) => now - at < confirmationMs);
		for (const [engine, at] of this.crashed) {
			if (now - at >= confirmationMs) {
				this.crashed.delete(engine);
			}
		}
		let isChanged = false;
		for (const [trait, engines] of this.records) {
			const newest = Math.max(...[...engines.values()].map(({ at }) => at));
			if (now - newest >= crashRetentionMs) {
				isChanged = this.records.delete(trait);
				this.locallyObserved.delete(trait);
			}
		}
		if (this.isEmpty) {
			this.servedSince.clear();
		}
		if (isChanged) {
			this.opts.onChanged();
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private getRepeatedReports(): QueuedReport[] {
		return [...this.repeatedTraits].flatMap((trait) => {
			const engines = [...(this.records.get(trait) ?? [])];
			return engines.map(([engine, record]) => ({ trait, engine, ...record }));
		});
	}

	private addLocallyObserved(failures: readonly UnconfirmedFailure[]): void {
		const added = failures.filter(({ trait, engine, at }) =>
			this.record(trait, engine, { isCleared: false, at }),
		);
		for (const { trait } of added) {
			this.locallyObserved.add(trait);
		}
		if (added.length > 0) {
			this.opts.onChanged();
			this.opts.onLocalChange();
		}
	}

	/** @returns whether the ledger changed */
	private clear(trait: Trait, beganAt: number): boolean {
		this.recordServed(trait, beganAt);
		const isBefore = ({ at }: { at: number }) => at <= beganAt;
		this.unconfirmed = this.unconfirmed.filter((item) => item.trait !== trait || !isBefore(item));
		const crashes = [...(this.records.get(trait) ?? [])].filter(([, record]) => isBefore(record));
		const cleared = crashes.filter(([engine, record]) =>
			this.record(trait, engine, { ...record, isCleared: true }),
		);
		return cleared.length > 0;
	}

	private recordServed(trait: Trait, beganAt: number): void {
		const previous = this.servedSince.get(trait) ?? beganAt;
		// Moves the trait to the end of the eviction order.
		this.servedSince.delete(trait);
		this.servedSince.set(trait, Math.max(previous, beganAt));
		const [oldest] = this.servedSince.keys();
		if (this.servedSince.size > maxTraits && oldest !== undefined) {
			this.servedSince.delete(oldest);
		}
	}

	/** @returns whether the ledger changed */
	private record(trait: Trait, engine: EngineRef, update: CrashRecord): boolean {
		const engines = this.records.get(trait) ?? new Map<EngineRef, CrashRecord>();
		const known = engines.get(engine);
		if (known && (known.isCleared || !update.isCleared)) {
			return false;
		}
		const { at } = update;
		const wasServed = (this.servedSince.get(trait) ?? Number.NEGATIVE_INFINITY) >= at;
		const isCleared = update.isCleared || wasServed;
		engines.set(engine, { isCleared, at });
		// Moves the trait to the end of the eviction order.
		this.records.delete(trait);
		this.records.set(trait, engines);
		this.evictOldest();
		this.reports.add({ trait, engine, isCleared, at });
		return true;
	}

	private evictOldest(): void {
		for (const trait of this.records.keys()) {
			if (this.records.size <= maxTraits) {
				return;
			}
			if (!this.repeatedTraits.has(trait)) {
				this.records.delete(trait);
				this.locallyObserved.delete(trait);
			}
		}
	}
}

/**
 * Replicated ledger of the contents that ran on engines when these crashed. Records only go from absent to present to cleared, so
 * that lost, duplicate and late gossip does no harm and all VMs converge.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';
import type { CrashGossip, CrashReport } from './types.js';

/** How long crashes are remembered, in milliseconds; equals the longest lease of the store. */
export const crashRetentionMs = 600_000;
/**
 * How long a failure waits for the crash of its engine to be confirmed, in milliseconds; covers the expiry of the registration (three
 * heartbeats of 1,200 ms) and a short outage of the store.
 */
const confirmationMs = 15_000;
/** How long a new report is included in gossip, in milliseconds; covers lost datagrams. */
const gossipMs = 2000;
/** Upper bound of reports per datagram (256 bytes, a fifth of it); the others go into the next ones. */
const maxReportsPerMessage = 16;
/** Interval at which reports of quarantined contents are repeated, in milliseconds, for VMs that start. */
const repeatIntervalMs = 250;
/** Upper bound of remembered contents; the least recently updated are evicted first. */
const maxContents = 4000;

/** A content that ran on an engine when it crashed. */
interface CrashRecord {
	isCleared: boolean;
	/** When this VM learned of it, in monotonic milliseconds. */
	learnedAt: number;
}

/** A failed request at an engine that is not known to have crashed. */
interface UnconfirmedFailure {
	content: ContentHash;
	engine: EngineRef;
	at: number;
}

export interface CrashLedgerOptions {
	clock: Clock;
	/** Called when records were added or cleared, by this VM or a peer. */
	onChanged: () => void;
	/** Called when this VM itself observed the change, so that no peer announces it. */
	onLocalChange: () => void;
}

export class CrashLedger implements CrashGossip {
	private readonly records = new Map<ContentHash, Map<EngineRef, CrashRecord>>();
	/** Crashed engines, and when this VM learned of it. */
	private readonly crashed = new Map<EngineRef, number>();
	private unconfirmed: UnconfirmedFailure[] = [];
	/** New reports, and until when each is included in gossip. */
	private newReports: { report: CrashReport; until: number }[] = [];
	private repeatedContents: ReadonlySet<ContentHash> = new Set();
	private repeatedAt = Number.NEGATIVE_INFINITY;
	/** Contents whose crashes this VM itself observed. */
	private readonly locallyObserved = new Set<ContentHash>();

	constructor(private readonly opts: CrashLedgerOptions) {}

	/** Contents that failed at any engine. */
	listContents(): Iterable<ContentHash> {
		return [...this.records.keys(), ...this.unconfirmed.map(({ content }) => content)];
	}

	/** Whether this VM itself observed an engine crash with the content. */
	isLocallyObserved(content: ContentHash): boolean {
		return this.locallyObserved.has(content);
	}

	/** Engines that crashed while running each content, without cleared records. */
	get evidence(): Map<ContentHash, ReadonlySet<EngineRef>> {
		const evidence = new Map<ContentHash, ReadonlySet<EngineRef>>();
		for (const [content, engines] of this.records) {
			const uncleared = [...engines].filter(([, record]) => !record.isCleared);
			if (uncleared.length > 0) {
				evidence.set(content, new Set(uncleared.map(([engine]) => engine)));
			}
		}
		return evidence;
	}

	/** Number of engines at which the content failed, whether or not their crash is confirmed. */
	countFailedEngines(content: ContentHash): number {
		const engines = new Set<EngineRef>();
		for (const [engine, record] of this.records.get(content) ?? []) {
			if (!record.isCleared) {
				engines.add(engine);
			}
		}
		for (const failure of this.unconfirmed) {
			if (failure.content === content) {
				engines.add(failure.engine);
			}
		}
		return engines.size;
	}

	hasCrashed(engine: EngineRef): boolean {
		return this.crashed.has(engine);
	}

	/** Records a failed request of this VM. */
	recordFailure(content: ContentHash, engine: EngineRef): void {
		if (this.crashed.has(engine)) {
			this.addLocallyObserved([{ content, engine }]);
		} else {
			this.unconfirmed.push({ content, engine, at: this.now });
			this.opts.onChanged();
		}
	}

	/** Records that the port of an engine is closed or its registration expired without notice. */
	recordEngineCrash(engine: EngineRef): void {
		if (!this.crashed.has(engine)) {
			this.announce({ engine, isCleared: false });
		}
		this.crashed.set(engine, this.now);
		const failures = this.unconfirmed.filter((failure) => failure.engine === engine);
		this.unconfirmed = this.unconfirmed.filter((failure) => failure.engine !== engine);
		this.addLocallyObserved(failures);
	}

	/** Clears the records of a content that an engine served completely. */
	recordSuccess(content: ContentHash): void {
		this.unconfirmed = this.unconfirmed.filter((failure) => failure.content !== content);
		const engines = [...(this.records.get(content)?.keys() ?? [])];
		const changed = engines.filter((engine) => this.record(content, engine, true));
		if (changed.length > 0) {
			this.opts.onChanged();
			this.opts.onLocalChange();
		}
	}

	/** Sets the contents whose reports are repeated as long as they are remembered, for VMs that start. */
	setRepeatedContents(contents: ReadonlySet<ContentHash>): void {
		this.repeatedContents = contents;
	}

	getReportsToSend(): CrashReport[] {
		if (this.newReports.length === 0 && this.repeatedContents.size === 0) {
			return [];
		}
		const { now } = this;
		this.newReports = this.newReports.filter(({ until }) => until > now);
		const reports = this.newReports.slice(0, maxReportsPerMessage).map(({ report }) => report);
		// Rotates, so that the next message carries the others.
		this.newReports.push(...this.newReports.splice(0, maxReportsPerMessage));
		return [...reports, ...this.getRepeatedReports(maxReportsPerMessage - reports.length)];
	}

	merge(reports: readonly CrashReport[]): boolean {
		let isNew = false;
		for (const { content, engine, isCleared } of reports) {
			if (content === undefined) {
				isNew ||= !this.crashed.has(engine);
				this.recordEngineCrash(engine);
			} else if (this.record(content, engine, isCleared)) {
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
		for (const [content, engines] of this.records) {
			const newest = Math.max(...[...engines.values()].map(({ learnedAt }) => learnedAt));
			if (now - newest >= crashRetentionMs) {
				isChanged = this.records.delete(content);
				this.locallyObserved.delete(content);
			}
		}
		if (isChanged) {
			this.opts.onChanged();
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private getRepeatedReports(maxCount: number): CrashReport[] {
		const { now } = this;
		if (now - this.repeatedAt < repeatIntervalMs) {
			return [];
		}
		this.repeatedAt = now;
		const reports = [...this.repeatedContents].flatMap((content) => {
			const engines = [...(this.records.get(content) ?? [])];
			return engines.map(([engine, { isCleared }]) => ({ content, engine, isCleared }));
		});
		return reports.slice(0, maxCount);
	}

	private addLocallyObserved(
		crashes: readonly { content: ContentHash; engine: EngineRef }[],
	): void {
		const added = crashes.filter(({ content, engine }) => this.record(content, engine, false));
		for (const { content } of added) {
			this.locallyObserved.add(content);
		}
		if (added.length > 0) {
			this.opts.onChanged();
			this.opts.onLocalChange();
		}
	}

	/** @returns whether the ledger changed */
	private record(content: ContentHash, engine: EngineRef, isCleared: boolean): boolean {
		const engines = this.records.get(content) ?? new Map<EngineRef, CrashRecord>();
		const known = engines.get(engine);
		if (known && (known.isCleared || !isCleared)) {
			return false;
		}
		engines.set(engine, { isCleared, learnedAt: this.now });
		// Moves the content to the end of the eviction order.
		this.records.delete(content);
		this.records.set(content, engines);
		this.evictOldest();
		this.announce({ content, engine, isCleared });
		return true;
	}

	private evictOldest(): void {
		for (const content of this.records.keys()) {
			if (this.records.size <= maxContents) {
				return;
			}
			if (!this.repeatedContents.has(content)) {
				this.records.delete(content);
				this.locallyObserved.delete(content);
			}
		}
	}

	private announce(report: CrashReport): void {
		this.newReports.unshift({ report, until: this.now + gossipMs });
	}
}

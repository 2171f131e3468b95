/**
 * Which contents were at which engines when those ended, as far as the fleet knows. Rows only ever go from absent to present to
 * cleared, so that lost, doubled and late news do no harm and all VMs come to the same ledger.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';
import type { CrashGossip, CrashReport } from './types.js';

/** The ledger forgets after so long, in milliseconds: as long as the longest lease under which the store keeps a content. */
export const crashRetentionMs = 600_000;
/**
 * A break counts when its engine is known to have ended within this time, in milliseconds: a registration lapses after three
 * heartbeats of 1,200 ms, and an outage of the store may hide it for some seconds more.
 */
const confirmMs = 15_000;
/** What is new is told for so long, in milliseconds: eight times to a VM that hears only the quarter-second news. */
const tellMs = 2000;
/** Rows in one datagram: 256 bytes, a fifth of it. Those that do not fit go along with the next, 10 to 40 ms later. */
const rowsEach = 16;
/** Time between two news that tell what lasts, in milliseconds: a VM that starts hears it within a quarter of a second. */
const lastingMs = 250;
/** Contents that are kept; 64 requests at each of 60 engines that end within the time. Those unused longest go first. */
const mostContents = 4000;

/** One content that was at one engine when that ended. */
interface CrashRecord {
	isCleared: boolean;
	/** When this VM learned of it, in monotonic milliseconds. */
	learnedAt: number;
}

/** A request broke at an engine of which nobody knows yet whether it ended. */
interface Break {
	content: ContentHash;
	engine: EngineRef;
	at: number;
}

export interface CrashLedgerOptions {
	clock: Clock;
	/** Records were added or cleared, here or by a peer. */
	onChanged: () => void;
	/** This VM itself found it out, so nobody else tells. */
	onLocalChange: () => void;
}

export class CrashLedger implements CrashGossip {
	private readonly records = new Map<ContentHash, Map<EngineRef, CrashRecord>>();
	/** Engines that ended, and when this VM learned of it. */
	private readonly ended = new Map<EngineRef, number>();
	private breaks: Break[] = [];
	/** What is new, with the time until which it is told. */
	private fresh: { row: CrashReport; until: number }[] = [];
	private lasting: ReadonlySet<ContentHash> = new Set();
	private lastingToldAt = Number.NEGATIVE_INFINITY;
	/** Contents for which this VM itself saw an engine end. */
	private readonly own = new Set<ContentHash>();

	constructor(private readonly opts: CrashLedgerOptions) {}

	/** Contents that broke at any engine. */
	listContents(): Iterable<ContentHash> {
		return [...this.records.keys(), ...this.breaks.map(({ content }) => content)];
	}

	/** Whether this VM itself saw an engine end under the content. */
	isLocallyObserved(content: ContentHash): boolean {
		return this.own.has(content);
	}

	/** Engines that ended under each content, but for contents that were served since. */
	get evidence(): Map<ContentHash, ReadonlySet<EngineRef>> {
		const all = new Map<ContentHash, ReadonlySet<EngineRef>>();
		for (const [content, engines] of this.records) {
			const open = [...engines].filter(([, record]) => !record.isCleared);
			if (open.length > 0) {
				all.set(content, new Set(open.map(([engine]) => engine)));
			}
		}
		return all;
	}

	/** Engines that broke off this content, whether or not it is known that they ended. */
	countFailedEngines(content: ContentHash): number {
		const engines = new Set<EngineRef>();
		for (const [engine, record] of this.records.get(content) ?? []) {
			if (!record.isCleared) {
				engines.add(engine);
			}
		}
		for (const one of this.breaks) {
			if (one.content === content) {
				engines.add(one.engine);
			}
		}
		return engines.size;
	}

	hasCrashed(engine: EngineRef): boolean {
		return this.ended.has(engine);
	}

	/** An engine broke off a request of this VM. */
	recordFailure(content: ContentHash, engine: EngineRef): void {
		if (this.ended.has(engine)) {
			this.addOwn([{ content, engine }]);
		} else {
			this.breaks.push({ content, engine, at: this.now });
			this.opts.onChanged();
		}
	}

	/** Nothing listens at the engine's address any more, or its registration ended without notice. */
	recordEngineCrash(engine: EngineRef): void {
		if (!this.ended.has(engine)) {
			this.tell({ engine, isCleared: false });
		}
		this.ended.set(engine, this.now);
		const under = this.breaks.filter((one) => one.engine === engine);
		this.breaks = this.breaks.filter((one) => one.engine !== engine);
		this.addOwn(under);
	}

	/** An engine served the content to its end. */
	recordSuccess(content: ContentHash): void {
		this.breaks = this.breaks.filter((one) => one.content !== content);
		const engines = [...(this.records.get(content)?.keys() ?? [])];
		const changed = engines.filter((engine) => this.record(content, engine, true));
		if (changed.length > 0) {
			this.opts.onChanged();
			this.opts.onLocalChange();
		}
	}

	/** These contents are told as long as they are kept, so that a VM that starts hears of them. */
	setRepeatedContents(contents: ReadonlySet<ContentHash>): void {
		this.lasting = contents;
	}

	getReportsToSend(): CrashReport[] {
		if (this.fresh.length === 0 && this.lasting.size === 0) {
			return [];
		}
		const { now } = this;
		this.fresh = this.fresh.filter(({ until }) => until > now);
		const rows = this.fresh.slice(0, rowsEach).map(({ row }) => row);
		// The next news tell the others.
		this.fresh.push(...this.fresh.splice(0, rowsEach));
		return [...rows, ...this.lastingRows(rowsEach - rows.length)];
	}

	merge(rows: readonly CrashReport[]): boolean {
		let isNew = false;
		for (const { content, engine, isCleared } of rows) {
			if (content === undefined) {
				isNew ||= !this.ended.has(engine);
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

	/** Forgets what is old; called each second. */
	sweep(): void {
		const { now } = this;
		this.breaks = this.breaks.filter(({ at }) => now - at < confirmMs);
		for (const [engine, at] of this.ended) {
			if (now - at >= confirmMs) {
				this.ended.delete(engine);
			}
		}
		let isChanged = false;
		for (const [content, engines] of this.records) {
			const newest = Math.max(...[...engines.values()].map(({ learnedAt }) => learnedAt));
			if (now - newest >= crashRetentionMs) {
				isChanged = this.records.delete(content);
				this.own.delete(content);
			}
		}
		if (isChanged) {
			this.opts.onChanged();
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private lastingRows(most: number): CrashReport[] {
		const { now } = this;
		if (now - this.lastingToldAt < lastingMs) {
			return [];
		}
		this.lastingToldAt = now;
		const rows = [...this.lasting].flatMap((content) => {
			const engines = [...(this.records.get(content) ?? [])];
			return engines.map(([engine, { isCleared }]) => ({ content, engine, isCleared }));
		});
		return rows.slice(0, most);
	}

	private addOwn(crashes: readonly { content: ContentHash; engine: EngineRef }[]): void {
		const added = crashes.filter(({ content, engine }) => this.record(content, engine, false));
		for (const { content } of added) {
			this.own.add(content);
		}
		if (added.length > 0) {
			this.opts.onChanged();
			this.opts.onLocalChange();
		}
	}

	/** @returns whether the ledger did not say so before */
	private record(content: ContentHash, engine: EngineRef, isCleared: boolean): boolean {
		const engines = this.records.get(content) ?? new Map<EngineRef, CrashRecord>();
		const known = engines.get(engine);
		if (known && (known.isCleared || !isCleared)) {
			return false;
		}
		engines.set(engine, { isCleared, learnedAt: this.now });
		// Last in the order of those that are forgotten.
		this.records.delete(content);
		this.records.set(content, engines);
		this.forgetOldest();
		this.tell({ content, engine, isCleared });
		return true;
	}

	private forgetOldest(): void {
		for (const content of this.records.keys()) {
			if (this.records.size <= mostContents) {
				return;
			}
			if (!this.lasting.has(content)) {
				this.records.delete(content);
				this.own.delete(content);
			}
		}
	}

	private tell(row: CrashReport): void {
		this.fresh.unshift({ row, until: this.now + tellMs });
	}
}

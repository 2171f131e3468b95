/**
 * The limits that engines name, as the whole fleet has heard of them. Any VM may hear first that a limit is named, changed or over;
 * versions tell which of two words is the newer one without a clock that VMs share.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef, NewsKind } from '../fleet/types.js';
import type { LimitUpdate } from './types.js';

/** A change goes along with all news for so long, in milliseconds; lost datagrams are made good by the next. */
const tellMs = 2000;
/** Words in one datagram at the most. */
const wordsEach = 8;
/** Limits in force are told again so often, in milliseconds, for VMs that start or were cut off. */
const repeatMs = 500;
/**
 * Words are kept for so long after their last change or naming, in milliseconds, so that a VM that was cut off cannot bring back an
 * older one.
 */
const keptMs = 600_000;

interface Record {
	perS?: number;
	version: number;
	/** When this VM last heard it named, or changed, in monotonic milliseconds. */
	heardAt: number;
	/** Goes along with all news until then. */
	tellUntil: number;
}

/** How far one kind of news has told all words. */
interface Round {
	/** When limits in force were last told again, all of them. */
	repeatedAt: number;
	/** Where the next news go on, so that all words get their turn. */
	next: number;
}

export interface LimitLedgerOptions {
	clock: Clock;
	/** A word changed that others should hear. */
	onChanged: () => void;
	/** A limit was named, changed or ended; `before` in requests a second. */
	onLimitChanged: (word: LimitUpdate, before: number | undefined) => void;
}

export class LimitLedger {
	private readonly records = new Map<EngineRef, Record>();
	private inForce = 0;
	private readonly rounds = new Map<NewsKind, Round>();

	constructor(private readonly opts: LimitLedgerOptions) {}

	/** Engines that name a limit now. */
	get size(): number {
		return this.inForce;
	}

	/** Requests a second that an engine takes from all VMs together; undefined when it names no limit. */
	getLimitPerS(engine: EngineRef): number | undefined {
		return this.inForce === 0 ? undefined : this.records.get(engine)?.perS;
	}

	getLimit(engine: EngineRef): LimitUpdate {
		const { perS, version = 0 } = this.records.get(engine) ?? {};
		return { engine, limitPerS: perS, version };
	}

	/** An answer of the engine named a limit. */
	recordLimit(engine: EngineRef, perS: number): void {
		const record = this.records.get(engine);
		if (record && record.perS === perS) {
			record.heardAt = this.now;
		} else {
			this.set(engine, perS, (record?.version ?? 0) + 1);
		}
	}

	/**
	 * An answer of the engine itself named none.
	 * @param sentAt when its request left, in monotonic milliseconds: an answer that was made before the limit was named ends nothing
	 */
	recordNoLimit(engine: EngineRef, sentAt: number): void {
		const record = this.records.get(engine);
		if (record?.perS !== undefined && sentAt > record.heardAt) {
			this.set(engine, undefined, record.version + 1);
		}
	}

	/** @returns whether any word is new here, or older than what is known here and has to be answered */
	merge(words: readonly LimitUpdate[]): boolean {
		let isNew = false;
		for (const { engine, limitPerS: perS, version } of words) {
			const record = this.records.get(engine);
			const before = record?.version ?? 0;
			if (version > before || (version === before && isStricter(perS, record?.perS))) {
				this.set(engine, perS, version);
				isNew = true;
			} else if (record && version < before) {
				record.tellUntil = this.now + tellMs;
				isNew = true;
			}
		}
		return isNew;
	}

	/** @param kind of the news that they go with; each kind has other readers */
	getUpdatesToSend(kind: NewsKind): LimitUpdate[] {
		if (this.records.size === 0) {
			return [];
		}
		const { now } = this;
		const round = this.rounds.get(kind) ?? { repeatedAt: Number.NEGATIVE_INFINITY, next: 0 };
		this.rounds.set(kind, round);
		const repeats = now - round.repeatedAt >= repeatMs;
		const due = [...this.records].filter(([, { tellUntil, perS }]) => {
			return now < tellUntil || (repeats && perS !== undefined);
		});
		const from = round.next < due.length ? round.next : 0;
		round.next = from + wordsEach;
		if (repeats && round.next >= due.length) {
			round.repeatedAt = now;
		}
		return due.slice(from, round.next).map(([engine]) => this.getLimit(engine));
	}

	/**
	 * Forgets what is old; called each second. A limit in force lasts as long as its engine is registered: it ends by an answer,
	 * and the first request that may go there is one that keeps to it.
	 */
	sweep(isRegistered: (engine: EngineRef) => boolean): void {
		for (const [engine, { perS, heardAt }] of this.records) {
			const lasts = perS !== undefined && isRegistered(engine);
			if (!lasts && this.now - heardAt >= keptMs) {
				this.records.delete(engine);
				this.count();
			}
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private set(engine: EngineRef, perS: number | undefined, version: number): void {
		const { now } = this;
		const before = this.records.get(engine)?.perS;
		this.records.set(engine, { perS, version, heardAt: now, tellUntil: now + tellMs });
		this.count();
		this.opts.onChanged();
		if (perS !== before) {
			this.opts.onLimitChanged({ engine, limitPerS: perS, version }, before);
		}
	}

	private count(): void {
		this.inForce = [...this.records.values()].filter(({ perS }) => perS !== undefined).length;
	}
}

/** Of two words of the same version, heard by two VMs at once, the one that asks for less counts. */
function isStricter(perS = Number.POSITIVE_INFINITY, other = Number.POSITIVE_INFINITY): boolean {
	return perS < other;
}

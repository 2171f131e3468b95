/**
 * Replicated ledger of the rate limits of engines. Versions order the updates of different VMs without a shared clock.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef, GossipKind } from '../fleet/types.js';
import type { LimitUpdate } from './types.js';

/** How long a change is included in all gossip, in milliseconds; covers lost datagrams. */
const gossipMs = 2000;
/** Upper bound of updates per datagram. */
const maxUpdatesPerMessage = 8;
/** Interval at which active limits are repeated, in milliseconds, for VMs that started or were partitioned. */
const repeatIntervalMs = 500;
/**
 * How long records outlive their last change or confirmation, in milliseconds, so that a partitioned VM cannot restore an older
 * one.
 */
const retentionMs = 600_000;

interface LimitRecord {
	limitPerS?: number;
	version: number;
	/** When this VM last saw it confirmed or changed, in monotonic milliseconds. */
	confirmedAt: number;
	/** Until when it is included in all gossip. */
	gossipUntil: number;
}

/** Progress of one kind of gossip message through the records. */
interface GossipCursor {
	/** When all active limits were last repeated. */
	repeatedAt: number;
	/** Index at which the next message continues. */
	next: number;
}

export interface LimitLedgerOptions {
	clock: Clock;
	/** Called when a record changed that other VMs need. */
	onChanged: () => void;
	/** Called when a limit was announced, changed or ended; `before` in requests per second. */
	onLimitChanged: (update: LimitUpdate, before: number | undefined) => void;
}

export class LimitLedger {
	private readonly records = new Map<EngineRef, LimitRecord>();
	private activeCount = 0;
	private readonly cursors = new Map<GossipKind, GossipCursor>();

	constructor(private readonly opts: LimitLedgerOptions) {}

	/** Number of engines with an active limit. */
	get size(): number {
		return this.activeCount;
	}

	/** Requests per second that an engine accepts from all VMs together; undefined without a limit. */
	getLimitPerS(engine: EngineRef): number | undefined {
		return this.activeCount === 0 ? undefined : this.records.get(engine)?.limitPerS;
	}

	/** Current limit of an engine; version 0 when none is known. */
	getLimit(engine: EngineRef): LimitUpdate {
		const { limitPerS, version = 0 } = this.records.get(engine) ?? {};
		return { engine, limitPerS, version };
	}

	/** Records a limit that an answer of the engine announced. */
	recordLimit(engine: EngineRef, limitPerS: number): void {
		const record = this.records.get(engine);
		if (record && record.limitPerS === limitPerS) {
			record.confirmedAt = this.now;
		} else {
			this.set(engine, limitPerS, (record?.version ?? 0) + 1);
		}
	}

	/**
	 * Ends the limit after an answer of the engine itself that announced none.
	 * @param sentAt when the request was sent, in monotonic milliseconds; requests from before the limit was announced are
	 * ignored
	 */
	recordNoLimit(engine: EngineRef, sentAt: number): void {
		const record = this.records.get(engine);
		if (record?.limitPerS !== undefined && sentAt > record.confirmedAt) {
			this.set(engine, undefined, record.version + 1);
		}
	}

	/** @returns whether any update is new here, or outdated, so that its sender needs the newer one */
	merge(updates: readonly LimitUpdate[]): boolean {
		let isNew = false;
		for (const { engine, limitPerS, version } of updates) {
			const record = this.records.get(engine);
			const before = record?.version ?? 0;
			if (version > before || (version === before && isStricter(limitPerS, record?.limitPerS))) {
				this.set(engine, limitPerS, version);
				isNew = true;
			} else if (record && version < before) {
				record.gossipUntil = this.now + gossipMs;
				isNew = true;
			}
		}
		return isNew;
	}

	/** @param kind of the gossip message; each kind reaches other VMs and has its own progress */
	getUpdatesToSend(kind: GossipKind): LimitUpdate[] {
		if (this.records.size === 0) {
			return [];
		}
		const { now } = this;
		const cursor = this.cursors.get(kind) ?? {
			repeatedAt: Number.NEGATIVE_INFINITY,
			next: 0,
		};
		this.cursors.set(kind, cursor);
		const shouldRepeat = now - cursor.repeatedAt >= repeatIntervalMs;
		const due = [...this.records].filter(([, { gossipUntil, limitPerS }]) => {
			return now < gossipUntil || (shouldRepeat && limitPerS !== undefined);
		});
		const from = cursor.next < due.length ? cursor.next : 0;
		cursor.next = from + maxUpdatesPerMessage;
		if (shouldRepeat && cursor.next >= due.length) {
			cursor.repeatedAt = now;
		}
		return due.slice(from, cursor.next).map(([engine]) => this.getLimit(engine));
	}

	/** Removes old records; called each second. An active limit lasts as long as its engine is registered. */
	sweep(isRegistered: (engine: EngineRef) => boolean): void {
		for (const [engine, { limitPerS, confirmedAt }] of this.records) {
			const isActive = limitPerS !== undefined && isRegistered(engine);
			if (!isActive && this.now - confirmedAt >= retentionMs) {
				this.records.delete(engine);
				this.updateActiveCount();
			}
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private set(engine: EngineRef, limitPerS: number | undefined, version: number): void {
		const { now } = this;
		const before = this.records.get(engine)?.limitPerS;
		this.records.set(engine, {
			limitPerS,
			version,
			confirmedAt: now,
			gossipUntil: now + gossipMs,
		});
		this.updateActiveCount();
		this.opts.onChanged();
		if (limitPerS !== before) {
			this.opts.onLimitChanged({ engine, limitPerS, version }, before);
		}
	}

	private updateActiveCount(): void {
		this.activeCount = [...this.records.values()].filter(
			({ limitPerS }) => limitPerS !== undefined,
		).length;
	}
}

/** Resolves concurrent updates of the same version: the lower limit wins. */
function isStricter(
	limitPerS = Number.POSITIVE_INFINITY,
	other = Number.POSITIVE_INFINITY,
): boolean {
	return limitPerS < other;
}

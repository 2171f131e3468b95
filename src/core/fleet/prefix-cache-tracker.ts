/**
 * Tracks which engines have which prompt segments cached, and queues updates of it for other VMs.
 * @module
 */
import type { PromptSegment } from '../relay/definitions.js';
import type { CachedTokens } from './prefix-cache-map.js';
import { PrefixCacheMap } from './prefix-cache-map.js';
import { refOf } from './refs.js';
import type { CacheUpdate, EngineRef, GossipMessage } from './types.js';
import { gossipKinds } from './types.js';

/** The use of a segment is gossiped again once the last update is this old. */
const refreshMs = 4000;
/** Bounds each queue; further updates are dropped, which costs a repeated prefill. */
const maxQueued = 200;

export class PrefixCacheTracker {
	/** Updates for the aggregator, or for the other aggregators. */
	readonly upstream: CacheUpdate[] = [];
	/** Updates for the members. */
	readonly downstream: CacheUpdate[] = [];
	private readonly cache = new PrefixCacheMap();

	/**
	 * Records that an engine prefills segments for a request of this VM, or has done so.
	 * @param isPrefilled the first event of the answer has arrived
	 */
	recordPrefill(
		segments: readonly PromptSegment[],
		engineKey: string,
		isPrefilled: boolean,
		now: number,
	): void {
		const engine = refOf(engineKey);
		for (const { id } of segments) {
			const update = { segment: refOf(id), engine, isPrefilled };
			const previous = this.cache.record(update, now);
			const isNew =
				!previous || previous.ageMs > refreshMs || (isPrefilled && !previous.isPrefilled);
			if (isNew) {
				enqueue(update, this.upstream, this.downstream);
			}
		}
	}

	/** Merges a peer's updates and queues them for VMs that do not receive them from that peer. */
	merge(message: GossipMessage, now: number): void {
		for (const update of message.cacheUpdates) {
			this.cache.record(update, now);
			if (message.kind === gossipKinds.report) {
				enqueue(update, this.upstream, this.downstream);
			} else if (message.kind === gossipKinds.group) {
				enqueue(update, this.downstream);
			}
		}
	}

	/** Estimates how many leading tokens of a prompt each engine has cached; engines without any are omitted. */
	cachedTokensByEngine(
		segments: readonly PromptSegment[],
		now: number,
	): ReadonlyMap<EngineRef, CachedTokens> {
		const hashed = segments.map(({ id, tokens }) => ({ ref: refOf(id), tokens }));
		return this.cache.cachedTokensByEngine(hashed, now);
	}

	/** Discards updates for members while this VM has none. */
	clearDownstream(): void {
		this.downstream.length = 0;
	}

	removeEngine(engine: EngineRef): void {
		this.cache.removeEngine(engine);
	}
}

function enqueue(update: CacheUpdate, ...queues: CacheUpdate[][]): void {
	for (const queue of queues) {
		if (queue.length < maxQueued) {
			queue.push(update);
		}
	}
}

/**
 * What is known of the prompt parts that engines keep, and which of it is still to be told to others.
 * @module
 */
import type { PromptPart } from '../relay/definitions.js';
import type { CachedTokens } from './prefix-cache-map.js';
import { PrefixCacheMap } from './prefix-cache-map.js';
import { refOf } from './refs.js';
import type { CacheUpdate, EngineRef, GossipMessage } from './types.js';
import { gossipKinds } from './types.js';

/** A part's use is told again when the last word on it is so old, in milliseconds. */
const tellAgainMs = 4000;
/** Words that wait to be told at the most: a part that is not told of is read twice. */
const maxWaiting = 200;

export class PrefixCacheTracker {
	/** Words that wait for the aggregator, or the other aggregators. */
	readonly upstream: CacheUpdate[] = [];
	/** Words that wait for the VMs that report here. */
	readonly downstream: CacheUpdate[] = [];
	private readonly cache = new PrefixCacheMap();

	/**
	 * The engine will read these parts for a request of this VM, or has read them.
	 * @param isDone the first event after them has come
	 */
	recordPrefill(
		parts: readonly PromptPart[],
		engineKey: string,
		isPrefilled: boolean,
		now: number,
	): void {
		const engine = refOf(engineKey);
		for (const { id } of parts) {
			const read = { segment: refOf(id), engine, isPrefilled };
			const known = this.cache.record(read, now);
			const isNews = !known || known.ageMs > tellAgainMs || (isPrefilled && !known.isPrefilled);
			if (isNews) {
				enqueue(read, this.upstream, this.downstream);
			}
		}
	}

	/** Takes in what others tell, and passes it on to those who do not hear them. */
	merge(news: GossipMessage, now: number): void {
		for (const read of news.cacheUpdates) {
			this.cache.record(read, now);
			if (news.kind === gossipKinds.report) {
				enqueue(read, this.upstream, this.downstream);
			} else if (news.kind === gossipKinds.group) {
				enqueue(read, this.downstream);
			}
		}
	}

	/** How much of the start of a prompt each engine is believed to keep; those that keep nothing are left out. */
	cachedTokensByEngine(
		parts: readonly PromptPart[],
		now: number,
	): ReadonlyMap<EngineRef, CachedTokens> {
		const known = parts.map(({ id, tokens }) => ({ ref: refOf(id), tokens }));
		return this.cache.cachedTokensByEngine(known, now);
	}

	/** No VM reports here. */
	clearDownstream(): void {
		this.downstream.length = 0;
	}

	removeEngine(engine: EngineRef): void {
		this.cache.removeEngine(engine);
	}
}

function enqueue(read: CacheUpdate, ...queues: CacheUpdate[][]): void {
	for (const queue of queues) {
		if (queue.length < maxWaiting) {
			queue.push(read);
		}
	}
}

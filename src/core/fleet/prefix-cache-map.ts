/**
 * Estimates which engines have which prompt segments in their prefix caches, from recent use.
 * @module
 */
import type { CacheUpdate, EngineRef, SegmentRef } from './types.js';

/** An engine is assumed to evict a segment this long after its last use. */
const retentionMs = 15_000;
/**
 * A segment can be copied from an engine once it is prefilled. If no gossip confirms this, it counts as prefilled this long
 * after its first use.
 */
const assumedPrefillMs = 1000;
/** The least recently used segments beyond this number are dropped, which costs a repeated prefill. */
const maxSegments = 20_000;

/** A prompt segment, identified by its hash. */
export interface HashedSegment {
	ref: SegmentRef;
	tokens: number;
}

/** Numbers of leading tokens of a prompt at an engine. */
export interface CachedTokens {
	/** Tokens that are cached or about to be prefilled. */
	cached: number;
	/** Tokens that other engines can copy. */
	copyable: number;
}

/** Use of a segment at an engine; times are in monotonic milliseconds. */
interface SegmentUse {
	/** First use since the segment was last assumed evicted. */
	firstAt: number;
	lastAt: number;
	isPrefilled: boolean;
}

/** State of a segment at an engine before an update. */
export interface PreviousUse {
	/** Milliseconds since the last use. */
	ageMs: number;
	isPrefilled: boolean;
}

export class PrefixCacheMap {
	private readonly segments = new Map<SegmentRef, Map<EngineRef, SegmentUse>>();

	/** @returns the state before the update; undefined when the segment was not cached */
	record({ segment, engine, isPrefilled }: CacheUpdate, now: number): PreviousUse | undefined {
		let engines = this.segments.get(segment);
		if (!engines) {
			engines = new Map();
		} else {
			this.segments.delete(segment);
		}
		// Insertion order is the order of last use.
		this.segments.set(segment, engines);
		const use = engines.get(engine);
		const isCached = use !== undefined && now - use.lastAt < retentionMs;
		const previous = isCached ? use : undefined;
		engines.set(engine, {
			firstAt: previous?.firstAt ?? now,
			lastAt: now,
			isPrefilled: isPrefilled || previous?.isPrefilled === true,
		});
		this.dropOldest();
		return previous && { ageMs: now - previous.lastAt, isPrefilled: previous.isPrefilled };
	}

	/**
	 * Estimates the cached tokens of a prompt at each engine; engines without any are omitted. Visits only engines that have
	 * the first segment.
	 * @param segments in the order of the prompt
	 */
	cachedTokensByEngine(
		segments: readonly HashedSegment[],
		now: number,
	): Map<EngineRef, CachedTokens> {
		const cachedTokens = new Map<EngineRef, CachedTokens>();
		const [first] = segments;
		const engines = first && this.segments.get(first.ref);
		for (const engine of engines?.keys() ?? []) {
			const tokens = this.cachedTokensOf(engine, segments, now);
			if (tokens.cached > 0) {
				cachedTokens.set(engine, tokens);
			}
		}
		return cachedTokens;
	}

	private cachedTokensOf(
		engine: EngineRef,
		segments: readonly HashedSegment[],
		now: number,
	): CachedTokens {
		const tokens = { cached: 0, copyable: 0 };
		let isCopyable = true;
		for (const segment of segments) {
			const use = this.segments.get(segment.ref)?.get(engine);
			if (use === undefined || now - use.lastAt >= retentionMs) {
				break;
			}
			tokens.cached += segment.tokens;
			isCopyable &&= use.isPrefilled || now - use.firstAt > assumedPrefillMs;
			tokens.copyable += isCopyable ? segment.tokens : 0;
		}
		return tokens;
	}

	removeEngine(engine: EngineRef): void {
		for (const engines of this.segments.values()) {
			engines.delete(engine);
		}
	}

	private dropOldest(): void {
		if (this.segments.size > maxSegments) {
			const oldest = this.segments.keys().next().value as SegmentRef;
			this.segments.delete(oldest);
		}
	}
}

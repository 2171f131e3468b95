/**
 * Which engines have read which parts of prompts lately, as far as this VM and its peers know.
 * @module
 */
import type { CacheUpdate, EngineRef, SegmentRef } from './types.js';

/**
 * An engine is taken to keep a part for so long after its last use, in milliseconds: memory for
 * half a million tokens turns over in 13 s and more at the prompt rates of the known sites.
 */
const keptMs = 15_000;
/**
 * A part can be copied from an engine once the first event after it has come. Where no word of that came, such as
 * after a lost datagram, it counts as read this long after the word that it will be, in milliseconds: a prompt waits up to a
 * second in a busy fleet.
 */
const copyableAfterMs = 1000;
/** Parts that are remembered; the oldest are dropped, which costs a part read again. */
const maxParts = 20_000;

/** A part of a prompt, by the number that stands for it. */
export interface HashedSegment {
	ref: SegmentRef;
	tokens: number;
}

/** Tokens at the start of a prompt. */
export interface CachedTokens {
	/** That the engine keeps, or is about to read. */
	cached: number;
	/** That other engines can copy from it. */
	copyable: number;
}

/** What is known of one part at one engine, in monotonic milliseconds. */
interface Use {
	/** Since when the engine has kept it, as far as is known. */
	firstAt: number;
	lastAt: number;
	/** A first event came after it. */
	isDone: boolean;
}

/** What was known of a part at an engine before. */
export interface PreviousUse {
	/** Milliseconds since its last use. */
	ageMs: number;
	isPrefilled: boolean;
}

export class PrefixCacheMap {
	private readonly parts = new Map<SegmentRef, Map<EngineRef, Use>>();

	/** @returns what was known of it before; undefined when nothing that still counts */
	record(
		{ segment: part, engine, isPrefilled: isDone }: CacheUpdate,
		now: number,
	): PreviousUse | undefined {
		let readers = this.parts.get(part);
		if (!readers) {
			readers = new Map();
		} else {
			this.parts.delete(part);
		}
		// Insertion order is the order of last use.
		this.parts.set(part, readers);
		const use = readers.get(engine);
		const isKept = use !== undefined && now - use.lastAt < keptMs;
		const before = isKept ? use : undefined;
		readers.set(engine, {
			firstAt: before?.firstAt ?? now,
			lastAt: now,
			isDone: isDone || before?.isDone === true,
		});
		this.dropOldest();
		return before && { ageMs: now - before.lastAt, isPrefilled: before.isDone };
	}

	/**
	 * How much of the start of a prompt each engine keeps; engines that keep nothing of it are left out. Looks only at
	 * those that read its first part, so a prompt costs little in a large fleet.
	 * @param parts in the order of the prompt
	 */
	cachedTokensByEngine(parts: readonly HashedSegment[], now: number): Map<EngineRef, CachedTokens> {
		const kept = new Map<EngineRef, CachedTokens>();
		const [first] = parts;
		const readers = first && this.parts.get(first.ref);
		for (const engine of readers?.keys() ?? []) {
			const tokens = this.keptAt(engine, parts, now);
			if (tokens.cached > 0) {
				kept.set(engine, tokens);
			}
		}
		return kept;
	}

	private keptAt(engine: EngineRef, parts: readonly HashedSegment[], now: number): CachedTokens {
		const tokens = { cached: 0, copyable: 0 };
		let isCopyable = true;
		for (const part of parts) {
			const use = this.parts.get(part.ref)?.get(engine);
			if (use === undefined || now - use.lastAt >= keptMs) {
				break;
			}
			tokens.cached += part.tokens;
			isCopyable &&= use.isDone || now - use.firstAt > copyableAfterMs;
			tokens.copyable += isCopyable ? part.tokens : 0;
		}
		return tokens;
	}

	/** The engine's memory is gone. */
	removeEngine(engine: EngineRef): void {
		for (const readers of this.parts.values()) {
			readers.delete(engine);
		}
	}

	private dropOldest(): void {
		if (this.parts.size > maxParts) {
			const oldest = this.parts.keys().next().value as SegmentRef;
			this.parts.delete(oldest);
		}
	}
}

/**
 * Which engines have read which parts of prompts lately, as far as this VM and its peers know.
 * @module
 */
import type { EngineRef, PartRef } from './types.js';

/**
 * An engine is taken to keep a part for so long after its last use, in milliseconds: memory for
 * half a million tokens turns over in 13 s and more at the prompt rates of the known sites.
 */
const keptMs = 15_000;
/** Parts that are remembered; the oldest are dropped, which costs a part read again. */
const maxParts = 20_000;

export class PromptCacheMap {
	private readonly parts = new Map<PartRef, Map<EngineRef, number>>();

	/** @returns milliseconds since the engine was last known to use it, undefined when never */
	note(part: PartRef, engine: EngineRef, now: number): number | undefined {
		let readers = this.parts.get(part);
		if (!readers) {
			readers = new Map();
		} else {
			this.parts.delete(part);
		}
		// Insertion order is the order of last use.
		this.parts.set(part, readers);
		const last = readers.get(engine);
		readers.set(engine, now);
		this.dropOldest();
		return last === undefined ? undefined : now - last;
	}

	has(part: PartRef, engine: EngineRef, now: number): boolean {
		const last = this.parts.get(part)?.get(engine);
		return last !== undefined && now - last < keptMs;
	}

	/** The engine's memory is gone. */
	forgetEngine(engine: EngineRef): void {
		for (const readers of this.parts.values()) {
			readers.delete(engine);
		}
	}

	private dropOldest(): void {
		if (this.parts.size > maxParts) {
			const oldest = this.parts.keys().next().value as PartRef;
			this.parts.delete(oldest);
		}
	}
}

/**
 * Engines where prompts that share much meet without a word between VMs: every VM draws the same two for a shared part, by rendezvous
 * hashing.
 *
 * The load it answers: prompts of thousands of subjects, faster than VMs can tell each other which engine has read which. Each would
 * be read anew, or copied, wherever the next one goes.
 * @module
 */

import { refOf } from '../fleet/refs.js';
import type { EngineRef } from '../fleet/types.js';

/** A second one takes what the first has no room for, so that a subject that is asked for often is read at two engines, not at all. */
const homeCount = 2;

/** An engine, by what names it in messages. */
interface Referred {
	ref: EngineRef;
}

/**
 * @param key of what is shared
 * @param engines in any order
 * @returns the engines drawn for it, the first one first
 */
export function affinityEnginesOf<T extends Referred>(
	key: string,
	engines: readonly T[],
): readonly T[] {
	const keyRef = refOf(key);
	const homes: { engine: T; score: number }[] = [];
	for (const engine of engines) {
		const score = mix(keyRef, engine.ref);
		const last = homes[homeCount - 1];
		if (last === undefined || score > last.score) {
			homes.splice(homeCount - 1, 1);
			homes.push({ engine, score });
			homes.sort((a, b) => b.score - a.score);
		}
	}
	return homes.map(({ engine }) => engine);
}

/** 32 bits that depend on all bits of both numbers (the final mix of MurmurHash3). */
function mix(key: number, ref: number): number {
	let hash = Math.imul(key ^ Math.imul(ref, 0x9e3779b1), 0x85ebca6b);
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Selects the affinity engines of a prompt prefix by rendezvous hashing. All VMs select the same ones without communication, which
 * keeps prefix caches effective when prefixes are used faster than gossip spreads where they are cached.
 * @module
 */

import { refOf } from '../fleet/refs.js';
import type { EngineRef } from '../fleet/types.js';

/** The second engine takes the overflow of the first, so that a popular prefix is read by two engines rather than by all. */
const affinityCount = 2;

/** Anything identified by an engine reference. */
interface HasRef {
	ref: EngineRef;
}

/**
 * @param key of the shared prefix
 * @param engines in any order
 * @returns the affinity engines, by descending preference
 */
export function affinityEnginesOf<T extends HasRef>(
	key: string,
	engines: readonly T[],
): readonly T[] {
	const keyRef = refOf(key);
	const selected: { engine: T; score: number }[] = [];
	for (const engine of engines) {
		const score = mix(keyRef, engine.ref);
		const last = selected[affinityCount - 1];
		if (last === undefined || score > last.score) {
			selected.splice(affinityCount - 1, 1);
			selected.push({ engine, score });
			selected.sort((a, b) => b.score - a.score);
		}
	}
	return selected.map(({ engine }) => engine);
}

/** 32-bit hash of both numbers, by the finalizer of MurmurHash3. */
function mix(key: number, ref: number): number {
	let hash = Math.imul(key ^ Math.imul(ref, 0x9e3779b1), 0x85ebca6b);
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Rendezvous hashing: all daemons choose the same owner from the same members, and a membership change moves a minimum of keys.
 * Source: Thaler and Ravishankar, 1998.
 * @module
 */

/** 32-bit FNV-1a with a final mix. Must not change, because all daemons have to agree on it. */
export function hashText(text: string): number {
	let hash = 0x811c9dc5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
	}
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/** 16-bit hash that represents a name in messages. */
export function hashName(name: string): number {
	return hashText(name) & 0xffff;
}

/** Score of a name for a key; the highest wins, and the first name in order on a tie. */
export function scoreOf(key: string, name: string): number {
	return hashText(`${key}\u0000${name}`);
}

/** Returns the `count` names with the highest scores for a key, best first. */
export function pickTop(key: string, names: readonly string[], count: number): string[] {
	const scored = names.map((name) => ({ name, score: scoreOf(key, name) }));
	scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
	return scored.slice(0, count).map((item) => item.name);
}

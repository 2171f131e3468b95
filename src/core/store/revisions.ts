/**
 * Revisions that keep increasing when the store is restored from an older copy. Such a store reuses its own revisions, so each
 * restore starts a new era. A revision combines both in one number, and the greater number is always the newer state.
 * @module
 */

/** Leaves 17 bits of a safe integer for the era. At 3,200 writes a second the revisions of one era last for 248 days. */
export const revisionsPerEra = 2 ** 36;
export const maxEras = 2 ** 17;

/** Combines an era and a revision of the store. */
export function revisionIn(era: number, stored: number): number {
	return era * revisionsPerEra + stored;
}

export function eraOf(revision: number): number {
	return Math.floor(revision / revisionsPerEra);
}

/** Returns the revision as the store numbers it, without the era. */
export function storedRevision(revision: number): number {
	return revision % revisionsPerEra;
}

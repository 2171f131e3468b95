/**
 * Revisions that rise also over a store that comes back from an older copy. Such a store gives its own revisions out again;
 * each copy it comes back from begins a new era. Era and revision in one number keep the order everywhere: of two states the one
 * with the greater number is the newer.
 * @module
 */

/**
 * Revisions of one era. At 3,200 writes a second they last for 248 days; eras fit up to 131,071 beside them in the whole numbers that
 * are exact.
 */
const revisionsOfEra = 2 ** 36;

/** A revision of the store itself in its era. */
export function revisionIn(era: number, stored: number): number {
	return era * revisionsOfEra + stored;
}

export function eraOf(revision: number): number {
	return Math.floor(revision / revisionsOfEra);
}

/** What the store itself calls the revision. */
export function storedRevision(revision: number): number {
	return revision % revisionsOfEra;
}

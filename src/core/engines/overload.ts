/**
 * Refuses requests of the least urgent tier when load is at its worst: a burst that brings more prompts than the
 * engines can read. Without it each of them waits until it is late, and those that could have been in time with them.
 * More urgent ones are never refused: engines let them go first.
 * @module
 */

/**
 * Such a request is refused at once when it would wait for longer than this share of its target. With the whole
 * target as limit 33 % of those taken were in time on fast engines in a replayed overload, and 80 % or more with this.
 */
const longestWait = 0.8;
/**
 * Of the time that a prompt takes itself at most this share of its target counts: the largest ones take longer than
 * their target by themselves, and would be refused by engines that have nothing else to do.
 */
const ownShare = 0.25;
/** Long prompts keep their engines as busy as they can be; beyond this the queue grows as long as the burst lasts. */
const mostBusy = 1;
/** Engines that are that busy refuse from a wait of this share of the target on. */
const busyWait = 0.5;
/** Seconds after which a refused caller may come back: a queue at its limit drains in less, once the burst lets it. */
export const refusalRetryAfterS = 1;

/** What awaits a request at the best engine, in milliseconds. */
export interface ExpectedWait {
	/** Until its prompt begins to be read. */
	queueMs: number;
	/** For reading it. */
	ownReadingMs: number;
}

/**
 * @param targetMs time within which the first event should come
 * @param busyShare how busy long prompts keep the engines that read them; 0 for a short prompt
 */
export function shouldRefuse(awaited: ExpectedWait, targetMs: number, busyShare: number): boolean {
	const waitMs = awaited.queueMs + Math.min(awaited.ownReadingMs, targetMs * ownShare);
	const longest = busyShare > mostBusy ? busyWait : longestWait;
	return waitMs > targetMs * longest;
}

/**
 * Selects the endpoint owners that receive waiting requests. Without contention only a few owners
 * do at first, since each of them might grant a slot for the same request.
 * @module
 */
import type { HeldSlots } from './held-slots.js';
import type { Candidate } from './request-queue.js';

/** Owners that receive a waiting request first. */
const maxInitialTargets = 2;
/** Waiting time after which a request is reported to all owners. */
export const escalationDelayMs = 25;

/** The members of `allHeld` whose owners receive the `waiting` requests now. */
export function selectReportTargets(
	allHeld: readonly HeldSlots[],
	waiting: readonly Candidate[],
	now: number,
): ReadonlySet<HeldSlots> {
	const isOverdue = waiting.some(({ req }) => now - req.waitingSince >= escalationDelayMs);
	const isContended = allHeld.some((held) => held.lastReply?.isContended === true);
	if (waiting.length === 0 || isOverdue || isContended || allHeld.length <= maxInitialTargets) {
		return new Set(allHeld);
	}
	const informed = allHeld.filter((held) =>
		waiting.some(({ req }) => held.hasReported(req.ticket)),
	);
	const available = allHeld.filter((held) => held.lastReply?.isUnavailable !== true);
	const byLoad = [...available].sort((a, b) => a.load - b.load);
	return new Set([...informed, ...byLoad].slice(0, Math.max(maxInitialTargets, informed.length)));
}

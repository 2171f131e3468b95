/**
 * While nothing is scarce, a waiting request is told to two owners first and to the others only
 * if it still waits a moment later; else every owner asked would grant it a slot.
 * @module
 */
import type { HeldSlots } from './held-slots.js';
import type { Candidate } from './request-queue.js';

/** Owners that are told first. */
const firstAsked = 2;
/** A request that waits so long is told to all owners that its entry asks, in milliseconds. */
export const escalationDelayMs = 25;

/** Holdings whose owners are to hear of the wanted requests now. */
export function selectReportTargets(
	holdings: readonly HeldSlots[],
	wanted: readonly Candidate[],
	now: number,
): ReadonlySet<HeldSlots> {
	const waits = wanted.some(({ req }) => now - req.waitingSince >= escalationDelayMs);
	const scarce = holdings.some((holding) => holding.lastReply?.isContended === true);
	if (wanted.length === 0 || waits || scarce || holdings.length <= firstAsked) {
		return new Set(holdings);
	}
	const told = holdings.filter((holding) =>
		wanted.some(({ req }) => holding.hasReported(req.ticket)),
	);
	const open = holdings.filter((holding) => holding.lastReply?.isUnavailable !== true);
	const byLoad = [...open].sort((a, b) => a.load - b.load);
	return new Set([...told, ...byLoad].slice(0, Math.max(firstAsked, told.length)));
}

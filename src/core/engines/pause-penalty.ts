/**
 * Placement penalty for engines whose pauses may exceed the target pause of a stream, which leaves slow engines to
 * callers that tolerate longer pauses.
 * @module
 */
import type { CostEstimates } from './work-estimate.js';

/** Undisturbed pauses up to this share of the target incur no penalty; concurrent prompts lengthen a pause several times. */
const freeShare = 0.25;

/**
 * Penalty in milliseconds of equivalent wait. Grows linearly above the free share, up to `targetMs` when the undisturbed pause
 * alone reaches the target pause, and further beyond.
 * @param targetPauseMs undefined when the caller names none
 * @param targetMs time within which the first event should arrive
 */
export function pausePenaltyMs(
	costs: CostEstimates,
	targetPauseMs: number | undefined,
	targetMs: number,
): number {
	if (targetPauseMs === undefined) {
		return 0;
	}
	const share = costs.eventIntervalMs / targetPauseMs;
	const excess = Math.max(0, share - freeShare) / (1 - freeShare);
	return excess * targetMs;
}

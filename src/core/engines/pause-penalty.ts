/**
 * What it costs a stream to run where its pauses may be too long: engines whose undisturbed pause comes near the
 * target are left to callers that can bear it.
 * @module
 */
import type { CostEstimates } from './work-estimate.js';

/** An undisturbed pause of up to this share of the target leaves room for prompts that are read beside: they make it several times as long. */
const bearableShare = 0.25;

/**
 * Milliseconds of waiting that the pauses to expect are as bad as: none while they leave three quarters of the target, and as much as
 * a first event that comes late by its whole target when nothing is left.
 * @param targetPauseMs undefined where the caller names none
 * @param targetMs within which the first event should come
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
	const over = Math.max(0, share - bearableShare) / (1 - bearableShare);
	return over * targetMs;
}

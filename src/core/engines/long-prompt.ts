/**
 * Decides which prompts are long: those whose reading would stall concurrent streams for longer than they tolerate.
 * @module
 */
import type { CostEstimates } from './work-estimate.js';
import { readingMs } from './work-estimate.js';

/** Share of the shortest target pause of a service that reading a prompt may take. */
const pauseShare = 0.75;
/** At least this share of the target pause counts as free, however slow the engines are. */
const minFreePauseShare = 0.25;

/**
 * Milliseconds of reading that the streams of a service tolerate; infinite where no stream has a target pause.
 * @param minTargetPauseMs shortest of the target pauses of the service's streams
 */
export function maxReadingMs(minTargetPauseMs: number | undefined, costs: CostEstimates): number {
	if (minTargetPauseMs === undefined) {
		return Number.POSITIVE_INFINITY;
	}
	const freeMs = Math.max(
		minTargetPauseMs - costs.eventIntervalMs,
		minTargetPauseMs * minFreePauseShare,
	);
	return freeMs * pauseShare;
}

/**
 * Whether reading the prompt would stall concurrent streams. Counts cached tokens too, so that prompts sharing segments
 * always go to the same pool.
 */
export function isLongPrompt(
	promptTokens: number,
	minTargetPauseMs: number | undefined,
	costs: CostEstimates,
): boolean {
	return readingMs(costs, promptTokens) > maxReadingMs(minTargetPauseMs, costs);
}

/**
 * How long an engine may read a prompt before the streams beside it pause for too long.
 * @module
 */
import type { CostEstimates } from './work-estimate.js';
import { readingMs } from './work-estimate.js';

/** An engine may read for this share of the pause that the most delicate streams of its service can still bear. */
const pauseShare = 0.75;
/** Where engines are so slow that little of that pause is left, this share of it counts all the same. */
const leastPauseLeft = 0.25;

/**
 * Milliseconds of reading that the streams of a service can bear; without limit where none has a target pause.
 * @param tightestPauseMs shortest of the target pauses of the service's streams
 */
export function maxReadingMs(tightestPauseMs: number | undefined, costs: CostEstimates): number {
	if (tightestPauseMs === undefined) {
		return Number.POSITIVE_INFINITY;
	}
	const leftMs = Math.max(
		tightestPauseMs - costs.eventIntervalMs,
		tightestPauseMs * leastPauseLeft,
	);
	return leftMs * pauseShare;
}

/**
 * Whether reading the prompt would hold up the streams beside it. Told by the whole prompt, so that requests that share
 * a part meet on one side whether or not it is kept already: told by the rest, long prompts lost 0.07 of their
 * worth in an overload.
 */
export function isLongPrompt(
	promptTokens: number,
	tightestPauseMs: number | undefined,
	costs: CostEstimates,
): boolean {
	return readingMs(costs, promptTokens) > maxReadingMs(tightestPauseMs, costs);
}

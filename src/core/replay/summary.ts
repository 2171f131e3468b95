/**
 * Summarizes the results of a replay by class.
 * @module
 */
import * as hdr from 'hdr-histogram-js';
import type { ClassTargets, ReplayResult } from './types.js';

/** Statistics of one class. Times are in milliseconds. */
export interface ClassSummary {
	class: string;
	tier: number;
	sent: number;
	complete: number;
	not_run: number;
	unknown: number;
	incomplete: number;
	/** Complete answers that missed a target or were wrong. */
	late: number;
	/** Percentage of the sent requests that were answered within all targets. */
	attained: number;
	wrong: number;
	first_p50: number;
	first_p95: number;
	between_p50: number;
	between_p95: number;
	/** Tokens per second of correct answers that completed before the deadline. */
	goodput: number;
	/** Tokens of answers that were incomplete, wrong or after the deadline. */
	wasted: number;
}

/** Histograms record integers; this keeps a resolution of 0.01 ms. */
const unitsPerMs = 100;
const maxValueMs = 10_000_000;

export function summarize(
	results: readonly ReplayResult[],
	targets: ReadonlyMap<string, ClassTargets>,
	durationS: number,
): ClassSummary[] {
	const names = [...targets.keys()].filter((name) =>
		results.some((result) => result.class === name),
	);
	const rows = names.map((name) =>
		summarizeClass(
			name,
			results.filter((result) => result.class === name),
			targets.get(name) as ClassTargets,
			durationS,
		),
	);
	return rows.sort((a, b) => a.tier - b.tier);
}

/** Whether the answer counts as goodput and, for a stream, its tokens met the latency targets. */
export function isWithinTargets(result: ReplayResult, target: ClassTargets): boolean {
	const isStreamInTime =
		result.firstTokenMs <= target.firstTokenMs && result.betweenMs <= target.betweenTokensMs;
	return isGoodput(result, target) && (isStreamInTime || !result.streamed);
}

/** Whether the answer is complete, correct and before the deadline. */
export function isGoodput(result: ReplayResult, target: ClassTargets): boolean {
	return result.outcome === 'complete' && !result.wrong && result.totalMs <= target.deadlineMs;
}

function summarizeClass(
	name: string,
	results: readonly ReplayResult[],
	target: ClassTargets,
	durationS: number,
): ClassSummary {
	const firstTokenPercentile = buildPercentiles(
		results.map((result) => (result.streamed ? result.firstTokenMs : 0)),
	);
	const betweenTokensPercentile = buildPercentiles(results.map((result) => result.betweenMs));
	const goodputResults = results.filter((result) => isGoodput(result, target));
	const attained = results.filter((result) => isWithinTargets(result, target)).length;
	const goodputTokens = sumTokens(goodputResults);
	const complete = countOutcome(results, 'complete');
	return {
		class: name,
		tier: target.tier,
		sent: results.length,
		complete,
		not_run: countOutcome(results, 'not-run'),
		unknown: countOutcome(results, 'unknown'),
		incomplete: countOutcome(results, 'incomplete'),
		late: complete - attained,
		attained: round((100 * attained) / results.length),
		wrong: results.filter((result) => result.wrong).length,
		first_p50: firstTokenPercentile(50),
		first_p95: firstTokenPercentile(95),
		between_p50: betweenTokensPercentile(50),
		between_p95: betweenTokensPercentile(95),
		goodput: round(goodputTokens / durationS),
		wasted: sumTokens(results) - goodputTokens,
	};
}

function countOutcome(results: readonly ReplayResult[], outcome: string): number {
	return results.filter((result) => result.outcome === outcome).length;
}

function sumTokens(results: readonly ReplayResult[]): number {
	return results.reduce((total, result) => total + result.tokens, 0);
}

/** Returns a function that computes percentiles of the values above 0. */
function buildPercentiles(values: readonly number[]): (percentile: number) => number {
	const histogram = hdr.build({ highestTrackableValue: maxValueMs * unitsPerMs });
	for (const value of values) {
		if (value > 0) {
			histogram.recordValue(Math.min(value, maxValueMs) * unitsPerMs);
		}
	}
	return (percentile) => round(histogram.getValueAtPercentile(percentile) / unitsPerMs);
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}

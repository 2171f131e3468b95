/**
 * Sums up a replay by class.
 * @module
 */
import * as hdr from 'hdr-histogram-js';
import type { ClassTargets, ReplayResult } from './types.js';

/** Figures of one class. Times in milliseconds. */
export interface ClassSummary {
	class: string;
	tier: number;
	sent: number;
	complete: number;
	not_run: number;
	unknown: number;
	incomplete: number;
	/** Complete, and the first token, a token between or the end came too late. */
	late: number;
	/** Share of the sent that were complete and in time, in percent. */
	attained: number;
	wrong: number;
	first_p50: number;
	first_p95: number;
	between_p50: number;
	between_p95: number;
	/** Tokens of answers that ended before the deadline, a second. */
	goodput: number;
	/** Tokens that callers got in answers that were not whole or came after the deadline. */
	wasted: number;
}

/** Histograms keep hundredths of a millisecond. */
const scale = 100;
const maxValue = 10_000_000;

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

/** Whole, before the deadline, and for a stream its tokens within their targets. */
export function isWithinTargets(result: ReplayResult, target: ClassTargets): boolean {
	const inTime =
		result.firstTokenMs <= target.firstTokenMs && result.betweenMs <= target.betweenTokensMs;
	return isGoodput(result, target) && (inTime || !result.streamed);
}

/** Whole, and before the deadline. */
export function isGoodput(result: ReplayResult, target: ClassTargets): boolean {
	return result.outcome === 'complete' && !result.wrong && result.totalMs <= target.deadlineMs;
}

function summarizeClass(
	name: string,
	results: readonly ReplayResult[],
	target: ClassTargets,
	durationS: number,
): ClassSummary {
	const firsts = histogramOf(results.map((result) => (result.streamed ? result.firstTokenMs : 0)));
	const betweens = histogramOf(results.map((result) => result.betweenMs));
	const useful = results.filter((result) => isGoodput(result, target));
	const attained = results.filter((result) => isWithinTargets(result, target)).length;
	const usefulTokens = sum(useful);
	const complete = count(results, 'complete');
	return {
		class: name,
		tier: target.tier,
		sent: results.length,
		complete,
		not_run: count(results, 'not-run'),
		unknown: count(results, 'unknown'),
		incomplete: count(results, 'incomplete'),
		late: complete - attained,
		attained: round((100 * attained) / results.length),
		wrong: results.filter((result) => result.wrong).length,
		first_p50: firsts(50),
		first_p95: firsts(95),
		between_p50: betweens(50),
		between_p95: betweens(95),
		goodput: round(usefulTokens / durationS),
		wasted: sum(results) - usefulTokens,
	};
}

function count(results: readonly ReplayResult[], outcome: string): number {
	return results.filter((result) => result.outcome === outcome).length;
}

function sum(results: readonly ReplayResult[]): number {
	return results.reduce((total, result) => total + result.tokens, 0);
}

/** Percentiles of the values above 0. */
function histogramOf(values: readonly number[]): (percentile: number) => number {
	const histogram = hdr.build({ highestTrackableValue: maxValue * scale });
	for (const value of values) {
		if (value > 0) {
			histogram.recordValue(Math.min(value, maxValue) * scale);
		}
	}
	return (percentile) => round(histogram.getValueAtPercentile(percentile) / scale);
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}

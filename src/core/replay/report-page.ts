/**
 * Renders a replay as a page: a summary by class, and charts of attainment, goodput and wasted tokens over time.
 * @module
 */
import type { Series } from '../html/html.js';
import * as html from '../html/html.js';
import { isGoodput, isWithinTargets, summarize } from './summary.js';
import type { ClassTargets, ReplayResult } from './types.js';

/** Width of a time bin of the charts. */
const binMs = 1000;

export function renderReportPage(
	title: string,
	results: readonly ReplayResult[],
	targets: ReadonlyMap<string, ClassTargets>,
): string {
	const start = Math.min(...results.map((result) => result.sentAt));
	const end = Math.max(...results.map((result) => result.sentAt));
	const binCount = Math.floor((end - start) / binMs) + 1;
	const rows = summarize(results, targets, Math.max((end - start) / 1000, 1));
	const charts = [
		renderChart('Attainment, percent of the requests sent in each second', (bin, target) => {
			const attained = bin.filter((result) => isWithinTargets(result, target)).length;
			return bin.length === 0 ? 0 : (100 * attained) / bin.length;
		}),
		renderChart(
			'Goodput, tokens of answers within their targets, by second of sending',
			(bin, target) => countTokens(bin.filter((result) => isWithinTargets(result, target))),
		),
		renderChart(
			'Wasted, tokens of answers that were incomplete, wrong or too late',
			(bin, target) => countTokens(bin.filter((result) => !isGoodput(result, target))),
		),
	];
	return html.renderPage(title, [html.renderTable(rows), ...charts].join('\n'));

	function renderChart(
		name: string,
		value: (bin: ReplayResult[], target: ClassTargets) => number,
	): string {
		const series: Series[] = rows.map((row) => {
			const target = targets.get(row.class) as ClassTargets;
			const bins: ReplayResult[][] = Array.from({ length: binCount }, () => []);
			for (const result of results) {
				if (result.class === row.class) {
					bins[Math.floor((result.sentAt - start) / binMs)]?.push(result);
				}
			}
			const values = bins.map((bin) => value(bin, target));
			return { name: row.class, colour: html.tierColour(row.tier), values };
		});
		return html.renderLineChart(name, 'seconds', series);
	}
}

function countTokens(results: readonly ReplayResult[]): number {
	return results.reduce((sum, result) => sum + result.tokens, 0);
}

/**
 * A replay as a page: figures by class, attainment, goodput and wasted work over time.
 * @module
 */
import type { Series } from '../html/html.js';
import * as svg from '../html/html.js';
import { isGoodput, isWithinTargets, summarize } from './summary.js';
import type { ClassTargets, ReplayResult } from './types.js';

/** Length of one step of the charts, in milliseconds. */
const stepMs = 1000;

export function renderReportPage(
	title: string,
	results: readonly ReplayResult[],
	targets: ReadonlyMap<string, ClassTargets>,
): string {
	const begin = Math.min(...results.map((result) => result.sentAt));
	const end = Math.max(...results.map((result) => result.sentAt));
	const steps = Math.floor((end - begin) / stepMs) + 1;
	const rows = summarize(results, targets, Math.max((end - begin) / 1000, 1));
	const charts = [
		chartOf('Attainment, percent of the requests sent in a second', (bin, target) => {
			const attained = bin.filter((result) => isWithinTargets(result, target)).length;
			return bin.length === 0 ? 0 : (100 * attained) / bin.length;
		}),
		chartOf('Goodput, tokens of answers in target, by second of sending', (bin, target) =>
			tokensOf(bin.filter((result) => isWithinTargets(result, target))),
		),
		chartOf('Wasted, tokens of answers that were not whole or too late', (bin, target) =>
			tokensOf(bin.filter((result) => !isGoodput(result, target))),
		),
	];
	return svg.renderPage(title, [svg.renderTable(rows), ...charts].join('\n'));

	function chartOf(
		name: string,
		value: (bin: ReplayResult[], target: ClassTargets) => number,
	): string {
		const series: Series[] = rows.map((row) => {
			const target = targets.get(row.class) as ClassTargets;
			const bins: ReplayResult[][] = Array.from({ length: steps }, () => []);
			for (const result of results) {
				if (result.class === row.class) {
					bins[Math.floor((result.sentAt - begin) / stepMs)]?.push(result);
				}
			}
			const values = bins.map((bin) => value(bin, target));
			return { name: row.class, colour: svg.tierColour(row.tier), values };
		});
		return svg.renderLineChart(name, 'seconds', series);
	}
}

function tokensOf(results: readonly ReplayResult[]): number {
	return results.reduce((sum, result) => sum + result.tokens, 0);
}

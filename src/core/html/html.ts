/**
 * Small parts of self-contained HTML pages: text, bars, lines.
 * @module
 */

/** Colours by tier, 1 first; they repeat after the last. */
const palette = ['#b2182b', '#ef8a62', '#d9a441', '#67a9cf', '#2166ac', '#5e4fa2', '#666666'];

export function tierColour(tier: number): string {
	return palette[(tier - 1) % palette.length] ?? '#666666';
}

/** Text that is safe in HTML and in attributes. */
export function escapeHtml(text: string): string {
	return text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;');
}

/** One page without anything from outside. */
export function renderPage(title: string, body: string): string {
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { padding: 0.2em 0.8em; border-bottom: 1px solid #ddd; text-align: right; }
td:first-child, th:first-child { text-align: left; }
svg text { font: 11px sans-serif; fill: #333; }
</style></head><body><h1>${escapeHtml(title)}</h1>
${body}
</body></html>
`;
}

/** A table of rows with the same keys. */
export function renderTable(rows: readonly object[]): string {
	const names = Object.keys(rows[0] ?? {});
	const head = names.map((name) => `<th>${escapeHtml(name)}</th>`).join('');
	const body = rows.map((row) => {
		const cells = Object.values(row).map((value) => `<td>${escapeHtml(String(value))}</td>`);
		return `<tr>${cells.join('')}</tr>`;
	});
	return `<table><tr>${head}</tr>${body.join('\n')}</table>`;
}

/** One line of a chart: values at equal steps. */
export interface Series {
	name: string;
	colour: string;
	values: readonly number[];
}

const chart = { width: 900, height: 220, left: 60, bottom: 30, top: 10, right: 130 } as const;

/** A line chart; `step` names what one step is. */
export function renderLineChart(title: string, step: string, series: readonly Series[]): string {
	const length = Math.max(2, ...series.map(({ values }) => values.length));
	const peak = Math.max(1, ...series.flatMap(({ values }) => values));
	const plotWidth = chart.width - chart.left - chart.right;
	const plotHeight = chart.height - chart.top - chart.bottom;
	const x = (at: number) => chart.left + (plotWidth * at) / (length - 1);
	const y = (value: number) => chart.top + plotHeight * (1 - value / peak);
	const lines = series.map(({ colour, values }) => {
		const points = values.map((value, at) => `${x(at).toFixed(1)},${y(value).toFixed(1)}`);
		return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`;
	});
	const legend = series.map(({ name, colour }, at) => {
		const top = chart.top + 14 * (at + 1);
		const left = chart.width - chart.right + 10;
		return `<text x="${left}" y="${top}" style="fill:${colour}">${escapeHtml(name)}</text>`;
	});
	const base = chart.top + plotHeight;
	return `<h2>${escapeHtml(title)}</h2>
<svg width="${chart.width}" height="${chart.height}">
<line x1="${chart.left}" y1="${base}" x2="${chart.left + plotWidth}" y2="${base}" stroke="#999"/>
<line x1="${chart.left}" y1="${chart.top}" x2="${chart.left}" y2="${base}" stroke="#999"/>
<text x="4" y="${chart.top + 10}">${Math.round(peak)}</text><text x="4" y="${base}">0</text>
<text x="${chart.left + plotWidth / 2}" y="${chart.height - 6}">${escapeHtml(step)}</text>
${lines.join('\n')}
${legend.join('\n')}
</svg>`;
}

/**
 * Renders self-contained HTML pages with tables and SVG line charts.
 * @module
 */

/** Colours by tier, starting with tier 1; they repeat after the last. */
const tierColours = ['#b2182b', '#ef8a62', '#d9a441', '#67a9cf', '#2166ac', '#5e4fa2', '#666666'];

export function tierColour(tier: number): string {
	return tierColours[(tier - 1) % tierColours.length] ?? '#666666';
}

/** Escapes text for element content and double-quoted attributes. */
export function escapeHtml(text: string): string {
	return text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;');
}

/** Renders a page that loads no external resources; `body` is HTML. */
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

/** Renders rows with the same keys as a table. */
export function renderTable(rows: readonly object[]): string {
	const names = Object.keys(rows[0] ?? {});
	const head = names.map((name) => `<th>${escapeHtml(name)}</th>`).join('');
	const body = rows.map((row) => {
		const cells = Object.values(row).map((value) => `<td>${escapeHtml(String(value))}</td>`);
		return `<tr>${cells.join('')}</tr>`;
	});
	return `<table><tr>${head}</tr>${body.join('\n')}</table>`;
}

/** One line of a chart, with values at equal steps. */
export interface Series {
	name: string;
	colour: string;
	values: readonly number[];
}

const chartLayout = { width: 900, height: 220, left: 60, bottom: 30, top: 10, right: 130 } as const;

/** Renders a line chart; `step` is the label of the x axis. */
export function renderLineChart(title: string, step: string, series: readonly Series[]): string {
	const length = Math.max(2, ...series.map(({ values }) => values.length));
	const peak = Math.max(1, ...series.flatMap(({ values }) => values));
	const plotWidth = chartLayout.width - chartLayout.left - chartLayout.right;
	const plotHeight = chartLayout.height - chartLayout.top - chartLayout.bottom;
	const x = (index: number) => chartLayout.left + (plotWidth * index) / (length - 1);
	const y = (value: number) => chartLayout.top + plotHeight * (1 - value / peak);
	const lines = series.map(({ colour, values }) => {
		const points = values.map((value, index) => `${x(index).toFixed(1)},${y(value).toFixed(1)}`);
		return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`;
	});
	const legend = series.map(({ name, colour }, index) => {
		const top = chartLayout.top + 14 * (index + 1);
		const left = chartLayout.width - chartLayout.right + 10;
		return `<text x="${left}" y="${top}" style="fill:${colour}">${escapeHtml(name)}</text>`;
	});
	const base = chartLayout.top + plotHeight;
	return `<h2>${escapeHtml(title)}</h2>
<svg width="${chartLayout.width}" height="${chartLayout.height}">
<line x1="${chartLayout.left}" y1="${base}" x2="${chartLayout.left + plotWidth}" y2="${base}" stroke="#999"/>
<line x1="${chartLayout.left}" y1="${chartLayout.top}" x2="${chartLayout.left}" y2="${base}" stroke="#999"/>
<text x="4" y="${chartLayout.top + 10}">${Math.round(peak)}</text><text x="4" y="${base}">0</text>
<text x="${chartLayout.left + plotWidth / 2}" y="${chartLayout.height - 6}">${escapeHtml(step)}</text>
${lines.join('\n')}
${legend.join('\n')}
</svg>`;
}

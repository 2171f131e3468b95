/**
 * Plain text tables.
 * @module
 */
export function formatTable(rows: readonly object[]): string {
	const first = rows[0];
	if (!first) {
		return '(nothing)';
	}
	const names = Object.keys(first);
	const cells = rows.map((row) =>
		names.map((name) => String((row as Record<string, unknown>)[name] ?? '')),
	);
	const widths = names.map((name, at) =>
		Math.max(name.length, ...cells.map((cell) => cell[at]?.length ?? 0)),
	);
	const line = (cell: readonly string[]) =>
		cell
			.map((text, at) => text.padEnd(widths[at] ?? 0))
			.join('  ')
			.trimEnd();
	const rule = widths.map((width) => '-'.repeat(width));
	return [line(names), line(rule), ...cells.map(line)].join('\n');
}

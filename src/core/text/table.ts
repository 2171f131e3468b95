/**
 * Formats plain-text tables.
 * @module
 */

/** Formats rows with the same keys; the keys are the header. */
export function formatTable(rows: readonly object[]): string {
	const first = rows[0];
	if (!first) {
		return '(nothing)';
	}
	const names = Object.keys(first);
	const cells = rows.map((row) =>
		names.map((name) => String((row as Record<string, unknown>)[name] ?? '')),
	);
	const widths = names.map((name, index) =>
		Math.max(name.length, ...cells.map((cell) => cell[index]?.length ?? 0)),
	);
	const formatLine = (cell: readonly string[]) =>
		cell
			.map((text, index) => text.padEnd(widths[index] ?? 0))
			.join('  ')
			.trimEnd();
	const separator = widths.map((width) => '-'.repeat(width));
	return [formatLine(names), formatLine(separator), ...cells.map(formatLine)].join('\n');
}

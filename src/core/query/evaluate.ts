/**
 * Answers a question over rows: filter, group, sort, cut.
 * @module
 */
import { unexpectedWordError } from './parse.js';
import type { Condition, Query, QueryError, Row, Value } from './types.js';

export type QueryResult = { rows: Row[] } | { error: QueryError };

/** `fields` are those that rows of the source have, also when there are no rows. */
export function evaluateQuery(
	query: Query,
	rows: readonly Row[],
	fields: readonly string[],
): QueryResult {
	const wrong = findUnknownField(query, fields);
	if (wrong) {
		return { error: wrong };
	}
	const kept = rows.filter((row) => query.where.every((condition) => holds(condition, row)));
	const grouped = query.groupBy.length > 0 ? group(query, kept) : kept;
	const sorted = query.sortBy ? sort(query.sortBy, grouped) : grouped;
	return { rows: query.limit === undefined ? sorted : sorted.slice(0, query.limit) };
}

function findUnknownField(query: Query, fields: readonly string[]): QueryError | undefined {
	const shown =
		query.groupBy.length > 0 ? [...query.groupBy.map(({ field }) => field), 'count'] : fields;
	const asked = [...query.where, ...query.groupBy].find(({ field }) => !fields.includes(field));
	if (asked) {
		return unexpectedWordError(asked.field, asked.column, fields);
	}
	const { sortBy } = query;
	return sortBy && !shown.includes(sortBy.field)
		? unexpectedWordError(sortBy.field, sortBy.column, shown)
		: undefined;
}

function holds(condition: Condition, row: Row): boolean {
	const order = compareValues(row[condition.field], condition.value);
	switch (condition.operator) {
		case '=':
			return order === 0;
		case '!=':
			return order !== 0;
		case '<':
			return order < 0;
		case '<=':
			return order <= 0;
		case '>':
			return order > 0;
		case '>=':
			return order >= 0;
	}
}

function compareValues(a: Value | undefined, b: Value): number {
	if (typeof a === 'number' && typeof b === 'number') {
		return a - b;
	}
	const left = String(a ?? '');
	const right = String(b);
	if (left === right) {
		return 0;
	}
	return left < right ? -1 : 1;
}

function group(query: Query, rows: readonly Row[]): Row[] {
	const groups = new Map<string, Row>();
	for (const row of rows) {
		const values = query.groupBy.map(({ field }) => [field, row[field] ?? ''] as const);
		const key = JSON.stringify(values);
		const known = groups.get(key) ?? { ...Object.fromEntries(values), count: 0 };
		known.count = Number(known.count) + 1;
		groups.set(key, known);
	}
	return [...groups.values()];
}

function sort(by: { field: string; descending: boolean }, rows: readonly Row[]): Row[] {
	const direction = by.descending ? -1 : 1;
	return [...rows].sort((a, b) => direction * compareValues(a[by.field], b[by.field] ?? ''));
}

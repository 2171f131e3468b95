/**
 * Evaluates a query over rows: filters, groups, sorts and limits them.
 * @module
 */
import { unexpectedWordError } from './parse.js';
import type { Condition, Query, QueryError, Row, Value } from './types.js';

export type QueryResult = { rows: Row[] } | { error: QueryError };

/** @param fields of the source's rows; needed because there may be no rows */
export function evaluateQuery(
	query: Query,
	rows: readonly Row[],
	fields: readonly string[],
): QueryResult {
	const unknownField = findUnknownField(query, fields);
	if (unknownField) {
		return { error: unknownField };
	}
	const matching = rows.filter((row) => query.where.every((condition) => isMatch(condition, row)));
	const grouped = query.groupBy.length > 0 ? group(query, matching) : matching;
	const sorted = query.sortBy ? sort(query.sortBy, grouped) : grouped;
	return { rows: query.limit === undefined ? sorted : sorted.slice(0, query.limit) };
}

function findUnknownField(query: Query, fields: readonly string[]): QueryError | undefined {
	const resultFields =
		query.groupBy.length > 0 ? [...query.groupBy.map(({ field }) => field), 'count'] : fields;
	const unknownReference = [...query.where, ...query.groupBy].find(
		({ field }) => !fields.includes(field),
	);
	if (unknownReference) {
		return unexpectedWordError(unknownReference.field, unknownReference.column, fields);
	}
	const { sortBy } = query;
	return sortBy && !resultFields.includes(sortBy.field)
		? unexpectedWordError(sortBy.field, sortBy.column, resultFields)
		: undefined;
}

function isMatch(condition: Condition, row: Row): boolean {
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

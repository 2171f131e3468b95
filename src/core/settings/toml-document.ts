/**
 * Parses TOML, validates it against a schema and reports findings with line and column.
 * The parser is loaded on first use, since it is large.
 * @module
 */
import type * as zod from 'zod';
import type * as errors from '../errors/index.js';

/** Position of a value in a file; the first line and column are 1. */
interface Position {
	line: number;
	column: number;
}

/** The validated value, or the findings. */
export type CheckResult<T> =
	| { value: T; findings: [] }
	| { value?: undefined; findings: errors.Finding[] };

/** Checks across the document that run once it matches the schema. */
export type CrossCheck<T> = (
	value: T,
) => { path: (string | number)[]; message: string; hint?: string }[];

/** Validates a TOML document and reports all findings. */
export async function checkToml<T>(
	file: string,
	text: string,
	schema: zod.ZodType<T>,
	crossCheck: CrossCheck<T> = () => [],
): Promise<CheckResult<T>> {
	const toml = await import('toml-eslint-parser');
	let ast: ReturnType<typeof toml.parseTOML>;
	try {
		ast = toml.parseTOML(text);
	} catch (err) {
		return { findings: [syntaxFinding(file, err)] };
	}
	const positions = new Map<string, Position>();
	collectPositions(ast.body[0], [], positions);
	const parsed = schema.safeParse(toml.getStaticTOMLValue(ast));
	const issues = parsed.success
		? crossCheck(parsed.data)
		: parsed.error.issues.flatMap((issue) => toPathIssues(issue));
	if (parsed.success && issues.length === 0) {
		return { value: parsed.data, findings: [] };
	}
	const findings = issues.map((issue) => ({
		file,
		...nearestPosition(positions, issue.path),
		path: formatPath(issue.path),
		message: issue.message,
		hint: issue.hint,
	}));
	findings.sort((a, b) => a.line - b.line || a.column - b.column);
	return { findings };
}

interface PathIssue {
	path: (string | number)[];
	message: string;
	hint?: string;
}

function toPathIssues(issue: zod.core.$ZodIssue): PathIssue[] {
	const path = issue.path as (string | number)[];
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map((key) => ({
			path: [...path, key],
			message: 'unknown key',
			hint: 'remove it, or check its spelling in docs/SETTINGS.md',
		}));
	}
	return [{ path, message: issue.message }];
}

function syntaxFinding(file: string, err: unknown): errors.Finding {
	const parseError = err as { lineNumber?: number; column?: number; message?: string };
	return {
		file,
		line: parseError.lineNumber ?? 1,
		column: (parseError.column ?? 0) + 1,
		path: '(syntax)',
		message: parseError.message ?? 'not valid TOML',
		hint: 'see toml.io for the format',
	};
}

/** The properties of the parser's AST nodes that this module uses. */
interface Node {
	type: string;
	loc: { start: { line: number; column: number } };
	body?: Node[];
	elements?: Node[];
	key?: { keys: { name?: string; value?: string }[] };
	resolvedKey?: (string | number)[];
	value?: Node;
}

function collectPositions(
	raw: unknown,
	path: (string | number)[],
	positions: Map<string, Position>,
): void {
	const node = raw as Node;
	const basePath = node.type === 'TOMLTable' ? (node.resolvedKey ?? path) : path;
	const recordPosition = (nodePath: (string | number)[], positioned: Node) => {
		const key = formatPath(nodePath);
		if (!positions.has(key)) {
			positions.set(key, {
				line: positioned.loc.start.line,
				column: positioned.loc.start.column + 1,
			});
		}
	};
	if (node.type === 'TOMLTable') {
		recordPosition(basePath, node);
	}
	for (const child of node.body ?? []) {
		if (child.type === 'TOMLKeyValue') {
			const keys = (child.key?.keys ?? []).map((key) => key.name ?? String(key.value));
			const valuePath = [...basePath, ...keys];
			recordPosition(valuePath, child);
			collectPositions(child.value, valuePath, positions);
		} else {
			collectPositions(child, basePath, positions);
		}
	}
	for (const [index, child] of (node.elements ?? []).entries()) {
		recordPosition([...basePath, index], child);
		collectPositions(child, [...basePath, index], positions);
	}
}

function nearestPosition(positions: Map<string, Position>, path: (string | number)[]): Position {
	for (let length = path.length; length > 0; length--) {
		const position = positions.get(formatPath(path.slice(0, length)));
		if (position) {
			return position;
		}
	}
	return { line: 1, column: 1 };
}

/** Formats a path such as `['classes', 0, 'tier']` as `classes[0].tier`. */
export function formatPath(path: readonly (string | number)[]): string {
	let text = '';
	for (const part of path) {
		if (typeof part === 'number') {
			text += `[${part}]`;
		} else {
			text += text === '' ? part : `.${part}`;
		}
	}
	return text === '' ? '(file)' : text;
}

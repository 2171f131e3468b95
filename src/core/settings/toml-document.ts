/**
 * Reads a TOML text, checks it against a schema and gives every finding its place.
 * The parser that knows places is loaded on first use, since it is large.
 * @module
 */
import type * as zod from 'zod';
import type * as errors from '../errors/index.js';

/** Place of a value in a file. */
interface Place {
	line: number;
	column: number;
}

/** Outcome of a check: the value, or what was found wrong. */
export type CheckResult<T> =
	| { value: T; findings: [] }
	| { value?: undefined; findings: errors.Finding[] };

/** Extra checks over the whole document, after its schema held. */
export type CrossCheck<T> = (
	value: T,
) => { path: (string | number)[]; message: string; hint?: string }[];

/** Checks one TOML text as a whole. */
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
	const places = new Map<string, Place>();
	collectPlaces(ast.body[0], [], places);
	const parsed = schema.safeParse(toml.getStaticTOMLValue(ast));
	const issues = parsed.success
		? crossCheck(parsed.data)
		: parsed.error.issues.flatMap((issue) => expandIssue(issue));
	if (parsed.success && issues.length === 0) {
		return { value: parsed.data, findings: [] };
	}
	const findings = issues.map((issue) => ({
		file,
		...nearestPlace(places, issue.path),
		path: formatPath(issue.path),
		message: issue.message,
		hint: issue.hint,
	}));
	findings.sort((a, b) => a.line - b.line || a.column - b.column);
	return { findings };
}

interface PlainIssue {
	path: (string | number)[];
	message: string;
	hint?: string;
}

function expandIssue(issue: zod.core.$ZodIssue): PlainIssue[] {
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
	const place = err as { lineNumber?: number; column?: number; message?: string };
	return {
		file,
		line: place.lineNumber ?? 1,
		column: (place.column ?? 0) + 1,
		path: '(syntax)',
		message: place.message ?? 'not valid TOML',
		hint: 'see toml.io for the format',
	};
}

/** The parts of the parser's tree that this module walks. */
interface Node {
	type: string;
	loc: { start: { line: number; column: number } };
	body?: Node[];
	elements?: Node[];
	key?: { keys: { name?: string; value?: string }[] };
	resolvedKey?: (string | number)[];
	value?: Node;
}

function collectPlaces(raw: unknown, path: (string | number)[], places: Map<string, Place>): void {
	const node = raw as Node;
	const own = node.type === 'TOMLTable' ? (node.resolvedKey ?? path) : path;
	const remember = (at: (string | number)[], where: Node) => {
		const key = formatPath(at);
		if (!places.has(key)) {
			places.set(key, { line: where.loc.start.line, column: where.loc.start.column + 1 });
		}
	};
	if (node.type === 'TOMLTable') {
		remember(own, node);
	}
	for (const child of node.body ?? []) {
		if (child.type === 'TOMLKeyValue') {
			const keys = (child.key?.keys ?? []).map((key) => key.name ?? String(key.value));
			const at = [...own, ...keys];
			remember(at, child);
			collectPlaces(child.value, at, places);
		} else {
			collectPlaces(child, own, places);
		}
	}
	for (const [index, child] of (node.elements ?? []).entries()) {
		remember([...own, index], child);
		collectPlaces(child, [...own, index], places);
	}
}

function nearestPlace(places: Map<string, Place>, path: (string | number)[]): Place {
	for (let length = path.length; length > 0; length--) {
		const place = places.get(formatPath(path.slice(0, length)));
		if (place) {
			return place;
		}
	}
	return { line: 1, column: 1 };
}

/** `['classes', 0, 'tier']` as `classes[0].tier`. */
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

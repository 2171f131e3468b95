/**
 * Describes the differences between two configurations for operators.
 * @module
 */
import type { Configuration } from './schema.js';

/** Maximum length of the description stored with a version, in characters. */
const maxDescriptionChars = 400;

/** @returns one line per difference */
export function diffConfigurations(
	before: Configuration | undefined,
	after: Configuration,
): string[] {
	if (!before) {
		return ['everything (first version)'];
	}
	const lines: string[] = [];
	for (const list of ['classes', 'customers', 'endpoints', 'services'] as const) {
		lines.push(...diffLists(list, before[list], after[list]));
	}
	for (const part of ['policy', 'operators'] as const) {
		lines.push(...diffFields(part, before[part], after[part]));
	}
	return lines;
}

/** @returns the differences on one line, shortened for storage with the version */
export function describeChange(before: Configuration | undefined, after: Configuration): string {
	const text = diffConfigurations(before, after).join('; ') || 'nothing';
	return text.length > maxDescriptionChars ? `${text.slice(0, maxDescriptionChars)}…` : text;
}

type Named = { name: string };

function diffLists(list: string, before: readonly Named[], after: readonly Named[]): string[] {
	const removed = new Map(before.map((item) => [item.name, item]));
	const lines: string[] = [];
	for (const item of after) {
		const previous = removed.get(item.name);
		removed.delete(item.name);
		if (previous) {
			lines.push(...diffFields(`${list}.${item.name}`, previous, item));
		} else {
			lines.push(`${list}.${item.name} added`);
		}
	}
	for (const name of removed.keys()) {
		lines.push(`${list}.${name} removed`);
	}
	return lines;
}

function diffFields(path: string, before: object, after: object): string[] {
	const previous = before as Record<string, unknown>;
	const current = after as Record<string, unknown>;
	const lines: string[] = [];
	for (const key of new Set([...Object.keys(previous), ...Object.keys(current)])) {
		const from = JSON.stringify(previous[key]);
		const to = JSON.stringify(current[key]);
		if (from !== to) {
			lines.push(`${path}.${key}: ${from} -> ${to}`);
		}
	}
	return lines;
}

/**
 * What differs between two configurations, in words for operators.
 * @module
 */
import type { Configuration } from './schema.js';

/** Longest description kept with a version, in characters. */
const maxDescription = 400;

/** One line a difference. */
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

/** The differences in short, for a version's record. */
export function describeChange(before: Configuration | undefined, after: Configuration): string {
	const text = diffConfigurations(before, after).join('; ') || 'nothing';
	return text.length > maxDescription ? `${text.slice(0, maxDescription)}…` : text;
}

type Named = { name: string };

function diffLists(list: string, before: readonly Named[], after: readonly Named[]): string[] {
	const old = new Map(before.map((item) => [item.name, item]));
	const lines: string[] = [];
	for (const item of after) {
		const was = old.get(item.name);
		old.delete(item.name);
		if (was) {
			lines.push(...diffFields(`${list}.${item.name}`, was, item));
		} else {
			lines.push(`${list}.${item.name} added`);
		}
	}
	for (const name of old.keys()) {
		lines.push(`${list}.${name} removed`);
	}
	return lines;
}

function diffFields(path: string, before: object, after: object): string[] {
	const old = before as Record<string, unknown>;
	const fresh = after as Record<string, unknown>;
	const lines: string[] = [];
	for (const key of new Set([...Object.keys(old), ...Object.keys(fresh)])) {
		const from = JSON.stringify(old[key]);
		const to = JSON.stringify(fresh[key]);
		if (from !== to) {
			lines.push(`${path}.${key}: ${from} -> ${to}`);
		}
	}
	return lines;
}

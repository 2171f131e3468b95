/**
 * Applies a command of the query and command language to a configuration.
 * @module
 */
import type { Configuration } from '../configuration/index.js';
import { configurationSchema, crossCheck } from '../configuration/index.js';
import { unexpectedWordError } from './parse.js';
import type { DrainCommand, QueryError, SetCommand, Subject } from './types.js';

const listNames = { class: 'classes', customer: 'customers', endpoint: 'endpoints' } as const;
/** Fields that identify an item or hold its keys. */
const readOnlyFields = new Set(['name', 'key_hashes']);

export type ApplyCommandResult = { document: Configuration } | { error: QueryError };

/** Returns a changed copy, validated as a whole. */
export function applyCommand(
	cfg: Configuration,
	command: SetCommand | DrainCommand,
): ApplyCommandResult {
	if (command.kind !== 'set') {
		const state = command.kind === 'drain' ? 'drained' : 'active';
		return setField(cfg, 'endpoint', command.endpoint, 'state', state, command.column);
	}
	const { subject, name, field, value, column } = command;
	return setField(cfg, subject, name, field, value, column);
}

function setField(
	cfg: Configuration,
	subject: Subject,
	name: string,
	field: string,
	value: unknown,
	column: number,
): ApplyCommandResult {
	const list = listNames[subject];
	const items = cfg[list] as { name: string }[];
	const item = items.find((known) => known.name === name);
	if (!item) {
		return {
			error: unexpectedWordError(
				name,
				column,
				items.map((known) => known.name),
			),
		};
	}
	const fields = fieldsOf(list).filter((known) => !readOnlyFields.has(known));
	if (!fields.includes(field)) {
		return { error: unexpectedWordError(field, column, fields) };
	}
	const changed = items.map((known) => (known === item ? { ...known, [field]: value } : known));
	const parsed = configurationSchema.safeParse({ ...cfg, [list]: changed });
	const issue = parsed.success ? crossCheck(parsed.data)[0] : parsed.error.issues[0];
	if (!parsed.success || issue) {
		return { error: { column, message: `${field}: ${issue?.message}` } };
	}
	return { document: parsed.data };
}

function fieldsOf(list: 'classes' | 'customers' | 'endpoints'): string[] {
	return Object.keys(configurationSchema.shape[list].element.shape);
}

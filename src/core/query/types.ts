/**
 * Statements of the query and command language and their results.
 * @module
 */
import type { OrderKind } from '../definitions.js';

/** Sources of rows for `show`. */
export const sources = {
	requests: 'requests',
	shed: 'shed',
	endpoints: 'endpoints',
	vms: 'vms',
	classes: 'classes',
	customers: 'customers',
} as const;
export type Source = (typeof sources)[keyof typeof sources];

/** Kinds of items whose settings `set` changes. */
export const subjects = { class: 'class', customer: 'customer', endpoint: 'endpoint' } as const;
export type Subject = (typeof subjects)[keyof typeof subjects];

export type Value = string | number | boolean;

export const operators = ['=', '!=', '<=', '>=', '<', '>'] as const;
export type Operator = (typeof operators)[number];

export interface Condition {
	field: string;
	operator: Operator;
	value: Value;
	/** Column of the field in the line, from 1. */
	column: number;
}

/** Selects rows of a source. */
export interface Query {
	kind: 'show';
	source: Source;
	/** Conditions that all have to match. */
	where: Condition[];
	groupBy: { field: string; column: number }[];
	sortBy?: { field: string; descending: boolean; column: number };
	limit?: number;
}

/** Changes one setting. */
export interface SetCommand {
	kind: 'set';
	subject: Subject;
	name: string;
	field: string;
	value: Value;
	column: number;
}

/** Takes an endpoint out of service or puts it back. */
export interface DrainCommand {
	kind: 'drain' | 'undrain';
	endpoint: string;
	column: number;
}

/** Sends an order to an endpoint. */
export interface OrderCommand {
	kind: 'order';
	endpoint: string;
	order: OrderKind;
	argument: string;
}

export type Statement = Query | SetCommand | DrainCommand | OrderCommand;

/** Syntax error, or use of an unknown name or invalid value. */
export interface QueryError {
	/** Column in the line, from 1. */
	column: number;
	message: string;
	/** Most similar known word, if one is similar enough. */
	suggestion?: string;
}

export type ParseResult = { statement: Statement } | { error: QueryError };

export type Row = Record<string, Value>;

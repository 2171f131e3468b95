/**
 * What a line of the query and command language says.
 * @module
 */
import type { OrderKind } from '../definitions.js';

/** Things that can be asked for. */
export const sources = {
	requests: 'requests',
	shed: 'shed',
	endpoints: 'endpoints',
	vms: 'vms',
	classes: 'classes',
	customers: 'customers',
} as const;
export type Source = (typeof sources)[keyof typeof sources];

/** Things whose settings can be changed. */
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

/** A question. */
export interface Query {
	kind: 'show';
	source: Source;
	/** All must hold. */
	where: Condition[];
	groupBy: { field: string; column: number }[];
	sortBy?: { field: string; descending: boolean; column: number };
	limit?: number;
}

/** A change of one setting. */
export interface SetCommand {
	kind: 'set';
	subject: Subject;
	name: string;
	field: string;
	value: Value;
	column: number;
}

/** An endpoint is taken out of or put into service. */
export interface DrainCommand {
	kind: 'drain' | 'undrain';
	endpoint: string;
	column: number;
}

/** An order to an endpoint. */
export interface OrderCommand {
	kind: 'order';
	endpoint: string;
	order: OrderKind;
	argument: string;
}

export type Statement = Query | SetCommand | DrainCommand | OrderCommand;

/** What is wrong with a line. */
export interface QueryError {
	/** From 1. */
	column: number;
	message: string;
	/** Nearest known word, if one is near. */
	suggestion?: string;
}

export type ParseResult = { statement: Statement } | { error: QueryError };

export type Row = Record<string, Value>;

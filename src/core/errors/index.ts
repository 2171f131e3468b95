/**
 * Error classes built from the error data.
 * @module
 */
import type { ErrorData } from './errors-data.js';

export type { ErrorData } from './errors-data.js';
export * as data from './errors-data.js';

/** An error that a caller or an operator is shown. */
export class UserError extends Error {
	readonly data: ErrorData;
	/** Seconds after which to come back, where known. */
	readonly retryAfterS?: number;

	constructor(data: ErrorData, params: string[] = [], opts: { retryAfterS?: number } = {}) {
		super(typeof data.message === 'string' ? data.message : data.message(...params));
		this.name = data.name;
		this.data = data;
		this.retryAfterS = opts.retryAfterS;
	}
}

/** One thing found wrong in a settings or configuration file. */
export interface Finding {
	file: string;
	/** First line is 1. */
	line: number;
	/** First column is 1. */
	column: number;
	/** Path of the value, such as `classes[0].tier`. */
	path: string;
	message: string;
	hint?: string;
}

/** Findings of one file, reported together. */
export class FindingsError extends UserError {
	readonly findings: readonly Finding[];

	constructor(data: ErrorData, findings: readonly Finding[]) {
		super(data);
		this.findings = findings;
	}
}

/** One finding on one line, as compilers print them. */
export function formatFinding(finding: Finding): string {
	const place = `${finding.file}:${finding.line}:${finding.column}`;
	const hint = finding.hint ? ` (${finding.hint})` : '';
	return `${place}: ${finding.path}: ${finding.message}${hint}`;
}

/**
 * Error classes and findings.
 * @module
 */
import type { ErrorData } from './errors-data.js';

export type { ErrorData } from './errors-data.js';
export * as data from './errors-data.js';

/** An error that is shown to a caller or an operator. */
export class UserError extends Error {
	readonly data: ErrorData;
	/** Time after which to retry, in seconds; undefined when unknown. */
	readonly retryAfterS?: number;

	constructor(data: ErrorData, params: string[] = [], opts: { retryAfterS?: number } = {}) {
		super(typeof data.message === 'string' ? data.message : data.message(...params));
		this.name = data.name;
		this.data = data;
		this.retryAfterS = opts.retryAfterS;
	}
}

/** A problem in a settings or configuration file. */
export interface Finding {
	file: string;
	/** 1-based. */
	line: number;
	/** 1-based. */
	column: number;
	/** Path of the value, such as `classes[0].tier`. */
	path: string;
	message: string;
	hint?: string;
}

/** Reports all findings of a file. */
export class FindingsError extends UserError {
	readonly findings: readonly Finding[];

	constructor(data: ErrorData, findings: readonly Finding[]) {
		super(data);
		this.findings = findings;
	}
}

/** Formats a finding on one line, as `file:line:column: path: message (hint)`. */
export function formatFinding(finding: Finding): string {
	const position = `${finding.file}:${finding.line}:${finding.column}`;
	const hint = finding.hint ? ` (${finding.hint})` : '';
	return `${position}: ${finding.path}: ${finding.message}${hint}`;
}

/**
 * Error bodies and headers in the format of the OpenAI-compatible API.
 * @module
 */
import type { UserError } from '../../core/errors/index.js';
import type { Outcome } from '../../core/requests/types.js';

/** Names of the response headers that the router sets; documented in docs/CALLERS.md. */
export const answerHeaderNames = {
	outcome: 'x-slategauge-outcome',
	requestId: 'x-slategauge-request-id',
	retryAfter: 'retry-after',
} as const;

/** Body of an error answer, and data of an error event within a stream. */
export function errorBody(err: UserError, outcome: Outcome): string {
	const hint = err.data.hint ? ` ${err.data.hint}` : '';
	return JSON.stringify({
		error: {
			message: `${err.message}${hint}`,
			type: err.name,
			code: err.name,
			param: null,
			outcome,
		},
	});
}

/** Headers of an error answer. */
export function errorHeaders(err: UserError, outcome: Outcome): Record<string, string> {
	const headers: Record<string, string> = {
		'content-type': 'application/json',
		[answerHeaderNames.outcome]: outcome,
	};
	if (err.retryAfterS !== undefined) {
		headers[answerHeaderNames.retryAfter] = String(err.retryAfterS);
	}
	return headers;
}

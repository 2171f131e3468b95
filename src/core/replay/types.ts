/**
 * A recorded trace and what its replay showed. The format is documented in docs/TRACES.md.
 * @module
 */
import * as zod from 'zod';

/** What a request of a trace asks for. */
export const traceKinds = { chat: 'chat', completion: 'completion', service: 'service' } as const;

/** One line of a trace. */
export const traceRequestSchema = zod.strictObject({
	/** Milliseconds after the start of the trace. */
	at_ms: zod.number().min(0),
	id: zod.string().min(1),
	customer: zod.string().min(1),
	class: zod.string().min(1),
	kind: zod.enum(traceKinds),
	/** Model, or name of the plain service. */
	target: zod.string().min(1),
	/** Prompt, or body for a service. */
	prompt: zod.string(),
	/** Start of the prompt that other requests share. @default '' */
	system: zod.string().default(''),
	stream: zod.boolean().default(true),
	key: zod.string().optional(),
	/** Outcomes that are right. @default ['complete'] */
	outcomes: zod.array(zod.string()).default(['complete']),
	/** SHA-256 of the whole answer's text, where it is known. */
	answer_sha256: zod.string().optional(),
	/** Tokens of the whole answer, where known. */
	answer_tokens: zod.int().optional(),
});

export type TraceRequest = zod.infer<typeof traceRequestSchema>;

/** Targets of a class, for the verdict. Milliseconds. */
export interface ClassTargets {
	tier: number;
	firstTokenMs: number;
	betweenTokensMs: number;
	deadlineMs: number;
}

/** What came of one request. */
export interface ReplayResult {
	id: string;
	request: string;
	class: string;
	customer: string;
	/** Milliseconds since 1970. */
	sentAt: number;
	outcome: string;
	status: number;
	error?: string;
	/** The caller asked for a stream; only then the first token counts. */
	streamed: boolean;
	/** The answer was not the one that the trace states. */
	wrong: boolean;
	tokens: number;
	/** Milliseconds from sending; 0 without a token. */
	firstTokenMs: number;
	/** Mean milliseconds between tokens. */
	betweenMs: number;
	totalMs: number;
	retryAfterS?: number;
}

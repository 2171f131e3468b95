/**
 * Recorded traces and results of their replay. The format is documented in docs/TRACES.md.
 * @module
 */
import * as zod from 'zod';

/** API that a request of a trace uses. */
export const traceKinds = { chat: 'chat', completion: 'completion', service: 'service' } as const;

/** One line of a trace. */
export const traceRequestSchema = zod.strictObject({
	/** Milliseconds after the start of the trace. */
	at_ms: zod.number().min(0),
	id: zod.string().min(1),
	customer: zod.string().min(1),
	class: zod.string().min(1),
	kind: zod.enum(traceKinds),
	/** Name of the model or plain service. */
	target: zod.string().min(1),
	/** Prompt, or body of a request to a plain service. */
	prompt: zod.string(),
	/** System prompt, which other requests may share. @default '' */
	system: zod.string().default(''),
	stream: zod.boolean().default(true),
	key: zod.string().optional(),
	/** Expected outcomes. @default ['complete'] */
	outcomes: zod.array(zod.string()).default(['complete']),
	/** SHA-256 of the complete answer's text, if known. */
	answer_sha256: zod.string().optional(),
	/** Number of tokens of the complete answer, if known. */
	answer_tokens: zod.int().optional(),
});

export type TraceRequest = zod.infer<typeof traceRequestSchema>;

/** Latency targets of a class. */
export interface ClassTargets {
	tier: number;
	firstTokenMs: number;
	betweenTokensMs: number;
	deadlineMs: number;
}

/** Result of one replayed request. */
export interface ReplayResult {
	id: string;
	request: string;
	class: string;
	customer: string;
	/** Milliseconds since the Unix epoch. */
	sentAt: number;
	outcome: string;
	status: number;
	error?: string;
	/** Whether a stream was requested; latency targets of tokens apply only to streams. */
	streamed: boolean;
	/** The outcome or the answer differs from what the trace expects. */
	wrong: boolean;
	tokens: number;
	/** Milliseconds from sending to the first token; 0 without a token. */
	firstTokenMs: number;
	/** Mean milliseconds between tokens. */
	betweenMs: number;
	totalMs: number;
	retryAfterS?: number;
}

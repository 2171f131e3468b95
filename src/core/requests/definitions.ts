/**
 * The callers' side as the daemon's logic sees it.
 * @module
 */
import type { StreamEvent } from '../definitions.js';
import type { UserError } from '../errors/index.js';
import type { Outcome } from './types.js';

/** Gives one caller its answer. */
export interface CallerSink {
	/** The answer has begun; called once. */
	start(status: number, headers: Record<string, string>): void;
	/** Whole events; false asks for a pause until `onDrain` calls. */
	writeEvents(events: readonly StreamEvent[]): boolean;
	/** Bytes of an answer that is not a stream of events. */
	writeBytes(chunk: Uint8Array): boolean;
	/** The whole answer was given. */
	finish(): void;
	/** The last word when it was not. */
	fail(err: UserError, outcome: Outcome): void;
	/** Called when the caller can take more. */
	onDrain(resume: () => void): void;
}

/** What is sent to an endpoint for a request. */
export interface CallTemplate {
	method: string;
	path: string;
	headers: Record<string, string>;
	body?: Uint8Array;
	/** The endpoint answers with a stream of events that can be resumed. */
	streamed: boolean;
}

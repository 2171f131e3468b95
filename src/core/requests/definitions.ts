/**
 * Interfaces between request handling and the servers that face callers.
 * @module
 */
import type { StreamEvent } from '../definitions.js';
import type { UserError } from '../errors/index.js';
import type { Outcome } from './types.js';

/** Writes an answer to one caller. */
export interface CallerSink {
	/** Writes the head of the answer; called once. */
	start(status: number, headers: Record<string, string>): void;
	/** Writes complete events; false asks the sender to pause until the `onDrain` callback. */
	writeEvents(events: readonly StreamEvent[]): boolean;
	/** Writes body bytes of an answer that is not an event stream; returns as `writeEvents` does. */
	writeBytes(chunk: Uint8Array): boolean;
	/** Ends a complete answer. */
	finish(): void;
	/** Ends an answer that is missing or incomplete with an error. */
	fail(err: UserError, outcome: Outcome): void;
	/** Registers a callback for when the caller can receive more. */
	onDrain(resume: () => void): void;
}

/** The part of an endpoint call that is the same for all attempts of a request. */
export interface CallTemplate {
	method: string;
	path: string;
	headers: Record<string, string>;
	body?: Uint8Array;
	/** The endpoint answers with an event stream that can be resumed. */
	streamed: boolean;
}

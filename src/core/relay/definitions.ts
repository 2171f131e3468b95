/**
 * Ports and messages of the relay: what callers send, what engines answer.
 * @module
 */
import type { EngineNotice } from '../engines/engine-notices.js';

/** Header names and values in turn, as they came or will go. */
export type RawHeaders = string[];

/** A part of a prompt that requests may share. */
export interface PromptSegment {
	id: string;
	tokens: number;
}

/** A caller's request with its body read whole. */
export interface CallerRequest {
	method: string;
	/** Path and query, unaltered. */
	target: string;
	host: string;
	/** Names this request alone; a repeated one has another. */
	id: string;
	/** How long the caller waits from the start of the request, in milliseconds. */
	deadlineMs?: number;
	apiKey?: string;
	promptSegments: readonly PromptSegment[];
	promptTokens: number;
	/** Tokens that the answer is expected to have; a rough estimate. */
	answerTokens: number;
	/** The caller has the events of a broken stream up to this id. */
	lastEventId?: string;
	/** Headers for the engine; those that the router sets are not among them. */
	headers: RawHeaders;
	body: Buffer;
	/** Milliseconds since boot at which the head was read. */
	arrivedAt: number;
}

/** The caller's end of a request. */
export interface CallerResponse {
	/** Starts the answer; called once. */
	writeHead(status: number, headers: RawHeaders): void;
	/** False when the caller reads too slowly: wait for `onDrain`. */
	write(chunk: Buffer): boolean;
	end(chunk?: Buffer): void;
	/** Closes the connection, so that the answer does not look whole. */
	abort(): void;
	onDrain(callback: () => void): void;
	/** The caller went away before the answer ended. */
	onDisconnect(callback: () => void): void;
}

/** Levels of urgency that engines tell apart. */
export const urgencyLevels = 10;

/** What an engine is handed beside the caller's own request. */
export interface EngineCall {
	address: string;
	/** The engine that alone may run it. */
	engineId: string;
	req: CallerRequest;
	customer?: string;
	/** What is left of the caller's time, in milliseconds. */
	deadlineMs: number;
	/** 0 is the most urgent, `urgencyLevels - 1` the least. */
	urgency: number;
	lastEventId?: string;
	/** Address of an engine that keeps more of the prompt: copying is faster than reading it again. */
	copyFrom?: string;
}

/** Head of an engine's answer. */
export interface AnswerHead {
	status: number;
	/** The request that it answers, as the engine names it. */
	id?: string;
	/** It carries the engine's proof of origin. */
	isSigned: boolean;
	/** The engine says that it did not run the request and never will. */
	hasNotRun: boolean;
	/** Another engine listens at the address now. */
	isFromOtherEngine: boolean;
	/** The head says where the body ends; else it ends with the connection. */
	isFramed: boolean;
	/** Bytes of the body were changed on the way. */
	isEncoded: boolean;
	/** What it says of its engine, whatever becomes of the request. */
	notice: EngineNotice;
	/** Headers for the caller. */
	headers: RawHeaders;
}

/** Receives the answer of an engine; exactly one of `end`, `fail` and `withdrawn` is called last. */
export interface AnswerListener {
	/** Asked when the connection is up: whether the engine may still be given the request. */
	shouldSend(): boolean;
	/** It was not: nothing was sent. */
	onWithdrawn(): void;
	/** Bytes of the request leave now: from here on it may run. */
	onSent(): void;
	onHead(head: AnswerHead): void;
	onData(chunk: Buffer): void;
	onEnd(): void;
	/**
	 * The call broke; nothing was sent if `sent` was not called.
	 * @param isRefused the machine answers, and nothing listens at the engine's port
	 */
	onError(reason: string, isRefused: boolean): void;
}

/** A call on its way. */
export interface RunningCall {
	pause(): void;
	resume(): void;
	/** Closes the connection; the listener hears nothing more. */
	abort(): void;
}

/** Connections to engines. */
export interface EngineTransport {
	send(call: EngineCall, listener: AnswerListener): RunningCall;
	/** Whether a connection to the address is open and unused. */
	hasIdleConnection(address: string): boolean;
	/**
	 * Whether the machine answers that nothing listens at the address. Opens a connection and closes it; an unanswered try tells
	 * nothing.
	 */
	isPortClosed(address: string): Promise<boolean>;
	/** The engine is gone: unused connections are closed. */
	closeIdleConnections(address: string): void;
	close(): Promise<void>;
}

/**
 * Interfaces between the relay and its adapters: callers' requests and responses, and connections to engines.
 * @module
 */
import type { EngineNotice } from '../engines/engine-notices.js';
import type { ForwardRefusal } from '../forwarding/types.js';

/** Header names and values alternating, as received or sent. */
export type RawHeaders = string[];

/** A part of a prompt that several requests may share. */
export interface PromptSegment {
	id: string;
	tokens: number;
}

/** A caller's request with its complete body. */
export interface CallerRequest {
	method: string;
	/** Path and query, unaltered. */
	target: string;
	host: string;
	/** Unique to this request; a caller's retry has another id. */
	id: string;
	/** How long the caller waits, counted from the start of the request. */
	deadlineMs?: number;
	apiKey?: string;
	promptSegments: readonly PromptSegment[];
	promptTokens: number;
	/** Expected length of the answer; a rough estimate. */
	answerTokens: number;
	/** Last event that the caller received of a broken stream that it resumes. */
	lastEventId?: string;
	/** Headers to forward to the engine, without those that the router sets. */
	headers: RawHeaders;
	body: Buffer;
	/** When the head was read, in milliseconds since boot. */
	arrivedAt: number;
}

/** The response to a caller. */
export interface CallerResponse {
	/** Called once. */
	writeHead(status: number, headers: RawHeaders): void;
	/** @returns false when the caller reads too slowly: wait for `onDrain` */
	write(chunk: Buffer): boolean;
	end(chunk?: Buffer): void;
	/** Closes the connection, so that the answer is recognisably incomplete. */
	abort(): void;
	onDrain(callback: () => void): void;
	/** Calls back when the caller disconnects before the answer has ended. */
	onDisconnect(callback: () => void): void;
}

/** Number of urgency levels that engines distinguish. */
export const urgencyLevels = 10;

/** A call to an engine: the caller's request with what the router adds. */
export interface EngineCall {
	address: string;
	/** The only engine that may run the request. */
	engineId: string;
	req: CallerRequest;
	customer?: string;
	/** Time left until the caller's deadline. */
	deadlineMs: number;
	/** 0 is the most urgent, `urgencyLevels - 1` the least. */
	urgency: number;
	lastEventId?: string;
	/** Address of an engine that has more of the prompt in its prefix cache and from which it is copied. */
	copyFrom?: string;
	/** Another VM that sends the request to the engine; undefined while this VM's own link to it is used. */
	via?: ForwardHop;
}

/** The way of a request through another VM. */
export interface ForwardHop {
	/** Where the other VM accepts requests to forward, as IP:PORT. */
	address: string;
	/** Store revision of this VM's list of engines. */
	enginesRevision: number;
}

/** Head of an engine's answer. */
export interface AnswerHead {
	status: number;
	/** Id of the answered request, as the engine returns it. */
	id?: string;
	/** Whether the answer carries the engine's signature. */
	isSigned: boolean;
	/** Whether the engine declares that it did not run the request and never will. */
	hasNotRun: boolean;
	/** Whether another engine now listens at the address. */
	isFromOtherEngine: boolean;
	/** Whether the body has a content encoding other than identity. */
	isEncoded: boolean;
	/** Applies to the engine, whatever the outcome of the request. */
	notice: EngineNotice;
	/** Headers to forward to the caller. */
	headers: RawHeaders;
}

/** Receives the answer of an engine. Exactly one of `onEnd`, `onError` and `onWithdrawn` is called, as the last call. */
export interface AnswerListener {
	/** Asked once the connection is established: whether the request should still be sent to the engine. */
	shouldSend(): boolean;
	/** `shouldSend` returned false: nothing was sent. */
	onWithdrawn(): void;
	/** The first bytes are being sent: from here on the engine may run the request. */
	onSent(): void;
	onHead(head: AnswerHead): void;
	onData(chunk: Buffer): void;
	onEnd(): void;
	/**
	 * The call failed; nothing was sent if `onSent` was not called.
	 * @param isRefused whether the host refused the connection: nothing listens at the engine's port
	 */
	onError(reason: string, isRefused: boolean): void;
}

/** Receives the answer to a call that may go through another VM. `onNotForwarded` and `onHelperLost` are last calls, too. */
export interface CallListener extends AnswerListener {
	/** The other VM did not send the request to the engine. */
	onNotForwarded(refusal: ForwardRefusal): void;
	/** The connection to the other VM failed; it may have sent the request if `onSent` was called. */
	onHelperLost(reason: string): void;
}

/** Handle of a call in progress. */
export interface RunningCall {
	pause(): void;
	resume(): void;
	/** Closes the connection; the listener is not called again. */
	abort(): void;
}

/** Connections to engines. */
export interface EngineTransport {
	send(call: EngineCall, listener: CallListener): RunningCall;
	/** Whether an open idle connection to the address exists. */
	hasIdleConnection(address: string): boolean;
	/**
	 * Whether the host refuses connections to the address, so that nothing listens there. Opens and closes a connection; a timeout
	 * counts as false.
	 */
	isPortClosed(address: string): Promise<boolean>;
	/** Whether a connection to the address can be opened; it is closed at once. */
	canConnect(address: string): Promise<boolean>;
	/** Called when the engine is gone. */
	closeIdleConnections(address: string): void;
	close(): Promise<void>;
}

/**
 * Sinks that write an answer to the caller: as a stream of server-sent events, as one JSON body, or
 * as the raw bytes of a plain service.
 * @module
 */
import type * as http from 'node:http';
import type { StreamEvent } from '../../core/definitions.js';
import * as errors from '../../core/errors/index.js';
import { doneData } from '../../core/requests/answer-stream.js';
import type { CallerSink } from '../../core/requests/definitions.js';
import type { Outcome } from '../../core/requests/types.js';
import { outcomes } from '../../core/requests/types.js';
import { AnswerAssembler } from './answer-assembler.js';
import { answerHeaderNames, errorBody, errorHeaders } from './error-body.js';

/** Hop-by-hop headers, which are not forwarded to the caller. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'upgrade']);

abstract class ResponseSink implements CallerSink {
	constructor(
		protected readonly res: http.ServerResponse,
		protected readonly requestId: string,
	) {}

	abstract start(status: number, headers: Record<string, string>): void;
	abstract writeEvents(events: readonly StreamEvent[]): boolean;
	abstract writeBytes(chunk: Uint8Array): boolean;
	abstract finish(): void;

	onDrain(resume: () => void): void {
		this.res.on('drain', resume);
	}

	fail(err: errors.UserError, outcome: Outcome): void {
		if (this.res.headersSent) {
			this.abortAnswer(err, outcome);
			return;
		}
		const status = err.data.status ?? 500;
		const headers = {
			...errorHeaders(err, outcome),
			[answerHeaderNames.requestId]: this.requestId,
		};
		this.res.writeHead(status, headers);
		this.res.end(errorBody(err, outcome));
	}

	/** Closes the connection, so that the caller cannot take a partial answer for a complete one. */
	protected abortAnswer(_err: errors.UserError, _outcome: Outcome): void {
		this.res.destroy();
	}

	/** Sends the status and end-to-end headers; `hasTrailer` announces the outcome as an HTTP trailer. */
	protected forwardHead(
		status: number,
		headers: Record<string, string>,
		hasTrailer: boolean,
	): void {
		const forwarded: Record<string, string> = { [answerHeaderNames.requestId]: this.requestId };
		for (const [name, value] of Object.entries(headers)) {
			if (!hopByHopHeaders.has(name)) {
				forwarded[name] = value;
			}
		}
		if (hasTrailer) {
			forwarded.trailer = answerHeaderNames.outcome;
		}
		this.res.writeHead(status, forwarded);
	}
}

/** Forwards events to the caller as they arrive. */
export class StreamSink extends ResponseSink {
	private isEventStream = false;

	start(status: number, headers: Record<string, string>): void {
		this.isEventStream = headers['content-type']?.startsWith('text/event-stream') ?? false;
		const contentLength = headers['content-length'];
		this.forwardHead(status, headers, contentLength === undefined);
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		let text = '';
		for (const event of events) {
			text += formatEvent(event);
		}
		return this.res.write(text);
	}

	writeBytes(chunk: Uint8Array): boolean {
		return this.res.write(chunk);
	}

	finish(): void {
		this.res.addTrailers({ [answerHeaderNames.outcome]: outcomes.complete });
		this.res.end();
	}

	protected override abortAnswer(err: errors.UserError, outcome: Outcome): void {
		if (!this.isEventStream) {
			this.res.destroy();
			return;
		}
		const socket = this.res.socket;
		this.res.write(`event: error\ndata: ${errorBody(err, outcome)}\n\n`, () =>
			socket?.destroySoon(),
		);
	}
}

/** Formats one event as `text/event-stream`; the offset becomes its id. */
export function formatEvent(event: StreamEvent): string {
	const id = event.offset === undefined ? '' : `id: ${event.offset}\n`;
	return `${id}data: ${event.data.replaceAll('\n', '\ndata: ')}\n\n`;
}

/** Assembles the engine's stream into one JSON body for a caller that did not request a stream. */
export class JsonSink extends ResponseSink {
	private readonly assembler: AnswerAssembler;
	private isForwarding = false;
	private isTooLarge = false;

	constructor(
		res: http.ServerResponse,
		requestId: string,
		chat: boolean,
		private readonly maxBytes: number,
	) {
		super(res, requestId);
		this.assembler = new AnswerAssembler(chat);
	}

	/** Forwards an error answer of the endpoint unchanged. */
	start(status: number, headers: Record<string, string>): void {
		if (status >= 400) {
			this.isForwarding = true;
			this.forwardHead(
				status,
				{ ...headers, [answerHeaderNames.outcome]: outcomes.complete },
				false,
			);
		}
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		for (const event of events) {
			if (event.data !== doneData && !this.isTooLarge) {
				this.assembler.addChunk(event.data);
			}
		}
		this.isTooLarge = this.assembler.textLength > this.maxBytes;
		return true;
	}

	writeBytes(chunk: Uint8Array): boolean {
		return this.isForwarding ? this.res.write(chunk) : true;
	}

	finish(): void {
		if (this.isForwarding) {
			this.res.end();
			return;
		}
		if (this.isTooLarge) {
			this.fail(new errors.UserError(errors.data.AnswerIncomplete), outcomes.incomplete);
			return;
		}
		this.res.writeHead(200, {
			'content-type': 'application/json',
			[answerHeaderNames.outcome]: outcomes.complete,
			[answerHeaderNames.requestId]: this.requestId,
		});
		this.res.end(this.assembler.toJson());
	}
}

/** Bytes of a service's answer that are buffered, so that most answers carry their outcome as a header. */
const maxBufferedBytes = 256 * 1024;

/** Forwards the answer of a plain service; buffers it until it is complete or too large. */
export class ServiceSink extends ResponseSink {
	private status = 0;
	private headers: Record<string, string> = {};
	private bufferedChunks: Uint8Array[] = [];
	private bufferedBytes = 0;
	private isStreaming = false;

	start(status: number, headers: Record<string, string>): void {
		this.status = status;
		this.headers = headers;
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		return this.writeBytes(Buffer.from(events.map(formatEvent).join('')));
	}

	writeBytes(chunk: Uint8Array): boolean {
		if (this.isStreaming) {
			return this.res.write(chunk);
		}
		this.bufferedChunks.push(chunk);
		this.bufferedBytes += chunk.length;
		if (this.bufferedBytes > maxBufferedBytes) {
			this.isStreaming = true;
			this.forwardHead(this.status, this.headers, this.headers['content-length'] === undefined);
			return this.res.write(Buffer.concat(this.bufferedChunks));
		}
		return true;
	}

	finish(): void {
		if (this.isStreaming) {
			this.res.addTrailers({ [answerHeaderNames.outcome]: outcomes.complete });
			this.res.end();
			return;
		}
		const headers = { ...this.headers, [answerHeaderNames.outcome]: outcomes.complete };
		this.forwardHead(this.status, headers, false);
		this.res.end(Buffer.concat(this.bufferedChunks));
	}
}

/**
 * How a caller gets its answer: as a stream of events, as one JSON body, or as the plain bytes of
 * a service.
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

/** Headers of an endpoint's answer that are not the caller's business. */
const hopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'upgrade']);

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
			this.breakOff(err, outcome);
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

	/** An answer that has begun is never ended cleanly. */
	protected breakOff(_err: errors.UserError, _outcome: Outcome): void {
		this.res.destroy();
	}

	protected passHead(status: number, headers: Record<string, string>, trailer: boolean): void {
		const own: Record<string, string> = { [answerHeaderNames.requestId]: this.requestId };
		for (const [name, value] of Object.entries(headers)) {
			if (!hopHeaders.has(name)) {
				own[name] = value;
			}
		}
		if (trailer) {
			own.trailer = answerHeaderNames.outcome;
		}
		this.res.writeHead(status, own);
	}
}

/** Passes events on as they come. */
export class StreamSink extends ResponseSink {
	private isStream = false;

	start(status: number, headers: Record<string, string>): void {
		this.isStream = headers['content-type']?.startsWith('text/event-stream') ?? false;
		const length = headers['content-length'];
		this.passHead(status, headers, length === undefined);
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

	protected override breakOff(err: errors.UserError, outcome: Outcome): void {
		if (!this.isStream) {
			this.res.destroy();
			return;
		}
		const socket = this.res.socket;
		this.res.write(`event: error\ndata: ${errorBody(err, outcome)}\n\n`, () =>
			socket?.destroySoon(),
		);
	}
}

/** One event in the event-stream format. */
export function formatEvent(event: StreamEvent): string {
	const id = event.offset === undefined ? '' : `id: ${event.offset}\n`;
	return `${id}data: ${event.data.replaceAll('\n', '\ndata: ')}\n\n`;
}

/** Puts a stream together for a caller that wants one body. */
export class JsonSink extends ResponseSink {
	private readonly assembler: AnswerAssembler;
	private passing = false;
	private overflow = false;

	constructor(
		res: http.ServerResponse,
		requestId: string,
		chat: boolean,
		private readonly maxBytes: number,
	) {
		super(res, requestId);
		this.assembler = new AnswerAssembler(chat);
	}

	/** An error of the endpoint passes through as it is. */
	start(status: number, headers: Record<string, string>): void {
		if (status >= 400) {
			this.passing = true;
			this.passHead(status, { ...headers, [answerHeaderNames.outcome]: outcomes.complete }, false);
		}
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		for (const event of events) {
			if (event.data !== doneData && !this.overflow) {
				this.assembler.addChunk(event.data);
			}
		}
		this.overflow = this.assembler.textLength > this.maxBytes;
		return true;
	}

	writeBytes(chunk: Uint8Array): boolean {
		return this.passing ? this.res.write(chunk) : true;
	}

	finish(): void {
		if (this.passing) {
			this.res.end();
			return;
		}
		if (this.overflow) {
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

/** Bytes of a service's answer kept back, so that most answers are told with a true outcome. */
const heldServiceBytes = 256 * 1024;

/** Passes the answer of a plain service through; a small one is held until it is whole. */
export class ServiceSink extends ResponseSink {
	private status = 0;
	private headers: Record<string, string> = {};
	private held: Uint8Array[] = [];
	private heldBytes = 0;
	private streaming = false;

	start(status: number, headers: Record<string, string>): void {
		this.status = status;
		this.headers = headers;
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		return this.writeBytes(Buffer.from(events.map(formatEvent).join('')));
	}

	writeBytes(chunk: Uint8Array): boolean {
		if (this.streaming) {
			return this.res.write(chunk);
		}
		this.held.push(chunk);
		this.heldBytes += chunk.length;
		if (this.heldBytes > heldServiceBytes) {
			this.streaming = true;
			this.passHead(this.status, this.headers, this.headers['content-length'] === undefined);
			return this.res.write(Buffer.concat(this.held));
		}
		return true;
	}

	finish(): void {
		if (this.streaming) {
			this.res.addTrailers({ [answerHeaderNames.outcome]: outcomes.complete });
			this.res.end();
			return;
		}
		const headers = { ...this.headers, [answerHeaderNames.outcome]: outcomes.complete };
		this.passHead(this.status, headers, false);
		this.res.end(Buffer.concat(this.held));
	}
}

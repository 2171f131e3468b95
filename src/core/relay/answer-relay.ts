/**
 * Forwards an engine's answer to the caller: streams event by event; other answers are buffered, so that a broken one can be
 * retried.
 * @module
 */
import type { Attempt } from './attempt.js';
import type { CallerAnswer } from './caller-answer.js';
import type { AnswerHead } from './definitions.js';

/** Larger answers are streamed to the caller instead of buffered. */
const maxBufferedBytes = 256 * 1024;

export class AnswerRelay {
	/** @param lastEventId last event that the caller received; another engine resumes the stream after it */
	constructor(
		private readonly answer: CallerAnswer,
		public lastEventId: string | undefined,
	) {}

	/** @param isStream whether the answer is an event stream */
	relayData(attempt: Attempt, chunk: Buffer, isStream: boolean): void {
		if (isStream) {
			this.relayEvents(attempt, chunk);
			return;
		}
		attempt.buffer(chunk);
		if (attempt.bufferedBytes > maxBufferedBytes) {
			this.flushBuffered(attempt);
		}
	}

	/** Ends the answer with what is still buffered. */
	end(attempt: Attempt, head: AnswerHead): void {
		this.answer.writeHead(head);
		this.answer.end(Buffer.concat(attempt.buffered));
	}

	private relayEvents(attempt: Attempt, chunk: Buffer): void {
		const events = attempt.splitter.feed(chunk);
		if (!events) {
			return;
		}
		attempt.recordEvents(this.answer.isPaused);
		this.answer.writeHead(attempt.head as AnswerHead);
		this.lastEventId = events.lastId ?? this.lastEventId;
		this.write(attempt, events.bytes);
	}

	/** Switches to streaming; the answer can no longer be retried. */
	private flushBuffered(attempt: Attempt): void {
		this.answer.writeHead(attempt.head as AnswerHead);
		for (const chunk of attempt.buffered) {
			this.write(attempt, chunk);
		}
		attempt.buffered = [];
	}

	private write(attempt: Attempt, bytes: Buffer): void {
		if (!this.answer.write(bytes)) {
			attempt.call?.pause();
		}
	}
}

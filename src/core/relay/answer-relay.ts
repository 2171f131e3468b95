/**
 * Passes an engine's answer on to the caller: events as they come, other answers whole, so that a broken one can be asked again.
 * @module
 */
import type { Attempt } from './attempt.js';
import type { CallerAnswer } from './caller-answer.js';
import type { AnswerHead } from './definitions.js';

/** A whole answer is held up to this size, in bytes. */
const maxHeldAnswer = 256 * 1024;

export class AnswerRelay {
	/** @param lastEventId the last event that the caller has; a further engine goes on behind it */
	constructor(
		private readonly answer: CallerAnswer,
		public lastEventId: string | undefined,
	) {}

	/** @param isStream whether the answer is made of events */
	relayData(attempt: Attempt, chunk: Buffer, isStream: boolean): void {
		if (isStream) {
			this.eventsCame(attempt, chunk);
			return;
		}
		attempt.buffer(chunk);
		if (attempt.bufferedBytes > maxHeldAnswer) {
			this.flushHeld(attempt);
		}
	}

	/** The whole answer came, or the rest of it. */
	end(attempt: Attempt, head: AnswerHead): void {
		this.answer.writeHead(head);
		this.answer.end(Buffer.concat(attempt.buffered));
	}

	private eventsCame(attempt: Attempt, chunk: Buffer): void {
		const events = attempt.splitter.feed(chunk);
		if (!events) {
			return;
		}
		attempt.recordEvents(this.answer.isPaused);
		this.answer.writeHead(attempt.head as AnswerHead);
		this.lastEventId = events.lastId ?? this.lastEventId;
		this.write(attempt, events.bytes);
	}

	/** A large answer is passed on as it comes; it can no longer be asked again. */
	private flushHeld(attempt: Attempt): void {
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

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

export interface AnswerRelayListener {
	/** Complete events have arrived and are about to go to the caller. */
	onEvents(attempt: Attempt): void;
	/**
	 * An answer that is no stream is too large to be buffered whole.
	 * @returns whether it goes to the caller from now on
	 */
	onLargeAnswer(attempt: Attempt): boolean;
}

export class AnswerRelay {
	/** The attempt whose answer goes to the caller as it comes. */
	private forwarded?: Attempt;

	/** @param lastEventId last event that the caller received; another engine resumes the stream after it */
	constructor(
		private readonly answer: CallerAnswer,
		public lastEventId: string | undefined,
		private readonly listener: AnswerRelayListener,
	) {}

	/** Whether parts of this attempt's answer have gone to the caller, so that it can only be continued as it is. */
	isForwarding(attempt: Attempt): boolean {
		return this.forwarded === attempt;
	}

	/** Whether another engine can continue what the caller has received: events with ids, and no error answer. */
	get canBeContinued(): boolean {
		const isError = (this.forwarded?.head?.status ?? 0) >= 300;
		return !isError && this.lastEventId !== undefined;
	}

	/** @param isStream whether the answer is an event stream */
	relayData(attempt: Attempt, chunk: Buffer, isStream: boolean): void {
		if (isStream) {
			this.relayEvents(attempt, chunk);
			return;
		}
		attempt.buffer(chunk);
		if (attempt.bufferedBytes <= maxBufferedBytes) {
			return;
		}
		if (this.isForwarding(attempt) || this.listener.onLargeAnswer(attempt)) {
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
		this.listener.onEvents(attempt);
		attempt.recordEvents(this.answer.isPaused);
		this.forwarded = attempt;
		this.answer.writeHead(attempt.head as AnswerHead);
		this.lastEventId = events.lastId ?? this.lastEventId;
		this.write(attempt, events.bytes);
	}

	/** Switches to streaming; the answer can no longer be retried. */
	private flushBuffered(attempt: Attempt): void {
		this.forwarded = attempt;
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

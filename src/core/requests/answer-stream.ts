/**
 * Tracks the events of one streamed answer over all attempts: which may be forwarded, the offset
 * that a resume starts from, and whether the answer is complete.
 * @module
 */
import type { StreamEvent } from '../definitions.js';

/** Data of the event that ends an OpenAI-compatible stream. */
export const doneData = '[DONE]';
/** After more events than this without an offset, the endpoint is taken to send none. */
const maxEventsBeforeOffset = 2;

export class AnswerStream {
	/** Tokens forwarded, over all attempts. */
	totalTokens = 0;
	/** Tokens forwarded in the current attempt. */
	attemptTokens = 0;
	/** True once events without offsets were forwarded: a resume would repeat them. */
	hasForwardedWithoutOffsets = false;
	private hasDoneEvent = false;
	private heldEvents: StreamEvent[] = [];
	private eventCount = 0;
	private hasOffsets = false;

	/** `position.offset` is the number of tokens that the caller has received. */
	constructor(private readonly position: { offset: number }) {}

	/** True once the final event of the answer has arrived. */
	get isDone(): boolean {
		return this.hasDoneEvent;
	}

	/** Whether the attempt can be cancelled now and resumed after its last token. */
	get isResumable(): boolean {
		return (this.hasOffsets || this.eventCount === 0) && !this.hasDoneEvent;
	}

	/** Starts another attempt. Drops held events: the endpoint sends them again. */
	beginAttempt(): void {
		this.heldEvents = [];
		this.hasDoneEvent = false;
		this.attemptTokens = 0;
	}

	/** Processes received events; returns those that may be forwarded. */
	process(events: readonly StreamEvent[]): StreamEvent[] {
		const ready: StreamEvent[] = [];
		for (const event of events) {
			this.processEvent(event, ready);
		}
		return ready;
	}

	/** Returns the held events and clears them. */
	flush(): StreamEvent[] {
		const events = this.heldEvents;
		this.heldEvents = [];
		return events;
	}

	/** Holds events without a token until the next token, so that a resume repeats none. */
	private processEvent(event: StreamEvent, ready: StreamEvent[]): void {
		this.eventCount++;
		if (event.data === doneData) {
			this.hasDoneEvent = true;
		}
		if (event.offset !== undefined) {
			this.processToken(event, event.offset, ready);
			return;
		}
		this.heldEvents.push(event);
		if (!this.hasOffsets && this.eventCount > maxEventsBeforeOffset) {
			this.hasForwardedWithoutOffsets = true;
			this.countToken();
			ready.push(...this.flush());
		}
	}

	private processToken(event: StreamEvent, offset: number, ready: StreamEvent[]): void {
		this.hasOffsets = true;
		if (offset <= this.position.offset) {
			return;
		}
		this.position.offset = offset;
		this.countToken();
		ready.push(...this.flush(), event);
	}

	private countToken(): void {
		this.attemptTokens++;
		this.totalTokens++;
	}
}

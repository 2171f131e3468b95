/**
 * The events of one answer over all its runs: what may be passed on now, where a resume goes on,
 * and whether the answer is whole.
 * @module
 */
import type { StreamEvent } from '../definitions.js';

/** Last event of an OpenAI-compatible stream. */
export const doneData = '[DONE]';
/** Events without offsets that show that an endpoint gives none. */
const eventsUntilPlain = 2;

export class AnswerStream {
	/** Tokens passed on, over all runs. */
	totalTokens = 0;
	/** Tokens of the run that goes on. */
	attemptTokens = 0;
	/** Events without offsets were passed on: a resume would repeat them. */
	hasForwardedWithoutOffsets = false;
	private sawDone = false;
	private held: StreamEvent[] = [];
	private eventsSeen = 0;
	private offsetsSeen = false;

	/** `offset` is the number of tokens that the caller has. */
	constructor(private readonly position: { offset: number }) {}

	/** The last event of the answer has come. */
	get isDone(): boolean {
		return this.sawDone;
	}

	/** A run could be cut off now and go on behind its last token. */
	get isResumable(): boolean {
		return (this.offsetsSeen || this.eventsSeen === 0) && !this.sawDone;
	}

	/** Another run begins; what the one before left unfinished comes again. */
	beginAttempt(): void {
		this.held = [];
		this.sawDone = false;
		this.attemptTokens = 0;
	}

	/** Takes in events; returns those that may be passed on. */
	process(events: readonly StreamEvent[]): StreamEvent[] {
		const ready: StreamEvent[] = [];
		for (const event of events) {
			this.takeOne(event, ready);
		}
		return ready;
	}

	/** What is left when the answer has ended whole. */
	flush(): StreamEvent[] {
		const rest = this.held;
		this.held = [];
		return rest;
	}

	/** Events that carry no token wait for the next that does, so that a resume repeats none. */
	private takeOne(event: StreamEvent, ready: StreamEvent[]): void {
		this.eventsSeen++;
		if (event.data === doneData) {
			this.sawDone = true;
		}
		if (event.offset !== undefined) {
			this.takeToken(event, event.offset, ready);
			return;
		}
		this.held.push(event);
		if (!this.offsetsSeen && this.eventsSeen > eventsUntilPlain) {
			this.hasForwardedWithoutOffsets = true;
			this.countToken();
			ready.push(...this.flush());
		}
	}

	private takeToken(event: StreamEvent, offset: number, ready: StreamEvent[]): void {
		this.offsetsSeen = true;
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

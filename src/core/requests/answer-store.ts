/**
 * Stores the answers of requests that must run only once, so that a repeated request with the same
 * idempotency key gets the same answer.
 * @module
 */
import type { Clock, StreamEvent } from '../definitions.js';
import type { UserError } from '../errors/index.js';
import type { CallerSink } from './definitions.js';
import type { Outcome } from './types.js';
import { outcomes } from './types.js';

/** Larger answers are not stored. */
const maxAnswerBytes = 256 * 1024;
/** How long an answer is kept after its end. */
const retentionMs = 120_000;
const maxAnswers = 1000;

/** A complete answer. */
export interface StoredAnswer {
	status: number;
	headers: Record<string, string>;
	/** Body of an answer that is not an event stream; empty otherwise. */
	body: Uint8Array;
	/** Events of an event stream; empty otherwise. */
	events: StreamEvent[];
}

interface Entry {
	/** Resolves with undefined if the answer is incomplete or too large. */
	answer: Promise<StoredAnswer | undefined>;
	expiresAt: number;
}

export class AnswerStore {
	private readonly entries = new Map<string, Entry>();

	constructor(private readonly clock: Clock) {}

	/** Wraps a caller's sink so that its answer is stored under the request's id. */
	record(id: string, inner: CallerSink): RecordingSink {
		this.evictExpired();
		const sink = new RecordingSink(inner);
		const entry = { answer: sink.answer, expiresAt: Number.POSITIVE_INFINITY };
		this.entries.set(id, entry);
		void sink.answer.then(() => {
			entry.expiresAt = this.clock.monotonic() + retentionMs;
		});
		return sink;
	}

	/** Resolves with the answer of a request once it has ended; undefined if it is not stored here. */
	wait(id: string): Promise<StoredAnswer | undefined> {
		return this.entries.get(id)?.answer ?? Promise.resolve(undefined);
	}

	private evictExpired(): void {
		const now = this.clock.monotonic();
		for (const [id, entry] of this.entries) {
			if (entry.expiresAt < now || this.entries.size > maxAnswers) {
				this.entries.delete(id);
			}
		}
	}
}

/** Forwards an answer and records a copy; keeps recording after the caller has disconnected. */
export class RecordingSink implements CallerSink {
	readonly answer: Promise<StoredAnswer | undefined>;
	private resolveAnswer: (answer: StoredAnswer | undefined) => void = () => {};
	private readonly recorded: StoredAnswer = {
		status: 0,
		headers: {},
		body: new Uint8Array(),
		events: [],
	};
	private chunks: Uint8Array[] = [];
	private recordedBytes = 0;
	private isDetached = false;

	constructor(private readonly inner: CallerSink) {
		this.answer = new Promise((resolve) => {
			this.resolveAnswer = resolve;
		});
	}

	/** Stops forwarding to the caller; recording continues. */
	detach(): void {
		this.isDetached = true;
	}

	/** Resolves `answer` with undefined: no answer will come. */
	abandon(): void {
		this.resolveAnswer(undefined);
	}

	start(status: number, headers: Record<string, string>): void {
		this.recorded.status = status;
		this.recorded.headers = headers;
		this.inner.start(status, headers);
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		this.recordedBytes += events.reduce((sum, event) => sum + event.data.length, 0);
		if (this.recordedBytes <= maxAnswerBytes) {
			this.recorded.events.push(...events);
		}
		return this.isDetached || this.inner.writeEvents(events);
	}

	writeBytes(chunk: Uint8Array): boolean {
		this.recordedBytes += chunk.length;
		if (this.recordedBytes <= maxAnswerBytes) {
			this.chunks.push(chunk);
		}
		return this.isDetached || this.inner.writeBytes(chunk);
	}

	finish(): void {
		this.recorded.body = Buffer.concat(this.chunks);
		this.resolveAnswer(this.recordedBytes <= maxAnswerBytes ? this.recorded : undefined);
		if (!this.isDetached) {
			this.inner.finish();
		}
	}

	fail(err: UserError, outcome: Outcome): void {
		this.resolveAnswer(undefined);
		if (!this.isDetached) {
			this.inner.fail(err, outcome);
		}
	}

	onDrain(resume: () => void): void {
		this.inner.onDrain(resume);
	}
}

/** Sends a stored answer to another caller; returns the outcome. */
export function replayAnswer(answer: StoredAnswer, sink: CallerSink): string {
	sink.start(answer.status, answer.headers);
	if (answer.events.length > 0) {
		sink.writeEvents(answer.events);
	}
	if (answer.body.length > 0) {
		sink.writeBytes(answer.body);
	}
	sink.finish();
	return outcomes.complete;
}

/**
 * Answers of requests that must run once, kept while they run and a little after, so that a
 * second arrival with the same key gets the same answer.
 * @module
 */
import type { Clock, StreamEvent } from '../definitions.js';
import type { UserError } from '../errors/index.js';
import type { CallerSink } from './definitions.js';
import type { Outcome } from './types.js';
import { outcomes } from './types.js';

/** Largest answer kept, in bytes. */
const maxBytes = 256 * 1024;
/** Answers kept after their end, in milliseconds. */
const keepMs = 120_000;
/** Answers kept at the most. */
const maxAnswers = 1000;

/** A whole answer. */
export interface StoredAnswer {
	status: number;
	headers: Record<string, string>;
	/** Body of an answer that is not a stream. */
	body: Uint8Array;
	/** Events of a stream. */
	events: StreamEvent[];
}

interface Entry {
	/** Undefined for an answer that was not whole or too large. */
	answer: Promise<StoredAnswer | undefined>;
	keptUntil: number;
}

export class AnswerStore {
	private readonly entries = new Map<string, Entry>();

	constructor(private readonly clock: Clock) {}

	/** Wraps a caller's sink so that its answer is kept under the request's id. */
	record(id: string, inner: CallerSink): RecordingSink {
		this.forgetOld();
		const sink = new RecordingSink(inner);
		const entry = { answer: sink.answer, keptUntil: Number.POSITIVE_INFINITY };
		this.entries.set(id, entry);
		void sink.answer.then(() => {
			entry.keptUntil = this.clock.monotonic() + keepMs;
		});
		return sink;
	}

	/** The answer of a request when it has ended; undefined when it is not known here. */
	wait(id: string): Promise<StoredAnswer | undefined> {
		return this.entries.get(id)?.answer ?? Promise.resolve(undefined);
	}

	private forgetOld(): void {
		const now = this.clock.monotonic();
		for (const [id, entry] of this.entries) {
			if (entry.keptUntil < now || this.entries.size > maxAnswers) {
				this.entries.delete(id);
			}
		}
	}
}

/** Passes an answer on and keeps a copy; goes on when the caller has left. */
export class RecordingSink implements CallerSink {
	readonly answer: Promise<StoredAnswer | undefined>;
	private settle: (answer: StoredAnswer | undefined) => void = () => {};
	private readonly kept: StoredAnswer = {
		status: 0,
		headers: {},
		body: new Uint8Array(),
		events: [],
	};
	private chunks: Uint8Array[] = [];
	private bytesKept = 0;
	private callerGone = false;

	constructor(private readonly inner: CallerSink) {
		this.answer = new Promise((done) => {
			this.settle = done;
		});
	}

	/** The caller left; the answer is still kept. */
	detach(): void {
		this.callerGone = true;
	}

	/** There will be no answer; whoever waits for it is told so. */
	abandon(): void {
		this.settle(undefined);
	}

	start(status: number, headers: Record<string, string>): void {
		this.kept.status = status;
		this.kept.headers = headers;
		this.inner.start(status, headers);
	}

	writeEvents(events: readonly StreamEvent[]): boolean {
		this.bytesKept += events.reduce((sum, event) => sum + event.data.length, 0);
		if (this.bytesKept <= maxBytes) {
			this.kept.events.push(...events);
		}
		return this.callerGone || this.inner.writeEvents(events);
	}

	writeBytes(chunk: Uint8Array): boolean {
		this.bytesKept += chunk.length;
		if (this.bytesKept <= maxBytes) {
			this.chunks.push(chunk);
		}
		return this.callerGone || this.inner.writeBytes(chunk);
	}

	finish(): void {
		this.kept.body = Buffer.concat(this.chunks);
		this.settle(this.bytesKept <= maxBytes ? this.kept : undefined);
		if (!this.callerGone) {
			this.inner.finish();
		}
	}

	fail(err: UserError, outcome: Outcome): void {
		this.settle(undefined);
		if (!this.callerGone) {
			this.inner.fail(err, outcome);
		}
	}

	onDrain(resume: () => void): void {
		this.inner.onDrain(resume);
	}
}

/** Gives a kept answer to another caller. */
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

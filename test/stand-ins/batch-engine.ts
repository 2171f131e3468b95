/**
 * A model engine in simulated time that is honest about cost: it works in steps, each makes a token for every
 * stream, and reads a chunk of the prompts that wait, in the order of their arrival.
 * @module
 */

export interface BatchEngineOptions {
	/** Prompt tokens read in a millisecond. */
	prefillTokensPerMs: number;
	/** One step with nothing to read, and what each stream adds to it, in milliseconds. */
	stepMs: number;
	stepMsPerStream: number;
	/** Tokens of an answer in one event. */
	tokensPerEvent: number;
	/** Prompt tokens that one step reads at the most. */
	prefillChunkTokens: number;
	slots: number;
	/** Time on the way there and back, in milliseconds. */
	networkDelayMs: number;
	/** How many times as long all work takes at a time, in milliseconds. @default always 1 */
	slowdownAt?: (at: number) => number;
}

/** One request at the engine. */
export interface BatchRequest {
	/** Milliseconds. */
	sentAt: number;
	promptTokens: number;
	/** Tokens to read when it is let in, if the engine keeps parts of prompts. @default promptTokens */
	countUncachedTokens?: () => number;
	answerTokens: number;
	/** Called for each event with the time at which it arrives. */
	onEvent: (at: number) => void;
	onEnd: () => void;
}

interface Run {
	req: BatchRequest;
	unread: number;
	made: number;
}

export class BatchEngine {
	private readonly waiting: Run[] = [];
	private readonly running: Run[] = [];
	private now = 0;

	constructor(private readonly opts: BatchEngineOptions) {}

	/** Requests come in the order of their sending. */
	send(req: BatchRequest): void {
		this.waiting.push({ req, unread: req.promptTokens, made: 0 });
	}

	/** Works until this time, in milliseconds. */
	runUntil(end: number): void {
		while (this.now < end) {
			this.step();
		}
	}

	private step(): void {
		this.admit();
		const readTokens = this.readChunk();
		const streams = this.running.filter((run) => run.unread === 0);
		const {
			stepMs,
			stepMsPerStream,
			prefillTokensPerMs: readPerMs,
			networkDelayMs: wayMs,
			slowdownAt: slower = () => 1,
		} = this.opts;
		const usualMs = stepMs + stepMsPerStream * streams.length + readTokens / readPerMs;
		this.now += usualMs * slower(this.now);
		for (const run of streams) {
			this.makeToken(run, this.now + wayMs);
		}
	}

	private admit(): void {
		const { slots, networkDelayMs: wayMs } = this.opts;
		while (this.running.length < slots) {
			const next = this.waiting[0];
			if (!next || next.req.sentAt + wayMs > this.now) {
				return;
			}
			next.unread = next.req.countUncachedTokens?.() ?? next.unread;
			this.running.push(next);
			this.waiting.shift();
		}
	}

	private readChunk(): number {
		let left = this.opts.prefillChunkTokens;
		for (const run of this.running) {
			const tokens = Math.min(run.unread, left);
			run.unread -= tokens;
			left -= tokens;
		}
		return this.opts.prefillChunkTokens - left;
	}

	private makeToken(run: Run, at: number): void {
		run.made++;
		const isLast = run.made >= run.req.answerTokens;
		if (isLast || run.made % this.opts.tokensPerEvent === 1) {
			run.req.onEvent(at);
		}
		if (isLast) {
			this.running.splice(this.running.indexOf(run), 1);
			run.req.onEnd();
		}
	}
}

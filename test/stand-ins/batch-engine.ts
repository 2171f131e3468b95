/**
 * Simulates an engine with continuous batching and chunked prefill. Each step generates one token
 * per stream and prefills a chunk of the admitted prompts, first come, first served.
 * @module
 */

export interface BatchEngineOptions {
	/** Prompt tokens prefilled per millisecond. */
	prefillTokensPerMs: number;
	/** Duration of an empty step. */
	stepMs: number;
	/** Duration that each stream adds to a step. */
	stepMsPerStream: number;
	/** Answer tokens per event. */
	tokensPerEvent: number;
	/** Maximum number of prompt tokens prefilled in one step. */
	prefillChunkTokens: number;
	/** Maximum number of requests in the batch. */
	slots: number;
	/** One-way network delay, applied to requests and events. */
	networkDelayMs: number;
	/** Factor on the duration of a step that starts at a time in milliseconds. @default always 1 */
	slowdownAt?: (startMs: number) => number;
}

export interface BatchRequest {
	/** Simulated time in milliseconds. */
	sentAt: number;
	promptTokens: number;
	/** Called on admission: prompt tokens outside the prefix cache. @default promptTokens */
	countUncachedTokens?: () => number;
	answerTokens: number;
	/** Called for each event with its simulated arrival time in milliseconds. */
	onEvent: (at: number) => void;
	onEnd: () => void;
}

interface Run {
	req: BatchRequest;
	/** Prompt tokens that are not prefilled yet. */
	pendingPromptTokens: number;
	generatedTokens: number;
}

export class BatchEngine {
	private readonly waiting: Run[] = [];
	private readonly running: Run[] = [];
	private now = 0;

	constructor(private readonly opts: BatchEngineOptions) {}

	/** Queues a request; calls must be in the order of `sentAt`. */
	send(req: BatchRequest): void {
		this.waiting.push({ req, pendingPromptTokens: req.promptTokens, generatedTokens: 0 });
	}

	/** Runs steps until the simulated time in milliseconds. */
	runUntil(endMs: number): void {
		while (this.now < endMs) {
			this.step();
		}
	}

	private step(): void {
		this.admit();
		const prefilledTokens = this.prefillChunk();
		const streams = this.running.filter((run) => run.pendingPromptTokens === 0);
		const {
			stepMs,
			stepMsPerStream,
			prefillTokensPerMs,
			networkDelayMs,
			slowdownAt = () => 1,
		} = this.opts;
		const normalStepMs =
			stepMs + stepMsPerStream * streams.length + prefilledTokens / prefillTokensPerMs;
		this.now += normalStepMs * slowdownAt(this.now);
		for (const run of streams) {
			this.generateToken(run, this.now + networkDelayMs);
		}
	}

	private admit(): void {
		const { slots, networkDelayMs } = this.opts;
		while (this.running.length < slots) {
			const next = this.waiting[0];
			if (!next || next.req.sentAt + networkDelayMs > this.now) {
				return;
			}
			next.pendingPromptTokens = next.req.countUncachedTokens?.() ?? next.pendingPromptTokens;
			this.running.push(next);
			this.waiting.shift();
		}
	}

	private prefillChunk(): number {
		let remainingTokens = this.opts.prefillChunkTokens;
		for (const run of this.running) {
			const tokens = Math.min(run.pendingPromptTokens, remainingTokens);
			run.pendingPromptTokens -= tokens;
			remainingTokens -= tokens;
		}
		return this.opts.prefillChunkTokens - remainingTokens;
	}

	private generateToken(run: Run, at: number): void {
		run.generatedTokens++;
		const isLast = run.generatedTokens >= run.req.answerTokens;
		if (isLast || run.generatedTokens % this.opts.tokensPerEvent === 1) {
			run.req.onEvent(at);
		}
		if (isLast) {
			this.running.splice(this.running.indexOf(run), 1);
			run.req.onEnd();
		}
	}
}

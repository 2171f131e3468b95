/**
 * A model engine in simulated time that is honest about cost: it works in steps, each makes a token for every
 * stream, and reads a chunk of the prompts that wait, in the order of their arrival. Where it has a memory, that is
 * shared by running requests; when it runs out, the newest of the least urgent is preempted and read again.
 * @module
 */

export interface BatchEngineOptions {
	/** Prompt tokens read in a millisecond. */
	readPerMs: number;
	/** One step with nothing to read, and what each stream adds to it, in milliseconds. */
	stepMs: number;
	stepMsPerStream: number;
	/** Tokens of an answer in one event. */
	tokensPerEvent: number;
	/** Prompt tokens that one step reads at the most. */
	chunkTokens: number;
	slots: number;
	/** Tokens that its memory holds. @default without end */
	memoryTokens?: number;
	/** Time on the way there and back, in milliseconds. */
	wayMs: number;
}

/** One request at the engine. */
export interface BatchRequest {
	/** Milliseconds. */
	sentAt: number;
	promptTokens: number;
	/** Tokens to read when it is let in, if the engine keeps parts of prompts. @default promptTokens */
	unreadTokens?: () => number;
	answerTokens: number;
	/** Parts of the prompt that it shares with others: held once for all that run. */
	shared?: readonly { id: string; tokens: number }[];
	/** 0 is the most urgent. @default 0 */
	urgency?: number;
	/** Called for each event with the time at which it arrives. */
	onEvent: (at: number) => void;
	onEnd: () => void;
}

interface Run {
	req: BatchRequest;
	unread: number;
	made: number;
	wasPreempted: boolean;
}

export class BatchEngine {
	/** Times that a running request was preempted. */
	preempted = 0;
	private readonly waiting: Run[] = [];
	private readonly running: Run[] = [];
	private now = 0;

	constructor(private readonly opts: BatchEngineOptions) {}

	/** Requests come in the order of their sending. */
	send(req: BatchRequest): void {
		this.enqueue({ req, unread: req.promptTokens, made: 0, wasPreempted: false });
	}

	/** Tokens that all requests here need now, those that wait with them. */
	get demandTokens(): number {
		return tokensOf([...this.running, ...this.waiting]);
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
		const { stepMs, stepMsPerStream, readPerMs, wayMs } = this.opts;
		this.now += stepMs + stepMsPerStream * streams.length + readTokens / readPerMs;
		for (const run of streams) {
			this.makeToken(run, this.now + wayMs);
		}
		this.preemptWhatDoesNotFit();
	}

	private admit(): void {
		for (;;) {
			const next = this.waiting[0];
			if (!next || next.req.sentAt + this.opts.wayMs > this.now || !this.makesRoomFor(next)) {
				return;
			}
			next.unread = next.wasPreempted
				? ownTokens(next)
				: (next.req.unreadTokens?.() ?? next.unread);
			this.running.push(next);
			this.waiting.splice(this.waiting.indexOf(next), 1);
		}
	}

	/** @returns false when it has to wait: nothing less urgent runs that could be preempted */
	private makesRoomFor(next: Run): boolean {
		const { slots, memoryTokens = Number.POSITIVE_INFINITY } = this.opts;
		const fits = () => {
			return this.running.length < slots && tokensOf([...this.running, next]) <= memoryTokens;
		};
		while (!fits()) {
			const least = this.leastUrgent();
			if (!least || urgencyOf(least) <= urgencyOf(next)) {
				return false;
			}
			this.preempt(least);
		}
		return true;
	}

	/** The newest of the least urgent that run. */
	private leastUrgent(): Run | undefined {
		const most = Math.max(...this.running.map(urgencyOf));
		return this.running.findLast((run) => urgencyOf(run) === most);
	}

	private preempt(run: Run): void {
		this.preempted++;
		run.wasPreempted = true;
		this.running.splice(this.running.indexOf(run), 1);
		this.enqueue(run);
	}

	/** Before what is less urgent; what was preempted goes before its like. */
	private enqueue(run: Run): void {
		const goesBefore = (other: Run) => {
			const isLike = urgencyOf(other) === urgencyOf(run);
			return urgencyOf(other) > urgencyOf(run) || (run.wasPreempted && isLike);
		};
		const at = this.waiting.findIndex(goesBefore);
		this.waiting.splice(at === -1 ? this.waiting.length : at, 0, run);
	}

	private preemptWhatDoesNotFit(): void {
		const { memoryTokens = Number.POSITIVE_INFINITY } = this.opts;
		while (this.running.length > 1 && tokensOf(this.running) > memoryTokens) {
			this.preempt(this.leastUrgent() as Run);
		}
	}

	private readChunk(): number {
		let left = this.opts.chunkTokens;
		for (const run of this.running) {
			const tokens = Math.min(run.unread, left);
			run.unread -= tokens;
			left -= tokens;
		}
		return this.opts.chunkTokens - left;
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

function urgencyOf({ req }: Run): number {
	return req.urgency ?? 0;
}

/** Tokens of a request that it shares with none. */
function ownTokens({ req, made }: Run): number {
	const shared = (req.shared ?? []).reduce((sum, part) => sum + part.tokens, 0);
	return req.promptTokens - shared + made;
}

/** Tokens that requests take of the memory. */
function tokensOf(runs: readonly Run[]): number {
	const shared = new Map<string, number>();
	let sum = 0;
	for (const run of runs) {
		sum += ownTokens(run);
		for (const { id, tokens } of run.req.shared ?? []) {
			shared.set(id, tokens);
		}
	}
	return [...shared.values()].reduce((total, tokens) => total + tokens, sum);
}

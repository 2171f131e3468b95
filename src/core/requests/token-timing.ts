/**
 * Times of one run's tokens. Milliseconds of the monotonic clock.
 * @module
 */

/** Least time between two observations of one run, in milliseconds. */
const observeEveryMs = 200;

export class TokenTiming {
	private firstAt = 0;
	private lastAt = 0;
	private observedAt = 0;
	private observedTokens = 0;

	constructor(private readonly dispatchedAt: number) {}

	/** Time from dispatch to the first token; undefined without one. */
	get firstTokenMs(): number | undefined {
		return this.firstAt > 0 ? this.firstAt - this.dispatchedAt : undefined;
	}

	/** Time from the first token to the last. */
	get streamedMs(): number {
		return this.firstAt > 0 ? this.lastAt - this.firstAt : 0;
	}

	/** Notes that the run has given `tokens` in all; true for the first time. */
	recordTokens(tokens: number, now: number): boolean {
		this.lastAt = now;
		if (this.firstAt > 0) {
			return false;
		}
		this.firstAt = now;
		this.observedAt = now;
		this.observedTokens = tokens;
		return true;
	}

	/** Mean time between the newest tokens, when enough time has passed since the last asking. */
	sampleInterTokenMs(tokens: number, now: number): number | undefined {
		const since = now - this.observedAt;
		const fresh = tokens - this.observedTokens;
		if (since < observeEveryMs || fresh === 0) {
			return undefined;
		}
		this.observedAt = now;
		this.observedTokens = tokens;
		return since / fresh;
	}
}

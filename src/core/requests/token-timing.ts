/**
 * Measures the token timing of one attempt. Times are milliseconds of the monotonic clock.
 * @module
 */

const minSampleIntervalMs = 200;

export class TokenTiming {
	private firstAt = 0;
	private lastAt = 0;
	private observedAt = 0;
	private observedTokens = 0;

	constructor(private readonly dispatchedAt: number) {}

	/** Time from dispatch to the first token; undefined before it. */
	get firstTokenMs(): number | undefined {
		return this.firstAt > 0 ? this.firstAt - this.dispatchedAt : undefined;
	}

	/** Time from the first token to the last. */
	get streamedMs(): number {
		return this.firstAt > 0 ? this.lastAt - this.firstAt : 0;
	}

	/** Records that tokens arrived, `tokens` in total; returns true for the first ones. */
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

	/** Mean inter-token latency since the last sample; undefined if that was too recent. */
	sampleInterTokenMs(tokens: number, now: number): number | undefined {
		const elapsedMs = now - this.observedAt;
		const newTokens = tokens - this.observedTokens;
		if (elapsedMs < minSampleIntervalMs || newTokens === 0) {
			return undefined;
		}
		this.observedAt = now;
		this.observedTokens = tokens;
		return elapsedMs / newTokens;
	}
}

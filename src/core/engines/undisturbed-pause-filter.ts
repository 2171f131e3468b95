/**
 * Selects the pauses of a stream that were not stretched by prompts being read at the same engine.
 * @module
 */

/** Length of a run of pauses of which the shortest is kept: a concurrent long prompt stretches one or two. */
const runLength = 3;

export class UndisturbedPauseFilter {
	private count = 0;
	private shortestMs = Number.POSITIVE_INFINITY;

	/**
	 * @param hasWaitingPrompts whether prompts are known to wait at the engine
	 * @returns the shortest pause of a completed run, in milliseconds; undefined in between
	 */
	add(ms: number, hasWaitingPrompts: boolean): number | undefined {
		if (hasWaitingPrompts) {
			this.clear();
			return undefined;
		}
		this.count++;
		this.shortestMs = Math.min(this.shortestMs, ms);
		return this.count < runLength ? undefined : this.clear();
	}

	private clear(): number {
		const { shortestMs } = this;
		this.count = 0;
		this.shortestMs = Number.POSITIVE_INFINITY;
		return shortestMs;
	}
}

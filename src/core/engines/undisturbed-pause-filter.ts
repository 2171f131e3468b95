/**
 * Picks out of a stream's pauses those in which its engine did nothing but steps, which show its pace.
 * @module
 */

/** The shortest of so many pauses in a row counts: a long prompt that is read beside lengthens one or two. */
const inRow = 3;

export class UndisturbedPauseFilter {
	private count = 0;
	private shortestMs = Number.POSITIVE_INFINITY;

	/**
	 * @param isBesidePrompts prompts wait at the engine, as far as is known
	 * @returns a pause in milliseconds that shows the engine's pace; undefined for most
	 */
	add(ms: number, isBesidePrompts: boolean): number | undefined {
		if (isBesidePrompts) {
			this.clear();
			return undefined;
		}
		this.count++;
		this.shortestMs = Math.min(this.shortestMs, ms);
		return this.count < inRow ? undefined : this.clear();
	}

	private clear(): number {
		const { shortestMs } = this;
		this.count = 0;
		this.shortestMs = Number.POSITIVE_INFINITY;
		return shortestMs;
	}
}

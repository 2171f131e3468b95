/**
 * Seeds that failed once, each with its cause. They run with `npm run soak -- --regressions`.
 * @module
 */

export interface Regression {
	seed: number;
	/** What was wrong, and where it was mended. */
	cause: string;
}

export const regressions: readonly Regression[] = [];

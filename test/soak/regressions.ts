/**
 * Seeds that failed once, each with its cause. They run with `npm run soak -- --regressions`.
 * @module
 */

/** Faults that there were when the first seeds failed. */
export const initialFaultTypeCount = 18;

export interface Regression {
	seed: number;
	/** Length of the faults, in seconds, and faults at the same time, as in the run that failed. */
	seconds: number;
	concurrentFaults: number;
	/** Faults that there were then; more would change what the seed draws. @default those of `firstFaults` */
	faultTypeCount?: number;
	/** Of the size of `--big`. */
	big?: boolean;
	/** What was wrong, and where it was mended. */
	cause: string;
}

/** A proxy reads a reset together with the last bytes as an orderly end. */
const resetAsEnd =
	'the harness: its proxy passed such a reset on as an orderly end; it asks now (loopback-proxy.ts)';
/** Bytes that waited in a proxy came after later ones. */
const reordered =
	'the harness: a proxy whose delay fell overtook its own bytes (loopback-proxy.ts)';

/** News came due after the datagrams of a stopping daemon were closed; it ended with code 1. */
const newsAfterStop = 'peer-datagrams.ts sent on a closed socket at the end of a planned stop';

export const regressions: readonly Regression[] = [
	{ seed: 2, seconds: 8, concurrentFaults: 4, cause: resetAsEnd },
	{
		seed: 3,
		seconds: 8,
		concurrentFaults: 4,
		cause: `${resetAsEnd}; then a stand-in changed its mind midway`,
	},
	{ seed: 118, seconds: 9, concurrentFaults: 6, cause: reordered },
	{ seed: 132, seconds: 9, concurrentFaults: 6, cause: reordered },
	{ seed: 148, seconds: 9, concurrentFaults: 6, cause: reordered },
	{ seed: 7016, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7017, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7018, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7020, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7023, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7030, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7040, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 7045, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
	{ seed: 8001, seconds: 10, concurrentFaults: 16, big: true, cause: resetAsEnd },
	{ seed: 7048, seconds: 6, concurrentFaults: 6, cause: newsAfterStop },
];

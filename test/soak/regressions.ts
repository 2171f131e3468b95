/**
 * Seeds of past failures with their causes, run by `npm run soak -- --regressions`.
 * @module
 */

/** Length of the fault list that these seeds draw from by default. */
export const initialFaultTypeCount = 18;

export interface Regression {
	seed: number;
	/** Duration of fault injection, in seconds. */
	seconds: number;
	/** Number of faults injected concurrently. */
	concurrentFaults: number;
	/**
	 * Draws only from the first entries of the fault list, this many, so that the seed draws the same faults.
	 * @default initialFaultTypeCount
	 */
	faultTypeCount?: number;
	/** Uses the size of `--big`. */
	big?: boolean;
	/** What made the run fail. */
	cause: string;
}

const resetAsEnd =
	'test harness: the proxy forwarded a reset that came with the last bytes as an end (loopback-proxy.ts)';
const reordered =
	'test harness: the proxy reordered bytes when its delay was lowered (loopback-proxy.ts)';

const gossipAfterStop =
	'gossip was sent on a closed socket at the end of a planned stop, so the daemon exited with code 1';

export const regressions: readonly Regression[] = [
	{ seed: 2, seconds: 8, concurrentFaults: 4, cause: resetAsEnd },
	{
		seed: 3,
		seconds: 8,
		concurrentFaults: 4,
		cause: `${resetAsEnd}; an engine stand-in changed its behaviour during an answer`,
	},
	{ seed: 118, seconds: 9, concurrentFaults: 6, cause: reordered },
	{ seed: 132, seconds: 9, concurrentFaults: 6, cause: reordered },
	{ seed: 148, seconds: 9, concurrentFaults: 6, cause: reordered },
	{ seed: 7016, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7017, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7018, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7020, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7023, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7030, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7040, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 7045, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	{ seed: 8001, seconds: 10, concurrentFaults: 16, big: true, cause: resetAsEnd },
	{ seed: 7048, seconds: 6, concurrentFaults: 6, cause: gossipAfterStop },
	...[5507, 5509, 5510, 5511, 5512, 5513].map((seed) => ({
		seed,
		seconds: 10,
		concurrentFaults: 4,
		faultTypeCount: 28,
		cause: 'a watch of the store that got no answer hung for 21 s',
	})),
];

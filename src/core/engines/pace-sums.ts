/**
 * Sums of what engines' answers lately showed of their pace: they fade with time, and those of several VMs add up. Paces
 * are counted as natural logarithms, so that half and twice the usual time weigh alike and a late answer moves little.
 * @module
 */

/** Observations of one kind: their weight, and the weighted sum of the logarithms of observed over expected time. */
export interface PaceSum {
	weight: number;
	sum: number;
}

/** Compute-bound work and memory-bound work, which an engine may do at different paces. */
export interface PaceSums {
	reading: PaceSum;
	steps: PaceSum;
}

export type PaceKind = keyof PaceSums;
export const paceKinds: readonly PaceKind[] = ['reading', 'steps'];

/** Time after which an observation counts a third, in milliseconds: a change shows in a second or two. */
export const decayMs = 1000;
/** Sums that weigh less than a twentieth of an observation are forgotten. */
export const minWeight = 0.05;

export function emptyPaceSums(): PaceSums {
	return { reading: { weight: 0, sum: 0 }, steps: { weight: 0, sum: 0 } };
}

/** @param sign -1 takes them off */
export function addPaceSums(to: PaceSums, other: PaceSums, sign = 1): void {
	for (const kind of paceKinds) {
		to[kind].weight = Math.max(0, to[kind].weight + sign * other[kind].weight);
		to[kind].sum += sign * other[kind].sum;
	}
}

/** Sums of the last seconds; all fade alike, so that faded sums can be added up and taken off. */
export class DecayingSums {
	private readonly sums = emptyPaceSums();

	/** @param at monotonic milliseconds */
	constructor(private at: number) {}

	/** Sums as they count at a time. */
	read(now: number): Readonly<PaceSums> {
		const left = Math.exp(-Math.max(0, now - this.at) / decayMs);
		for (const kind of paceKinds) {
			this.sums[kind].weight *= left;
			this.sums[kind].sum *= left;
		}
		this.at = Math.max(this.at, now);
		return this.sums;
	}

	add(now: number, sums: PaceSums, sign = 1): void {
		this.read(now);
		addPaceSums(this.sums, sums, sign);
	}

	/** @param ratio observed over expected time */
	observe(now: number, kind: PaceKind, ratio: number, weight: number): void {
		this.read(now);
		this.sums[kind].weight += weight;
		this.sums[kind].sum += weight * Math.log(ratio);
	}

	/** Whether too little is left to tell anything. */
	isNegligible(now: number): boolean {
		const { reading, steps } = this.read(now);
		return reading.weight + steps.weight < minWeight;
	}
}

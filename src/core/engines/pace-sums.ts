/**
 * Exponentially decaying sums of pace observations, which can be added up across VMs. Paces are summed as natural
 * logarithms, so that half and twice the expected time weigh alike and outliers have little influence.
 * @module
 */

/** Total weight of observations, and weighted sum of the logarithms of observed over expected time. */
export interface PaceSum {
	weight: number;
	sum: number;
}

/** Compute-bound reading of prompts and memory-bound steps, which an engine may do at different paces. */
export interface PaceSums {
	reading: PaceSum;
	steps: PaceSum;
}

export type PaceKind = keyof PaceSums;
export const paceKinds: readonly PaceKind[] = ['reading', 'steps'];

/** Time constant of the decay, in milliseconds: short enough to react to a change within a second or two. */
export const decayMs = 1000;
/** Sums of less weight, in observations, are dropped. */
export const minWeight = 0.05;

export function emptyPaceSums(): PaceSums {
	return { reading: { weight: 0, sum: 0 }, steps: { weight: 0, sum: 0 } };
}

/** @param sign -1 to subtract */
export function addPaceSums(to: PaceSums, other: PaceSums, sign = 1): void {
	for (const kind of paceKinds) {
		to[kind].weight = Math.max(0, to[kind].weight + sign * other[kind].weight);
		to[kind].sum += sign * other[kind].sum;
	}
}

/** Sums that decay with a common time constant, so that decayed sums can be added and subtracted. */
export class DecayingSums {
	private readonly sums = emptyPaceSums();

	/** @param at monotonic milliseconds */
	constructor(private at: number) {}

	/** Decays the sums up to a time and returns them. */
	read(now: number): Readonly<PaceSums> {
		const decay = Math.exp(-Math.max(0, now - this.at) / decayMs);
		for (const kind of paceKinds) {
			this.sums[kind].weight *= decay;
			this.sums[kind].sum *= decay;
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

	/** Whether too little weight is left to be useful. */
	isNegligible(now: number): boolean {
		const { reading, steps } = this.read(now);
		return reading.weight + steps.weight < minWeight;
	}
}

/**
 * Online estimators of a line and of a quantile. Each starts at a prior, decays old observations and limits the influence of
 * outliers. The sums of a line can be added up across VMs.
 * @module
 */

/** An observation is clamped to within this factor of the expected value. */
const outlierFactor = 3;
/** An estimate stays within this factor of its prior, so that faulty input cannot drive costs to zero. */
const boundFactor = 20;

/** Weighted sums of (x, y) pairs; sums of several VMs can be added up. */
export interface LineSums {
	weight: number;
	x: number;
	y: number;
	xx: number;
	xy: number;
}

/** `y = base + slope * x`. */
export interface Line {
	base: number;
	slope: number;
}

export interface LinePrior extends Line {
	/** Weight of the prior, in observations at each of x = 0 and x = `referenceX`. */
	observations: number;
	referenceX: number;
	/** The noise of an observation grows with x above this value, and is constant below. */
	noiseFloor: number;
}

export function emptyLineSums(): LineSums {
	return { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
}

export function addLineSums(to: LineSums, other: LineSums): void {
	to.weight += other.weight;
	to.x += other.x;
	to.y += other.y;
	to.xx += other.xx;
	to.xy += other.xy;
}

/** Weighted least squares with exponential decay. */
export class LineEstimator {
	readonly sums = emptyLineSums();
	private readonly priorSums = emptyLineSums();

	/** @param decayObservations observations after which the weight of an older one falls to 1/e */
	constructor(
		private readonly prior: LinePrior,
		private readonly decayObservations: number,
	) {
		for (const x of [0, prior.referenceX]) {
			const y = prior.base + prior.slope * x;
			addPair(this.priorSums, x, y, prior.observations * this.weightOf(x));
		}
	}

	/** @param peerSums sums of other VMs, to judge outliers by */
	add(x: number, y: number, peerSums: LineSums): void {
		const { base, slope } = this.fit(peerSums);
		const expected = base + slope * x;
		const clamped = Math.min(Math.max(y, expected / outlierFactor), expected * outlierFactor);
		decay(this.sums, 1 - 1 / this.decayObservations);
		addPair(this.sums, x, clamped, this.weightOf(x));
	}

	/** @param peerSums sums of other VMs to include */
	fit(peerSums: LineSums): Line {
		const all = emptyLineSums();
		addLineSums(all, this.priorSums);
		addLineSums(all, this.sums);
		addLineSums(all, peerSums);
		const determinant = all.weight * all.xx - all.x * all.x;
		const slope = (all.weight * all.xy - all.x * all.y) / determinant;
		const boundedSlope = boundByPrior(slope, this.prior.slope);
		const base = boundByPrior((all.y - boundedSlope * all.x) / all.weight, this.prior.base);
		return { base, slope: boundedSlope };
	}

	private weightOf(x: number): number {
		const { noiseFloor } = this.prior;
		return (noiseFloor / (noiseFloor + x)) ** 2;
	}
}

/** Quantile estimate that moves by a small relative step with each observation. */
export class QuantileEstimator {
	private current: number;
	private observations = 0;

	/**
	 * @param quantile share of the observations below the estimate
	 * @param step relative step per observation, once settled
	 * @param settledAfter observations after which the estimate is settled; steps are larger before
	 */
	constructor(
		private readonly prior: number,
		private readonly quantile: number,
		private readonly step: number,
		private readonly settledAfter: number,
	) {
		this.current = prior;
	}

	get value(): number {
		return this.current;
	}

	/** Number of observations that effectively support the estimate. */
	get weight(): number {
		return Math.min(this.observations, this.settledAfter);
	}

	add(value: number): void {
		this.observations++;
		const acceleration = 1 + (4 * this.settledAfter) / (this.settledAfter + 4 * this.observations);
		const step = this.step * acceleration;
		const factor = value < this.current ? 1 - step * (1 - this.quantile) : 1 + step * this.quantile;
		this.current = boundByPrior(this.current * factor, this.prior);
	}
}

function addPair(sums: LineSums, x: number, y: number, weight: number): void {
	sums.weight += weight;
	sums.x += weight * x;
	sums.y += weight * y;
	sums.xx += weight * x * x;
	sums.xy += weight * x * y;
}

function decay(sums: LineSums, factor: number): void {
	sums.weight *= factor;
	sums.x *= factor;
	sums.y *= factor;
	sums.xx *= factor;
	sums.xy *= factor;
}

function boundByPrior(value: number, prior: number): number {
	return Math.min(Math.max(value, prior / boundFactor), prior * boundFactor);
}

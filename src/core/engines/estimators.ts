/**
 * Small estimators that follow a stream of observations: a line through pairs, a quantile, a ratio of
 * sums. Each starts at a prior, forgets old observations, and bounds what a single one can move. Their sums
 * can be told to other VMs and added up.
 * @module
 */

/** An observation counts as at most, and at least, so many times what was expected. */
const outlierFactor = 3;
/** An estimate stays within this factor of its prior: a defect elsewhere must not turn costs to nothing. */
const boundFactor = 20;

/** Weighted sums of pairs; those of several VMs may be added up. */
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
	/** The prior weighs as much as so many observations at 0 and at `at`. */
	observations: number;
	referenceX: number;
	/** Observations are as uncertain as they are large; those below this are equally uncertain. */
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

/** Least squares with forgetting; `told` are the sums of other VMs. */
export class LineEstimator {
	readonly sums = emptyLineSums();
	private readonly priorSums = emptyLineSums();

	/** @param keep observations after which an old one counts a third */
	constructor(
		private readonly prior: LinePrior,
		private readonly keep: number,
	) {
		for (const x of [0, prior.referenceX]) {
			const y = prior.base + prior.slope * x;
			addPair(this.priorSums, x, y, prior.observations * this.weightOf(x));
		}
	}

	add(x: number, y: number, told: LineSums): void {
		const { base, slope } = this.fit(told);
		const expected = base + slope * x;
		const bounded = Math.min(Math.max(y, expected / outlierFactor), expected * outlierFactor);
		forget(this.sums, 1 - 1 / this.keep);
		addPair(this.sums, x, bounded, this.weightOf(x));
	}

	fit(told: LineSums): Line {
		const all = emptyLineSums();
		addLineSums(all, this.priorSums);
		addLineSums(all, this.sums);
		addLineSums(all, told);
		const spread = all.weight * all.xx - all.x * all.x;
		const slope = (all.weight * all.xy - all.x * all.y) / spread;
		const bounded = within(slope, this.prior.slope);
		const base = within((all.y - bounded * all.x) / all.weight, this.prior.base);
		return { base, slope: bounded };
	}

	private weightOf(x: number): number {
		const { noiseFloor: unit } = this.prior;
		return (unit / (unit + x)) ** 2;
	}
}

/** A quantile that moves a small step with each observation. */
export class QuantileEstimator {
	private current: number;
	private seen = 0;

	/**
	 * @param share of observations that lie below
	 * @param step share of itself that one observation moves it, once it has settled
	 * @param settled observations after which it has settled; before, it moves faster
	 */
	constructor(
		private readonly prior: number,
		private readonly share: number,
		private readonly step: number,
		private readonly settled: number,
	) {
		this.current = prior;
	}

	get value(): number {
		return this.current;
	}

	/** Observations that stand behind it, as far as they are not forgotten. */
	get weight(): number {
		return Math.min(this.seen, this.settled);
	}

	add(value: number): void {
		this.seen++;
		const haste = 1 + (4 * this.settled) / (this.settled + 4 * this.seen);
		const step = this.step * haste;
		const moved = value < this.current ? 1 - step * (1 - this.share) : 1 + step * this.share;
		this.current = within(this.current * moved, this.prior);
	}
}

function addPair(sums: LineSums, x: number, y: number, weight: number): void {
	sums.weight += weight;
	sums.x += weight * x;
	sums.y += weight * y;
	sums.xx += weight * x * x;
	sums.xy += weight * x * y;
}

function forget(sums: LineSums, factor: number): void {
	sums.weight *= factor;
	sums.x *= factor;
	sums.y *= factor;
	sums.xx *= factor;
	sums.xy *= factor;
}

function within(value: number, prior: number): number {
	return Math.min(Math.max(value, prior / boundFactor), prior * boundFactor);
}

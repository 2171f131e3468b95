/**
 * Seeded random numbers (mulberry32), so that traces repeat.
 * @module
 */
export type Rng = () => number;

export function createRng(seed: number): Rng {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
	};
}

/** Times of a Poisson process, in milliseconds. */
export function generateArrivals(
	rng: Rng,
	perSecond: number,
	fromMs: number,
	untilMs: number,
): number[] {
	const times: number[] = [];
	if (perSecond <= 0) {
		return times;
	}
	let at = fromMs;
	for (;;) {
		at += (-Math.log(1 - rng()) / perSecond) * 1000;
		if (at >= untilMs) {
			return times;
		}
		times.push(at);
	}
}

/** A length with a long tail: mostly near the median, at most eight times it. */
export function sampleLongTailLength(rng: Rng, median: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - rng())) * Math.cos(2 * Math.PI * rng());
	const factor = Math.min(Math.exp(0.6 * normal), 8);
	return Math.max(2, Math.round(median * factor));
}

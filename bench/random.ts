/**
 * Seeded random numbers and distributions for reproducible traces.
 * @module
 */
/** Returns a uniform random number in [0, 1). */
export type Rng = () => number;

/** Creates a mulberry32 generator. */
export function createRng(seed: number): Rng {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
	};
}

/** Generates the arrival times of a Poisson process, in milliseconds. */
export function generateArrivals(
	rng: Rng,
	ratePerS: number,
	fromMs: number,
	untilMs: number,
): number[] {
	const timesMs: number[] = [];
	if (ratePerS <= 0) {
		return timesMs;
	}
	let atMs = fromMs;
	for (;;) {
		atMs += (-Math.log(1 - rng()) / ratePerS) * 1000;
		if (atMs >= untilMs) {
			return timesMs;
		}
		timesMs.push(atMs);
	}
}

/** Samples a log-normal length, capped at eight times the median. */
export function sampleLongTailLength(rng: Rng, median: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - rng())) * Math.cos(2 * Math.PI * rng());
	const factor = Math.min(Math.exp(0.6 * normal), 8);
	return Math.max(2, Math.round(median * factor));
}

/**
 * How long answers take, by class and customer, from what was seen. Used for order and
 * admission, never for safety.
 * @module
 */

/** Step of an estimate towards a new answer, as a share of the estimate. */
const weight = 0.1;
/** Durations are kept at this quantile, so that work is not given up too early. */
const durationQuantile = 0.3;
/** First tokens are kept at this quantile, so that work chosen as "in time" mostly is. */
const firstTokenQuantile = 0.9;

interface Estimate {
	/** Milliseconds. */
	durationMs: number;
	firstTokenMs: number;
}

export class DurationEstimator {
	private readonly estimates = new Map<string, Estimate>();

	add(cls: string, customer: string, durationMs: number, firstTokenMs: number): void {
		const key = `${cls} ${customer}`;
		const known = this.estimates.get(key);
		if (!known) {
			this.estimates.set(key, { durationMs, firstTokenMs });
			return;
		}
		known.durationMs = towardsQuantile(known.durationMs, durationMs, durationQuantile);
		known.firstTokenMs = towardsQuantile(known.firstTokenMs, firstTokenMs, firstTokenQuantile);
	}

	/** Milliseconds that an answer takes at the least, with some likelihood; 0 when not known. */
	durationMs(cls: string, customer: string): number {
		return this.estimates.get(`${cls} ${customer}`)?.durationMs ?? 0;
	}

	/** Milliseconds from dispatch to the first token, rarely more; 0 when not known. */
	firstTokenMs(cls: string, customer: string): number {
		return this.estimates.get(`${cls} ${customer}`)?.firstTokenMs ?? 0;
	}
}

/** Moves an estimate up or down so that it settles at the quantile. */
function towardsQuantile(estimate: number, sample: number, quantile: number): number {
	const step = weight * Math.max(estimate, 1);
	const moved = sample > estimate ? estimate + step * quantile : estimate - step * (1 - quantile);
	return Math.max(moved, 0);
}

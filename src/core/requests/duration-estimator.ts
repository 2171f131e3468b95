/**
 * Estimates how long answers take, by class and customer, from completed requests. Used for
 * ordering and admission only, never where a wrong estimate would break a guarantee.
 * @module
 */

/** Size of one update, relative to the estimate. */
const stepRatio = 0.1;
/** Low, so that requests are not shed too early. */
const durationQuantile = 0.3;
/** High, so that most requests that are expected to meet their target do. */
const firstTokenQuantile = 0.9;

interface Estimate {
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
		known.durationMs = moveTowardsQuantile(known.durationMs, durationMs, durationQuantile);
		known.firstTokenMs = moveTowardsQuantile(known.firstTokenMs, firstTokenMs, firstTokenQuantile);
	}

	/** A low estimate of an answer's duration in milliseconds; 0 if unknown. */
	estimateDurationMs(cls: string, customer: string): number {
		return this.estimates.get(`${cls} ${customer}`)?.durationMs ?? 0;
	}

	/** A high estimate of the time from dispatch to first token in milliseconds; 0 if unknown. */
	estimateFirstTokenMs(cls: string, customer: string): number {
		return this.estimates.get(`${cls} ${customer}`)?.firstTokenMs ?? 0;
	}
}

/** Stochastic quantile update: the estimate converges to the quantile of the samples. */
function moveTowardsQuantile(estimate: number, sample: number, quantile: number): number {
	const step = stepRatio * Math.max(estimate, 1);
	const moved = sample > estimate ? estimate + step * quantile : estimate - step * (1 - quantile);
	return Math.max(moved, 0);
}

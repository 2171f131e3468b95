/**
 * How long answers take, by class and customer, from what was seen. Used for order and
 * admission, never for safety.
 * @module
 */

/** Weight of the newest answer. */
const weight = 0.1;
/** Step towards the lower quantile; gives about the 30th percentile. */
const lowQuantile = 0.3;

interface Estimate {
	/** Milliseconds; a low quantile, so that work is not given up too early. */
	durationMs: number;
	firstTokenMs: number;
}

export class DurationEstimate {
	private readonly estimates = new Map<string, Estimate>();

	add(cls: string, customer: string, durationMs: number, firstTokenMs: number): void {
		const key = `${cls} ${customer}`;
		const known = this.estimates.get(key);
		if (!known) {
			this.estimates.set(key, { durationMs, firstTokenMs });
			return;
		}
		known.durationMs = towardsQuantile(known.durationMs, durationMs);
		known.firstTokenMs += weight * (firstTokenMs - known.firstTokenMs);
	}

	/** Milliseconds that an answer takes at the least, with some likelihood; 0 when not known. */
	durationMs(cls: string, customer: string): number {
		return this.estimates.get(`${cls} ${customer}`)?.durationMs ?? 0;
	}

	/** Milliseconds from dispatch to the first token; 0 when not known. */
	firstTokenMs(cls: string, customer: string): number {
		return this.estimates.get(`${cls} ${customer}`)?.firstTokenMs ?? 0;
	}
}

/** Moves an estimate up or down so that it settles at the low quantile. */
function towardsQuantile(estimate: number, sample: number): number {
	const step = weight * Math.max(estimate, 1);
	const moved =
		sample > estimate ? estimate + step * lowQuantile : estimate - step * (1 - lowQuantile);
	return Math.max(moved, 0);
}

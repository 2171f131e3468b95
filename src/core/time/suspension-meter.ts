/**
 * Measures how long a VM was suspended: the wall clock advances meanwhile, the monotonic clock
 * doesn't. A forward step of the wall clock also counts as suspension, so ages are overestimated at
 * times but never underestimated.
 * @module
 */

/** Smallest gain of the wall clock that counts as suspension; corrections by a time service are a few milliseconds. */
const minSuspensionMs = 250;

export class SuspensionMeter {
	private total = 0;
	private lastOffsetMs?: number;

	/** Total time of all suspensions. */
	get totalMs(): number {
		return this.total;
	}

	/** Compares the monotonic clock (`monotonicMs`) with the wall clock and adds any suspension. */
	sample(monotonicMs: number, wallMs: number): void {
		const offsetMs = wallMs - monotonicMs;
		const gainedMs = offsetMs - (this.lastOffsetMs ?? offsetMs);
		this.lastOffsetMs = offsetMs;
		if (gainedMs >= minSuspensionMs) {
			this.total += gainedMs;
		}
	}
}

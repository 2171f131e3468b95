/**
 * Staggers the retry times of refused callers while all engines of a service are rate-limited, so that they don't retry together.
 * @module
 */

/** Window over which admissions are counted, in milliseconds. */
const admissionWindowMs = 4000;
/** Lower bound of the assumed admission rate, in requests per second. */
const minAdmissionsPerS = 0.5;
/** Upper bound of a retry delay, in seconds: limits change and end. */
const maxRetryAfterS = 8;

export class RetrySchedule {
	private admissions: number[] = [];
	/** Retry time of the last refused caller, in monotonic milliseconds. */
	private lastRetryAt = 0;

	/** Records that a request was sent to a rate-limited engine. */
	recordAdmission(now: number): void {
		this.admissions = this.admissions.filter((at) => now - at < admissionWindowMs);
		this.admissions.push(now);
	}

	/**
	 * Reserves the next retry time for a refused caller.
	 * @param retryDelayMs time until a permit of the first engine may be requested again, in milliseconds
	 * @returns delay before the caller may retry, in seconds
	 */
	assignRetryAfterS(now: number, retryDelayMs: number): number {
		const count = this.admissions.filter((at) => now - at < admissionWindowMs).length;
		const admissionsPerS = Math.max(minAdmissionsPerS, (count * 1000) / admissionWindowMs);
		const latest = now + maxRetryAfterS * 1000;
		const retryAt = Math.min(
			Math.max(now + retryDelayMs, this.lastRetryAt + 1000 / admissionsPerS),
			latest,
		);
		this.lastRetryAt = retryAt;
		return Math.ceil((retryAt - now) / 100) / 10;
	}
}

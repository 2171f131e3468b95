/**
 * When refused callers come back while all engines of a service name limits: one after the other, at the rate at which requests of
 * this VM are let through. Told the same time, they would return together and be refused again.
 * @module
 */

/** Requests that were let through are counted over this time, in milliseconds. */
const countMs = 4000;
/** Rate that is assumed where fewer were let through, in requests a second. */
const leastPerS = 0.5;
/** Nobody is sent away for longer, in seconds: limits change and end. */
const mostS = 8;

export class RetrySchedule {
	private passed: number[] = [];
	/** When the last one that was sent away comes back, in monotonic milliseconds. */
	private lastReturnAt = 0;

	/** A request was let through to an engine that names a limit. */
	recordAdmission(now: number): void {
		this.passed = this.passed.filter((at) => now - at < countMs);
		this.passed.push(now);
	}

	/**
	 * @param openMs until the first engine may be asked again, in milliseconds
	 * @returns seconds after which the caller may come back
	 */
	assignRetryAfterS(now: number, openMs: number): number {
		const count = this.passed.filter((at) => now - at < countMs).length;
		const perS = Math.max(leastPerS, (count * 1000) / countMs);
		const latest = now + mostS * 1000;
		const returnAt = Math.min(Math.max(now + openMs, this.lastReturnAt + 1000 / perS), latest);
		this.lastReturnAt = returnAt;
		return Math.ceil((returnAt - now) / 100) / 10;
	}
}

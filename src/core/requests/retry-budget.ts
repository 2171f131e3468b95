/**
 * Bounds retries by the requests that came, so that retries cannot double a surge.
 * @module
 */

/** Retries allowed for each request that came. */
const ratio = 0.1;
/** Retries that may be saved up. */
const maxSaved = 20;

export class RetryBudget {
	private saved = maxSaved;

	recordRequest(): void {
		this.saved = Math.min(maxSaved, this.saved + ratio);
	}

	/** True if a retry may be made now. */
	tryConsume(): boolean {
		if (this.saved < 1) {
			return false;
		}
		this.saved--;
		return true;
	}
}

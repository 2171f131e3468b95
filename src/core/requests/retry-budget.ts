/**
 * Limits retries to a share of the incoming requests, so that they cannot amplify an overload.
 * @module
 */

const retriesPerRequest = 0.1;
const maxBalance = 20;

export class RetryBudget {
	private balance = maxBalance;

	recordRequest(): void {
		this.balance = Math.min(maxBalance, this.balance + retriesPerRequest);
	}

	/** Consumes one retry from the budget; false if it is exhausted. */
	tryConsume(): boolean {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}
}

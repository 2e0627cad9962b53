/**
 * Retry budget of a service. When all targets of a service fail at once and retries are unlimited, each
 * request is sent as often as its attempts allow, and recovering targets receive three times the load under
 * which they failed. Here each successful first attempt earns a fraction of a retry. In normal operation one
 * failed attempt in ten can be retried. In an outage the saved retries are used up quickly, and the load
 * stays at the rate at which callers send.
 */

import type { RetryPolicy } from './policy';

/** Counts the retries that one service may still make. */
export class RetryBudget {
	private savedRetries: number;

	constructor(private readonly policy: RetryPolicy) {
		this.savedRetries = policy.maxSavedRetries;
	}

	/**
	 * Adds to the budget after a successful first attempt. Successful retries add nothing, or retries would
	 * fund more retries.
	 */
	recordFirstAttemptSuccess(): void {
		this.savedRetries = Math.min(
			this.policy.maxSavedRetries,
			this.savedRetries + this.policy.retriesPerSuccess,
		);
	}

	/** Takes one retry from the budget. Returns false if the budget is used up. */
	takeRetry(): boolean {
		if (this.savedRetries < 1) {
			return false;
		}
		this.savedRetries -= 1;
		return true;
	}
}

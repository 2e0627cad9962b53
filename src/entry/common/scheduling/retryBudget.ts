/**
 * The budget of repeated attempts. Load pattern: all targets of a service fail at once. Without a budget
 * each request is then sent as often as its attempts allow, and the targets that are just coming back meet
 * three times the load that they fell under. Retries are paid from a small share of fresh successes: in
 * ordinary times a failed attempt in ten can be repeated, in an outage the savings are spent in a moment
 * and load stays at what callers send.
 */

import type { RetryPolicy } from './policy';

/** Counts what retries may still cost, for one service. */
export class RetryBudget {
	private savedRetries: number;

	constructor(private readonly policy: RetryPolicy) {
		this.savedRetries = policy.maxSavedRetries;
	}

	/** A first attempt succeeded. Successes of retries earn nothing, or retries would pay for retries. */
	recordFirstAttemptSuccess(): void {
		this.savedRetries = Math.min(
			this.policy.maxSavedRetries,
			this.savedRetries + this.policy.retriesPerSuccess,
		);
	}

	/** Pays for one retry, or says that there is nothing left to pay with. */
	takeRetry(): boolean {
		if (this.savedRetries < 1) {
			return false;
		}
		this.savedRetries -= 1;
		return true;
	}
}

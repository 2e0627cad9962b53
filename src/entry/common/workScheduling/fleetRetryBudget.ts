/**
 * Limits the retries that this entry (proxy process) may send. The load it is designed for is a service whose
 * targets all fail, or refuse, at once. Without a limit every request would be sent as often as its route allows,
 * and targets that are recovering would get a multiple of the load under which they failed.
 *
 * The limit applies to the whole fleet: a share of the requests in a sliding window, plus a fixed slack. An entry
 * does not see the retries of other entries, so each uses the share of its own requests and an equal part of the
 * slack. An entry that does not know the fleet uses no slack.
 */

import type { WorkRetryParameters } from './workPolicy';

const bucketCount = 20;

/** Counts the events of a sliding window in buckets. */
class SlidingWindowCounter {
	private readonly counts = new Array<number>(bucketCount).fill(0);
	private total = 0;
	private currentBucket = 0;

	constructor(private readonly bucketMs: number) {}

	add(nowMs: number): void {
		this.advance(nowMs);
		this.counts[this.currentBucket % bucketCount] = (this.counts[this.currentBucket % bucketCount] ?? 0) + 1;
		this.total++;
	}

	count(nowMs: number): number {
		this.advance(nowMs);
		return this.total;
	}

	private advance(nowMs: number): void {
		const nowBucket = Math.floor(nowMs / this.bucketMs);
		if (nowBucket - this.currentBucket >= bucketCount) {
			this.counts.fill(0);
			this.total = 0;
			this.currentBucket = nowBucket;
			return;
		}
		while (this.currentBucket < nowBucket) {
			this.currentBucket++;
			this.total -= this.counts[this.currentBucket % bucketCount] ?? 0;
			this.counts[this.currentBucket % bucketCount] = 0;
		}
	}
}

/** Retry budget of one service at one entry. */
export class FleetRetryBudget {
	private readonly requests: SlidingWindowCounter;
	private readonly retries: SlidingWindowCounter;
	private entryCount = 1;

	constructor(private readonly parameters: WorkRetryParameters) {
		this.requests = new SlidingWindowCounter(parameters.windowMs / bucketCount);
		this.retries = new SlidingWindowCounter(parameters.windowMs / bucketCount);
	}

	/** Sets the number of entries that share the slack, including this one. */
	setEntryCount(entryCount: number): void {
		this.entryCount = Math.max(1, entryCount);
	}

	noteRequest(nowMs: number): void {
		this.requests.add(nowMs);
	}

	/** Whether the budget allows another retry. */
	isRetryAllowed(nowMs: number): boolean {
		const { ratio, slack, budgetUseShare } = this.parameters;
		const maxRetries = budgetUseShare * (ratio * this.requests.count(nowMs) + slack / this.entryCount);
		return this.retries.count(nowMs) + 1 <= maxRetries;
	}

	noteRetry(nowMs: number): void {
		this.retries.add(nowMs);
	}
}

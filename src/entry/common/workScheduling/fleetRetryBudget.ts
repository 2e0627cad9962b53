/**
 * Limits the retries that this entry (proxy process) may send. The load it is designed for is a service whose
 * targets all fail, or refuse, at once. Without a limit every request would be sent as often as its route allows,
 * and targets that are recovering would get a multiple of the load under which they failed.
 *
 * The limit applies to the whole fleet: a share of the requests in a sliding window, plus a fixed slack. An entry
 * does not see the retries of other entries, so each uses the share of its own requests and its part of the slack. An
 * entry that does not know the fleet uses no slack. The process before one that has just started may have used its part
 * in the same window, so a part of the slack is kept for entries in their first window.
 *
 * A request counts at the one entry that had it first, and each send after the first at the entry that sends it. A retry
 * that waits for a target is set aside and counts when it is sent, since retries that have waited are sent together.
 */

import { computeWholeShare } from '../fleetView/entryRoster';
import type { FleetPosition } from '../fleetView/fleetRoster';
import type { WorkRetryParameters } from './workPolicy';

const bucketsPerWindow = 20;

/** Counts the events of a sliding window in buckets. */
class SlidingWindowCounter {
	private readonly counts: number[];
	private total = 0;
	private currentBucket = 0;

	constructor(
		private readonly bucketMs: number,
		private readonly bucketCount: number,
	) {
		this.counts = new Array<number>(bucketCount).fill(0);
	}

	add(nowMs: number): void {
		this.advance(nowMs);
		this.counts[this.currentBucket % this.bucketCount] =
			(this.counts[this.currentBucket % this.bucketCount] ?? 0) + 1;
		this.total++;
	}

	count(nowMs: number): number {
		this.advance(nowMs);
		return this.total;
	}

	private advance(nowMs: number): void {
		const nowBucket = Math.floor(nowMs / this.bucketMs);
		if (nowBucket - this.currentBucket >= this.bucketCount) {
			this.counts.fill(0);
			this.total = 0;
			this.currentBucket = nowBucket;
			return;
		}
		while (this.currentBucket < nowBucket) {
			this.currentBucket++;
			this.total -= this.counts[this.currentBucket % this.bucketCount] ?? 0;
			this.counts[this.currentBucket % this.bucketCount] = 0;
		}
	}
}

/** Retry budget of one service at one entry. */
export class FleetRetryBudget {
	private readonly requests: SlidingWindowCounter;
	private readonly retries: SlidingWindowCounter;
	/** Retries that are allowed and not sent yet. */
	private reserved = 0;
	private slackShare = 0;

	constructor(private readonly parameters: WorkRetryParameters) {
		const bucketMs = parameters.windowMs / bucketsPerWindow;
		this.requests = new SlidingWindowCounter(bucketMs, bucketsPerWindow);
		// The first bucket is partly older than the window. Retries count until all of it is.
		this.retries = new SlidingWindowCounter(bucketMs, bucketsPerWindow + 1);
	}

	/** Sets the place of this entry among those that share the slack. */
	setPosition({ entries, rank, startedMs }: FleetPosition, nowMs: number): void {
		const { slack, budgetUseShare, windowMs } = this.parameters;
		const settledSlack = Math.floor(budgetUseShare * slack);
		const isSettled = nowMs - startedMs >= windowMs;
		const usableSlack = isSettled ? settledSlack : Math.floor(slack - settledSlack);
		this.slackShare = Number.isFinite(entries) ? computeWholeShare(usableSlack, entries, rank) : 0;
	}

	/** Records a request that no entry has counted before. */
	noteRequest(nowMs: number): void {
		this.requests.add(nowMs);
	}

	/** Whether the budget allows another retry. */
	isRetryAllowed(nowMs: number): boolean {
		return this.retries.count(nowMs) + this.reserved + 1 <= this.computeMaxRetries(nowMs);
	}

	/** Sets a retry aside that waits for a target. */
	reserve(): void {
		this.reserved++;
	}

	/** Gives back a retry that was set aside and is not sent. */
	release(): void {
		this.reserved--;
	}

	/** Records that a retry which was set aside is sent. */
	noteSent(nowMs: number): void {
		this.reserved--;
		this.retries.add(nowMs);
	}

	/** Describes the use of the budget for the log. */
	describe(nowMs: number): string {
		const maxRetries = Math.floor(this.computeMaxRetries(nowMs));
		return `${this.retries.count(nowMs)} sent and ${this.reserved} set aside of ${maxRetries} retries`;
	}

	private computeMaxRetries(nowMs: number): number {
		const { ratio, budgetUseShare } = this.parameters;
		return budgetUseShare * ratio * this.requests.count(nowMs) + this.slackShare;
	}
}

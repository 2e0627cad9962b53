/**
 * How long a hanging read of published documents may wait, and how long to pause after one that failed.
 *
 * A read that is begun while the publisher gives no answer hangs for its whole wait, though the publisher is
 * back meanwhile; the process serves by what it read before the outage, seconds after the change of it was
 * confirmed, and so do its peers, whose reads hang for the same time. So only an answer earns a wait: after
 * a failure the next read asks for what there is now, and the one after its answer hangs again.
 *
 * A connection that falls silent in the middle of a wait shows nothing until the wait is over. So the wait,
 * the patience for an answer beyond it and the way back together stay within the time by which news may
 * be late.
 */

import type { IRandom } from '../../../base/common/random';

/** Bounds of one follower, in milliseconds. */
export interface WatchTimings {
	/** How long a read hangs at the publisher. */
	readonly maxWaitMs: number;
	/** How long an answer may take beyond the wait. */
	readonly answerTimeoutMs: number;
	readonly minPauseMs: number;
	readonly maxPauseMs: number;
}

/** Shares of the time by which news may be late; a tenth is left for the connection and the read after a failure. */
const maxWaitShare = 0.6;
const answerTimeoutShare = 0.3;

/** A read that hung into an outage, a pause and the way back together stay well below the whole. */
const maxPauseShare = 0.25;
const minPauseShare = 0.02;

/** Figures with which news are never later than `newsWithinMs` once the publisher answers. */
export function computeWatchTimings(maxDelayMs: number): WatchTimings {
	return {
		maxWaitMs: Math.floor(maxWaitShare * maxDelayMs),
		answerTimeoutMs: Math.floor(answerTimeoutShare * maxDelayMs),
		minPauseMs: minPauseShare * maxDelayMs,
		maxPauseMs: maxPauseShare * maxDelayMs,
	};
}

/** Paces the reads of one follower. */
export class WatchBackoff {
	private consecutiveFailures = 0;
	private isStale = false;

	constructor(
		private readonly timings: WatchTimings,
		private readonly random: IRandom,
	) {}

	/**
	 * How long the next read may hang at the publisher, in milliseconds; 0 asks for what there is now. After a
	 * failure nothing hangs: a read begun in an outage would be waited out past the publisher's return.
	 */
	computeWaitMs(): number {
		return this.consecutiveFailures > 0 || this.isStale ? 0 : this.timings.maxWaitMs;
	}

	recordAnswer(): void {
		this.consecutiveFailures = 0;
		this.isStale = false;
	}

	/** What was read may be old, though no read has failed. */
	markStale(): void {
		this.isStale = true;
	}

	recordFailure(): void {
		this.consecutiveFailures++;
	}

	/**
	 * The pause before the next read. It doubles with each failure and is drawn at random, so that a fleet that
	 * lost the publisher together does not come back to it in one instant and trip the rate that all share.
	 */
	computePauseMs(): number {
		const { minPauseMs, maxPauseMs } = this.timings;
		const limitMs = Math.min(maxPauseMs, minPauseMs * 2 ** this.consecutiveFailures);
		return minPauseMs + this.random.pickFraction() * (limitMs - minPauseMs);
	}
}

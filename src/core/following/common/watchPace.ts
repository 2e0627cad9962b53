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
export interface WatchFigures {
	/** How long a read hangs at the publisher. */
	readonly watchMs: number;
	/** How long an answer may take beyond the wait. */
	readonly answerMs: number;
	readonly leastPauseMs: number;
	readonly mostPauseMs: number;
}

/** Shares of the time by which news may be late; a tenth is left for the connection and the read after a failure. */
const watchShare = 0.6;
const answerShare = 0.3;

/** A read that hung into an outage, a pause and the way back together stay well below the whole. */
const mostPauseShare = 0.25;
const leastPauseShare = 0.02;

/** Figures with which news are never later than `newsWithinMs` once the publisher answers. */
export function planWatch(newsWithinMs: number): WatchFigures {
	return {
		watchMs: Math.floor(watchShare * newsWithinMs),
		answerMs: Math.floor(answerShare * newsWithinMs),
		leastPauseMs: leastPauseShare * newsWithinMs,
		mostPauseMs: mostPauseShare * newsWithinMs,
	};
}

/** Paces the reads of one follower. */
export class WatchPace {
	private failures = 0;
	private isDoubted = false;

	constructor(
		private readonly figures: WatchFigures,
		private readonly random: IRandom,
	) {}

	/**
	 * How long the next read may hang at the publisher, in milliseconds; 0 asks for what there is now. After a
	 * failure nothing hangs: a read begun in an outage would be waited out past the publisher's return.
	 */
	planWaitMs(): number {
		return this.failures > 0 || this.isDoubted ? 0 : this.figures.watchMs;
	}

	noteAnswered(): void {
		this.failures = 0;
		this.isDoubted = false;
	}

	/** What was read may be old, though no read has failed. */
	noteDoubted(): void {
		this.isDoubted = true;
	}

	noteFailed(): void {
		this.failures++;
	}

	/**
	 * The pause before the next read. It doubles with each failure and is drawn at random, so that a fleet that
	 * lost the publisher together does not come back to it in one instant and trip the rate that all share.
	 */
	computePauseMs(): number {
		const { leastPauseMs, mostPauseMs } = this.figures;
		const limitMs = Math.min(mostPauseMs, leastPauseMs * 2 ** this.failures);
		return leastPauseMs + this.random.pickFraction() * (limitMs - leastPauseMs);
	}
}

/**
 * Computes how long a long-polling read may wait at the server, and the pause after a failed read.
 *
 * A read that begins during an outage can hang for its whole wait even if the server recovers meanwhile. The process
 * would then keep serving by outdated state for seconds after a change was confirmed, and so would its peers, whose
 * reads hang for the same time. Reads therefore wait only after a successful answer: after a failure, the next read
 * requests the current state, and the one after its answer waits again.
 *
 * A connection that stops delivering data during a wait is detected only when the wait has passed. The wait, the answer
 * timeout beyond it and the recovery therefore fit together into the maximum delay of a change.
 */

import type { IRandom } from '../../../base/common/random';

/** Wait, timeout and pauses of one follower, in milliseconds. */
export interface WatchTimings {
	/** How long a read may wait at the server for a change. */
	readonly maxWaitMs: number;
	/** How long an answer may take beyond the wait before the read is aborted. */
	readonly answerTimeoutMs: number;
	readonly minPauseMs: number;
	readonly maxPauseMs: number;
}

/** Shares of the maximum delay of a change; the remaining tenth is for reconnecting and the read after a failure. */
const maxWaitShare = 0.6;
const answerTimeoutShare = 0.3;

/** A read that was waiting when an outage began, a pause and the recovery together stay well below the maximum delay. */
const maxPauseShare = 0.25;
const minPauseShare = 0.02;

/** Computes timings with which a change is received within `maxDelayMs` once the server answers. */
export function computeWatchTimings(maxDelayMs: number): WatchTimings {
	return {
		maxWaitMs: Math.floor(maxWaitShare * maxDelayMs),
		answerTimeoutMs: Math.floor(answerTimeoutShare * maxDelayMs),
		minPauseMs: minPauseShare * maxDelayMs,
		maxPauseMs: maxPauseShare * maxDelayMs,
	};
}

/** Computes the wait of the next read and the pause after a failure for one follower. */
export class WatchBackoff {
	private consecutiveFailures = 0;
	private isStale = false;

	constructor(
		private readonly timings: WatchTimings,
		private readonly random: IRandom,
	) {}

	/**
	 * How long the next read may wait at the server, in milliseconds; 0 requests the current state. After a failure
	 * it is 0, since a read that begins in an outage could hang until after the server has recovered.
	 */
	computeWaitMs(): number {
		return this.consecutiveFailures > 0 || this.isStale ? 0 : this.timings.maxWaitMs;
	}

	recordAnswer(): void {
		this.consecutiveFailures = 0;
		this.isStale = false;
	}

	/** Marks the state that was read as possibly outdated although no read has failed. */
	markStale(): void {
		this.isStale = true;
	}

	recordFailure(): void {
		this.consecutiveFailures++;
	}

	/**
	 * Returns the pause before the next read. Its upper bound doubles with each failure and the pause is random, so
	 * that processes that lost the server at the same time do not exceed the shared rate limit by retrying together.
	 */
	computePauseMs(): number {
		const { minPauseMs, maxPauseMs } = this.timings;
		const limitMs = Math.min(maxPauseMs, minPauseMs * 2 ** this.consecutiveFailures);
		return minPauseMs + this.random.pickFraction() * (limitMs - minPauseMs);
	}
}

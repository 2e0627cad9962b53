/**
 * How long the steward waits before it asks the platform again. All stewards and entries share the
 * platform's budget of reads, and all of them notice an outage at the same moment; were they to come back
 * together, their first reads alone would be over the budget and nobody would get through.
 */

import type { IRandom } from '../../base/common/random';

const firstWaitMs = 500;
const longestWaitMs = 15_000;

/**
 * Longest hanging watch. A connection that has gone silent while a watch hangs on it hides every new version
 * until the watch is given up, so this bounds how late a version can be seen; a steward on each of 360
 * instances reads the platform 80 times a second so, of two thousand.
 */
const longestWatchMs = 5_000;
const leastWatchShare = 0.8;

/** Gives waits that grow with the failures in a row and differ between processes. */
export class PlatformBackoff {
	private failures = 0;

	constructor(private readonly random: IRandom) {}

	clear(): void {
		this.failures = 0;
	}

	/** The wait after one more failure, in milliseconds, but not less than the platform asks for. */
	takeWait(leastMs: number): number {
		const fullMs = Math.min(longestWaitMs, firstWaitMs * 2 ** this.failures);
		this.failures++;
		return leastMs + fullMs * this.random.pickFraction();
	}

	/** How long the next watch is to hang, in milliseconds. */
	pickWatchMs(): number {
		return Math.round(
			longestWatchMs * (leastWatchShare + (1 - leastWatchShare) * this.random.pickFraction()),
		);
	}
}

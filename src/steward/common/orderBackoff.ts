/**
 * How long the steward leaves an engine alone after a failure. An engine that refuses or ignores its orders
 * would otherwise be asked several times a second for as long as it does so, by every steward of its zone;
 * the wait doubles up to half a minute, and a random part of it keeps several stewards from acting together.
 */

import type { IRandom } from '../../base/common/random';

const firstWaitMs = 500;
const longestWaitMs = 30_000;
const leastShare = 0.5;

/** Counts failures in a row and gives the wait after each. */
export class OrderBackoff {
	private failures = 0;

	constructor(private readonly random: IRandom) {}

	/** The wait after one more failure, in milliseconds. */
	takeWait(): number {
		const fullMs = Math.min(longestWaitMs, firstWaitMs * 2 ** this.failures);
		this.failures++;
		return fullMs * (leastShare + (1 - leastShare) * this.random.pickFraction());
	}

	clear(): void {
		this.failures = 0;
	}
}

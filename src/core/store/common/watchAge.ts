/**
 * Determines the time of the state that an answer of the store describes. Reads are linearizable: a change that was
 * acknowledged before a read was sent is in its answer. The store may end a watch without changes early, for example while
 * it stops, so only one that lasted for its whole wait shows that nothing changed during it.
 */

/** One answered watch. Times are in milliseconds. */
export interface AnsweredWatch {
	/** When the call was sent. */
	readonly sentMs: number;
	/** How long the store was asked to wait. */
	readonly waitMs: number;
	/** Time from the call to its answer by the monotonic clock, which does not count suspensions. */
	readonly tookMs: number;
	readonly isEmpty: boolean;
}

/** Returns the time of the state that the answer leads to. */
export function computeWatchAsOfMs({ sentMs, waitMs, tookMs, isEmpty }: AnsweredWatch): number {
	// The store is sent whole milliseconds.
	const wholeWaitMs = Math.floor(waitMs);
	return isEmpty && tookMs >= wholeWaitMs ? sentMs + wholeWaitMs : sentMs;
}

/**
 * Estimates when a request arrived that an event loop behind its events has read late. Counted from its reading, the
 * deadline of a request that waited unread for two seconds would lie two seconds after that of its caller, and its
 * answer would come when nobody waits for it.
 */

/** A caller that is still there has waited for half of its time on average, however long the event loop stood still. */
const maxWaitShare = 0.5;

/** When a request was read, and how far the event loop was behind. In milliseconds of the monotonic clock. */
export interface ReadTime {
	readonly readMs: number;
	readonly lagMs: number;
}

/** Returns the estimated time of arrival of a request that has to be answered within `timeLimitMs`. */
export function estimateArrivalMs({ readMs, lagMs }: ReadTime, timeLimitMs: number): number {
	return readMs - Math.min(lagMs, timeLimitMs * maxWaitShare);
}

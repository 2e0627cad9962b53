/**
 * Estimates when a request arrived that an event loop behind its events has read late. Counted from its reading, the
 * deadline of a request that waited unread for two seconds would lie two seconds after that of its caller, and its
 * answer would come when nobody waits for it.
 */

/** Limits the correction: a caller that is still connected has part of its time left, however long the lag is. */
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

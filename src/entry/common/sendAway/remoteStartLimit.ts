/**
 * Limits how long an entry of another region may keep a forwarded request before it starts it.
 *
 * When both regions are busy, a peer accepts a request on an offer that is seconds old, cannot start it, and gives it
 * back when most of its time has passed. The region of the sender then starts it too late to answer. The peer
 * therefore gives back at once what it cannot start within the time that the sender's region would have needed, and
 * early enough that this region can still answer.
 */

/** A request at the time when it is forwarded. Times are in milliseconds. */
export interface ForwardedRequestTimes {
	/** Time left until the deadline. */
	readonly remainingMs: number;
	/** Estimated time to the first byte in the region of the sender; infinite if it cannot serve the request. */
	readonly localFirstByteMs: number;
	/** One-way latency of the link to the peer. */
	readonly oneWayMs: number;
}

/** Returns the limit from the time of sending, or undefined if the region of the sender could not answer afterwards. */
export function computeRemoteStartLimitMs(times: ForwardedRequestTimes): number | undefined {
	const { remainingMs, localFirstByteMs, oneWayMs } = times;
	const roundTripMs = 2 * oneWayMs;
	const spareMs = remainingMs - localFirstByteMs - roundTripMs;
	if (!(spareMs > 0)) {
		return undefined;
	}
	// A new connection takes a round trip.
	return Math.min(Math.max(roundTripMs, localFirstByteMs - roundTripMs), spareMs);
}

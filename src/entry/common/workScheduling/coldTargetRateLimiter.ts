/**
 * Limits the request rate to a target that has just started. The load it is designed for is the restart of all
 * targets of a zone while their callers are already waiting. A cold target crashes under a rate that it could
 * serve a few seconds later, and is cold again after the restart, so without a limit the zone never recovers.
 *
 * A cold target gets requests from a few entries (proxy processes) only, no more than it accepts requests in a second,
 * and each of them spaces its own requests by at least a second divided by its part of the rate. So the limit needs no
 * common clock: entries that read the registration late, or whose event loop is late, still add up to the rate. Which
 * entries these are follows from an order that each of them computes alike, in which an entry counts those that
 * it does not know as being before it.
 *
 * An entry has one request at a time between the decision and the connection. Requests that waited for a target which
 * does not accept connections would all arrive when it does.
 */

const msPerSecond = 1_000;

/** Keeps requests of one second apart that travel for different times. */
const spacingFactor = 1.05;

/** The rate limit of a cold target, and what it is divided by. */
export interface ColdTargetLimit {
	/** Maximum requests per second from all entries; infinite if the rate is not limited. */
	readonly requestsPerSecond: number;
	/** Number of entries that may send to the target, including this one. */
	readonly entries: number;
	/** Zero-based index of this entry in their order; infinite if it is not known. */
	readonly senderRank: number;
}

/** Limits the requests that one entry sends to one cold target. */
export class ColdTargetRateLimiter {
	private lastSentMs = Number.NEGATIVE_INFINITY;
	private isConnecting = false;

	isSendAllowed(limit: ColdTargetLimit, nowMs: number): boolean {
		if (!Number.isFinite(limit.requestsPerSecond)) {
			return true;
		}
		return isSender(limit) && !this.isConnecting && nowMs - this.lastSentMs >= computeIntervalMs(limit);
	}

	/** Returns when the next request may be sent, in monotonic milliseconds; infinite if this entry may not send any. */
	getNextSendMs(limit: ColdTargetLimit, nowMs: number): number {
		if (!Number.isFinite(limit.requestsPerSecond)) {
			return nowMs;
		}
		const intervalMs = computeIntervalMs(limit);
		const sentMs = this.isConnecting ? nowMs : this.lastSentMs;
		return isSender(limit) ? Math.max(nowMs, sentMs + intervalMs) : Number.POSITIVE_INFINITY;
	}

	/** Records that a request was assigned to the target. */
	noteAssigned(nowMs: number): void {
		this.isConnecting = true;
		this.lastSentMs = nowMs;
	}

	/** Records that the request is written to a connection, or that it ended before that. */
	noteConnected(nowMs: number): void {
		if (this.isConnecting) {
			this.isConnecting = false;
			this.lastSentMs = nowMs;
		}
	}
}

/** Number of entries that send to the target. */
function countSenders({ requestsPerSecond, entries }: ColdTargetLimit): number {
	return Math.max(1, Math.min(entries, Math.floor(requestsPerSecond)));
}

function isSender(limit: ColdTargetLimit): boolean {
	return limit.requestsPerSecond > 0 && limit.senderRank < countSenders(limit);
}

/** Returns the minimum time between two requests of this entry. */
function computeIntervalMs(limit: ColdTargetLimit): number {
	const share = limit.requestsPerSecond / countSenders(limit);
	const requestsPerSecond = share < 1 ? share : Math.floor(share);
	return (msPerSecond / requestsPerSecond) * spacingFactor;
}

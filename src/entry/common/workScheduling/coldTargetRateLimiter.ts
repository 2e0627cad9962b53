/**
 * Limits the request rate to a target that has just started. The load it is designed for is the restart of all
 * targets of a zone while their callers are already waiting. A cold target crashes under a rate that it could
 * serve a few seconds later, and is cold again after the restart, so without a limit the zone never recovers.
 *
 * The rate is divided among the entries (proxy processes) that send to the target. It is not enough that each
 * entry spaces its own requests: the first requests of twenty entries can fall into the same second, which sent
 * seven requests to a target that could serve two. Instead entries take turns. Turns are counted back from the end
 * of the cold period, which all entries know, and each entry has one turn per round and sends one request per
 * turn. So no second gets more requests than the rate plus the two turns that it partly covers.
 */

const msPerSecond = 1_000;

/** Schedule of turns for a cold target. */
export interface ColdTargetTurns {
	/** End of the cold period, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/** Maximum requests per second from all entries until then; infinite if the rate is not limited. */
	readonly requestsPerSecond: number;
	/** Number of entries that take turns, and the zero-based index of this one. */
	readonly entryCount: number;
	readonly entryIndex: number;
}

/** Limits the requests that one entry sends to one cold target. */
export class ColdTargetRateLimiter {
	private lastUsedTurn: number | undefined;

	isSendAllowed(turns: ColdTargetTurns, nowMs: number): boolean {
		if (!Number.isFinite(turns.requestsPerSecond)) {
			return true;
		}
		const turn = computeRemainingTurns(turns, nowMs);
		return turn % turns.entryCount === turns.entryIndex && turn !== this.lastUsedTurn;
	}

	/** Returns when the next request may be sent, in monotonic milliseconds. */
	getNextSendMs(turns: ColdTargetTurns, nowMs: number): number {
		if (this.isSendAllowed(turns, nowMs)) {
			return nowMs;
		}
		const turn = computeRemainingTurns(turns, nowMs);
		const { entryCount, entryIndex, coldUntilMs, requestsPerSecond } = turns;
		const turnsAway = (turn - entryIndex + entryCount) % entryCount || entryCount;
		const nextTurn = turn - turnsAway;
		return nextTurn < 0 ? coldUntilMs : coldUntilMs - ((nextTurn + 1) * msPerSecond) / requestsPerSecond;
	}

	/** Returns the number of turns left until the end of the cold period; 0 if the rate is not limited. */
	computeTurn(turns: ColdTargetTurns, nowMs: number): number {
		return Number.isFinite(turns.requestsPerSecond) ? computeRemainingTurns(turns, nowMs) : 0;
	}

	noteSent(turns: ColdTargetTurns, nowMs: number): void {
		this.lastUsedTurn = Number.isFinite(turns.requestsPerSecond)
			? computeRemainingTurns(turns, nowMs)
			: undefined;
	}
}

/** Returns the number of turns left until the end of the cold period, without the current one. */
function computeRemainingTurns({ coldUntilMs, requestsPerSecond }: ColdTargetTurns, nowMs: number): number {
	return Math.floor(((coldUntilMs - nowMs) * requestsPerSecond) / msPerSecond);
}

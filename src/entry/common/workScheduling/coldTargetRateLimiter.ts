/**
 * How many requests a target that has just started may be sent. Load pattern: the targets of a zone come
 * back together, and all callers are there already. A target that is still cold crashes under a rate that it
 * bears a few seconds later, and then it is cold once more; the zone never comes back.
 *
 * The rate that a target bears is divided by the entries that send to it. Parts of it that each entry spaces
 * for itself do not add up to the rate: the first sends of twenty entries fall into the same second, seen as
 * seven requests at a target that bears two. So entries take turns. Counted back from the end of the cold
 * time, which all of them know alike, each has a turn in every round, and one request a turn; no second sees
 * more than the rate and the two turns that it cuts.
 */

const msPerSecond = 1_000;

/** Whose turn it is at a cold target. */
export interface ColdTurns {
	/** When the target is no longer cold, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/** Requests a second that it bears until then, those of all entries together; infinite where it bears all. */
	readonly requestsPerSecond: number;
	/** Entries that take turns, and the place of this one among them, from 0. */
	readonly entries: number;
	readonly place: number;
}

/** The sends of one entry to one cold target. */
export class ColdAllowance {
	private lastTurn: number | undefined;

	/** Whether a request may be sent now. */
	isOpen(turns: ColdTurns, nowMs: number): boolean {
		if (!Number.isFinite(turns.requestsPerSecond)) {
			return true;
		}
		const turn = computeTurn(turns, nowMs);
		return turn % turns.entries === turns.place && turn !== this.lastTurn;
	}

	/** When the next request may be sent, in monotonic milliseconds. */
	getNextMs(turns: ColdTurns, nowMs: number): number {
		if (this.isOpen(turns, nowMs)) {
			return nowMs;
		}
		const turn = computeTurn(turns, nowMs);
		const { entries, place, coldUntilMs, requestsPerSecond } = turns;
		const turnsAway = (turn - place + entries) % entries || entries;
		const nextTurn = turn - turnsAway;
		return nextTurn < 0 ? coldUntilMs : coldUntilMs - ((nextTurn + 1) * msPerSecond) / requestsPerSecond;
	}

	noteSent(turns: ColdTurns, nowMs: number): void {
		this.lastTurn = Number.isFinite(turns.requestsPerSecond) ? computeTurn(turns, nowMs) : undefined;
	}
}

/** Turns that are left until the cold time ends, the present one not counted. */
function computeTurn({ coldUntilMs, requestsPerSecond }: ColdTurns, nowMs: number): number {
	return Math.floor(((coldUntilMs - nowMs) * requestsPerSecond) / msPerSecond);
}

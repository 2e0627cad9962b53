/**
 * How a planned stop spends the time until the platform ends the process by force. Load pattern: entries are
 * stopped one after the other under load. Callers go by what a directory told them some seconds ago, so
 * requests go on arriving at an entry that has said that it leaves. Refused at once, they are late; taken
 * until the end, the last of them are cut off.
 *
 * So the entry serves for a quarter of the time, refuses what comes after it, and ends as soon as nothing is
 * in progress. Staying longer would serve the few that go by an old answer, at the price of all: entries that
 * are stopped two seconds after each other would all be leaving at once, and a region be left with none. It
 * ends a little before it would be ended, so that what is left sees its connections closed by choice and the
 * log tells how many these were.
 *
 * The last entry of a region that is still taking callers says nothing of its leaving until another one of
 * the region has started, or until the time that is left is needed to finish what it took. Without that, the
 * callers of a region whose entries are replaced two seconds after each other are led to other regions for the
 * three seconds that a process takes to finish and to start: their requests are slow there, or must not be
 * read there. Nothing is taken in the last five eighths of the time all the same: an answer that had to be begun
 * then, at a target that turned slow, was cut off in its middle when the process was ended.
 */

/** How an entry leaves, in milliseconds. */
export interface LeavingTimes {
	/** How long the last entry of a region goes on taking callers as if it had not been stopped. */
	readonly staysMs: number;
	/** How long new work is still taken from those who do not know yet, after it has said that it leaves. */
	readonly servesMs: number;
	/** From the signal, up to when new work is taken at all; the rest is for the longest answers to end. */
	readonly takesMs: number;
	/** How long it goes on listening after that, to say that it leaves. */
	readonly refusesMs: number;
	/** From the signal, when it ends at the latest, whatever is in progress. */
	readonly endsMs: number;
}

/** A short question at a target that had turned slow took 3.8 s; a grace of eight seconds leaves such answers five. */
const takingShare = 0.375;
const servingShare = 0.25;
const refusingShare = 0.03;
const reserveMs = 300;
const msPerSecond = 1_000;

/** Where nobody ends the process: callers go by a lookup for up to this long, in milliseconds. */
const usualRefusingMs = 6_000;

/** Plans a stop; `killedAfterS` is undefined where the process may take its time. */
export function planLeaving(killedAfterS: number | undefined): LeavingTimes {
	if (killedAfterS === undefined) {
		const unbounded = { takesMs: Number.POSITIVE_INFINITY, endsMs: Number.POSITIVE_INFINITY };
		return { staysMs: 0, servesMs: 0, refusesMs: usualRefusingMs, ...unbounded };
	}
	const wholeMs = killedAfterS * msPerSecond;
	return {
		staysMs: wholeMs * takingShare,
		servesMs: wholeMs * servingShare,
		takesMs: wholeMs * takingShare,
		refusesMs: wholeMs * refusingShare,
		endsMs: wholeMs - reserveMs,
	};
}

/** Up to when new work is taken, in milliseconds from the signal, if the entry says `saidMs` after it that it leaves. */
export function computeTakingMs({ servesMs, takesMs }: LeavingTimes, saidMs: number): number {
	return Math.max(saidMs, Math.min(saidMs + servesMs, takesMs));
}

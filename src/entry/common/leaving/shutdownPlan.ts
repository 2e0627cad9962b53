/**
 * Divides the time between the stop signal and the moment when the platform kills the process. Entries are
 * stopped one after the other under load. Callers use directory information that is some seconds old, so
 * requests keep arriving at an entry that has announced that it is leaving. If it refuses them at once, they are
 * answered late. If it accepts them until the end, the last of them are cut off.
 *
 * So the entry accepts requests for a quarter of the time after its announcement, refuses later ones, and exits
 * as soon as nothing is in progress. A longer acceptance would serve only the few callers with old information,
 * and entries that are stopped two seconds after each other would all be leaving at once, which leaves a region
 * without entries. The entry exits shortly before it would be killed, so that the remaining connections are
 * closed in an orderly way and the log reports their number.
 *
 * The last entry of a region that accepts callers delays its announcement until another entry of the region has
 * started, or until the remaining time is needed to finish the accepted requests. Without the delay, the callers
 * of a region whose entries are replaced two seconds after each other are directed to other regions for the three
 * seconds that a process takes to finish and to start. Their requests are slow there, or must not be read there.
 * In any case nothing is accepted in the last five eighths of the time. An answer that began in that period, at a
 * target that had become slow, was cut off when the process was killed.
 *
 * Requests that are still in progress shortly before the exit are ended by the entry. The exit itself closes connections as
 * after a whole answer, and sends nothing to callers that wait for one.
 */

/** The phases of a planned stop, in milliseconds. */
export interface ShutdownTimes {
	/** Maximum time that the last entry of a region waits before it announces that it is leaving. */
	readonly maxAnnounceDelayMs: number;
	/** How long requests are accepted after the announcement, for callers that have not received it yet. */
	readonly acceptAfterAnnounceMs: number;
	/** Time from the signal until which requests may be accepted at all. The rest is left for the longest answers. */
	readonly maxAcceptMs: number;
	/** How long the entry keeps listening after that, to refuse requests and report that it is leaving. */
	readonly refuseMs: number;
	/** Time from the signal after which the requests that are still in progress are ended. */
	readonly endRequestsMs: number;
	/** Time from the signal after which the process exits, even if requests are in progress. */
	readonly exitMs: number;
}

/** Leaves five of eight seconds for the last answers: a short answer at a slow target took 3.8 s. */
const acceptShare = 0.375;
const acceptAfterAnnounceShare = 0.25;
const refuseShare = 0.03;
const exitReserveMs = 300;
/** Time in which refusals are sent and connections are reset before the exit. */
const endRequestsReserveMs = 150;
const msPerSecond = 1_000;

/** Without a kill timeout, requests are refused for as long as callers may use the result of a lookup. */
const defaultRefuseMs = 6_000;

/** Plans a stop. `killedAfterS` is undefined if the platform does not kill the process. */
export function planShutdown(killedAfterS: number | undefined): ShutdownTimes {
	if (killedAfterS === undefined) {
		const unboundedTimes = {
			maxAcceptMs: Number.POSITIVE_INFINITY,
			endRequestsMs: Number.POSITIVE_INFINITY,
			exitMs: Number.POSITIVE_INFINITY,
		};
		return { maxAnnounceDelayMs: 0, acceptAfterAnnounceMs: 0, refuseMs: defaultRefuseMs, ...unboundedTimes };
	}
	const gracePeriodMs = killedAfterS * msPerSecond;
	return {
		maxAnnounceDelayMs: gracePeriodMs * acceptShare,
		acceptAfterAnnounceMs: gracePeriodMs * acceptAfterAnnounceShare,
		maxAcceptMs: gracePeriodMs * acceptShare,
		refuseMs: gracePeriodMs * refuseShare,
		endRequestsMs: gracePeriodMs - exitReserveMs - endRequestsReserveMs,
		exitMs: gracePeriodMs - exitReserveMs,
	};
}

/** Computes until when requests are accepted. Both times are milliseconds since the signal. */
export function computeAcceptMs(
	{ acceptAfterAnnounceMs, maxAcceptMs }: ShutdownTimes,
	announcedMs: number,
): number {
	return Math.max(announcedMs, Math.min(announcedMs + acceptAfterAnnounceMs, maxAcceptMs));
}

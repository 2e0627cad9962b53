/**
 * Counts of what an entry does on its event loop. The parts of the entry count since the start of the process; the
 * difference of two readings shows what ran in between.
 */

/** Messages to and from other entries. */
export interface FleetWorkCounts {
	readonly exchangesReceived: number;
	readonly exchangesStarted: number;
	readonly crashReportsReceived: number;
}

/** Work for requests of callers and of other entries. */
export interface RequestWorkCounts {
	readonly requestsStarted: number;
	/** Attempts at targets, retries included. */
	readonly attemptsStarted: number;
	readonly answerChunks: number;
	/** Requests that ended because their caller closed the connection or cancelled them. */
	readonly callerCloses: number;
}

/** All work of an entry that is counted. */
export interface WorkCounts extends FleetWorkCounts, RequestWorkCounts {
	/** Connections accepted from callers and from other entries. */
	readonly connectionsAccepted: number;
	/** Times that the targets of a service were listed anew for its scheduler. */
	readonly targetUpdates: number;
}

/** Returns the work between two readings. */
export function computeWorkBetween(before: WorkCounts, after: WorkCounts): WorkCounts {
	return {
		exchangesReceived: after.exchangesReceived - before.exchangesReceived,
		exchangesStarted: after.exchangesStarted - before.exchangesStarted,
		crashReportsReceived: after.crashReportsReceived - before.crashReportsReceived,
		requestsStarted: after.requestsStarted - before.requestsStarted,
		attemptsStarted: after.attemptsStarted - before.attemptsStarted,
		answerChunks: after.answerChunks - before.answerChunks,
		callerCloses: after.callerCloses - before.callerCloses,
		connectionsAccepted: after.connectionsAccepted - before.connectionsAccepted,
		targetUpdates: after.targetUpdates - before.targetUpdates,
	};
}

/**
 * What was done so far for one request of a caller, over all entries (proxy processes) that had it. The limits of a
 * request apply to the caller's attempt: a request that is forwarded, or that a peer gives back, does not begin anew.
 */

import type { TargetId } from '../../../core/ids/common/ids';

export interface AttemptHistory {
	/** Sends that may have reached a target, whether it ran the request or refused it. */
	readonly sends: number;
	/** Sends that a target may have run. */
	readonly possibleRuns: number;
	/** Targets that may have got the request. */
	readonly triedTargets: readonly TargetId[];
	/** Whether an entry has counted the request into its budget of retries. */
	readonly isCounted: boolean;
}

/** The history of a request that no entry had before. */
export const noAttempts: AttemptHistory = { sends: 0, possibleRuns: 0, triedTargets: [], isCounted: false };

/** Adds a send that the target may run. */
export function addSend(history: AttemptHistory, target: TargetId): AttemptHistory {
	return {
		...history,
		sends: history.sends + 1,
		possibleRuns: history.possibleRuns + 1,
		triedTargets: [...history.triedTargets, target],
	};
}

/** Records that the target of the last send reported that it did not run the request. */
export function markLastNotRun(history: AttemptHistory): AttemptHistory {
	return { ...history, possibleRuns: Math.max(0, history.possibleRuns - 1) };
}

/** Describes the history for the log. */
export function describeHistory({ sends, possibleRuns, triedTargets, isCounted }: AttemptHistory): string {
	const tried = triedTargets.length === 0 ? '' : ` at ${triedTargets.join(', ')}`;
	return `${sends} sent, ${possibleRuns} possibly run${tried}, ${isCounted ? 'counted' : 'not counted'} as a request`;
}

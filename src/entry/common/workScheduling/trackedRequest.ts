/**
 * What the scheduler keeps of a request between its submission and its last attempt, and whether the request may be
 * attempted once more.
 */

import type { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { TargetId } from '../../../core/ids/common/ids';
import { noAttempts } from '../requests/attemptHistory';
import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import { AttemptEnd } from '../scheduling/serviceScheduler';
import type { TargetLoadModel } from './targetLoadModel';

/** A request that waits here or runs on a target. */
export interface TrackedRequest {
	readonly request: SchedulableRequest;
	/** Targets that were tried, also by other entries. */
	readonly triedTargets: TargetId[];
	/** Attempts that a target may have executed, including those of other entries. */
	possibleRuns: number;
	/** Whether any attempt may have been executed; a refusal then reports an unknown outcome. */
	mayHaveRun: boolean;
	/** Sends that may have reached a target, including those of other entries. Each one after the first is a retry. */
	sends: number;
	/** Whether a retry of the budget is set aside for the request. */
	hasReservedRetry: boolean;
	runningOn: TargetLoadModel | undefined;
	hasFirstByte: boolean;
	lastErrorKind: ErrorKind | undefined;
}

/** Attempts allowed beyond the maximum of the route, because targets may refuse attempts without executing them. */
const maxExtraRefusedSends = 2;

/** Starts to track a request. */
export function createTrackedRequest(request: SchedulableRequest): TrackedRequest {
	const { sends, triedTargets, possibleRuns } = request.history ?? noAttempts;
	return {
		request,
		triedTargets: [...triedTargets],
		possibleRuns,
		mayHaveRun: possibleRuns > 0,
		sends,
		hasReservedRetry: false,
		runningOn: undefined,
		hasFirstByte: false,
		lastErrorKind: undefined,
	};
}

/** Counts an attempt that has ended. */
export function countAttempt(tracked: TrackedRequest, target: TargetId, end: AttemptEnd): void {
	const isNotRun = end === AttemptEnd.TargetRefused || end === AttemptEnd.NotConnected;
	tracked.possibleRuns += isNotRun ? 0 : 1;
	tracked.mayHaveRun ||= !isNotRun;
	tracked.triedTargets.push(target);
}

/** Whether a request may be attempted again after an attempt that ended so, apart from the budget of retries. */
export function isRepeatAllowed(
	tracked: TrackedRequest,
	end: AttemptEnd,
	minRemainingMs: number,
	nowMs: number,
): boolean {
	const { request } = tracked;
	if (end === AttemptEnd.Answered || end === AttemptEnd.Cancelled) {
		return false;
	}
	const { maxAttempts = 1, maxRuns = maxAttempts } = request.work ?? {};
	const isRunLeft = tracked.possibleRuns < Math.min(maxAttempts, maxRuns);
	const isRunAllowed = tracked.mayHaveRun ? request.isRepeatable && isRunLeft : true;
	const isPartlyAnswered =
		(tracked.hasFirstByte && request.work?.isResumable !== true) || request.isContinuable?.() === false;
	const isSentTooOften = tracked.triedTargets.length >= maxAttempts + maxExtraRefusedSends;
	return isRunAllowed && !isPartlyAnswered && !isSentTooOften && request.deadlineMs - nowMs > minRemainingMs;
}

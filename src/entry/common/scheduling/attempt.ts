/**
 * The state of a request in the scheduler, waiting or running, and of its attempts.
 */

import { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { TargetId } from '../../../core/ids/common/ids';
import type { QueuedRequest } from './fairQueue';
import type { SchedulableRequest } from './serviceScheduler';
import { AttemptEnd } from './serviceScheduler';
import type { PooledTarget } from './targetPool';

/** The running attempt of a request. */
export interface RunningAttempt {
	readonly target: PooledTarget;
	readonly startedMs: number;
	readonly expectedMs: number;
	readonly isTrial: boolean;
	/** The request was in flight when a target crashed (see `SchedulableRequest.isKeptApart`). */
	readonly isCrashSuspect: boolean;
	hasFirstByte: boolean;
	/** The attempt was reported as slow while it was still running. */
	isOverdue: boolean;
}

/** The state of a request from its submission until the scheduler removes it. */
export interface HeldRequest {
	readonly request: SchedulableRequest;
	/** The queue item, while the request waits for its first attempt. */
	queued: QueuedRequest | undefined;
	running: RunningAttempt | undefined;
	readonly triedTargets: TargetId[];
	/** Whether any attempt may have run. Never reset, so that a later refusal isn't reported as `not-run`. */
	mayHaveRun: boolean;
	/** Error of the first attempt that may have run, or else of the last attempt. */
	fault: ErrorKind | undefined;
}

const errorKindsByEnd: Readonly<Record<AttemptEnd, ErrorKind | undefined>> = {
	[AttemptEnd.Answered]: undefined,
	[AttemptEnd.Cancelled]: undefined,
	[AttemptEnd.TargetRefused]: ErrorKind.TargetRefused,
	[AttemptEnd.NotConnected]: ErrorKind.TargetRefused,
	[AttemptEnd.Failed]: ErrorKind.TargetFailed,
	[AttemptEnd.Erred]: ErrorKind.TargetFailed,
	[AttemptEnd.Silent]: ErrorKind.TargetSilent,
	[AttemptEnd.Unconfirmed]: ErrorKind.TargetFailed,
};

/** Whether an attempt with this end can't have run at the target. */
export function isNotRun(end: AttemptEnd): boolean {
	return end === AttemptEnd.TargetRefused || end === AttemptEnd.NotConnected;
}

/** Adds a failed attempt to the state of its request. */
export function recordFailure(held: HeldRequest, target: TargetId, end: AttemptEnd): void {
	held.triedTargets.push(target);
	if (!held.mayHaveRun) {
		held.fault = errorKindsByEnd[end];
	}
	held.mayHaveRun ||= !isNotRun(end);
}

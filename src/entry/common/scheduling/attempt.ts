/**
 * A request that the scheduler holds, waiting or running, and what its attempts have come to.
 */

import { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { TargetId } from '../../../core/ids/common/ids';
import type { QueuedRequest } from './fairQueue';
import type { SchedulableRequest } from './serviceScheduler';
import { AttemptEnd } from './serviceScheduler';
import type { PooledTarget } from './targetPool';

/** The attempt that runs. */
export interface RunningAttempt {
	readonly target: PooledTarget;
	readonly startedMs: number;
	readonly expectedMs: number;
	readonly isTrial: boolean;
	/** It holds the target's one place for requests that must run apart. */
	readonly isCrashSuspect: boolean;
	hasFirstByte: boolean;
	/** Its lateness has been noted before its end. */
	isOverdue: boolean;
}

/** A request from its submission to the moment the scheduler forgets it. */
export interface HeldRequest {
	readonly request: SchedulableRequest;
	/** Its place in the queue, while it waits for its first attempt. */
	queued: QueuedRequest | undefined;
	running: RunningAttempt | undefined;
	readonly triedTargets: TargetId[];
	/** Some attempt may have run. Never taken back: a later refusal must not tell the caller otherwise. */
	mayHaveRun: boolean;
	/** Why the last attempt failed, or the first one that may have run. */
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
};

/** Whether an attempt that ended so cannot have run. */
export function isNotRun(end: AttemptEnd): boolean {
	return end === AttemptEnd.TargetRefused || end === AttemptEnd.NotConnected;
}

/** Notes a failed attempt on its request. */
export function recordFailure(held: HeldRequest, target: TargetId, end: AttemptEnd): void {
	held.triedTargets.push(target);
	if (!held.mayHaveRun) {
		held.fault = errorKindsByEnd[end];
	}
	held.mayHaveRun ||= !isNotRun(end);
}

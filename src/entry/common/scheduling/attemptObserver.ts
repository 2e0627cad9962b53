/**
 * Updates the scheduler's statistics from attempts: run times, speed and health of targets, corrections of
 * wrongly estimated work, and the retries earned by successes.
 */

import type { HeldRequest, RunningAttempt } from './attempt';
import { isNotRun } from './attempt';
import type { ClassLanes } from './classLanes';
import type { OutlierPolicy } from './policy';
import type { RetryBudget } from './retryBudget';
import { AttemptEnd } from './serviceScheduler';
import type { TargetPool } from './targetPool';
import type { WorkEstimator } from './workEstimator';

/** Updates the statistics of one service from its attempts. */
export class AttemptObserver {
	constructor(
		private readonly policy: OutlierPolicy,
		private readonly lanes: ClassLanes,
		private readonly pool: TargetPool,
		private readonly estimator: WorkEstimator,
		private readonly budget: RetryBudget,
	) {}

	/** Records the start of an attempt and takes its slot. */
	noteStart(held: HeldRequest, attempt: RunningAttempt, nowMs: number): void {
		const lane = this.lanes.getLane(held.request.requestClass);
		const { use, id } = attempt.target;
		lane.running++;
		use.running++;
		use.runningOutsideReserve += lane.policy.reservedShare > 0 ? 1 : 0;
		use.runningCrashSuspects += attempt.isCrashSuspect ? 1 : 0;
		this.pool.recordStart(use, attempt.expectedMs, nowMs);
		if (attempt.isTrial) {
			this.pool.outlierDetector.beginTrial(id, nowMs);
		}
		this.pool.updateFree(attempt.target, nowMs);
	}

	/** Records the first byte of an answer, which shows that the target works. */
	noteFirstByte(attempt: RunningAttempt, nowMs: number): void {
		attempt.hasFirstByte = true;
		this.pool.clearFailures(attempt.target.use);
		this.pool.updateFree(attempt.target, nowMs);
	}

	/** Records the end of an attempt and frees its slot. */
	noteEnd(held: HeldRequest, attempt: RunningAttempt, end: AttemptEnd, nowMs: number): void {
		const { requestClass, organisation } = held.request;
		const { use, id } = attempt.target;
		const ranMs = nowMs - attempt.startedMs;
		const lane = this.lanes.getLane(requestClass);
		lane.running--;
		use.running--;
		use.runningOutsideReserve -= lane.policy.reservedShare > 0 ? 1 : 0;
		use.runningCrashSuspects -= attempt.isCrashSuspect ? 1 : 0;
		if (attempt.isTrial) {
			this.pool.outlierDetector.endTrial(id);
		}
		this.lanes.addCharge(requestClass, organisation, ranMs - attempt.expectedMs);
		this.updateHealth(attempt, end, nowMs);
		if (end === AttemptEnd.Answered) {
			this.recordAnswer(held, attempt, ranMs);
		} else if (ranMs > attempt.expectedMs && !isNotRun(end)) {
			this.recordInterruptedRun(held, attempt, ranMs);
		}
		this.pool.updateFree(attempt.target, nowMs);
	}

	/**
	 * Reports a run that far exceeds its expected time as slow before it ends, since runs on a slow target
	 * end late.
	 */
	noteOverdue(attempt: RunningAttempt, nowMs: number): void {
		const ranMs = nowMs - attempt.startedMs;
		if (!attempt.isOverdue && ranMs > attempt.expectedMs * this.policy.overdueFactor) {
			attempt.isOverdue = true;
			this.pool.outlierDetector.recordRun(attempt.target.id, ranMs, attempt.expectedMs);
		}
	}

	private recordAnswer(held: HeldRequest, attempt: RunningAttempt, ranMs: number): void {
		const { requestClass, organisation } = held.request;
		this.estimator.recordRun(organisation, requestClass, ranMs);
		this.pool.outlierDetector.recordRun(attempt.target.id, ranMs, attempt.expectedMs);
		if (held.triedTargets.length === 0) {
			this.budget.recordFirstAttemptSuccess();
		}
	}

	/**
	 * Records an interrupted run as a lower bound of its duration. Ignoring it would keep the estimate too
	 * low.
	 */
	private recordInterruptedRun(held: HeldRequest, attempt: RunningAttempt, ranMs: number): void {
		const { requestClass, organisation } = held.request;
		this.estimator.recordRun(organisation, requestClass, ranMs);
		if (!attempt.isOverdue) {
			this.pool.outlierDetector.recordRun(attempt.target.id, ranMs, attempt.expectedMs);
		}
	}

	private updateHealth(attempt: RunningAttempt, end: AttemptEnd, nowMs: number): void {
		const { use } = attempt.target;
		switch (end) {
			case AttemptEnd.Answered:
			case AttemptEnd.Unconfirmed:
				this.pool.clearFailures(use);
				return;
			case AttemptEnd.TargetRefused:
				use.cutLimit(nowMs);
				this.pool.pauseTarget(use, nowMs);
				return;
			case AttemptEnd.NotConnected:
			case AttemptEnd.Failed:
			case AttemptEnd.Erred:
				this.pool.pauseTarget(use, nowMs);
				return;
			case AttemptEnd.Silent:
			case AttemptEnd.Cancelled:
				// A silent connection or a caller that left doesn't show whether new connections to the target work.
				return;
		}
	}
}

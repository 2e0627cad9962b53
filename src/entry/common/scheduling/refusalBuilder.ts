/**
 * Builds the refusals of one service: the error that the caller receives and its retry delay.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { HeldRequest } from './attempt';
import type { ClassLanes } from './classLanes';
import type { RetryAfterPlanner } from './retryAfterPlanner';
import type { RefuseDecision, SchedulableRequest } from './serviceScheduler';
import { ScheduleDecisionKind } from './serviceScheduler';
import type { WaitPredictor } from './waitPredictor';
import type { WorkEstimator } from './workEstimator';

/** Builds the refuse decisions of one service. */
export class RefusalBuilder {
	constructor(
		private readonly lanes: ClassLanes,
		private readonly estimator: WorkEstimator,
		private readonly predictor: WaitPredictor,
		private readonly retryAfterPlanner: RetryAfterPlanner,
	) {}

	/** Builds the refusal of a request for which no attempt was made. */
	createNotRun(request: SchedulableRequest, kind: ErrorKind, detail: string, nowMs: number): RefuseDecision {
		const retryAfterMs = this.planRetryAfter(request, nowMs);
		return createDecision(request, createRequestError(kind, detail, { retryAfterMs }));
	}

	/** Builds the refusal after failed attempts. The outcome is `not-run` only if no attempt can have run. */
	createAfterFailedAttempts(held: HeldRequest, detail: string, nowMs: number): RefuseDecision {
		const { request, mayHaveRun } = held;
		const retryAfterMs = this.planRetryAfter(request, nowMs);
		const kind = held.fault ?? (mayHaveRun ? ErrorKind.TargetFailed : ErrorKind.DeadlineUnreachable);
		return createDecision(
			request,
			createRequestError(kind, detail, { retryAfterMs, isOutcomeUnknown: mayHaveRun }),
		);
	}

	private planRetryAfter(request: SchedulableRequest, nowMs: number): number {
		const { organisation, requestClass, organisationWeight: weight = 1 } = request;
		const lane = this.lanes.getLane(requestClass);
		const timeLeftMs = Math.max(0, request.deadlineMs - nowMs);
		const slots = this.predictor.countUsableSlots(lane, timeLeftMs);
		return this.retryAfterPlanner.planDelay(
			{
				organisation,
				waitMs: this.predictor.estimateWait(lane, organisation, weight, timeLeftMs),
				workMs: this.estimator.estimate(organisation, requestClass),
				weight,
				slots,
			},
			nowMs,
		);
	}
}

function createDecision(request: SchedulableRequest, error: RequestError): RefuseDecision {
	return { kind: ScheduleDecisionKind.Refuse, requestId: request.id, error };
}

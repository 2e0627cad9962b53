/**
 * Baseline schedulers for the comparison with the product's scheduler. They send every request to a target
 * immediately, as a simple load balancer does, and requests queue at the target: there is no admission control,
 * no concurrency limit and no fairness. The baselines differ in how they choose the target. If retries are
 * enabled, every failure is retried, up to a number of attempts for each request and without a retry budget.
 */

import type { IRandom } from '../../base/common/random';
import type {
	IServiceScheduler,
	SchedulableRequest,
	SchedulableTarget,
	ScheduleDecision,
	ServiceRoom,
	TargetRoom,
} from '../../entry/common/scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../../entry/common/scheduling/serviceScheduler';
import { createRequestError, ErrorKind } from '../../core/errors/common/errorKinds';
import type { RequestId, TargetId } from '../../core/ids/common/ids';

/** How a baseline scheduler chooses the target. */
export enum BaselinePolicy {
	Random = 'random',
	RoundRobin = 'round-robin',
	LeastInFlight = 'least-in-flight',
	/**
	 * The target with the lowest load in the last load reports. Prone to herding: between two reports, all requests go
	 * to the same target.
	 */
	LeastReported = 'least-reported',
}

const maxAttempts = 3;
const noTargetRetryAfterMs = 1_000;

interface BaselineTarget {
	readonly id: TargetId;
	inFlight: number;
	reported: number;
}

interface BaselineRequest {
	readonly request: SchedulableRequest;
	attempts: number;
	target: BaselineTarget | undefined;
}

/** Sends every request to a target immediately. */
export class BaselineScheduler implements IServiceScheduler {
	private targets: readonly BaselineTarget[] = [];
	private readonly openRequests = new Map<RequestId, BaselineRequest>();
	private waiting: BaselineRequest[] = [];
	private nextTargetIndex = 0;

	constructor(
		private readonly policy: BaselinePolicy,
		private readonly random: IRandom,
		private readonly isRetrying: boolean,
	) {}

	setTargets(targets: readonly SchedulableTarget[]): void {
		this.targets = targets
			.filter(target => !target.isLeaving)
			.map(({ id }) => this.targets.find(known => known.id === id) ?? { id, inFlight: 0, reported: 0 });
	}

	submit(request: SchedulableRequest): void {
		const openRequest = { request, attempts: 0, target: undefined };
		this.openRequests.set(request.id, openRequest);
		this.waiting.push(openRequest);
	}

	advance(): readonly ScheduleDecision[] {
		const waiting = this.waiting;
		this.waiting = [];
		return waiting.map(openRequest => this.decideFor(openRequest));
	}

	getNextDueMs(): undefined {
		return undefined;
	}

	/** Does nothing: a pause ends by itself soon. */
	resumeTargets(): void {
		return;
	}

	/** Does nothing: all targets get requests while they connect. */
	noteHandedOver(): void {
		return;
	}

	noteFirstByte(): void {
		return;
	}

	noteEnd(requestId: RequestId, end: AttemptEnd): boolean {
		const openRequest = this.openRequests.get(requestId);
		if (openRequest?.target === undefined) {
			return false;
		}
		openRequest.target.inFlight--;
		openRequest.target = undefined;
		const isFailure = end !== AttemptEnd.Answered && end !== AttemptEnd.Cancelled;
		if (isFailure && this.isRetrying && openRequest.attempts < maxAttempts) {
			this.waiting.push(openRequest);
			return true;
		}
		this.openRequests.delete(requestId);
		return false;
	}

	/** Always false: a failure that the target answered with is forwarded to the caller. */
	isRetriable(): boolean {
		return false;
	}

	/** The next attempt finds another target, or waits for one. */
	noteSilence(): boolean {
		return true;
	}

	noteLoad(id: TargetId, load: { running: number; waiting: number }): void {
		const target = this.targets.find(known => known.id === id);
		if (target !== undefined) {
			target.reported = load.running + load.waiting;
		}
	}

	cancel(requestId: RequestId): void {
		this.openRequests.delete(requestId);
		this.waiting = this.waiting.filter(openRequest => openRequest.request.id !== requestId);
	}

	measureRoom(): ServiceRoom {
		return { waitMs: 0, freeSlots: 0, running: this.openRequests.size, queued: 0 };
	}

	measureTarget(id: TargetId): TargetRoom {
		const target = this.targets.find(known => known.id === id);
		return { running: target?.inFlight ?? 0, limit: Number.POSITIVE_INFINITY };
	}

	private decideFor(openRequest: BaselineRequest): ScheduleDecision {
		const requestId = openRequest.request.id;
		const target = this.pickTarget();
		if (target === undefined) {
			this.openRequests.delete(requestId);
			const error = createRequestError(ErrorKind.NoTarget, 'no target', {
				retryAfterMs: noTargetRetryAfterMs,
			});
			return { kind: ScheduleDecisionKind.Refuse, requestId, error };
		}
		openRequest.attempts++;
		openRequest.target = target;
		target.inFlight++;
		return { kind: ScheduleDecisionKind.Start, requestId, target: target.id, reason: this.policy };
	}

	private pickTarget(): BaselineTarget | undefined {
		switch (this.policy) {
			case BaselinePolicy.Random:
				return this.targets[this.random.pickBelow(this.targets.length)];
			case BaselinePolicy.RoundRobin:
				return this.targets[this.nextTargetIndex++ % this.targets.length];
			case BaselinePolicy.LeastInFlight:
				return findLeast(this.targets, target => target.inFlight);
			case BaselinePolicy.LeastReported:
				return findLeast(this.targets, target => target.reported);
		}
	}
}

function findLeast(
	targets: readonly BaselineTarget[],
	measure: (target: BaselineTarget) => number,
): BaselineTarget | undefined {
	return targets.reduce<BaselineTarget | undefined>(
		(best, target) => (best === undefined || measure(target) < measure(best) ? target : best),
		undefined,
	);
}

/**
 * Decides which failed attempts are retried, and holds the requests that wait for a retry. When one target
 * crashes or leaves while others work, its callers would fail without retries. With unlimited retries, a
 * request that may have run could run twice, and an outage would multiply the load.
 *
 * An attempt that can't have run may be retried for any request. An attempt that may have run is retried only
 * if the request is repeatable and no byte of an answer was received. Each retry needs another target, time
 * before the deadline and the budget. Retries are served before requests that have not started, since they
 * have already waited.
 */

import type { Admission } from './admission';
import type { HeldRequest, RunningAttempt } from './attempt';
import { isNotRun } from './attempt';
import type { ClassLanes } from './classLanes';
import type { RetryPolicy } from './policy';
import type { RetryBudget } from './retryBudget';
import { AttemptEnd } from './serviceScheduler';
import type { TargetPool } from './targetPool';

/** The requests of one service that wait for another attempt. */
export class RetryQueue {
	private readonly waiting = new Set<HeldRequest>();

	constructor(
		private readonly policy: RetryPolicy,
		private readonly lanes: ClassLanes,
		private readonly pool: TargetPool,
		private readonly admission: Admission,
		private readonly budget: RetryBudget,
	) {}

	/** Number of requests that wait for another attempt. */
	get size(): number {
		return this.waiting.size;
	}

	list(): readonly HeldRequest[] {
		return this.waiting.size === 0 ? noRequests : [...this.waiting];
	}

	remove(held: HeldRequest): void {
		this.waiting.delete(held);
	}

	/** Adds a crash suspect that waits for a target on which no other crash suspect runs. */
	add(held: HeldRequest): void {
		this.waiting.add(held);
	}

	/**
	 * Adds a request whose attempt failed, if the rules and the budget allow another attempt. Returns whether
	 * it was added.
	 */
	accept(held: HeldRequest, attempt: RunningAttempt, end: AttemptEnd, nowMs: number): boolean {
		if (!this.isAllowed(held, attempt, end) || !this.isPossible(held, nowMs) || !this.budget.takeRetry()) {
			return false;
		}
		this.waiting.add(held);
		return true;
	}

	/** Whether enough time and an untried target remain for another attempt. */
	isPossible({ request, triedTargets }: HeldRequest, nowMs: number): boolean {
		const lane = this.lanes.getLane(request.requestClass);
		return (
			this.admission.isStartable(lane, request, nowMs) &&
			this.pool.targets.some(({ id, use }) => !triedTargets.includes(id) && !use.isPaused(nowMs))
		);
	}

	private isAllowed(
		{ request, triedTargets }: HeldRequest,
		attempt: RunningAttempt,
		end: AttemptEnd,
	): boolean {
		const isOver = end === AttemptEnd.Answered || end === AttemptEnd.Cancelled || attempt.hasFirstByte;
		if (isOver || triedTargets.length >= this.policy.maxAttempts) {
			return false;
		}
		return isNotRun(end) || request.isRepeatable;
	}
}

const noRequests: readonly HeldRequest[] = [];

/**
 * Which failed attempts are made again, and the requests that wait for it. Load pattern: a target dies or
 * leaves with requests on it while the others are well. Without retries its callers pay for it; with
 * unlimited ones a request that may have run could run twice, and an outage multiplies the load.
 *
 * An attempt that cannot have run may be made again for any request. One that may have run only if the
 * request is repeatable and no byte of an answer has come. Either only at another target, within the
 * deadline, and while the budget pays. Requests that wait here go before those that were never started:
 * they have waited already.
 */

import type { Admission } from './admission';
import type { HeldRequest, RunningAttempt } from './attempt';
import { isNotRun } from './attempt';
import type { ClassLanes } from './classLanes';
import type { RetryPolicy } from './policy';
import type { RetryBudget } from './retryBudget';
import { AttemptEnd } from './serviceScheduler';
import type { TargetPool } from './targetPool';

/** The retries of one service. */
export class RetryQueue {
	private readonly waiting = new Set<HeldRequest>();

	constructor(
		private readonly policy: RetryPolicy,
		private readonly lanes: ClassLanes,
		private readonly pool: TargetPool,
		private readonly admission: Admission,
		private readonly budget: RetryBudget,
	) {}

	/** Requests that wait for another attempt. */
	get size(): number {
		return this.waiting.size;
	}

	list(): readonly HeldRequest[] {
		return this.waiting.size === 0 ? noRequests : [...this.waiting];
	}

	remove(held: HeldRequest): void {
		this.waiting.delete(held);
	}

	/** Takes a request in that waits for a target without another of those that are kept apart. */
	add(held: HeldRequest): void {
		this.waiting.add(held);
	}

	/** Takes a request in whose attempt failed, where the rules and the budget allow another one. */
	accept(held: HeldRequest, attempt: RunningAttempt, end: AttemptEnd, nowMs: number): boolean {
		if (!this.isAllowed(held, attempt, end) || !this.isPossible(held, nowMs) || !this.budget.takeRetry()) {
			return false;
		}
		this.waiting.add(held);
		return true;
	}

	/** Whether there is the time and a target for another attempt. */
	isPossible({ request, triedTargets: tried }: HeldRequest, nowMs: number): boolean {
		const lane = this.lanes.getLane(request.requestClass);
		return (
			this.admission.isStartable(lane, request, nowMs) &&
			this.pool.targets.some(({ id, use }) => !tried.includes(id) && !use.isPaused(nowMs))
		);
	}

	private isAllowed(
		{ request, triedTargets: tried }: HeldRequest,
		attempt: RunningAttempt,
		end: AttemptEnd,
	): boolean {
		const isOver = end === AttemptEnd.Answered || end === AttemptEnd.Cancelled || attempt.hasFirstByte;
		if (isOver || tried.length >= this.policy.maxAttempts) {
			return false;
		}
		return isNotRun(end) || request.isRepeatable;
	}
}

const noRequests: readonly HeldRequest[] = [];

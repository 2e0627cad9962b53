/**
 * Estimates for the queue of one service: how long a request would wait in it, how much work a request is, and
 * after which delay a refused caller should retry.
 */

import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import type { TargetLoadModel } from './targetLoadModel';
import type { WorkPolicy } from './workPolicy';
import type { WaitingRequest, WorkItem, WorkQueue } from './workQueue';
import { getUrgency } from './workQueue';

/** Bounds of the retry delay of refused callers, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 5_000;

/** Computes estimates from the queue and the targets of one service. */
export class QueueEstimates {
	private targets: readonly TargetLoadModel[] = [];

	constructor(
		private readonly queue: WorkQueue,
		private readonly policy: WorkPolicy,
	) {}

	setTargets(targets: readonly TargetLoadModel[]): void {
		this.targets = targets;
	}

	/** Estimates the queued work ahead of the request, in milliseconds, if all available targets share it. */
	estimateQueuedWorkMs(
		available: readonly TargetLoadModel[],
		request: SchedulableRequest | undefined,
	): number {
		const urgency = request === undefined ? Number.POSITIVE_INFINITY : getUrgency(request);
		return this.queue.sumWorkAheadMs(urgency, false) / Math.max(1, available.length);
	}

	/** Creates the queue item of a request, with its work at the target that would answer it first. */
	createItem(request: SchedulableRequest, nowMs: number): WorkItem {
		const soonest = this.findSoonest(request, nowMs);
		if (soonest === undefined) {
			const { plainRunMs } = this.policy.estimate;
			return { request, idleFirstByteMs: 0, workMs: plainRunMs };
		}
		const idleFirstByteMs = soonest.computeIdleFirstByteMs(request);
		const workMs = soonest.isEngine
			? idleFirstByteMs - this.policy.estimate.idleFirstEventMs
			: idleFirstByteMs / soonest.description.slots;
		return { request, idleFirstByteMs, workMs };
	}

	private findSoonest(request: SchedulableRequest, nowMs: number): TargetLoadModel | undefined {
		let soonest: TargetLoadModel | undefined;
		let soonestMs = Number.POSITIVE_INFINITY;
		for (const target of this.targets) {
			const firstByteMs = target.isAvailable(nowMs)
				? target.estimateFirstByteMs(request, nowMs)
				: Number.POSITIVE_INFINITY;
			if (firstByteMs < soonestMs) {
				soonest = target;
				soonestMs = firstByteMs;
			}
		}
		return soonest;
	}

	/** Estimates how long a request that arrives now would wait in the queue, in milliseconds. */
	estimateWaitMs(request: SchedulableRequest, isLate: boolean, nowMs: number): number {
		const availableTargets = Math.max(1, this.targets.filter(target => target.isAvailable(nowMs)).length);
		const share = isLate ? this.policy.queue.latePrefillShare : 1;
		return this.queue.sumWorkAheadMs(getUrgency(request), isLate) / (availableTargets * share);
	}

	/** Whether a waiting request of another region is expected to start by the time at which it is given back. */
	isStartExpectedInTime({ request, workMs, isLate }: WaitingRequest, nowMs: number): boolean {
		if (request.startByMs === undefined) {
			return true;
		}
		const available = this.targets.filter(target => target.isAvailable(nowMs));
		const othersMs = this.queue.sumWorkAheadMs(getUrgency(request), isLate) - workMs;
		return nowMs + othersMs / Math.max(1, available.length) <= request.startByMs;
	}

	/** Returns the delay until the current queue is served or the first target accepts requests, if that is later. */
	computeRetryAfterMs(request: SchedulableRequest, nowMs: number): number {
		const queueWaitMs = this.estimateWaitMs(request, true, nowMs);
		const unavailableMsByTarget = this.targets.map(target => target.getNextAvailableMs(nowMs) - nowMs);
		const unavailableMs = unavailableMsByTarget.length === 0 ? 0 : Math.min(...unavailableMsByTarget);
		return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, queueWaitMs, unavailableMs));
	}
}

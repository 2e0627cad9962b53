/**
 * Estimates for the queue of one service: how long a request would wait in it, how much work a request is, and
 * after which delay a refused caller should retry.
 */

import type { IRandom } from '../../../base/common/random';
import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import { describeMissedDeadline, describeMissedStart } from './refusalReasons';
import type { TargetLoadModel } from './targetLoadModel';
import type { WorkPolicy } from './workPolicy';
import type { WaitingRequest, WorkItem, WorkQueue } from './workQueue';
import { getUrgency } from './requestOrder';

/** Bounds of the retry delay of refused callers without its random part, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 5_000;

/** Largest random part of the retry delay, as a share of it. */
const retrySpreadShare = 0.25;

/** A waiting request that is to be refused. */
export interface UnservableRequest {
	readonly request: SchedulableRequest;
	/** The bound that the request misses. */
	readonly reason: string;
}

/** Computes estimates from the queue and the targets of one service. */
export class QueueEstimates {
	private targets: readonly TargetLoadModel[] = [];

	constructor(
		private readonly queue: WorkQueue,
		private readonly policy: WorkPolicy,
		private readonly random: IRandom,
	) {}

	setTargets(targets: readonly TargetLoadModel[]): void {
		this.targets = targets;
	}

	/**
	 * Estimates how long the request would wait in the queue, in milliseconds, if it were submitted now: for the queued work
	 * ahead of it, shared by all available targets, and at least as long as others wait already.
	 */
	estimateQueuedMs(
		available: readonly TargetLoadModel[],
		request: SchedulableRequest | undefined,
		nowMs: number,
	): number {
		const urgency = request === undefined ? Number.POSITIVE_INFINITY : getUrgency(request);
		const workMs = this.queue.sumWorkAheadMs(urgency, false) / countOwnTargets(available);
		return Math.max(workMs, this.queue.computeLongestWaitMs(urgency, nowMs));
	}

	/** Creates the queue item of a request, with its work at the target that would answer it first. */
	createItem(request: SchedulableRequest, nowMs: number): WorkItem {
		const { soonest, minFirstByteMs } = this.findSoonest(request, nowMs);
		if (soonest === undefined) {
			const { plainRunMs } = this.policy.estimate;
			return { request, idleFirstByteMs: 0, workMs: plainRunMs, minFirstByteMs };
		}
		const idleFirstByteMs = soonest.estimateIdleFirstByteMs(request);
		const workMs = this.computeWorkMs(soonest, soonest.computeIdleFirstByteMs(request));
		return { request, idleFirstByteMs, workMs, minFirstByteMs };
	}

	/** An engine is occupied by the prefill of a request and by its slot, whichever takes longer. */
	private computeWorkMs({ isEngine, description }: TargetLoadModel, idleFirstByteMs: number): number {
		const { idleFirstEventMs, streamRunMs } = this.policy.estimate;
		const { slots } = description;
		return isEngine
			? Math.max(idleFirstByteMs - idleFirstEventMs, streamRunMs / slots)
			: idleFirstByteMs / slots;
	}

	/** Returns why the answer to a request that joins the queue now can't begin by its deadline, or undefined if it can. */
	findMissedDeadline({ request, minFirstByteMs }: WorkItem, nowMs: number): string | undefined {
		const queuedMs = this.queue.sumWorkAheadMs(getUrgency(request), false) / this.countAvailable(nowMs);
		const minMs = queuedMs * this.policy.queue.minFirstByteShare + minFirstByteMs;
		return this.checkDeadline(minMs, request, nowMs);
	}

	/** Lists the waiting requests whose answers can't begin by their deadline. */
	listUnreachable(nowMs: number): readonly UnservableRequest[] {
		const { minFirstByteShare } = this.policy.queue;
		const availableTargets = this.countAvailable(nowMs);
		const targetWaits = new Map<number, number>();
		let queuedMs = 0;
		return this.queue.list().flatMap(({ request, idleFirstByteMs, workMs, isLate }) => {
			const urgency = getUrgency(request);
			const targetWaitMs = targetWaits.get(urgency) ?? this.computeMinTargetWaitMs(urgency, nowMs);
			targetWaits.set(urgency, targetWaitMs);
			const minMs = (queuedMs / availableTargets + idleFirstByteMs) * minFirstByteShare + targetWaitMs;
			queuedMs += isLate ? 0 : workMs;
			const reason = this.checkDeadline(minMs, request, nowMs);
			return reason === undefined ? [] : [{ request, reason }];
		});
	}

	/** An infinite time means that no target is known to accept requests later; another one may still join. */
	private checkDeadline(
		minFirstByteMs: number,
		{ deadlineMs }: SchedulableRequest,
		nowMs: number,
	): string | undefined {
		const isMissed = Number.isFinite(minFirstByteMs) && nowMs + minFirstByteMs > deadlineMs;
		return isMissed ? describeMissedDeadline(minFirstByteMs, deadlineMs - nowMs) : undefined;
	}

	private countAvailable(nowMs: number): number {
		return countOwnTargets(this.targets.filter(target => target.isAvailable(nowMs)));
	}

	/** Returns the shortest wait at any target, in milliseconds. */
	private computeMinTargetWaitMs(urgency: number, nowMs: number): number {
		const { minFirstByteShare } = this.policy.queue;
		const waits = this.targets.map(target =>
			target.estimateRestMs(target.estimateBacklogMs(urgency, nowMs), urgency, minFirstByteShare, nowMs),
		);
		return Math.min(...waits);
	}

	private findSoonest(
		request: SchedulableRequest,
		nowMs: number,
	): { readonly soonest: TargetLoadModel | undefined; readonly minFirstByteMs: number } {
		const { minFirstByteShare } = this.policy.queue;
		let soonest: TargetLoadModel | undefined;
		let soonestMs = Number.POSITIVE_INFINITY;
		let minFirstByteMs = Number.POSITIVE_INFINITY;
		for (const target of this.targets) {
			const firstByteMs = target.estimateFirstByteMs(request, nowMs);
			if (firstByteMs < soonestMs && target.isAvailable(nowMs)) {
				soonest = target;
				soonestMs = firstByteMs;
			}
			const minMs = target.computeMinFirstByteMs(request, firstByteMs, minFirstByteShare, nowMs);
			minFirstByteMs = Math.min(minFirstByteMs, minMs);
		}
		return { soonest, minFirstByteMs };
	}

	/** Estimates how long a request that arrives now would wait in the queue, in milliseconds. */
	estimateWaitMs(request: SchedulableRequest, isLate: boolean, nowMs: number): number {
		const availableTargets = this.countAvailable(nowMs);
		const share = isLate ? this.policy.queue.latePrefillShare : 1;
		return this.queue.sumWorkAheadMs(getUrgency(request), isLate) / (availableTargets * share);
	}

	/**
	 * Returns why a waiting request of another region is not expected to start by the time at which it is given back, or
	 * undefined if it is.
	 */
	findMissedStart({ request, workMs, isLate }: WaitingRequest, nowMs: number): string | undefined {
		const { startByMs } = request;
		if (startByMs === undefined) {
			return undefined;
		}
		const othersMs = this.queue.sumWorkAheadMs(getUrgency(request), isLate) - workMs;
		const waitMs = othersMs / this.countAvailable(nowMs);
		return nowMs + waitMs <= startByMs ? undefined : describeMissedStart(waitMs, startByMs - nowMs);
	}

	/**
	 * Returns the delay until the current queue is served and a target can begin a request, in milliseconds. A random
	 * part keeps refused callers from returning at the same time.
	 */
	computeRetryAfterMs(request: SchedulableRequest, nowMs: number): number {
		const urgency = getUrgency(request);
		const waits = this.targets.map(
			target => target.estimateAvailableInMs(nowMs) + target.estimateBacklogMs(urgency, nowMs),
		);
		const targetWaitMs = Math.min(...waits);
		const queueWaitMs = this.estimateWaitMs(request, true, nowMs);
		const waitMs = queueWaitMs + (Number.isFinite(targetWaitMs) ? targetWaitMs : 0);
		const delayMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
		return Math.round(delayMs * (1 + retrySpreadShare * this.random.pickFraction()));
	}
}

/**
 * Counts the targets that work for this entry (proxy process): the other entries have queues as well, and share the
 * engines. Plain targets count as a whole, since their queues are short and differ between entries. A target that
 * reports its slowness counts by the work that it does.
 */
function countOwnTargets(available: readonly TargetLoadModel[]): number {
	const [first] = available;
	const speed = available.length === 0 ? 1 : available.reduce((sum, target) => sum + target.speed, 0);
	return speed * (first?.isEngine === true ? first.description.share : 1);
}

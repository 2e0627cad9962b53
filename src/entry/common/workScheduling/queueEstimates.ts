/**
 * What the line of one service tells: how long a request would wait in it, how much work a request is, and
 * when a refused caller should come back.
 */

import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import type { TargetWork } from './targetLoadModel';
import type { WorkPolicy } from './workPolicy';
import type { WorkItem, WorkQueue } from './workQueue';
import { getUrgency } from './workQueue';

/** A caller that is told nothing better comes back after this, in milliseconds. */
const leastReturnMs = 100;
const mostReturnMs = 5_000;

/** Estimates for one service. */
export class LineEstimates {
	private targets: readonly TargetWork[] = [];

	constructor(
		private readonly queue: WorkQueue,
		private readonly policy: WorkPolicy,
	) {}

	setTargets(targets: readonly TargetWork[]): void {
		this.targets = targets;
	}

	/** What waits here before the request, in milliseconds of all targets together. */
	estimateLineMs(open: readonly TargetWork[], request: SchedulableRequest | undefined): number {
		const urgency = request === undefined ? Number.POSITIVE_INFINITY : getUrgency(request);
		return this.queue.sumAhead(urgency, false) / Math.max(1, open.length);
	}

	/** The request with its work at the target that would answer it soonest. */
	createItem(request: SchedulableRequest, nowMs: number): WorkItem {
		const soonest = this.findSoonest(request, nowMs);
		if (soonest === undefined) {
			const { plainRunMs } = this.policy.estimate;
			return { request, unloadedMs: 0, workMs: plainRunMs };
		}
		const unloadedMs = soonest.computeUnloadedMs(request);
		const workMs = soonest.isEngine
			? unloadedMs - this.policy.estimate.firstEventMs
			: unloadedMs / soonest.target.slots;
		return { request, unloadedMs, workMs };
	}

	private findSoonest(request: SchedulableRequest, nowMs: number): TargetWork | undefined {
		let soonest: TargetWork | undefined;
		let soonestMs = Number.POSITIVE_INFINITY;
		for (const target of this.targets) {
			const firstMs = target.isOpen(nowMs)
				? target.estimateFirstMs(request, nowMs)
				: Number.POSITIVE_INFINITY;
			if (firstMs < soonestMs) {
				soonest = target;
				soonestMs = firstMs;
			}
		}
		return soonest;
	}

	/** How long a request that arrives now would wait in line. */
	estimateWaitMs(request: SchedulableRequest, isLate: boolean, nowMs: number): number {
		const lanes = Math.max(1, this.targets.filter(target => target.isOpen(nowMs)).length);
		const share = isLate ? this.policy.queue.lateShare : 1;
		return this.queue.sumAhead(getUrgency(request), isLate) / (lanes * share);
	}

	/** When what waits now will have been served, or the first target is open again. */
	planReturn(request: SchedulableRequest, nowMs: number): number {
		const lineMs = this.estimateWaitMs(request, true, nowMs);
		const opens = this.targets.map(target => target.getNextOpenMs(nowMs) - nowMs);
		const openMs = opens.length === 0 ? 0 : Math.min(...opens);
		return Math.min(mostReturnMs, Math.max(leastReturnMs, lineMs, openMs));
	}
}

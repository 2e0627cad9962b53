/**
 * How long a request would wait. Load pattern: overload that lasts. A queue bounded by a count is too long
 * for questions and too short for drafts; bounded by time it holds just what can still be answered. Without
 * a prediction, callers learn at their deadline that they had no chance, and the service spends its time on
 * answers that come too late.
 *
 * The wait is the work served before the request, divided by the slots that its class can count on: all
 * slots less those that less urgent classes hold on to for longer than the request could wait, and less
 * those that more urgent ones use, but no less than its weight guarantees beside the latter.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import type { ClassLane, ClassLanes } from './classLanes';
import type { TargetPool } from './targetPool';
import type { WorkEstimator } from './workEstimator';

/** Predicts for one service. */
export class WaitPredictor {
	constructor(
		private readonly lanes: ClassLanes,
		private readonly pool: TargetPool,
		private readonly estimator: WorkEstimator,
	) {}

	/** Wait of a further request of the organisation, in milliseconds. */
	estimateWait(lane: ClassLane, organisation: OrganisationName, weight: number, timeLeftMs: number): number {
		const workAheadMs = lane.queue.computeWorkAhead(organisation, weight);
		return this.estimateWaitAfter(lane, workAheadMs, timeLeftMs);
	}

	/** Wait of a request that is served after `aheadMs` of work and could wait for `patienceMs`. */
	estimateWaitAfter(lane: ClassLane, workAheadMs: number, timeLeftMs: number): number {
		const turnMs = this.lanes.computeWorkAhead(lane) / Math.max(1, this.pool.totalSlots);
		const freeMs = Math.max(this.estimateTimeToFreeSlot(), this.estimateTimeToLaneSlot(lane));
		return freeMs + turnMs + workAheadMs / this.countUsableSlots(lane, timeLeftMs);
	}

	/** Slots that the class can count on within a time. */
	countUsableSlots(lane: ClassLane, timeLeftMs: number): number {
		const availableSlots = this.pool.totalSlots - this.countHeldByLessUrgent(lane, timeLeftMs);
		let heldByMoreUrgent = 0;
		let weights = lane.policy.weight;
		for (const other of this.lanes.lanes) {
			if (other !== lane && other.policy.weight >= lane.policy.weight) {
				heldByMoreUrgent += other.meanRunning;
				weights += other.queue.size > 0 ? other.policy.weight : 0;
			}
		}
		const guaranteed = (availableSlots * lane.policy.weight) / weights;
		const slotLimit = this.lanes.computeSlotLimit(lane, this.pool.totalSlots, this.pool.meanShare);
		return Math.max(1, Math.min(slotLimit, Math.max(guaranteed, availableSlots - heldByMoreUrgent)));
	}

	/** Mean run of what runs now, in milliseconds; 0 where nothing does. */
	estimateMeanRun(): number {
		let runMs = 0;
		for (const lane of this.lanes.lanes) {
			runMs += lane.running * this.estimator.estimateForClass(lane.requestClass);
		}
		return runMs / Math.max(1, this.lanes.running);
	}

	/** Mean time until some slot is free, in milliseconds; 0 while one is. */
	estimateTimeToFreeSlot(): number {
		if (this.lanes.running < this.pool.totalSlots) {
			return 0;
		}
		let endsPerMs = 0;
		for (const lane of this.lanes.lanes) {
			endsPerMs += lane.running / Math.max(1, this.estimator.estimateForClass(lane.requestClass));
		}
		return endsPerMs > 0 ? 1 / endsPerMs : 0;
	}

	/** Mean time until the lane may hold one more slot; 0 while it may. */
	private estimateTimeToLaneSlot(lane: ClassLane): number {
		if (
			lane.running === 0 ||
			lane.running < this.lanes.computeSlotLimit(lane, this.pool.totalSlots, this.pool.meanShare)
		) {
			return 0;
		}
		return this.estimator.estimateForClass(lane.requestClass) / lane.running;
	}

	/** Slots that less urgent classes hold on to for longer than the request can wait. */
	private countHeldByLessUrgent(lane: ClassLane, timeLeftMs: number): number {
		let held = 0;
		for (const other of this.lanes.lanes) {
			if (other.policy.weight < lane.policy.weight) {
				const runMs = this.estimator.estimateForClass(other.requestClass);
				held += other.meanRunning * Math.max(0, 1 - timeLeftMs / runMs);
			}
		}
		return held;
	}
}

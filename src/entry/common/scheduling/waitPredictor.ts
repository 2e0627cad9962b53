/**
 * Predicts how long a request would wait, for admission control under sustained overload. A queue limited by a
 * count is too long for questions and too short for drafts. A queue limited by time holds only requests that
 * can still be answered. Without a prediction, callers find out at their deadline that the request had no
 * chance, and the service spends its time on answers that arrive too late.
 *
 * The wait is the work that is served before the request, divided by the slots that its class can use: all
 * slots, minus those that less urgent classes occupy for longer than the request can wait, minus those that
 * more urgent classes use. The class can always use its part by weight of the slots that less urgent classes
 * leave.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import type { ClassLane, ClassLanes } from './classLanes';
import type { TargetPool } from './targetPool';
import type { WorkEstimator } from './workEstimator';

/** Predicts the wait of requests of one service. */
export class WaitPredictor {
	constructor(
		private readonly lanes: ClassLanes,
		private readonly pool: TargetPool,
		private readonly estimator: WorkEstimator,
	) {}

	/** Returns the predicted wait of a further request of the organisation, in milliseconds. */
	estimateWait(lane: ClassLane, organisation: OrganisationName, weight: number, timeLeftMs: number): number {
		const workAheadMs = lane.queue.computeWorkAhead(organisation, weight);
		return this.estimateWaitAfter(lane, workAheadMs, timeLeftMs);
	}

	/**
	 * Returns the predicted wait of a request that is served after `workAheadMs` of work and can wait up to
	 * `timeLeftMs`.
	 */
	estimateWaitAfter(lane: ClassLane, workAheadMs: number, timeLeftMs: number): number {
		const turnMs = this.lanes.computeWorkAhead(lane) / Math.max(1, this.pool.totalSlots);
		const freeMs = Math.max(this.estimateTimeToFreeSlot(), this.estimateTimeToLaneSlot(lane));
		return freeMs + turnMs + workAheadMs / this.countUsableSlots(lane, timeLeftMs);
	}

	/** Returns the number of slots that the class can expect to use within `timeLeftMs`. */
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

	/** Returns the mean run time of the running requests in milliseconds, or 0 if none run. */
	estimateMeanRun(): number {
		let runMs = 0;
		for (const lane of this.lanes.lanes) {
			runMs += lane.running * this.estimator.estimateForClass(lane.requestClass);
		}
		return runMs / Math.max(1, this.lanes.running);
	}

	/** Returns the mean time until any slot becomes free in milliseconds, or 0 if one is free. */
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

	/** Returns the mean time until the lane is below its slot limit in milliseconds, or 0 if it is below. */
	private estimateTimeToLaneSlot(lane: ClassLane): number {
		if (
			lane.running === 0 ||
			lane.running < this.lanes.computeSlotLimit(lane, this.pool.totalSlots, this.pool.meanShare)
		) {
			return 0;
		}
		return this.estimator.estimateForClass(lane.requestClass) / lane.running;
	}

	/** Returns the number of slots that less urgent classes occupy for longer than the request can wait. */
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

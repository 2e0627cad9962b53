/**
 * When a refused caller is asked to return. Load pattern: callers that resend on refusal. Told nothing, or
 * all the same time, they return together and are refused together again, and the storm outlives its cause.
 *
 * Each refused request is given the next place in a plan that fills at a share of the service's capacity,
 * one plan for each organisation, so that the time grows with what was refused before and an organisation
 * far over its share does not push the others' callers back. The jitter parts callers that were refused
 * in one instant and those of several entries, which do not know each other's plans.
 */

import type { IRandom } from '../../../base/common/random';
import type { OrganisationName } from '../../../core/ids/common/ids';
import type { RetryAfterPolicy } from './policy';

/** Time between two counts of the organisations whose callers are to return, in milliseconds. */
const purgeIntervalMs = 100;

/** The callers of one organisation that are to return. */
interface RetrySchedule {
	readonly weight: number;
	/** Up to when they fill the organisation's part, in monotonic milliseconds. */
	bookedUntilMs: number;
}

/** What a refusal is planned by. */
export interface RefusedRequest {
	readonly organisation: OrganisationName;
	/** Predicted wait of such a request now, in milliseconds. */
	readonly waitMs: number;
	/** Its estimated work, in milliseconds of a slot. */
	readonly workMs: number;
	readonly weight: number;
	/** Slots that serve the class. */
	readonly slots: number;
}

/** Plans the return of one service's refused callers. */
export class RetryAfterPlanner {
	private readonly schedules = new Map<OrganisationName, RetrySchedule>();
	private scheduledWeight = 0;
	private purgedAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly policy: RetryAfterPolicy,
		private readonly random: IRandom,
	) {}

	/** Milliseconds from now. */
	planDelay(refused: RefusedRequest, nowMs: number): number {
		const { minMs: leastMs, maxMs: mostMs, capacityShare } = this.policy;
		const earliestMs = nowMs + Math.max(leastMs, refused.waitMs);
		const schedule = this.getSchedule(refused, nowMs);
		const fairShare = refused.weight / Math.max(refused.weight, this.scheduledWeight);
		const bookingMs = refused.workMs / (refused.slots * capacityShare * fairShare);
		const retryAtMs = Math.max(earliestMs, schedule.bookedUntilMs);
		schedule.bookedUntilMs = Math.min(nowMs + mostMs, retryAtMs + bookingMs);
		return this.addJitter(Math.min(mostMs, retryAtMs - nowMs));
	}

	private getSchedule({ organisation, weight }: RefusedRequest, nowMs: number): RetrySchedule {
		let schedule = this.schedules.get(organisation);
		if (schedule === undefined || schedule.bookedUntilMs <= nowMs) {
			schedule = { weight, bookedUntilMs: nowMs };
			this.schedules.set(organisation, schedule);
			this.scheduledWeight += weight;
		}
		if (nowMs - this.purgedAtMs >= purgeIntervalMs) {
			this.removeEndedSchedules(nowMs);
		}
		return schedule;
	}

	private removeEndedSchedules(nowMs: number): void {
		this.purgedAtMs = nowMs;
		this.scheduledWeight = 0;
		for (const [organisation, schedule] of this.schedules) {
			if (schedule.bookedUntilMs < nowMs) {
				this.schedules.delete(organisation);
			} else {
				this.scheduledWeight += schedule.weight;
			}
		}
	}

	/** Adds to a short time and takes from the longest one, so that the bound holds and still spreads. */
	private addJitter(delayMs: number): number {
		const { maxMs: mostMs, jitterShare } = this.policy;
		const spreadMs = delayMs * jitterShare;
		const startMs = Math.min(delayMs, mostMs - spreadMs);
		return Math.round(startMs + this.random.pickFraction() * spreadMs);
	}
}

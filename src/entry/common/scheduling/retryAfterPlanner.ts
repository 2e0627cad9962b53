/**
 * Computes the retry delay (retry-after) that a refused caller is given. Without a delay, or with the same
 * delay for all, callers that retry on refusal return together and are refused together again, so the
 * overload outlasts its cause.
 *
 * Each refused request reserves time in a schedule that assumes a fixed share of the service's capacity for
 * retries, so the delay grows with the number of earlier refusals. Each organisation has its own schedule, so
 * an organisation far over its share doesn't delay the callers of other organisations. Jitter separates
 * callers that are refused at the same instant, and callers of different entries, which don't share their
 * schedules.
 */

import type { IRandom } from '../../../base/common/random';
import type { OrganisationName } from '../../../core/ids/common/ids';
import type { RetryAfterPolicy } from './policy';

/** Time between two removals of ended schedules, in milliseconds. */
const purgeIntervalMs = 100;

/** The planned retries of one organisation's refused callers. */
interface RetrySchedule {
	readonly weight: number;
	/** End of the time already assigned to earlier refusals, in monotonic milliseconds. */
	bookedUntilMs: number;
}

/** The properties of a refused request that determine its retry delay. */
export interface RefusedRequest {
	readonly organisation: OrganisationName;
	/** Wait predicted for such a request at present, in milliseconds. */
	readonly waitMs: number;
	/** Estimated time that the request occupies a slot, in milliseconds. */
	readonly workMs: number;
	readonly weight: number;
	/** Number of slots that the request's class can use. */
	readonly slots: number;
}

/** Assigns retry delays to the refused callers of one service. */
export class RetryAfterPlanner {
	private readonly schedules = new Map<OrganisationName, RetrySchedule>();
	private scheduledWeight = 0;
	private purgedAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly policy: RetryAfterPolicy,
		private readonly random: IRandom,
	) {}

	/** Returns the delay before the caller should retry, in milliseconds. */
	planDelay(refused: RefusedRequest, nowMs: number): number {
		const { minMs, maxMs, capacityShare } = this.policy;
		const earliestMs = nowMs + Math.max(minMs, refused.waitMs);
		const schedule = this.getSchedule(refused, nowMs);
		const fairShare = refused.weight / Math.max(refused.weight, this.scheduledWeight);
		const bookingMs = refused.workMs / (refused.slots * capacityShare * fairShare);
		const retryAtMs = Math.max(earliestMs, schedule.bookedUntilMs);
		schedule.bookedUntilMs = Math.min(nowMs + maxMs, retryAtMs + bookingMs);
		return this.addJitter(Math.min(maxMs, retryAtMs - nowMs));
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

	/**
	 * Adds jitter after the delay, or before it near `maxMs`, so that the bound holds and callers still
	 * spread out.
	 */
	private addJitter(delayMs: number): number {
		const { maxMs, jitterShare } = this.policy;
		const spreadMs = delayMs * jitterShare;
		const startMs = Math.min(delayMs, maxMs - spreadMs);
		return Math.round(startMs + this.random.pickFraction() * spreadMs);
	}
}

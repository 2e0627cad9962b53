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
import type { OrganisationName } from '../../../platform/ids/common/ids';
import type { ComeBackPolicy } from './policy';

/** What a refusal is planned by. */
export interface ComeBackQuestion {
	readonly organisation: OrganisationName;
	/** Predicted wait of such a request now, in milliseconds. */
	readonly waitMs: number;
	/** Its estimated work, in milliseconds of a slot. */
	readonly workMs: number;
	/** Slots that serve the organisation when it takes its fair part. */
	readonly fairSlots: number;
}

/** Plans the return of one service's refused callers. */
export class ComeBackPlan {
	/** Up to when the returning callers of an organisation fill their part, in monotonic milliseconds. */
	private readonly filledUntilMs = new Map<OrganisationName, number>();

	constructor(
		private readonly policy: ComeBackPolicy,
		private readonly random: IRandom,
	) {}

	/** Milliseconds from now. */
	plan(question: ComeBackQuestion, nowMs: number): number {
		const { leastMs, mostMs, capacityShare } = this.policy;
		const earliestMs = nowMs + Math.max(leastMs, question.waitMs);
		const takesMs = question.workMs / Math.max(Number.EPSILON, question.fairSlots * capacityShare);
		const placeMs = Math.max(earliestMs, this.filledUntilMs.get(question.organisation) ?? 0);
		const latestMs = nowMs + mostMs;
		this.filledUntilMs.set(question.organisation, Math.min(latestMs, placeMs + takesMs));
		return this.addJitter(Math.min(mostMs, placeMs - nowMs));
	}

	/** Adds to a short time and takes from the longest one, so that the bound holds and still spreads. */
	private addJitter(delayMs: number): number {
		const { mostMs, jitterShare } = this.policy;
		const spreadMs = delayMs * jitterShare;
		const startMs = Math.min(delayMs, mostMs - spreadMs);
		return Math.round(startMs + this.random.pickFraction() * spreadMs);
	}
}

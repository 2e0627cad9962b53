/**
 * Which target runs a request. Load patterns: prompts that share a prefix (the target that holds it answers
 * sooner), one prefix that is hotter than a target can carry, and reports of load that lag while several
 * entries choose by them. Random choice and round robin compute each prefix on every target; the least
 * loaded by a report that is seconds old draws every entry's requests to one target at once (herding).
 *
 * A request with a prefix goes to the first target of its ranking while that one's load is within 1.25 of
 * the mean; then to the next of the ranking, which so becomes the second home of a hot prefix; then, as a
 * request without a prefix, to the better of two drawn at random. Two suffice to keep loads close together,
 * and since each entry draws its own two, no report makes all of them choose alike.
 */

import type { IRandom } from '../../../base/common/random';
import type { TargetId } from '../../../core/ids/common/ids';
import type { ChoicePolicy } from './policy';
import type { SchedulableRequest } from './serviceScheduler';
import type { PooledTarget, TargetPool } from './targetPool';

/** What is asked of the choice. */
export interface ChoiceContext {
	readonly request: SchedulableRequest;
	/** Expected run, in milliseconds. */
	readonly expectedMs: number;
	/** Targets that attempts of the request were made at. */
	readonly triedTargets: readonly TargetId[];
}

/** The target and why. */
export interface TargetChoice {
	readonly target: PooledTarget;
	readonly reason: string;
	/** Whether this is the trial of a target that is avoided otherwise. */
	readonly isTrial: boolean;
}

/** Told of an attempt that tries whether a slow target has recovered. */
export const trialReason = 'trial of a slow target';

/** Random draws before the free targets are walked: one may have been tried, or be free no more. */
const maxDraws = 6;

/** Chooses for one service at one entry. */
export class TargetChooser {
	constructor(
		private readonly pool: TargetPool,
		private readonly policy: ChoicePolicy,
		private readonly random: IRandom,
	) {}

	/** The target to use now, or undefined where none is free for the request. */
	choose(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		return (
			this.chooseTrial(context, nowMs) ??
			this.chooseByPrefix(context, nowMs) ??
			this.chooseByLoad(context, nowMs)
		);
	}

	private isUsable(
		target: PooledTarget,
		{ request, triedTargets: tried }: ChoiceContext,
		nowMs: number,
	): boolean {
		if (target.use.runningCrashSuspects > 0 && request.isKeptApart?.() === true) {
			return false;
		}
		return !tried.includes(target.id) && this.pool.isFree(target, request.requestClass, nowMs);
	}

	/** Sends one request to an avoided target if it has the time to be late. */
	private chooseTrial(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		const { outlierDetector: speed } = this.pool;
		if (!speed.hasEjected()) {
			return undefined;
		}
		for (const target of this.pool.targets) {
			const lateMs = nowMs + context.expectedMs * speed.getSlowness(target.id);
			const isPossible = !target.use.isPaused(nowMs) && !context.triedTargets.includes(target.id);
			if (isPossible && lateMs < context.request.deadlineMs && speed.isTrialDue(target.id, nowMs)) {
				return { target, reason: trialReason, isTrial: true };
			}
		}
		return undefined;
	}

	private chooseByPrefix(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		const { prefixKey } = context.request;
		if (prefixKey === undefined) {
			return undefined;
		}
		for (const [place, target] of this.pool.findRanked(prefixKey).entries()) {
			if (this.isWithinLoadBound(target, context, nowMs) && this.isUsable(target, context, nowMs)) {
				return { target, reason: `place ${place + 1} for its prefix`, isTrial: false };
			}
		}
		return undefined;
	}

	/** Whether the work sent to a target of late is within a multiple of its part of all work sent. */
	private isWithinLoadBound({ use }: PooledTarget, { expectedMs }: ChoiceContext, nowMs: number): boolean {
		const { maxLoadFactor: boundedLoad, loadAllowanceRequests: freeRequests } = this.policy;
		const part = this.pool.recentWork.getValue(nowMs) * this.pool.computeSlotShare(use);
		return use.recentWork.getValue(nowMs) <= boundedLoad * part + freeRequests * expectedMs;
	}

	private chooseByLoad(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		const first = this.pickUsable(context, nowMs, undefined);
		if (first === undefined) {
			return undefined;
		}
		const second = this.pickUsable(context, nowMs, first);
		if (second === undefined) {
			return { target: first, reason: 'the only free one', isTrial: false };
		}
		const isFirst = this.computeCost(first, nowMs) <= this.computeCost(second, nowMs);
		return { target: isFirst ? first : second, reason: 'the less loaded of two', isTrial: false };
	}

	/** A free target other than `except`: drawn while draws are cheap, else from a list of them. */
	private pickUsable(
		context: ChoiceContext,
		nowMs: number,
		except: PooledTarget | undefined,
	): PooledTarget | undefined {
		const free = this.pool.getFree(context.request.requestClass);
		for (let draw = 0; draw < maxDraws; draw++) {
			const target = free.pick(this.random);
			if (target !== undefined && target !== except && this.isUsable(target, context, nowMs)) {
				return target;
			}
		}
		const usable = free.list.filter(target => target !== except && this.isUsable(target, context, nowMs));
		return usable[this.random.pickBelow(usable.length)];
	}

	/** Load as a part of the target, weighed by its slowness, and the costs of its place. */
	private computeCost({ id, use }: PooledTarget, nowMs: number): number {
		const load = (use.running + 1 + this.pool.estimateOtherRequests(use, nowMs)) / use.target.slots;
		const zoneCost = use.target.isSameZone ? 0 : this.policy.crossZoneCost;
		return load * this.pool.outlierDetector.getSlowness(id) + zoneCost;
	}
}

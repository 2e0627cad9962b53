/**
 * Chooses the target of a request. Prompts that share a prefix are answered sooner by the target that caches
 * it, but one popular prefix can exceed the capacity of a target, and load reports lag while several entries
 * choose by them. Random choice and round robin compute each prefix on every target. Choosing the least loaded
 * target by a report that is seconds old sends the requests of all entries to one target at once (herding).
 *
 * A request with a prefix goes to the first target of the prefix ranking while the load of that target is
 * within 1.25 of the mean (see `ChoicePolicy.maxLoadFactor`), else to the next target of the ranking, which
 * thereby caches a popular prefix as well. If no ranked target qualifies, and for a request without a prefix,
 * the choice is the less loaded of two random targets. Two are enough to keep loads close together, and since
 * each entry draws its own two, a report doesn't lead all entries to the same target.
 */

import type { IRandom } from '../../../base/common/random';
import type { TargetId } from '../../../core/ids/common/ids';
import type { ChoicePolicy } from './policy';
import type { SchedulableRequest } from './serviceScheduler';
import type { PooledTarget, TargetPool } from './targetPool';

/** The input of a target choice. */
export interface ChoiceContext {
	readonly request: SchedulableRequest;
	/** Expected run time, in milliseconds. */
	readonly expectedMs: number;
	/** Targets at which attempts of the request were already made. */
	readonly triedTargets: readonly TargetId[];
}

/** The chosen target and the reason for the choice. */
export interface TargetChoice {
	readonly target: PooledTarget;
	readonly reason: string;
	/** Whether the request is a trial of an ejected target. */
	readonly isTrial: boolean;
}

/** Reason of an attempt that checks whether a slow target has recovered. */
export const trialReason = 'trial of a slow target';

/**
 * Number of random draws before all free targets are scanned. A draw fails if the target was already tried or
 * is no longer free.
 */
const maxDraws = 6;

/** Chooses the targets of one service at one entry. */
export class TargetChooser {
	constructor(
		private readonly pool: TargetPool,
		private readonly policy: ChoicePolicy,
		private readonly random: IRandom,
	) {}

	/** Returns the target to use now, or undefined if none is free for the request. */
	choose(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		return (
			this.chooseTrial(context, nowMs) ??
			this.chooseByPrefix(context, nowMs) ??
			this.chooseByLoad(context, nowMs)
		);
	}

	private isUsable(target: PooledTarget, { request, triedTargets }: ChoiceContext, nowMs: number): boolean {
		if (target.use.runningCrashSuspects > 0 && request.isKeptApart?.() === true) {
			return false;
		}
		return !triedTargets.includes(target.id) && this.pool.isFree(target, request.requestClass, nowMs);
	}

	/**
	 * Returns an ejected target whose trial is due, if the request would meet its deadline even at that
	 * target's speed.
	 */
	private chooseTrial(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		const { outlierDetector } = this.pool;
		if (!outlierDetector.hasEjected()) {
			return undefined;
		}
		for (const target of this.pool.targets) {
			const lateMs = nowMs + context.expectedMs * outlierDetector.getSlowness(target.id);
			const isPossible = !target.use.isPaused(nowMs) && !context.triedTargets.includes(target.id);
			if (isPossible && lateMs < context.request.deadlineMs && outlierDetector.isTrialDue(target.id, nowMs)) {
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
		for (const [index, target] of this.pool.findRanked(prefixKey).entries()) {
			if (this.isWithinLoadBound(target, context, nowMs) && this.isUsable(target, context, nowMs)) {
				return { target, reason: `place ${index + 1} in the ranking for its prompt prefix`, isTrial: false };
			}
		}
		return undefined;
	}

	/** Whether the recent work of a target is within a multiple of its part of all recent work. */
	private isWithinLoadBound({ use }: PooledTarget, { expectedMs }: ChoiceContext, nowMs: number): boolean {
		const { maxLoadFactor, loadAllowanceRequests } = this.policy;
		const part = this.pool.recentWork.getValue(nowMs) * this.pool.computeSlotShare(use);
		return use.recentWork.getValue(nowMs) <= maxLoadFactor * part + loadAllowanceRequests * expectedMs;
	}

	private chooseByLoad(context: ChoiceContext, nowMs: number): TargetChoice | undefined {
		const first = this.pickUsable(context, nowMs, undefined);
		if (first === undefined) {
			return undefined;
		}
		const second = this.pickUsable(context, nowMs, first);
		if (second === undefined) {
			return { target: first, reason: 'only usable target', isTrial: false };
		}
		const isFirst = this.computeCost(first, nowMs) <= this.computeCost(second, nowMs);
		return { target: isFirst ? first : second, reason: 'less loaded of two random targets', isTrial: false };
	}

	/** Returns a random usable target other than `except`. Scans all free targets if random draws find none. */
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

	/** Returns the load per slot multiplied by the slowness, plus the cost of crossing availability zones. */
	private computeCost({ id, use }: PooledTarget, nowMs: number): number {
		const load = (use.running + 1 + this.pool.estimateOtherRequests(use, nowMs)) / use.target.slots;
		const zoneCost = use.target.isSameZone ? 0 : this.policy.crossZoneCost;
		return load * this.pool.outlierDetector.getSlowness(id) + zoneCost;
	}
}

/**
 * One target as this entry uses it: what runs there, how much may, what it last said of itself.
 *
 * The concurrency limit answers two patterns. Drafts fill every slot and hold it for half a minute: a
 * reserve that they cannot take keeps questions out of their queue. And several entries share a target
 * whose real capacity is lower than stated, because they count each other wrongly or other work runs there:
 * without a correction requests wait in the target's own queue, where neither class nor deadline counts.
 * The limit falls by a factor on a sign of that and is given back slowly.
 *
 * A share that is kept strictly has a cost of its own: six entries with a slot or two each queue while the
 * target has slots free, and at 0.8 of the capacity the p99 is 1.7 times that without any limit. So short
 * requests may go beyond the share by what independent callers need, two square roots of it. Reports that
 * the target is full take this back: kept up, it would move the queue into the target, where the most
 * urgent class starves the others. A refusal cuts the share itself.
 */

import { DecayingSum } from './decayingSum';
import type { LimitPolicy } from './policy';
import type { ReportedLoad, SchedulableTarget } from './serviceScheduler';

/** A report with the moment it speaks of. */
interface LoadSnapshot {
	readonly measuredMs: number;
	/** Requests of others that the target held, running and waiting. */
	readonly otherRequests: number;
}

/** Weight of one report in the mean of a target's fill: some five reports, so that one burst is no overload. */
const reportWeight = 0.2;

/** The state of one target at one entry. */
export class TargetUse {
	/** Attempts of this entry that run there. */
	running = 0;
	/** Of these, the ones whose class leaves a reserve. */
	runningOutsideReserve = 0;
	/** Of these, the ones that must run apart from each other. */
	runningCrashSuspects = 0;
	/** Work sent there of late. */
	readonly recentWork: DecayingSum;
	/** No attempt before this time: the last ones could not be made or were refused. */
	pausedUntilMs = 0;
	/** Refused or unconnected attempts in a row. */
	consecutiveFailures = 0;
	/** Factor on the share, in (0, 1]. */
	private limitFactor = 1;
	/** Factor on what may be borrowed, in [0, 1]. */
	private borrowShare = 1;
	private decreasedMs = Number.NEGATIVE_INFINITY;
	private currentLimit = 1;
	/** Mean of what ran and waited there by its reports, as a part of its slots. */
	private meanFill: number | undefined;
	private lastReport: LoadSnapshot | undefined;

	constructor(
		public target: SchedulableTarget,
		private readonly policy: LimitPolicy,
		/** In [0, 1): rounds a fractional limit up or down, differently at each entry, so that the sum is right. */
		private readonly rounding: number,
		loadFadeMs: number,
	) {
		this.recentWork = new DecayingSum(loadFadeMs);
		this.updateLimit();
	}

	/**
	 * Attempts that this entry may run there at a time. Where entries outnumber a target's slots this is 0 at
	 * most targets of each entry: one slot for every entry at every target would be several times its slots.
	 */
	get limit(): number {
		return this.currentLimit;
	}

	/** Share and rounding together; of targets with a limit of 0 the greatest is nearest to a slot. */
	get fractionalLimit(): number {
		return this.computeShare() + this.rounding;
	}

	/** An entry with a limit of 0 everywhere may use one slot here, or it could serve nothing. */
	setLimitToOne(): void {
		this.currentLimit = 1;
	}

	setTarget(target: SchedulableTarget): void {
		this.target = target;
		this.updateLimit();
	}

	isPaused(nowMs: number): boolean {
		return nowMs < this.pausedUntilMs;
	}

	/**
	 * Whether a further attempt may run, of a class that leaves `reservedShare` of the limit to others. Such
	 * a class keeps to the share: a draft would hold a borrowed slot when the others want it back.
	 */
	hasRoom(reservedShare: number, slowness: number): boolean {
		if (reservedShare === 0) {
			return this.running < this.burstLimit / slowness;
		}
		const open = Math.ceil(this.currentLimit * (1 - reservedShare));
		return this.running < this.currentLimit / slowness && this.runningOutsideReserve < open;
	}

	/** The share and what short requests may borrow beyond it; `slots` at most. */
	get burstLimit(): number {
		const borrowed = this.borrowShare * this.policy.borrowFactor * Math.sqrt(this.computeShare());
		return Math.max(
			this.currentLimit,
			Math.min(this.target.slots, Math.floor(this.fractionalLimit + borrowed)),
		);
	}

	noteLoad(load: ReportedLoad, nowMs: number): void {
		const others = Math.max(0, load.running + load.waiting - this.running);
		this.lastReport = { measuredMs: nowMs - load.ageMs, otherRequests: others };
		const fill = (load.running + load.waiting) / Math.max(1, load.slots);
		this.meanFill =
			this.meanFill === undefined ? fill : this.meanFill + reportWeight * (fill - this.meanFill);
		this.borrowShare = this.computeBorrowShare(this.meanFill);
	}

	/** Requests of others there; fades from the last report to a neutral value as the report ages. */
	estimateOtherRequests(fallback: number, decayMs: number, nowMs: number): number {
		if (this.lastReport === undefined) {
			return fallback;
		}
		const weight = Math.exp(-Math.max(0, nowMs - this.lastReport.measuredMs) / decayMs);
		return fallback + (this.lastReport.otherRequests - fallback) * weight;
	}

	/** What the last report said of others, or undefined where there is none. */
	getReportedOtherRequests(): number | undefined {
		return this.lastReport?.otherRequests;
	}

	/** The target refused for want of room. */
	cutLimit(nowMs: number): void {
		if (nowMs - this.decreasedMs < this.policy.minDecreaseIntervalMs) {
			return;
		}
		this.decreasedMs = nowMs;
		this.limitFactor = Math.max(this.policy.minShare, this.limitFactor * this.policy.decreaseFactor);
		this.updateLimit();
	}

	/** Gives back a part of the limit for time that passed without a sign of overload. */
	advanceRecovery(elapsedMs: number): void {
		if (this.limitFactor < 1) {
			const increase = (this.policy.increasePerSecond * elapsedMs) / 1_000;
			this.limitFactor = Math.min(1, this.limitFactor + increase);
			this.updateLimit();
		}
	}

	private computeBorrowShare(fill: number): number {
		const { fullBorrowMaxFill: borrowBelowFill, noBorrowMinFill: borrowNoneAtFill } = this.policy;
		return Math.max(0, Math.min(1, (borrowNoneAtFill - fill) / (borrowNoneAtFill - borrowBelowFill)));
	}

	private computeShare(): number {
		return this.target.slots * this.target.share * this.limitFactor;
	}

	private updateLimit(): void {
		this.currentLimit = Math.floor(this.fractionalLimit);
	}
}

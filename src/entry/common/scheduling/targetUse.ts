/**
 * Use of one target by this entry: what runs there, the concurrency limit, and the last reported load.
 *
 * The concurrency limit covers two cases. Drafts occupy every slot for half a minute, so a reserve that drafts
 * can't use keeps questions from waiting behind them. Several entries share a target whose real capacity is
 * lower than stated, because they count each other wrongly or other work runs there. Without a correction,
 * requests wait in the target's own queue, which ignores class and deadline. The limit is therefore multiplied
 * by a factor below 1 on a sign of overload and raised slowly afterwards.
 *
 * A strict limit by share has a cost: six entries with a slot or two each queue requests while the target has
 * free slots, and at 0.8 of the capacity the p99 is 1.7 times the p99 without any limit. Short requests may
 * therefore exceed the share by the fluctuation of independent callers, two square roots of the share. Reports
 * that the target is full take this allowance back. Otherwise the queue would move into the target, where the
 * most urgent class starves the other classes. A refusal lowers the share itself.
 */

import { DecayingSum } from './decayingSum';
import type { LimitPolicy } from './policy';
import type { ReportedLoad, SchedulableTarget } from './serviceScheduler';

/** The part of a load report that concerns other entries, with the time at which it was valid. */
interface LoadSnapshot {
	readonly measuredMs: number;
	/** Running and waiting requests of other entries at the target. */
	readonly otherRequests: number;
}

/**
 * Weight of one report in the mean fill of a target: averages about five reports, so that a single burst
 * doesn't count as overload.
 */
const reportWeight = 0.2;

/** The state of one target at this entry. */
export class TargetUse {
	/** Number of running attempts of this entry. */
	running = 0;
	/** Number of these whose class may not use the reserve. */
	runningOutsideReserve = 0;
	/** Number of these whose request was in flight when a target crashed. */
	runningCrashSuspects = 0;
	/** Work recently sent to the target. */
	readonly recentWork: DecayingSum;
	/** End of the pause after refused or unconnected attempts, in monotonic milliseconds. */
	pausedUntilMs = 0;
	/** Number of consecutive attempts that failed or were refused. */
	consecutiveFailures = 0;
	/** Factor on the share of this entry, in (0, 1], lowered by overload. */
	private limitFactor = 1;
	/** Part of the borrowable slots that may be borrowed, in [0, 1]. */
	private borrowShare = 1;
	private decreasedMs = Number.NEGATIVE_INFINITY;
	private currentLimit = 1;
	/** Mean of the reported running and waiting requests, as a part of the target's slots. */
	private meanFill: number | undefined;
	private lastReport: LoadSnapshot | undefined;

	constructor(
		public target: SchedulableTarget,
		private readonly policy: LimitPolicy,
		/**
		 * Offset in [0, 1) that rounds a fractional limit up or down. Differs by entry, so that the limits of
		 * all entries add up to the slots.
		 */
		private readonly rounding: number,
		loadDecayMs: number,
	) {
		this.recentWork = new DecayingSum(loadDecayMs);
		this.updateLimit();
	}

	/**
	 * Number of attempts that this entry may run at a time. If there are more entries than slots, the limit is
	 * 0 at most targets of an entry, since one slot for each entry would exceed the slots several times over.
	 */
	get limit(): number {
		return this.currentLimit;
	}

	/**
	 * The limit before it is rounded down. Among targets with a limit of 0, the target with the largest value
	 * is closest to one slot.
	 */
	get fractionalLimit(): number {
		return this.computeShare() + this.rounding;
	}

	/**
	 * Allows one attempt, for an entry that has a limit of 0 at all targets and couldn't serve any request
	 * otherwise.
	 */
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
	 * Whether a further attempt may run for a class that leaves `reservedShare` of the limit to other classes.
	 * Such a class doesn't borrow, since a draft would still occupy a borrowed slot when other entries need it.
	 */
	hasRoom(reservedShare: number, slowness: number): boolean {
		if (reservedShare === 0) {
			return this.running < this.burstLimit / slowness;
		}
		const openLimit = Math.ceil(this.currentLimit * (1 - reservedShare));
		return this.running < this.currentLimit / slowness && this.runningOutsideReserve < openLimit;
	}

	/** The limit plus the slots that short requests may borrow, at most the slots of the target. */
	get burstLimit(): number {
		const borrowed = this.borrowShare * this.policy.borrowFactor * Math.sqrt(this.computeShare());
		return Math.max(
			this.currentLimit,
			Math.min(this.target.slots, Math.floor(this.fractionalLimit + borrowed)),
		);
	}

	noteLoad(load: ReportedLoad, nowMs: number): void {
		const otherRequests = Math.max(0, load.running + load.waiting - this.running);
		this.lastReport = { measuredMs: nowMs - load.ageMs, otherRequests };
		const fill = (load.running + load.waiting) / Math.max(1, load.slots);
		this.meanFill =
			this.meanFill === undefined ? fill : this.meanFill + reportWeight * (fill - this.meanFill);
		this.borrowShare = this.computeBorrowShare(this.meanFill);
	}

	/** Estimates the requests of other entries: the last report, which decays to `fallback` with its age. */
	estimateOtherRequests(fallback: number, decayMs: number, nowMs: number): number {
		if (this.lastReport === undefined) {
			return fallback;
		}
		const weight = Math.exp(-Math.max(0, nowMs - this.lastReport.measuredMs) / decayMs);
		return fallback + (this.lastReport.otherRequests - fallback) * weight;
	}

	/** Requests of other entries by the last report, or undefined without a report. */
	getReportedOtherRequests(): number | undefined {
		return this.lastReport?.otherRequests;
	}

	/** Lowers the limit after the target refused a request because it was full. */
	cutLimit(nowMs: number): void {
		if (nowMs - this.decreasedMs < this.policy.minDecreaseIntervalMs) {
			return;
		}
		this.decreasedMs = nowMs;
		this.limitFactor = Math.max(this.policy.minShare, this.limitFactor * this.policy.decreaseFactor);
		this.updateLimit();
	}

	/** Raises a lowered limit for elapsed time. */
	advanceRecovery(elapsedMs: number): void {
		if (this.limitFactor < 1) {
			const increase = (this.policy.increasePerSecond * elapsedMs) / 1_000;
			this.limitFactor = Math.min(1, this.limitFactor + increase);
			this.updateLimit();
		}
	}

	private computeBorrowShare(fill: number): number {
		const { fullBorrowMaxFill, noBorrowMinFill } = this.policy;
		return Math.max(0, Math.min(1, (noBorrowMinFill - fill) / (noBorrowMinFill - fullBorrowMaxFill)));
	}

	private computeShare(): number {
		return this.target.slots * this.target.share * this.limitFactor;
	}

	private updateLimit(): void {
		this.currentLimit = Math.floor(this.fractionalLimit);
	}
}

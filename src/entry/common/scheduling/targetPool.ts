/**
 * The targets of one service as this entry can use them now. The pool keeps the state of a target when the
 * list of targets is updated, pauses targets that refuse requests or can't be reached, and adds up slots for
 * the prediction of waits.
 *
 * Pauses cover a target that crashes or leaves between two lists. Without a pause, the freed slots of a crashed
 * target make it the least loaded target, so it attracts every new request (a black hole). After a pause, one
 * attempt at a time checks whether the target is back.
 */

import { LRUCache } from 'lru-cache';
import type { IRandom } from '../../../base/common/random';
import type { TargetId } from '../../../core/ids/common/ids';
import type { RequestClass } from '../../../core/requests/common/requestClass';
import { requestClasses } from '../../../core/requests/common/requestClass';
import { DecayingSum } from './decayingSum';
import { FreeTargets } from './freeTargets';
import { OutlierDetector } from './outlierDetector';
import type { SchedulingPolicy } from './policy';
import type { RankedTarget } from './prefixRanking';
import { computeTextHash, findBestRanked } from './prefixRanking';
import type { ReportedLoad, SchedulableTarget } from './serviceScheduler';
import { TargetUse } from './targetUse';

/** Number of cached prefix rankings. A ranking takes a few hundred bytes. */
const maxRankings = 4_096;

/** A target with its state at this entry. */
export interface PooledTarget extends RankedTarget {
	readonly use: TargetUse;
}

/** The targets of one service at one entry. */
export class TargetPool {
	readonly outlierDetector: OutlierDetector;
	/** Work recently sent to all targets. */
	readonly recentWork: DecayingSum;
	private readonly byId = new Map<TargetId, PooledTarget>();
	private readonly free = new Map<RequestClass, FreeTargets<PooledTarget>>();
	private activeTargets: readonly PooledTarget[] = [];
	private nominalSlots = 0;
	/**
	 * Targets for requests with a prefix: the targets in this entry's availability zone, or all targets if it
	 * has none.
	 */
	private affinityTargets: readonly PooledTarget[] = [];
	/** Cached rankings by prefix, cleared when the targets change. */
	private readonly rankings = new LRUCache<string, readonly PooledTarget[]>({ max: maxRankings });
	private readonly paused = new Set<PooledTarget>();
	/** Earliest end of a pause among the paused targets, in monotonic milliseconds. */
	private nextResumeMs = Number.POSITIVE_INFINITY;
	private slots = 0;
	private reportDecayMs = 1;
	private meanOtherRequests: number | undefined;

	constructor(
		private readonly policy: SchedulingPolicy,
		private readonly random: IRandom,
	) {
		for (const requestClass of requestClasses) {
			this.free.set(requestClass, new FreeTargets());
		}
		this.recentWork = new DecayingSum(policy.choice.loadDecayMs);
		this.outlierDetector = new OutlierDetector(policy.outlierDetection);
	}

	/** Targets that accept new requests, including paused and ejected targets. */
	get targets(): readonly PooledTarget[] {
		return this.activeTargets;
	}

	/** Number of requests that all active targets may run for this entry at a time. */
	get totalSlots(): number {
		return this.slots;
	}

	/** Returns a target's part of all slots, before limits and shares. */
	computeSlotShare({ target }: TargetUse): number {
		return target.slots / this.nominalSlots;
	}

	/** Part of all slots that this entry may use. */
	get meanShare(): number {
		return this.nominalSlots === 0 ? 1 : Math.min(1, this.slots / this.nominalSlots);
	}

	setTargets(targets: readonly SchedulableTarget[], nowMs: number): void {
		const present = new Set(targets.map(target => target.id));
		for (const id of [...this.byId.keys()]) {
			if (!present.has(id)) {
				this.byId.delete(id);
			}
		}
		for (const target of targets) {
			this.putTarget(target);
		}
		this.activeTargets = [...this.byId.values()].filter(pooled => !pooled.use.target.isLeaving);
		const sameZone = this.activeTargets.filter(pooled => pooled.use.target.isSameZone);
		this.affinityTargets = sameZone.length > 0 ? sameZone : this.activeTargets;
		this.outlierDetector.setTargets(this.activeTargets.map(pooled => pooled.id));
		this.rankings.clear();
		this.updateTotals();
		this.updateAllFree(nowMs);
	}

	/**
	 * Targets that may run a request of the class now. The set can still contain a target that is no longer
	 * free.
	 */
	getFree(requestClass: RequestClass): FreeTargets<PooledTarget> {
		const free = this.free.get(requestClass);
		if (free === undefined) {
			throw new Error(`unknown request class ${requestClass}`);
		}
		return free;
	}

	/** Whether any target can run a request of the class now. */
	hasFree(requestClass: RequestClass, nowMs: number): boolean {
		this.checkPaused(nowMs);
		const free = this.getFree(requestClass);
		for (;;) {
			const { first } = free;
			if (first === undefined) {
				return false;
			}
			if (this.isFree(first, requestClass, nowMs)) {
				return true;
			}
			free.set(first, false);
		}
	}

	isFree({ id, use }: PooledTarget, requestClass: RequestClass, nowMs: number): boolean {
		if (use.target.isLeaving || use.isPaused(nowMs) || this.outlierDetector.isEjected(id)) {
			return false;
		}
		return use.hasRoom(this.policy.classes[requestClass].reservedShare, this.outlierDetector.getSlowness(id));
	}

	/**
	 * Updates the sets of free targets after an attempt at the target started or ended, or the target was
	 * paused or answered.
	 */
	updateFree(target: PooledTarget, nowMs: number): void {
		if (this.byId.get(target.id) !== target) {
			return;
		}
		if (target.use.isPaused(nowMs)) {
			this.paused.add(target);
			this.nextResumeMs = Math.min(this.nextResumeMs, target.use.pausedUntilMs);
		}
		for (const [requestClass, free] of this.free) {
			free.set(target, this.isFree(target, requestClass, nowMs));
		}
	}

	/** Returns the highest ranked targets for a prefix. */
	findRanked(prefixKey: string): readonly PooledTarget[] {
		let ranked = this.rankings.get(prefixKey);
		if (ranked === undefined) {
			ranked = findBestRanked(this.affinityTargets, prefixKey, this.policy.choice.maxAffinityTargets);
			this.rankings.set(prefixKey, ranked);
		}
		return ranked;
	}

	find(id: TargetId): PooledTarget | undefined {
		return this.byId.get(id);
	}

	noteLoad(id: TargetId, load: ReportedLoad, nowMs: number): void {
		const pooled = this.byId.get(id);
		if (pooled !== undefined) {
			pooled.use.noteLoad(load, nowMs);
			this.updateFree(pooled, nowMs);
		}
	}

	/**
	 * Estimates the requests of other entries at a target. Without any report, other entries are assumed to
	 * use their shares as this entry does.
	 */
	estimateOtherRequests(use: TargetUse, nowMs: number): number {
		const assumedRequests = use.running * (1 / use.target.share - 1);
		return use.estimateOtherRequests(this.meanOtherRequests ?? assumedRequests, this.reportDecayMs, nowMs);
	}

	/** Pauses a target after a failed attempt, for longer with each consecutive failure. */
	pauseTarget(use: TargetUse, nowMs: number): void {
		const { initialMs, maxMs } = this.policy.pause;
		const pauseMs = Math.min(maxMs, initialMs * 2 ** use.consecutiveFailures);
		use.consecutiveFailures++;
		use.pausedUntilMs = Math.max(use.pausedUntilMs, nowMs + pauseMs * (1 + this.random.pickFraction() / 2));
	}

	/** Ends the pause of a target that answered. */
	clearFailures(use: TargetUse): void {
		use.consecutiveFailures = 0;
		use.pausedUntilMs = 0;
	}

	/**
	 * Records work sent to a target. After failures, a single attempt checks whether the target is back: the
	 * target stays paused until that attempt ends, at most for the longest pause.
	 */
	recordStart(use: TargetUse, workMs: number, nowMs: number): void {
		this.recentWork.add(workMs, nowMs);
		use.recentWork.add(workMs, nowMs);
		if (use.consecutiveFailures > 0) {
			use.pausedUntilMs = nowMs + this.policy.pause.maxMs;
		}
	}

	/** Whether all targets are paused after several consecutive failures each. */
	isDown(nowMs: number): boolean {
		const { downAfterFailures } = this.policy.pause;
		return this.activeTargets.every(
			({ use }) => use.consecutiveFailures >= downAfterFailures && use.isPaused(nowMs),
		);
	}

	/**
	 * Compares speeds, raises lowered limits and refreshes the totals. `runMs` is the mean run time of
	 * running requests.
	 */
	update(elapsedMs: number, runMs: number, nowMs: number): void {
		this.reportDecayMs = Math.max(1, runMs * this.policy.choice.reportDecayRuns);
		this.outlierDetector.compare();
		for (const { use } of this.activeTargets) {
			use.advanceRecovery(elapsedMs);
		}
		this.updateTotals();
		this.updateAllFree(nowMs);
	}

	/** Updates the targets whose pause has ended. */
	private checkPaused(nowMs: number): void {
		if (nowMs < this.nextResumeMs) {
			return;
		}
		this.nextResumeMs = Number.POSITIVE_INFINITY;
		for (const target of this.paused) {
			if (target.use.isPaused(nowMs)) {
				this.nextResumeMs = Math.min(this.nextResumeMs, target.use.pausedUntilMs);
			} else {
				this.paused.delete(target);
				this.updateFree(target, nowMs);
			}
		}
	}

	private updateAllFree(nowMs: number): void {
		for (const free of this.free.values()) {
			free.clear();
		}
		for (const target of this.activeTargets) {
			this.updateFree(target, nowMs);
		}
	}

	private updateTotals(): void {
		let slots = 0;
		let nominalSlots = 0;
		let others = 0;
		let reports = 0;
		for (const { use } of this.activeTargets) {
			slots += this.outlierDetector.isEjected(use.target.id) ? 0 : use.limit;
			nominalSlots += use.target.slots;
			const reported = use.getReportedOtherRequests();
			others += reported ?? 0;
			reports += reported === undefined ? 0 : 1;
		}
		this.slots = slots === 0 ? this.addMinimumSlot() : slots;
		this.nominalSlots = nominalSlots;
		this.meanOtherRequests = reports === 0 ? undefined : others / reports;
	}

	/** Allows one slot at the target with the largest fractional limit. Returns the number of usable slots. */
	private addMinimumSlot(): number {
		let largest: TargetUse | undefined;
		for (const { use } of this.activeTargets) {
			if (largest === undefined || use.fractionalLimit > largest.fractionalLimit) {
				largest = use;
			}
		}
		largest?.setLimitToOne();
		return largest === undefined ? 0 : 1;
	}

	private putTarget(target: SchedulableTarget): void {
		const known = this.byId.get(target.id);
		if (known !== undefined) {
			known.use.setTarget(target);
			return;
		}
		const use = new TargetUse(
			target,
			this.policy.limit,
			this.random.pickFraction(),
			this.policy.choice.loadDecayMs,
		);
		this.byId.set(target.id, { id: target.id, idHash: computeTextHash(target.id), use });
	}
}

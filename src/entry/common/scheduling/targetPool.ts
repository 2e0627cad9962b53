/**
 * The targets of one service as this entry may use them now. Keeps what is learnt of a target across new
 * lists, pauses targets that refuse or cannot be reached, and adds up slots for the prediction of waits.
 *
 * A pause answers a target that dies or leaves between two lists. Without it the freed slots of the dead
 * target make it the least loaded one, and it draws every new request (a black hole). After a pause one
 * attempt at a time tries whether the target is back.
 */

import { LRUCache } from 'lru-cache';
import type { IRandom } from '../../../base/common/random';
import type { TargetId } from '../../../core/ids/common/ids';
import type { RequestClass } from '../../../core/requests/common/requestClass';
import { requestClasses } from '../../../core/requests/common/requestClass';
import { DecayingSum } from './decayingSum';
import { FreeTargets } from './freeTargets';
import type { SchedulingPolicy } from './policy';
import type { RankedTarget } from './prefixRanking';
import { computeTextHash, findBestRanked } from './prefixRanking';
import type { ReportedLoad, SchedulableTarget } from './serviceScheduler';
import { OutlierDetector } from './outlierDetector';
import { TargetUse } from './targetUse';

/** Prefixes whose ranking is remembered; a ranking takes some hundred bytes. */
const maxRankings = 4_096;

/** A target with what the choice needs of it. */
export interface PooledTarget extends RankedTarget {
	readonly use: TargetUse;
}

/** Holds the targets of one service at one entry. */
export class TargetPool {
	readonly outlierDetector: OutlierDetector;
	/** Work sent to all targets of late. */
	readonly recentWork: DecayingSum;
	private readonly byId = new Map<TargetId, PooledTarget>();
	private readonly free = new Map<RequestClass, FreeTargets<PooledTarget>>();
	private activeTargets: readonly PooledTarget[] = [];
	private nominalSlots = 0;
	/** Those of this entry's own availability zone, or all where it has none: prefixes are kept near. */
	private affinityTargets: readonly PooledTarget[] = [];
	/** Rankings by prefix, since a prefix comes again; forgotten when the targets change. */
	private readonly rankings = new LRUCache<string, readonly PooledTarget[]>({ max: maxRankings });
	private readonly paused = new Set<PooledTarget>();
	/** When the first of the paused targets may be tried. */
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

	/** Targets that take new work, paused and slow ones included. */
	get targets(): readonly PooledTarget[] {
		return this.activeTargets;
	}

	/** Requests that all targets in use may run for this entry at a time. */
	get totalSlots(): number {
		return this.slots;
	}

	/** A target's part of all slots, before limits and shares. */
	computeSlotShare({ target }: TargetUse): number {
		return target.slots / this.nominalSlots;
	}

	/** This entry's part of all slots. */
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

	/** Targets that may run a request of the class now; one may have become unfree with time. */
	getFree(requestClass: RequestClass): FreeTargets<PooledTarget> {
		const free = this.free.get(requestClass);
		if (free === undefined) {
			throw new Error(`no class ${requestClass}`);
		}
		return free;
	}

	/** Whether any target takes a request of the class now. */
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

	/** Something about the target changed: an attempt started or ended, it was paused or is alive. */
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

	/** The best targets for a prefix among the near ones. */
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

	/** Work of others on a target, in requests; without any report the others are taken to use it as we do. */
	estimateOtherRequests(use: TargetUse, nowMs: number): number {
		const ownUseScaled = use.running * (1 / use.target.share - 1);
		return use.estimateOtherRequests(this.meanOtherRequests ?? ownUseScaled, this.reportDecayMs, nowMs);
	}

	/** An attempt was refused or found no connection. */
	pauseTarget(use: TargetUse, nowMs: number): void {
		const { initialMs: firstMs, maxMs: longestMs } = this.policy.pause;
		const pauseMs = Math.min(longestMs, firstMs * 2 ** use.consecutiveFailures);
		use.consecutiveFailures++;
		use.pausedUntilMs = Math.max(use.pausedUntilMs, nowMs + pauseMs * (1 + this.random.pickFraction() / 2));
	}

	/** The target answered. */
	clearFailures(use: TargetUse): void {
		use.consecutiveFailures = 0;
		use.pausedUntilMs = 0;
	}

	/** Work was sent to a target. One that failed before is tried by one attempt: others stay away until that one's end. */
	recordStart(use: TargetUse, workMs: number, nowMs: number): void {
		this.recentWork.add(workMs, nowMs);
		use.recentWork.add(workMs, nowMs);
		if (use.consecutiveFailures > 0) {
			use.pausedUntilMs = nowMs + this.policy.pause.maxMs;
		}
	}

	/** Whether every target has failed several times in a row and is paused for it. */
	isDown(nowMs: number): boolean {
		const { downAfterFailures: downAfter } = this.policy.pause;
		return this.activeTargets.every(({ use }) => use.consecutiveFailures >= downAfter && use.isPaused(nowMs));
	}

	/** Compares speeds and gives back limits; called at each check. `runMs` is the mean run of what runs. */
	update(elapsedMs: number, runMs: number, nowMs: number): void {
		this.reportDecayMs = Math.max(1, runMs * this.policy.choice.reportDecayRuns);
		this.outlierDetector.compare();
		for (const { use } of this.activeTargets) {
			use.advanceRecovery(elapsedMs);
		}
		this.updateTotals();
		this.updateAllFree(nowMs);
	}

	/** Looks again at targets whose pause has ended. */
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

	/** Gives the entry one slot at the target where it is nearest to one; gives the slots it has then. */
	private addMinimumSlot(): number {
		let nearest: TargetUse | undefined;
		for (const { use } of this.activeTargets) {
			if (nearest === undefined || use.fractionalLimit > nearest.fractionalLimit) {
				nearest = use;
			}
		}
		nearest?.setLimitToOne();
		return nearest === undefined ? 0 : 1;
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

/**
 * Scheduler of one service at one entry. Combines admission, fair queues, limits, the choice of targets and
 * retries. Each decision is made in the module of that name.
 */

import type { IRandom } from '../../../base/common/random';
import { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { RequestId, TargetId } from '../../../core/ids/common/ids';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { Admission } from './admission';
import type { HeldRequest, RunningAttempt } from './attempt';
import { recordFailure } from './attempt';
import { AttemptObserver } from './attemptObserver';
import type { ClassLane } from './classLanes';
import { ClassLanes } from './classLanes';
import type { QueuedRequest } from './fairQueue';
import type { SchedulingPolicy } from './policy';
import { defaultSchedulingPolicy } from './policy';
import { RefusalBuilder } from './refusalBuilder';
import { RetryAfterPlanner } from './retryAfterPlanner';
import { RetryBudget } from './retryBudget';
import { RetryQueue } from './retryQueue';
import type {
	IServiceScheduler,
	ReportedLoad,
	SchedulableRequest,
	SchedulableTarget,
	ScheduleDecision,
	ServiceRoom,
	TargetRoom,
} from './serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from './serviceScheduler';
import type { TargetChoice } from './targetChooser';
import { TargetChooser } from './targetChooser';
import { TargetPool } from './targetPool';
import { WaitPredictor } from './waitPredictor';
import { WorkEstimator } from './workEstimator';

/** Time left that is assumed for a normal request in the wait reported to other regions, in milliseconds. */
const assumedTimeLeftMs = 10_000;

/** Scheduler of one service at one entry. */
export class ServiceScheduler implements IServiceScheduler {
	private readonly lanes: ClassLanes;
	private readonly pool: TargetPool;
	private readonly estimator: WorkEstimator;
	private readonly predictor: WaitPredictor;
	private readonly admission: Admission;
	private readonly chooser: TargetChooser;
	private readonly retries: RetryQueue;
	private readonly observer: AttemptObserver;
	private readonly refusalBuilder: RefusalBuilder;
	private readonly held = new Map<RequestId, HeldRequest>();
	private pendingDecisions: ScheduleDecision[] = [];
	private queueCheckedMs: number | undefined;
	private targetsCheckedMs = Number.NEGATIVE_INFINITY;

	constructor(
		random: IRandom,
		private readonly policy: SchedulingPolicy = defaultSchedulingPolicy,
	) {
		this.lanes = new ClassLanes(policy.classes);
		this.pool = new TargetPool(policy, random);
		this.estimator = new WorkEstimator(policy.classes);
		this.predictor = new WaitPredictor(this.lanes, this.pool, this.estimator);
		this.admission = new Admission(policy.admission, this.lanes, this.pool, this.estimator, this.predictor);
		this.chooser = new TargetChooser(this.pool, policy.choice, random);
		const budget = new RetryBudget(policy.retry);
		this.retries = new RetryQueue(policy.retry, this.lanes, this.pool, this.admission, budget);
		this.observer = new AttemptObserver(
			policy.outlierDetection,
			this.lanes,
			this.pool,
			this.estimator,
			budget,
		);
		const plan = new RetryAfterPlanner(policy.retryAfter, random);
		this.refusalBuilder = new RefusalBuilder(this.lanes, this.estimator, this.predictor, plan);
	}

	setTargets(targets: readonly SchedulableTarget[], nowMs: number): void {
		this.pool.setTargets(targets, nowMs);
		this.refuseUnservable(nowMs);
	}

	submit(request: SchedulableRequest, nowMs: number): void {
		const fault = this.admission.findRefusal(request, nowMs);
		if (fault !== undefined) {
			this.pendingDecisions.push(this.refusalBuilder.createNotRun(request, fault.kind, fault.detail, nowMs));
			return;
		}
		const workMs = this.estimator.estimate(request.organisation, request.requestClass);
		const queued: QueuedRequest = { request, workMs, isRemoved: false };
		this.held.set(request.id, {
			request,
			queued,
			running: undefined,
			triedTargets: [],
			mayHaveRun: false,
			fault: undefined,
		});
		this.lanes.push(queued);
	}

	advance(nowMs: number): readonly ScheduleDecision[] {
		if (nowMs - (this.queueCheckedMs ?? nowMs) >= this.policy.admission.recheckIntervalMs) {
			this.runPeriodicChecks(nowMs);
		}
		this.queueCheckedMs ??= nowMs;
		this.startRetries(nowMs);
		this.startQueued(nowMs);
		const decisions = this.pendingDecisions;
		this.pendingDecisions = [];
		return decisions;
	}

	getNextDueMs(): number | undefined {
		return this.held.size > 0
			? (this.queueCheckedMs ?? 0) + this.policy.admission.recheckIntervalMs
			: undefined;
	}

	/** Does nothing: a pause ends by itself soon. */
	resumeTargets(): void {
		return;
	}

	/** Does nothing: all targets get requests while they connect. */
	noteHandedOver(): void {
		return;
	}

	noteFirstByte(requestId: RequestId, nowMs: number): void {
		const attempt = this.held.get(requestId)?.running;
		if (attempt !== undefined) {
			this.observer.noteFirstByte(attempt, nowMs);
		}
	}

	noteEnd(requestId: RequestId, end: AttemptEnd, nowMs: number): boolean {
		const held = this.held.get(requestId);
		const attempt = held?.running;
		if (held === undefined || attempt === undefined) {
			return false;
		}
		held.running = undefined;
		this.observer.noteEnd(held, attempt, end, nowMs);
		recordFailure(held, attempt.target.id, end);
		if (end !== AttemptEnd.Answered && this.pool.isDown(nowMs)) {
			this.refuseUnservable(nowMs);
		}
		const isRequeued = this.retries.accept(held, attempt, end, nowMs);
		if (!isRequeued) {
			this.held.delete(requestId);
		}
		return isRequeued;
	}

	/** Error answers of a target are forwarded to the caller. */
	isRetriable(): boolean {
		return false;
	}

	/** The next attempt finds another target, or waits for one. */
	noteSilence(): boolean {
		return true;
	}

	noteLoad(target: TargetId, load: ReportedLoad, nowMs: number): void {
		this.pool.noteLoad(target, load, nowMs);
	}

	cancel(requestId: RequestId): void {
		const held = this.held.get(requestId);
		if (held === undefined || held.running !== undefined) {
			return;
		}
		this.held.delete(requestId);
		if (held.queued !== undefined) {
			this.lanes.getLane(held.request.requestClass).queue.remove(held.queued);
		}
		this.retries.remove(held);
	}

	measureTarget(target: TargetId): TargetRoom {
		const pooled = this.pool.find(target);
		return { running: pooled?.use.running ?? 0, limit: pooled?.use.limit ?? 0 };
	}

	measureRoom(nowMs: number, request?: SchedulableRequest): ServiceRoom {
		const { running, size } = this.lanes;
		return {
			waitMs: request === undefined ? this.estimateNormalWait() : this.admission.estimateWait(request, nowMs),
			freeSlots: Math.max(0, this.pool.totalSlots - running - size),
			running,
			queued: size + this.retries.size,
		};
	}

	private estimateNormalWait(): number {
		const lane = this.lanes.getLane(RequestClass.Normal);
		return this.predictor.estimateWaitAfter(lane, lane.queue.queuedWorkMs, assumedTimeLeftMs);
	}

	private startRetries(nowMs: number): void {
		for (const held of this.retries.list()) {
			if (!this.retries.isPossible(held, nowMs)) {
				this.retries.remove(held);
				this.held.delete(held.request.id);
				this.pendingDecisions.push(
					this.refusalBuilder.createAfterFailedAttempts(
						held,
						'no time or no other target left for another attempt',
						nowMs,
					),
				);
				continue;
			}
			const choice = this.chooseFor(held, nowMs);
			if (choice !== undefined) {
				const { requestClass, organisation } = held.request;
				this.retries.remove(held);
				this.lanes.addCharge(requestClass, organisation, this.start(held, choice, nowMs).expectedMs);
			}
		}
	}

	private startQueued(nowMs: number): void {
		for (;;) {
			const lane = this.lanes.pickLane(candidate => this.isServable(candidate, nowMs));
			const held = lane === undefined ? undefined : this.takeFrom(lane);
			if (lane === undefined || held === undefined) {
				return;
			}
			if (!this.admission.isStartable(lane, held.request, nowMs)) {
				this.refuseTaken(held, nowMs);
				continue;
			}
			const choice = this.chooseFor(held, nowMs);
			if (choice === undefined) {
				this.waitForIsolationOrRefuse(held, nowMs);
				continue;
			}
			this.lanes.recordServed(lane, this.start(held, choice, nowMs).expectedMs);
		}
	}

	/**
	 * Moves a crash suspect without a usable target to the retry queue, where it doesn't block the requests
	 * behind it. Refuses any other request.
	 */
	private waitForIsolationOrRefuse(held: HeldRequest, nowMs: number): void {
		if (held.request.isKeptApart?.() === true) {
			this.retries.add(held);
			return;
		}
		this.refuseTaken(held, nowMs);
	}

	private isServable(lane: ClassLane, nowMs: number): boolean {
		const slotLimit = this.lanes.computeSlotLimit(lane, this.pool.totalSlots, this.pool.meanShare);
		return lane.running < slotLimit && this.pool.hasFree(lane.requestClass, nowMs);
	}

	private takeFrom(lane: ClassLane): HeldRequest | undefined {
		const queued = lane.queue.take();
		const held = queued === undefined ? undefined : this.held.get(queued.request.id);
		if (held !== undefined) {
			held.queued = undefined;
		}
		return held;
	}

	private chooseFor(held: HeldRequest, nowMs: number): TargetChoice | undefined {
		const { request, triedTargets } = held;
		const expectedMs = this.estimator.estimate(request.organisation, request.requestClass);
		return this.chooser.choose({ request, expectedMs, triedTargets }, nowMs);
	}

	private start(held: HeldRequest, choice: TargetChoice, nowMs: number): RunningAttempt {
		const { request } = held;
		const attempt: RunningAttempt = {
			target: choice.target,
			startedMs: nowMs,
			expectedMs: this.estimator.estimate(request.organisation, request.requestClass),
			isTrial: choice.isTrial,
			isCrashSuspect: request.isKeptApart?.() === true,
			hasFirstByte: false,
			isOverdue: false,
		};
		held.running = attempt;
		this.observer.noteStart(held, attempt, nowMs);
		this.pendingDecisions.push({
			kind: ScheduleDecisionKind.Start,
			requestId: request.id,
			target: choice.target.id,
			reason: choice.reason,
		});
		return attempt;
	}

	private runPeriodicChecks(nowMs: number): void {
		const elapsedMs = nowMs - (this.queueCheckedMs ?? nowMs);
		this.queueCheckedMs = nowMs;
		this.lanes.updateMeans(elapsedMs);
		if (this.lanes.size > 0) {
			this.refuseUnservable(nowMs);
		}
		if (nowMs - this.targetsCheckedMs >= this.policy.outlierDetection.compareIntervalMs) {
			this.checkTargets(nowMs);
		}
	}

	private checkTargets(nowMs: number): void {
		const elapsedMs = nowMs - Math.max(0, this.targetsCheckedMs);
		this.targetsCheckedMs = nowMs;
		for (const held of this.held.values()) {
			if (held.running !== undefined) {
				this.observer.noteOverdue(held.running, nowMs);
			}
		}
		this.pool.update(elapsedMs, this.predictor.estimateMeanRun(), nowMs);
	}

	/**
	 * Refuses the waiting requests that can no longer be answered in time, or all of them if no target is
	 * available.
	 */
	private refuseUnservable(nowMs: number): void {
		const isDown = this.pool.isDown(nowMs);
		for (const lane of this.lanes.lanes) {
			lane.queue.removeWhere((item, aheadMs) => {
				const isRefused = isDown || !this.admission.isDeadlineReachable(lane, item.request, aheadMs, nowMs);
				if (isRefused) {
					this.refuseRemoved(item, isDown, nowMs);
				}
				return isRefused;
			});
		}
	}

	private refuseRemoved(item: QueuedRequest, isDown: boolean, nowMs: number): void {
		this.held.delete(item.request.id);
		const kind = isDown ? ErrorKind.NoTarget : ErrorKind.DeadlineUnreachable;
		const detail = isDown
			? 'no target can be reached'
			: 'the predicted wait and run exceed the time to the deadline';
		this.pendingDecisions.push(this.refusalBuilder.createNotRun(item.request, kind, detail, nowMs));
	}

	private refuseTaken(held: HeldRequest, nowMs: number): void {
		this.held.delete(held.request.id);
		const detail = 'the time left is shorter than the expected run';
		this.pendingDecisions.push(
			this.refusalBuilder.createNotRun(held.request, ErrorKind.DeadlineUnreachable, detail, nowMs),
		);
	}
}

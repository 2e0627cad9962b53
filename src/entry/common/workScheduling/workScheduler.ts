/**
 * Schedules the requests of one service by their estimated work: requests with prompts by the tokens that a target
 * has to process, plain requests by slots.
 *
 * The load it is designed for is a region at several times its mean load, with long prompts among short ones. The
 * goal is to begin as many answers as possible by their due time, the most urgent first. A request that cannot be
 * answered by its deadline is refused as soon as that is known, with a retry delay, and no request is refused
 * while a target has capacity.
 */

import type { IRandom } from '../../../base/common/random';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { FleetPosition } from '../fleetView/fleetRoster';
import type { RequestId, TargetId } from '../../../core/ids/common/ids';
import { findSharedPart } from '../prompts/promptShape';
import type {
	IServiceScheduler,
	ReportedLoad,
	SchedulableRequest,
	SchedulableTarget,
	ScheduleDecision,
	ServiceRoom,
	TargetRoom,
	TargetSlowness,
} from '../scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../scheduling/serviceScheduler';
import { describeUnmatched, hasMatchedTarget, isVersionMatched } from '../scheduling/versionMatch';
import { QueueEstimates } from './queueEstimates';
import type { TargetChoice, TargetQuery } from './targetChooser';
import { WorkTargetChooser } from './targetChooser';
import { getUrgency, isDueTimeMissed } from './requestOrder';
import { AnswerPhases } from './answerPhases';
import { PaceMemory } from './paceMemory';
import { TargetLoadModel } from './targetLoadModel';
import { TargetSubset } from './targetSubset';
import {
	describeFullQueue,
	describeLongQueue,
	describeLongWait,
	describeMissedDeadline,
	describeMissedStart,
	describePromptSize,
	noUsableTargetReason,
} from './refusalReasons';
import { computeTypicalPace } from './targetPace';
import { computeTypicalLoad } from './typicalLoad';
import type { TrackedRequest } from './trackedRequest';
import { countAttempt, createTrackedRequest, isRepeatAllowed } from './trackedRequest';
import { RequestRetries } from './requestRetries';
import type { WorkPolicy } from './workPolicy';
import { defaultWorkPolicy } from './workPolicy';
import type { WaitingRequest, WorkItem } from './workQueue';
import { WorkQueue } from './workQueue';

/**
 * Maximum number of waiting requests without a target in one pass over the queue. What blocks these mostly blocks the
 * others too, and without the limit every answer would scan a queue of up to thousands of requests.
 */
const maxUnplacedRequests = 8;

const notSentAgain = 'not sent to another target';

const errorKindsOfEnds: Readonly<Partial<Record<AttemptEnd, ErrorKind>>> = {
	[AttemptEnd.TargetRefused]: ErrorKind.TargetRefused,
	[AttemptEnd.NotConnected]: ErrorKind.NoTarget,
	[AttemptEnd.Failed]: ErrorKind.TargetFailed,
	[AttemptEnd.Erred]: ErrorKind.TargetFailed,
	[AttemptEnd.Silent]: ErrorKind.TargetSilent,
	[AttemptEnd.Unconfirmed]: ErrorKind.TargetFailed,
};

/** Why a new request is refused. */
interface AdmissionError {
	readonly kind: ErrorKind;
	/** The bound that the request misses. */
	readonly reason: string;
}

/** Chooses when and where the requests of one service run. */
export class WorkScheduler implements IServiceScheduler {
	private readonly targets = new Map<TargetId, TargetLoadModel>();
	private targetList: readonly TargetLoadModel[] = [];
	private readonly queue = new WorkQueue();
	private readonly requests = new Map<RequestId, TrackedRequest>();
	private readonly targetChooser: WorkTargetChooser;
	private readonly retries: RequestRetries;
	private readonly estimates: QueueEstimates;
	private readonly paceMemory: PaceMemory;
	private readonly loadMemory: PaceMemory;
	private readonly answerPhases = new AnswerPhases();
	private readonly subset: TargetSubset<TargetLoadModel>;
	private decisions: ScheduleDecision[] = [];
	private lastCheckMs = Number.NEGATIVE_INFINITY;
	/** What a target of the service said last of the refusals that it bears. */
	private refusalLimit: number | undefined;

	constructor(
		random: IRandom,
		/** Returns the place of this entry among the entries (proxy processes) that share the fleet's retry budget. */
		private readonly getFleetPosition: () => FleetPosition,
		private readonly policy: WorkPolicy = defaultWorkPolicy,
	) {
		this.subset = new TargetSubset(policy.choice);
		this.paceMemory = new PaceMemory(policy.estimate);
		this.loadMemory = new PaceMemory(policy.estimate);
		this.targetChooser = new WorkTargetChooser(policy, random, target => this.isPreferred(target));
		this.retries = new RequestRetries(policy.retry, getFleetPosition);
		this.estimates = new QueueEstimates(this.queue, policy, random);
	}

	setTargets(targets: readonly SchedulableTarget[]): void {
		const present = new Set(targets.map(target => target.id));
		for (const id of [...this.targets.keys()]) {
			if (!present.has(id)) {
				this.targets.delete(id);
			}
		}
		for (const target of targets) {
			const known = this.targets.get(target.id);
			if (known === undefined) {
				const model = new TargetLoadModel(
					target,
					this.policy.estimate,
					this.policy.queue,
					this.paceMemory,
					this.answerPhases,
					this.loadMemory,
				);
				model.brittleLimiter.setServiceLimit(this.refusalLimit);
				this.targets.set(target.id, model);
			} else {
				known.setTarget(target);
			}
		}
		this.targetList = [...this.targets.values()];
		this.estimates.setTargets(this.targetList);
	}

	submit(request: SchedulableRequest, nowMs: number): void {
		const tracked = createTrackedRequest(request);
		if (request.history?.isCounted !== true) {
			this.retries.noteRequest(nowMs);
		}
		const item = this.estimates.createItem(request, nowMs);
		const error = this.findAdmissionError(item, nowMs) ?? this.findRetryError(tracked, nowMs);
		if (error !== undefined) {
			const sent = tracked.sends === 0 ? 'not sent to any target' : notSentAgain;
			this.refuse(request, error.kind, `${sent}: ${error.reason}`, tracked.mayHaveRun, nowMs);
			return;
		}
		this.requests.set(request.id, tracked);
		this.retries.reserve(tracked);
		this.queue.add(item, nowMs);
	}

	advance(nowMs: number): readonly ScheduleDecision[] {
		const isCheckDue = nowMs - this.lastCheckMs >= this.policy.queue.recheckIntervalMs;
		if (isCheckDue) {
			this.lastCheckMs = nowMs;
			this.updateTypicalSlowness();
			this.updateTypicalLoad(nowMs);
			this.updateSubset(nowMs);
			this.checkWaiting(nowMs);
		}
		this.startWaiting(nowMs);
		if (isCheckDue) {
			this.refuseUnstarted(nowMs);
		}
		const { decisions } = this;
		this.decisions = [];
		return decisions;
	}

	getNextDueMs(): number | undefined {
		return this.queue.size > 0 ? this.lastCheckMs + this.policy.queue.recheckIntervalMs : undefined;
	}

	noteHandedOver(requestId: RequestId, nowMs: number): void {
		const tracked = this.requests.get(requestId);
		if (tracked === undefined) {
			return;
		}
		tracked.runningOn?.noteHandedOver(requestId, nowMs);
		this.retries.noteSent(tracked, nowMs);
	}

	resumeTargets(): void {
		for (const target of this.targetList) {
			target.resume();
		}
	}

	noteFirstByte(requestId: RequestId, nowMs: number): void {
		const tracked = this.requests.get(requestId);
		if (tracked !== undefined) {
			tracked.hasFirstByte = true;
			tracked.runningOn?.noteFirstByte(requestId, nowMs);
		}
	}

	noteEnd(requestId: RequestId, end: AttemptEnd, nowMs: number): boolean {
		const tracked = this.requests.get(requestId);
		const target = tracked?.runningOn;
		if (tracked === undefined || target === undefined) {
			return false;
		}
		tracked.runningOn = undefined;
		target.noteEnd(requestId, end, this.policy.retry, nowMs);
		countAttempt(tracked, target.id, end);
		tracked.lastErrorKind = errorKindsOfEnds[end];
		if (!this.isRetryAllowed(tracked, end, nowMs)) {
			this.removeRequest(tracked);
			return false;
		}
		this.retries.reserve(tracked);
		this.queue.add(this.estimates.createItem(tracked.request, nowMs), nowMs);
		return true;
	}

	findBudgetRefusal(requestId: RequestId, end: AttemptEnd, nowMs: number): string | undefined {
		const tracked = this.requests.get(requestId);
		if (tracked?.runningOn === undefined) {
			return undefined;
		}
		const after = { ...tracked, triedTargets: [...tracked.triedTargets] };
		countAttempt(after, tracked.runningOn.id, end);
		const isBudgetUsed = this.isRetryUseful(after, end, nowMs) && !this.retries.isSendAllowed(after, nowMs);
		return isBudgetUsed ? `${notSentAgain}: ${this.retries.describe(nowMs)}` : undefined;
	}

	isRetriable(requestId: RequestId, nowMs: number): boolean {
		const tracked = this.requests.get(requestId);
		return tracked !== undefined && this.isPlaceable(tracked, this.listMatched(tracked.request), nowMs);
	}

	noteSilence(requestId: RequestId, nowMs: number, isTakenOver = false): boolean {
		const tracked = this.requests.get(requestId);
		if (tracked === undefined) {
			return true;
		}
		if (isTakenOver) {
			return this.isRepeatAllowedAfterRun(tracked, nowMs);
		}
		const { runningOn, triedTargets, request } = tracked;
		const others = this.listMatched(request).filter(
			target => target !== runningOn && !triedTargets.includes(target.id),
		);
		const canMove = this.isPlaceable(tracked, others, nowMs);
		if (!canMove) {
			runningOn?.noteSilence(requestId, this.policy.retry, nowMs);
		}
		return canMove;
	}

	/** Whether the request may run again after its current attempt, and one of the targets could take it in time now. */
	private isPlaceable(tracked: TrackedRequest, targets: readonly TargetLoadModel[], nowMs: number): boolean {
		const { request } = tracked;
		const urgency = getUrgency(request);
		const hasCapacity = targets.some(target => {
			const isLate = isDueTimeMissed(request, target.estimateIdleFirstByteMs(request), nowMs);
			return (
				target.isAvailable(nowMs) &&
				target.isSendAllowed(nowMs) &&
				target.hasCapacity({ isLate, urgency }, nowMs) &&
				nowMs + target.estimateFirstByteMs(request, nowMs) <= request.deadlineMs
			);
		});
		return hasCapacity && this.isRepeatAllowedAfterRun(tracked, nowMs);
	}

	/** Whether the request may be attempted again after its current attempt, which may have run. */
	private isRepeatAllowedAfterRun(tracked: TrackedRequest, nowMs: number): boolean {
		const after = { ...tracked, possibleRuns: tracked.possibleRuns + 1, mayHaveRun: true };
		return this.isRetryAllowed(after, AttemptEnd.Erred, nowMs);
	}

	noteEarlyEnd(target: TargetId, nowMs: number): void {
		this.targets.get(target)?.noteEarlyEnd(this.policy.retry, nowMs);
	}

	noteLoad(target: TargetId, load: ReportedLoad, nowMs: number): void {
		const { slowness, ...counts } = load;
		const isUsed = slowness !== undefined && this.policy.estimate.usesReportedSlowness;
		this.targets.get(target)?.noteLoad(isUsed ? load : counts, nowMs);
	}

	noteRefusalLimit(target: TargetId, refusalLimit: number | undefined): void {
		this.targets.get(target)?.brittleLimiter.setRefusalLimit(refusalLimit);
		if (refusalLimit !== this.refusalLimit) {
			this.refusalLimit = refusalLimit;
			for (const { brittleLimiter } of this.targetList) {
				brittleLimiter.setServiceLimit(refusalLimit);
			}
		}
	}

	cancel(requestId: RequestId): void {
		const tracked = this.requests.get(requestId);
		if (tracked === undefined || tracked.runningOn !== undefined) {
			return;
		}
		this.removeRequest(tracked);
		this.queue.remove(requestId);
	}

	measureTarget(target: TargetId): TargetRoom {
		const known = this.targets.get(target);
		return { running: known?.running ?? 0, limit: known?.description.slots ?? 0 };
	}

	listSlowness(nowMs: number): readonly TargetSlowness[] {
		return this.targetList.map(target => target.describeSlowness(nowMs));
	}

	/** The wait is until the first byte if a request is given, otherwise the queueing time of an arriving request. */
	measureRoom(nowMs: number, request?: SchedulableRequest): ServiceRoom {
		const matched = request === undefined ? this.targetList : this.listMatched(request);
		const available = matched.filter(target => target.isAvailable(nowMs) && target.isSendAllowed(nowMs));
		const waits = available.map(target =>
			request === undefined
				? target.estimateWaitMs(nowMs) * target.pace.lasting
				: target.estimateFirstByteMs(request, nowMs),
		);
		const idleFirstByteMs =
			request === undefined ? [] : available.map(target => target.computeIdleFirstByteMs(request));
		const queuedMs = this.estimates.estimateQueuedMs(available, request, nowMs);
		return {
			waitMs: Math.min(...waits) + queuedMs,
			freeSlots: available.reduce(
				(sum, target) => sum + target.countFreeSlots(nowMs) * target.description.share * target.speed,
				0,
			),
			running: this.targetList.reduce((sum, target) => sum + target.running, 0),
			queued: this.queue.size,
			...(idleFirstByteMs.length > 0 ? { unloadedMs: Math.max(...idleFirstByteMs) } : {}),
			holdsSharedPart: request !== undefined && this.hasSharedPart(available, request),
			runningPerTarget: this.computeRunningPerTarget(available, nowMs),
			...(request?.work?.prompt === undefined || idleFirstByteMs.length === 0
				? {}
				: { readingMs: Math.min(...idleFirstByteMs) - this.policy.estimate.idleFirstEventMs }),
		};
	}

	private computeRunningPerTarget(available: readonly TargetLoadModel[], nowMs: number): number {
		const running = available.reduce((sum, target) => sum + target.estimateRunningRequests(nowMs), 0);
		return running / Math.max(1, available.length);
	}

	/** Whether the prefix cache of an available target is estimated to contain the request's shared prompt part. */
	private hasSharedPart(available: readonly TargetLoadModel[], { work }: SchedulableRequest): boolean {
		const shared = work?.prompt && findSharedPart(work.prompt, this.policy.choice.minSharedTokens);
		return shared !== undefined && available.some(target => target.hasPart(shared.id));
	}

	/** Returns the error with which a new request is refused, or undefined if it is accepted. */
	private findAdmissionError(item: WorkItem, nowMs: number): AdmissionError | undefined {
		const { maxWaitingRequests, maxWaitShare } = this.policy.queue;
		const unusable = this.findUnusableReason(item.request);
		if (unusable !== undefined) {
			return unusable;
		}
		if (this.queue.size >= maxWaitingRequests) {
			return { kind: ErrorKind.Overloaded, reason: describeFullQueue(this.queue.size, maxWaitingRequests) };
		}
		const missedDeadline = this.estimates.findMissedDeadline(item, nowMs);
		if (missedDeadline !== undefined) {
			return { kind: ErrorKind.DeadlineUnreachable, reason: missedDeadline };
		}
		const maxWaitMs = (item.request.deadlineMs - nowMs) * maxWaitShare;
		const isLate = isDueTimeMissed(item.request, item.idleFirstByteMs, nowMs);
		const waitMs = this.estimates.estimateWaitMs(item.request, isLate, nowMs);
		return waitMs > maxWaitMs
			? { kind: ErrorKind.Overloaded, reason: describeLongQueue(waitMs, maxWaitMs, isLate) }
			: undefined;
	}

	/** Returns why no target in use may run the request, or undefined if one may. */
	private findUnusableReason(request: SchedulableRequest): AdmissionError | undefined {
		const required = request.findRequiredVersion?.();
		if (required === undefined) {
			const hasUsableTarget = this.targetList.some(({ description }) => !description.isLeaving);
			return hasUsableTarget ? undefined : { kind: ErrorKind.NoTarget, reason: noUsableTargetReason };
		}
		const targets = this.targetList.map(({ description }) => description);
		if (hasMatchedTarget(targets, request)) {
			return undefined;
		}
		const kind = required.version === undefined ? ErrorKind.StreamUnknown : ErrorKind.VersionNotServed;
		return { kind, reason: describeUnmatched(targets, required) };
	}

	/** Lists the targets at which the request may run with regard to their software version. */
	private listMatched(request: SchedulableRequest): readonly TargetLoadModel[] {
		const isRestricted = request.findRequiredVersion?.() !== undefined;
		return isRestricted
			? this.targetList.filter(({ description }) => isVersionMatched(description, request))
			: this.targetList;
	}

	private updateTypicalSlowness(): void {
		const measured = this.targetList
			.filter(target => target.hasOwnSlowness)
			.map(target => target.ownSlowness)
			.sort((left, right) => left - right);
		const typical = measured[Math.floor(measured.length / 2)] ?? 1;
		const typicalPace = computeTypicalPace(this.targetList.map(({ pace }) => pace));
		for (const target of this.targetList) {
			target.setTypicalSlowness(typical);
			target.pace.setTypical(typicalPace);
		}
	}

	/** Only reports of the slowness are of so short use that an entry has to hear often from a target. */
	private updateSubset(nowMs: number): void {
		const isReported = this.targetList.some(({ pace }) => pace.isReported);
		const usable = isReported ? this.targetList.filter(target => target.isAvailable(nowMs)) : [];
		this.subset.update(usable, this.getFleetPosition(), nowMs);
	}

	private isPreferred(target: TargetLoadModel): boolean {
		return this.subset.isPreferred(target);
	}

	/** The load of plain targets differs too much between them. */
	private updateTypicalLoad(nowMs: number): void {
		const engines = this.targetList.filter(({ isEngine }) => isEngine);
		const typical = computeTypicalLoad(engines, this.policy.estimate.typicalReportTimeConstantMs, nowMs);
		for (const engine of engines) {
			engine.setTypicalLoad(typical);
		}
	}

	/** Moves late requests behind the others and refuses requests that cannot be answered by their deadline. */
	private checkWaiting(nowMs: number): void {
		this.queue.markLate(nowMs);
		for (const item of this.queue.list()) {
			const unusable = this.findUnusableReason(item.request);
			const reason = unusable === undefined ? this.findMissedBound(item, nowMs) : unusable.reason;
			if (reason !== undefined) {
				this.refuseWaiting(item.request, reason, nowMs, unusable?.kind);
			}
		}
		for (const { request, reason } of this.estimates.listUnreachable(nowMs)) {
			if (this.requests.get(request.id)?.hasFirstByte !== true) {
				this.refuseWaiting(request, reason, nowMs);
			}
		}
	}

	/** Returns which bound a waiting request misses, or undefined. */
	private findMissedBound(
		{ request, idleFirstByteMs, enqueuedMs }: WaitingRequest,
		nowMs: number,
	): string | undefined {
		const { deadlineMs } = request;
		const waitedMs = nowMs - enqueuedMs;
		const maxWaitMs = (deadlineMs - enqueuedMs) * this.policy.queue.maxWaitShare;
		// Refusing a request whose answer has begun would cut off the answer.
		const hasBegun = this.requests.get(request.id)?.hasFirstByte === true;
		if (!hasBegun && waitedMs > maxWaitMs) {
			return describeLongWait(waitedMs, maxWaitMs);
		}
		return nowMs + idleFirstByteMs > deadlineMs
			? describeMissedDeadline(idleFirstByteMs, deadlineMs - nowMs)
			: undefined;
	}

	/** Refuses requests of other regions that could not be started in time, so that these regions can serve them. */
	private refuseUnstarted(nowMs: number): void {
		for (const { request } of this.queue.list()) {
			const { startByMs } = request;
			const mayHaveRun = this.requests.get(request.id)?.mayHaveRun === true;
			if (!mayHaveRun && startByMs !== undefined && nowMs > startByMs) {
				this.refuseWaiting(request, describeMissedStart(0, startByMs - nowMs), nowMs);
			}
		}
	}

	private refuseWaiting(
		request: SchedulableRequest,
		reason: string,
		nowMs: number,
		unusableKind?: ErrorKind,
	): void {
		const tracked = this.requests.get(request.id);
		this.queue.remove(request.id);
		if (tracked !== undefined) {
			this.removeRequest(tracked);
		}
		const versionKind = unusableKind === ErrorKind.NoTarget ? undefined : unusableKind;
		const kind = versionKind ?? tracked?.lastErrorKind ?? ErrorKind.DeadlineUnreachable;
		const detail = `no target had capacity in time: ${reason}`;
		this.refuse(request, kind, detail, tracked?.mayHaveRun === true, nowMs);
	}

	private startWaiting(nowMs: number): void {
		let unplaced = 0;
		while (unplaced < maxUnplacedRequests) {
			const item = this.queue.find(unplaced);
			const tracked = item && this.requests.get(item.request.id);
			if (item === undefined || tracked === undefined) {
				return;
			}
			const query = this.createQuery(tracked, item);
			const matched = this.listMatched(item.request);
			const choice = this.targetChooser.choose(matched, query, nowMs);
			if (choice !== undefined) {
				this.start(tracked, choice, nowMs);
				continue;
			}
			const reason = this.findUnservableReason(tracked, item, query, nowMs);
			if (reason === undefined) {
				unplaced++;
			} else {
				this.refuseWaiting(item.request, reason, nowMs);
			}
		}
	}

	private createQuery(tracked: TrackedRequest, { isLate }: WaitingRequest): TargetQuery {
		const { request } = tracked;
		const isIsolated = request.isKeptApart?.() === true;
		return { request, triedTargets: this.listExcluded(tracked), isLate, isIsolated };
	}

	/** Excludes targets that were already tried, unless no other target remains. */
	private listExcluded({ request, triedTargets }: TrackedRequest): readonly TargetId[] {
		const hasUntriedTarget = this.listMatched(request).some(
			({ id, description }) => !description.isLeaving && !triedTargets.includes(id),
		);
		return hasUntriedTarget ? triedTargets : [];
	}

	/**
	 * Returns why a request without a target is not expected to start or to be answered in time, or undefined if it is. A
	 * request that may have run is not given back to its region, which could run it more often than allowed, and an
	 * answer that has begun is not cut off.
	 */
	private findUnservableReason(
		{ mayHaveRun, hasFirstByte }: TrackedRequest,
		item: WaitingRequest,
		query: TargetQuery,
		nowMs: number,
	): string | undefined {
		const missedStart = mayHaveRun ? undefined : this.estimates.findMissedStart(item, nowMs);
		if (missedStart !== undefined) {
			return missedStart;
		}
		const matched = this.listMatched(item.request);
		return hasFirstByte ? undefined : this.targetChooser.findMissedDeadline(matched, query, nowMs);
	}

	private start(tracked: TrackedRequest, choice: TargetChoice, nowMs: number): void {
		const { request } = tracked;
		this.queue.remove(request.id);
		this.subset.noteStart(nowMs);
		tracked.runningOn = choice.target;
		const isIsolated = request.isKeptApart?.() === true;
		choice.target.noteStart(request, isIsolated, choice.fetchedTokens, nowMs);
		this.decisions.push({
			kind: ScheduleDecisionKind.Start,
			requestId: request.id,
			target: choice.target.id,
			reason: choice.reason,
			expectedFirstByteMs: choice.firstByteMs,
			...(choice.fetchFrom === undefined ? {} : { fetchFrom: choice.fetchFrom }),
		});
	}

	private isRetryAllowed(tracked: TrackedRequest, end: AttemptEnd, nowMs: number): boolean {
		return this.isRetryUseful(tracked, end, nowMs) && this.retries.isSendAllowed(tracked, nowMs);
	}

	/** Whether the request may be attempted again, apart from the budget of retries. */
	private isRetryUseful(tracked: TrackedRequest, end: AttemptEnd, nowMs: number): boolean {
		return (
			isRepeatAllowed(tracked, end, this.policy.retry.minRemainingMs, nowMs) &&
			(!tracked.hasFirstByte || this.findUnusableReason(tracked.request) === undefined)
		);
	}

	/** Returns why a request that other entries have sent before is not sent again, or undefined if it may be. */
	private findRetryError(tracked: TrackedRequest, nowMs: number): AdmissionError | undefined {
		if (this.retries.isSendAllowed(tracked, nowMs)) {
			return undefined;
		}
		const kind = tracked.mayHaveRun ? ErrorKind.TargetFailed : ErrorKind.TargetRefused;
		return { kind, reason: this.retries.describe(nowMs) };
	}

	private removeRequest(tracked: TrackedRequest): void {
		this.requests.delete(tracked.request.id);
		this.retries.release(tracked);
	}

	private refuse(
		request: SchedulableRequest,
		kind: ErrorKind,
		detail: string,
		mayHaveRun: boolean,
		nowMs: number,
	): void {
		const retryAfterMs = this.estimates.computeRetryAfterMs(request, nowMs);
		this.decisions.push({
			kind: ScheduleDecisionKind.Refuse,
			requestId: request.id,
			error: createRequestError(kind, `${detail}${describePromptSize(request)}`, {
				retryAfterMs,
				isOutcomeUnknown: mayHaveRun,
			}),
		});
	}
}

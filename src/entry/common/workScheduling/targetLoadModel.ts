/**
 * Models the load of one target as this entry (proxy process) estimates it, to predict how long a request sent now
 * would wait for its first byte.
 *
 * An inference engine processes prompts (prefill) one after the other, interleaved with the generation of running
 * answers, so a prompt waits for the prompts before it. That backlog is estimated from the prompts that this entry sent
 * to the engine and whose answers have not begun (`pendingPrefill.ts`), and for other entries from the load that engines
 * report with their answers (`otherRequests.ts`).
 *
 * A plain target runs as many requests as it has slots. Further requests wait until a slot becomes free.
 *
 * If targets report how slow they are (`targetPace.ts`), estimates are multiplied by that pace, and observed times are
 * compared with the multiplied estimate. What answer times add is therefore only what the reports do not explain, and a
 * target that claims to be faster than it is gets corrected.
 *
 * The observed times of each target are compared with the estimate, and their ratio corrects later estimates. An
 * engine that becomes slow is recognised after a few answers, and then avoided as soon as another target would
 * answer sooner, whether or not that target has the prompt cached.
 */

import type { RequestId, SoftwareVersion, TargetId } from '../../../core/ids/common/ids';
import type { PromptShape } from '../prompts/promptShape';
import { computeTextHash } from '../scheduling/prefixRanking';
import type {
	ReportedLoad,
	SchedulableRequest,
	SchedulableTarget,
	TargetSlowness,
} from '../scheduling/serviceScheduler';
import { AttemptEnd } from '../scheduling/serviceScheduler';
import { AnswerPhases } from './answerPhases';
import { BrittleTargetLimiter } from './brittleTargetLimiter';
import type { ColdTargetLimit } from './coldTargetRateLimiter';
import { ColdTargetRateLimiter } from './coldTargetRateLimiter';
import type { ReportedRequests, TypicalLoad } from './otherRequests';
import { OtherRequests } from './otherRequests';
import { PaceMemory } from './paceMemory';
import { PendingPrefill } from './pendingPrefill';
import { PrefixCacheModel } from './prefixCacheModel';
import { getUrgency } from './requestOrder';
import { TargetPace } from './targetPace';
import type { WorkEstimateParameters, WorkQueueParameters, WorkRetryParameters } from './workPolicy';

/** A running attempt that this entry sent to the target. */
export interface RunningAttempt {
	readonly requestId: RequestId;
	readonly startedMs: number;
	/** Estimated prefill time in milliseconds; 0 for a plain request. */
	readonly prefillMs: number;
	/** Time to the first byte as estimated when the attempt was sent, without the slowness of the target. */
	readonly expectedFirstByteMs: number;
	/** The pace of the target as estimated when the attempt was sent. */
	readonly pace: number;
	readonly isIsolated: boolean;
	readonly urgency: number;
	hasFirstByte: boolean;
	firstByteMs: number;
	/** Whether the target was silent for too long during this attempt. */
	isSilent: boolean;
}

/** A request for which capacity is checked. */
export interface CapacityQuery {
	readonly isLate: boolean;
	/** 0 is the most urgent. */
	readonly urgency: number;
}

/** Weight of one answer in the failure rate: some ten answers reveal a target that fails part of its requests. */
const failureUpdateWeight = 0.1;

/** Answers that count as much as the typical slowness; one answer in a slow period makes no slow target. */
const typicalSlownessAnswers = 4;

/** Load, cache contents, speed and failures of one target, as estimated by this entry. */
export class TargetLoadModel {
	readonly id: TargetId;
	readonly idHash: number;
	private readonly attempts = new Map<RequestId, RunningAttempt>();
	/** Prefill of this entry's prompts at the target whose answers have not begun. */
	readonly pendingPrefill: PendingPrefill;
	private readonly coldRateLimiter = new ColdTargetRateLimiter();
	/** Keeps the target, while it is brittle, from refusing more requests than it bears. */
	readonly brittleLimiter = new BrittleTargetLimiter();
	/** The request that was assigned to the cold target and is not written to a connection yet. */
	private connectingRequest: RequestId | undefined;
	private otherRequests: OtherRequests;
	private prefixCache: PrefixCacheModel;
	/** Slowness by the reports of the target; 1 if it reports none. */
	readonly pace: TargetPace;
	private measuredSlowness = 1;
	private measuredAnswers = 0;
	private lastDeviation: { readonly deviation: number; readonly timeMs: number } | undefined;
	private typicalSlowness = 1;
	private averageFailures = 0;
	private lastLoad: ReportedLoad | undefined;
	private lastLoadMs = 0;
	private pausedUntilMs = 0;
	private consecutivePauses = 0;

	constructor(
		private current: SchedulableTarget,
		private readonly estimate: WorkEstimateParameters,
		private readonly queueParameters: WorkQueueParameters,
		paceMemory = new PaceMemory(estimate),
		/** The phases of answers of the target's service. */
		private readonly answerPhases = new AnswerPhases(),
		/** How long the reported load of the service's targets stays true. */
		private readonly loadMemory = new PaceMemory(estimate),
	) {
		this.id = current.id;
		this.idHash = computeTextHash(current.id);
		this.prefixCache = new PrefixCacheModel(current.registered?.cacheTokens ?? 0);
		this.pendingPrefill = new PendingPrefill(estimate.pendingPrefillTimeConstantMs);
		this.otherRequests = new OtherRequests(estimate);
		this.pace = new TargetPace(paceMemory, estimate);
	}

	get description(): SchedulableTarget {
		return this.current;
	}

	get running(): number {
		return this.attempts.size;
	}

	/** Whether the target is an inference engine with a prefix cache, not a plain target. */
	get isEngine(): boolean {
		return (this.current.registered?.cacheTokens ?? 0) > 0;
	}

	/** Returns the version of the software that the target runs now, or undefined if that is not certain. */
	findSoftwareVersion(): SoftwareVersion | undefined {
		return this.current.registered?.findCertainVersion?.();
	}

	/** Moving average of the share of failed answers. */
	get failureRate(): number {
		return this.averageFailures;
	}

	/** Moving average of the observed time divided by the estimated time, with the pace that the target reports. */
	get ownSlowness(): number {
		return this.measuredSlowness;
	}

	/** Whether answer times have been compared with estimates, or the target has to be taken as it is without. */
	get hasOwnSlowness(): boolean {
		return this.measuredAnswers > 0 || !this.pace.isReported;
	}

	/** Work that the target does in a time, relative to the usual; 1 if targets do not report their slowness. */
	get speed(): number {
		return 1 / this.pace.lasting;
	}

	describeSlowness(nowMs: number): TargetSlowness {
		const { correction, pace } = this;
		return {
			target: this.id,
			lasting: pace.lasting * correction,
			recent: pace.estimate(nowMs) * correction,
			correction,
			source: pace.source,
			reportAgeMs: pace.findReportAgeMs(nowMs),
		};
	}

	/** Sets the median slowness of the service's targets, which applies to this target unless it is clearly slower. */
	setTypicalSlowness(typical: number): void {
		this.typicalSlowness = typical;
	}

	/** The requests of other entries that the target reported last. */
	get lastReport(): ReportedRequests {
		return this.otherRequests.lastReport;
	}

	/**
	 * Sets the load that the engines of the service reported on average. Entries send each request where its answer
	 * begins first, so pending work takes about equally long everywhere, and a slow engine has less of it.
	 */
	setTypicalLoad({ report, prefillMsPerPending }: TypicalLoad): void {
		const pending = report.pending * this.speed;
		this.otherRequests.setTypicalLoad({ report: { ...report, pending }, prefillMsPerPending });
	}

	/**
	 * The mean of a few answers varies by a third in both directions. Using it directly would move requests from the
	 * target that caches their prompt to one that does not.
	 */
	private get correction(): number {
		const ratio = this.hasOwnSlowness ? this.measuredSlowness / this.typicalSlowness : 1;
		return ratio > this.estimate.slowTargetRatio ? this.measuredSlowness : this.typicalSlowness;
	}

	/** Estimates the slowness of work that takes `workMs` at the usual speed and begins now, halfway through it. */
	private estimateSlowness(workMs: number, nowMs: number): number {
		return this.correction * this.estimatePace(workMs, nowMs);
	}

	private estimatePace(workMs: number, nowMs: number): number {
		return this.pace.estimate(nowMs + (workMs * this.pace.lasting) / 2);
	}

	/** Updates the description of the target. After a restart the cache is empty and earlier measurements are void. */
	setTarget(target: SchedulableTarget): void {
		const hasRestarted = target.registered?.generation !== this.current.registered?.generation;
		this.current = target;
		if (hasRestarted) {
			this.prefixCache = new PrefixCacheModel(target.registered?.cacheTokens ?? 0);
			this.otherRequests = new OtherRequests(this.estimate);
			this.measuredSlowness = 1;
			this.measuredAnswers = 0;
			this.pace.clear();
			this.averageFailures = 0;
			this.consecutivePauses = 0;
			this.pausedUntilMs = 0;
			this.brittleLimiter.clear();
		}
	}

	/** Ends the pause after failures that were not the target's. */
	resume(): void {
		this.consecutivePauses = 0;
		this.pausedUntilMs = 0;
	}

	/** Whether the target accepts requests: it is not leaving, paused after a failure, or past its announced end. */
	isAvailable(nowMs: number): boolean {
		const { isLeaving, registered } = this.current;
		return !isLeaving && nowMs >= this.pausedUntilMs && nowMs < (registered?.endsMs ?? Infinity);
	}

	/** Returns the time until the target accepts a request, in milliseconds; infinite if it is leaving or has ended. */
	estimateAvailableInMs(nowMs: number): number {
		const { isLeaving, registered } = this.current;
		const availableMs = Math.max(nowMs, this.getNextAvailableMs(nowMs));
		const isEnding = isLeaving || availableMs >= (registered?.endsMs ?? Infinity);
		return isEnding ? Number.POSITIVE_INFINITY : availableMs - nowMs;
	}

	isCold(nowMs: number): boolean {
		return nowMs < (this.current.registered?.coldUntilMs ?? 0);
	}

	private get coldLimit(): ColdTargetLimit {
		const {
			coldRequestsPerSecond: requestsPerSecond = Infinity,
			entries = 1,
			senderRank = 0,
		} = this.current.registered ?? {};
		return { requestsPerSecond, entries, senderRank };
	}

	/** Whether a request may be sent now under the limits for targets that have just started or are brittle. */
	isSendAllowed(nowMs: number): boolean {
		const isColdAllowed = !this.isCold(nowMs) || this.coldRateLimiter.isSendAllowed(this.coldLimit, nowMs);
		if (!isColdAllowed || this.brittleLimiter.refusalLimit === undefined) {
			return isColdAllowed;
		}
		const atTarget = this.estimateRunningRequests(nowMs);
		return this.brittleLimiter.isSendAllowed(this.coldLimit, this.current.slots, atTarget, nowMs);
	}

	/** Describes the limits of a cold or brittle target for the log; undefined if it has none. */
	describeLimits(nowMs: number): string | undefined {
		const cold = this.describeColdLimit(nowMs);
		const brittle = this.brittleLimiter.describe(this.coldLimit, nowMs);
		return cold === undefined || brittle === undefined ? (cold ?? brittle) : `${cold}, ${brittle}`;
	}

	private describeColdLimit(nowMs: number): string | undefined {
		if (!this.isCold(nowMs)) {
			return undefined;
		}
		const { coldUntilMs = 0, generation = 0 } = this.current.registered ?? {};
		const { senderRank, entries } = this.coldLimit;
		return (
			`cold for ${Math.round(coldUntilMs - nowMs)} ms until ${Math.round(coldUntilMs)}, ` +
			`sender ${senderRank} of ${entries} entries, generation ${generation}`
		);
	}

	/** Returns when the current pause and rate limit end, in monotonic milliseconds. */
	getNextAvailableMs(nowMs: number): number {
		return Math.max(this.pausedUntilMs, this.isCold(nowMs) ? this.getNextColdSendMs(nowMs) : 0);
	}

	private getNextColdSendMs(nowMs: number): number {
		const warmMs = this.current.registered?.coldUntilMs ?? nowMs;
		return Math.min(warmMs, this.coldRateLimiter.getNextSendMs(this.coldLimit, nowMs));
	}

	hasIsolatedRequest(): boolean {
		return [...this.attempts.values()].some(attempt => attempt.isIsolated);
	}

	hasPart(id: string): boolean {
		return this.prefixCache.hasPart(id);
	}

	/** Whether the target has capacity for another request. */
	hasCapacity(query: CapacityQuery, nowMs: number): boolean {
		const { maxPrefillAheadMs, latePrefillShare } = this.queueParameters;
		const hasSlot = this.estimateRunningRequests(nowMs) + 1 <= this.computeMaxRequests(query);
		if (!hasSlot || !this.isEngine) {
			return hasSlot;
		}
		const workMs = this.estimateAheadMs(query.urgency, nowMs);
		const aheadMs = workMs * this.estimateSlowness(workMs, nowMs);
		return aheadMs <= maxPrefillAheadMs * (query.isLate ? latePrefillShare : 1);
	}

	/**
	 * Returns the maximum number of requests that may run or wait at the target if it gets the request. An engine
	 * admits the most urgent requests first, so these may wait there. Less urgent ones would wait behind all of them,
	 * and late ones leave part of the slots to others. At a brittle target no request waits.
	 */
	private computeMaxRequests({ isLate, urgency }: CapacityQuery): number {
		const { slotOvercommitShare, lateSlotReserveShare, urgentOvercommitShare } = this.queueParameters;
		const { slots } = this.current;
		const isBrittle = this.brittleLimiter.refusalLimit !== undefined;
		const places = isBrittle ? this.brittleLimiter.computePlaces(slots) : slots;
		if (this.isEngine && this.otherRequests.isMostUrgent(urgency)) {
			return isBrittle ? places : slots * (1 + urgentOvercommitShare);
		}
		if (isLate) {
			return places * (1 - lateSlotReserveShare);
		}
		return this.isEngine || isBrittle ? places : slots * (1 + slotOvercommitShare);
	}

	/** Estimates the number of requests of all entries that run on the target. */
	estimateRunningRequests(nowMs: number): number {
		return this.attempts.size + this.estimateOtherRequests(nowMs);
	}

	/**
	 * Estimates the delay that the request adds to the answers running on the target, in milliseconds summed over these
	 * answers. During its prefill each of them gets one token per chunk of the prompt instead of one per step.
	 */
	estimateAddedDelayMs(request: SchedulableRequest, nowMs: number, fetchedTokens = 0): number {
		return this.estimatePrefillMs(request, fetchedTokens) * this.estimateRunningRequests(nowMs);
	}

	/** Estimates the prefill time of the request in milliseconds; 0 for a plain request. */
	estimatePrefillMs({ work }: SchedulableRequest, fetchedTokens = 0): number {
		return work?.prompt === undefined ? 0 : this.computePrefillMs(work.prompt, fetchedTokens);
	}

	/** Estimates the number of free slots. */
	countFreeSlots(nowMs: number): number {
		return Math.max(0, this.current.slots - this.attempts.size - this.estimateOtherRequests(nowMs));
	}

	/**
	 * Estimates the time to the first byte in milliseconds if the request were sent now and `fetchedTokens` of its
	 * prompt were fetched from another target.
	 */
	estimateFirstByteMs(request: SchedulableRequest, nowMs: number, fetchedTokens = 0): number {
		const waitMs = this.estimateWaitMs(nowMs, getUrgency(request));
		const workMs = waitMs + this.computeIdleFirstByteMs(request, fetchedTokens);
		return workMs * this.estimateSlowness(workMs, nowMs);
	}

	/** Estimates the wait of a request at the target in milliseconds, with the slowness of the target. */
	estimateBacklogMs(urgency: number, nowMs: number): number {
		const waitMs = this.estimateWaitMs(nowMs, urgency);
		return waitMs * this.estimateSlowness(waitMs, nowMs);
	}

	/**
	 * Returns the least time from now for work that takes `durationMs` by estimate and begins with the backlog of the
	 * urgency, if it takes only a share of the estimate: without what may be done already, and with the time until the
	 * target accepts requests.
	 */
	estimateRestMs(durationMs: number, urgency: number, share: number, nowMs: number): number {
		const restMs = durationMs * share - this.estimateProgressMs(urgency, share, nowMs);
		return this.estimateAvailableInMs(nowMs) + Math.max(0, restMs);
	}

	/**
	 * Returns the least time from now to the first byte if it takes only a share of the estimate `firstByteMs`. Only
	 * a run can correct the estimate of an idle target that has been slow, so its usual speed counts.
	 */
	computeMinFirstByteMs(
		request: SchedulableRequest,
		firstByteMs: number,
		share: number,
		nowMs: number,
	): number {
		const isIdle = this.attempts.size === 0;
		const estimateMs = isIdle ? Math.min(firstByteMs, this.estimateIdleFirstByteMs(request)) : firstByteMs;
		return this.estimateRestMs(estimateMs, getUrgency(request), share, nowMs);
	}

	/** Estimates the most that is done of the prompt which the target processes, in milliseconds. */
	private estimateProgressMs(urgency: number, share: number, nowMs: number): number {
		for (const attempt of this.attempts.values()) {
			if (!attempt.hasFirstByte && attempt.urgency <= urgency) {
				return Math.min(
					nowMs - attempt.startedMs,
					attempt.prefillMs * this.estimateSlowness(0, nowMs) * share,
				);
			}
		}
		return 0;
	}

	/**
	 * Estimates the time in milliseconds that a request sent now would wait at the target before its processing begins.
	 * Without an urgency, the request is taken to be the least urgent.
	 */
	estimateWaitMs(nowMs: number, urgency = Number.POSITIVE_INFINITY): number {
		if (this.isEngine) {
			const excess = Math.max(0, this.estimateRunningRequests(nowMs) + 1 - this.current.slots);
			return this.estimateAheadMs(urgency, nowMs) + (excess * this.estimate.streamRunMs) / this.current.slots;
		}
		const inUse = this.estimateRunningRequests(nowMs);
		const excess = Math.max(0, inUse + 1 - this.current.slots);
		return (excess * this.estimate.plainRunMs) / this.current.slots;
	}

	/** Estimates the time to the first byte if the target were idle, without its slowness. */
	computeIdleFirstByteMs({ work }: SchedulableRequest, fetchedTokens = 0): number {
		if (work?.prompt === undefined) {
			return this.estimate.plainRunMs;
		}
		return this.estimate.idleFirstEventMs + this.computePrefillMs(work.prompt, fetchedTokens);
	}

	/** Estimates the time to the first byte if the target were idle, at the pace that it reports. */
	estimateIdleFirstByteMs(request: SchedulableRequest): number {
		return this.computeIdleFirstByteMs(request) * this.pace.lasting;
	}

	noteStart(request: SchedulableRequest, isIsolated: boolean, fetchedTokens: number, nowMs: number): void {
		const prompt = request.work?.prompt;
		const prefillMs = prompt === undefined ? 0 : this.computePrefillMs(prompt, fetchedTokens);
		const urgency = getUrgency(request);
		const expectedFirstByteMs =
			this.estimateWaitMs(nowMs, urgency) + this.computeIdleFirstByteMs(request, fetchedTokens);
		this.attempts.set(request.id, {
			requestId: request.id,
			startedMs: nowMs,
			prefillMs,
			expectedFirstByteMs,
			pace: this.estimatePace(expectedFirstByteMs, nowMs),
			isIsolated,
			urgency,
			hasFirstByte: false,
			firstByteMs: nowMs,
			isSilent: false,
		});
		this.brittleLimiter.noteSent(request.id);
		this.pendingPrefill.noteSent(urgency, prefillMs, nowMs);
		if (prompt !== undefined) {
			this.prefixCache.noteSent(prompt);
		}
		if (this.isCold(nowMs)) {
			this.coldRateLimiter.noteAssigned(nowMs);
			this.connectingRequest = request.id;
		}
	}

	noteHandedOver(requestId: RequestId, nowMs: number): void {
		if (requestId === this.connectingRequest) {
			this.connectingRequest = undefined;
			this.coldRateLimiter.noteConnected(nowMs);
		}
	}

	noteFirstByte(requestId: RequestId, nowMs: number): void {
		const attempt = this.attempts.get(requestId);
		if (attempt === undefined || attempt.hasFirstByte) {
			return;
		}
		attempt.hasFirstByte = true;
		attempt.firstByteMs = nowMs;
		this.brittleLimiter.noteAnswered(requestId);
		this.consecutivePauses = 0;
		if (this.isEngine) {
			this.updateSlowness(attempt, nowMs);
		}
		this.pendingPrefill.noteCompleted(attempt.urgency, attempt.prefillMs, nowMs);
	}

	/** Records the end of an attempt. The target is paused if it refused, failed, was silent or could not be reached. */
	noteEnd(requestId: RequestId, end: AttemptEnd, retry: WorkRetryParameters, nowMs: number): void {
		const attempt = this.attempts.get(requestId);
		this.attempts.delete(requestId);
		this.brittleLimiter.noteEnd(requestId);
		this.noteHandedOver(requestId, nowMs);
		if (attempt?.hasFirstByte === false) {
			this.pendingPrefill.noteCompleted(attempt.urgency, attempt.prefillMs, nowMs);
		}
		switch (end) {
			case AttemptEnd.Answered:
			case AttemptEnd.Unconfirmed:
				this.noteAnswered(attempt, nowMs);
				return;
			case AttemptEnd.Cancelled:
				return;
			case AttemptEnd.Erred:
				this.noteFailure();
				return;
			case AttemptEnd.TargetRefused:
				this.brittleLimiter.noteRefusal(this.findReportedRunning(nowMs), nowMs);
				this.pause(retry, nowMs);
				return;
			case AttemptEnd.Failed:
			case AttemptEnd.Silent:
			case AttemptEnd.NotConnected:
				this.noteFailure();
				this.pause(retry, nowMs);
		}
	}

	/** Records that the target does not answer an attempt that is kept nevertheless; counts once for each attempt. */
	noteSilence(requestId: RequestId, retry: WorkRetryParameters, nowMs: number): void {
		const attempt = this.attempts.get(requestId);
		if (attempt?.isSilent === false) {
			attempt.isSilent = true;
			this.noteFailure();
			this.pause(retry, nowMs);
		}
	}

	/** Records that an attempt that counts as answered was ended early. */
	noteEarlyEnd(retry: WorkRetryParameters, nowMs: number): void {
		this.noteFailure();
		this.pause(retry, nowMs);
	}

	/** Returns the number of running requests that the target reports with the current answer. */
	private findReportedRunning(nowMs: number): number | undefined {
		return this.lastLoadMs === nowMs ? this.lastLoad?.running : undefined;
	}

	noteLoad(load: ReportedLoad, nowMs: number): void {
		this.lastLoad = load;
		this.lastLoadMs = nowMs;
		const timeMs = nowMs - load.ageMs;
		const requests = Math.max(0, load.running + load.waiting - this.attempts.size);
		// The request with whose answer the report came is not pending any more.
		const ownPending = Math.max(0, this.pendingPrefill.count - 1);
		const waiting = this.estimateWaiting(load, timeMs);
		const pending = Math.min(requests, Math.max(0, waiting - ownPending));
		this.otherRequests.setReport({ running: requests - pending, pending, timeMs });
		this.pace.noteReport(load.slowness, timeMs);
	}

	/** Estimates how many of the reported requests wait for their prefill. */
	private estimateWaiting({ running, waiting, slowness }: ReportedLoad, timeMs: number): number {
		if (slowness === undefined || !this.isEngine) {
			return waiting;
		}
		this.answerPhases.noteRequests(running + waiting);
		this.noteDeviation(this.answerPhases.computeDeviation(running + waiting), timeMs);
		return Math.max(waiting, this.answerPhases.estimatePending(running + waiting));
	}

	/** Learns how long a reported load stays true. */
	private noteDeviation(deviation: number, timeMs: number): void {
		if (this.lastDeviation !== undefined && timeMs > this.lastDeviation.timeMs) {
			this.loadMemory.notePair(this.lastDeviation.deviation, deviation, timeMs - this.lastDeviation.timeMs);
		}
		this.lastDeviation = { deviation, timeMs };
		this.otherRequests.setReportWeight(ageMs => this.loadMemory.computeShare(ageMs));
	}

	private noteAnswered(attempt: RunningAttempt | undefined, nowMs: number): void {
		this.averageFailures -= this.averageFailures * failureUpdateWeight;
		if (attempt !== undefined && this.isEngine) {
			const idleMs = this.estimate.idleFirstEventMs * this.correction * attempt.pace;
			const { startedMs, firstByteMs } = attempt;
			this.answerPhases.noteAnswer(firstByteMs - startedMs - idleMs, nowMs - startedMs);
		}
		if (attempt !== undefined && !this.isEngine) {
			this.updateSlowness(attempt, nowMs);
		}
	}

	private noteFailure(): void {
		this.averageFailures += (1 - this.averageFailures) * failureUpdateWeight;
	}

	private pause({ initialPauseMs, maxPauseMs }: WorkRetryParameters, nowMs: number): void {
		this.pausedUntilMs = nowMs + Math.min(maxPauseMs, initialPauseMs * 2 ** this.consecutivePauses);
		this.consecutivePauses++;
	}

	private estimateOtherRequests(nowMs: number): number {
		const sameAsOwn = this.attempts.size * (1 / this.current.share - 1);
		return this.otherRequests.estimateRequests(sameAsOwn, nowMs);
	}

	/** Estimates the prefill work of all entries ahead of a new prompt, in milliseconds at the assumed speed. */
	private estimateAheadMs(urgency: number, nowMs: number): number {
		const otherEntries = 1 / this.current.share - 1;
		const sameAsOwnMs = otherEntries * this.pendingPrefill.computeMeanMs(urgency, nowMs);
		const othersMs = this.otherRequests.estimatePrefillMs(sameAsOwnMs, urgency, nowMs);
		return this.pendingPrefill.sumMs(urgency) + othersMs;
	}

	private computePrefillMs(prompt: PromptShape, fetchedTokens: number): number {
		const { prefillTokensPerMs, fetchedTokensPerMs } = this.estimate;
		const missing = this.prefixCache.countMissing(prompt);
		const fetched = Math.min(missing, fetchedTokens);
		return (missing - fetched) / prefillTokensPerMs + fetched / fetchedTokensPerMs;
	}

	/**
	 * Compares the time of an answer with its estimate. The pace during the run is taken as the mean of its estimates at
	 * both ends, of which the latter includes the report that came with the answer.
	 */
	private updateSlowness({ startedMs, expectedFirstByteMs, pace }: RunningAttempt, nowMs: number): void {
		const { slownessUpdateWeight, minSlowness, maxSlowness } = this.estimate;
		const { isReported } = this.pace;
		const meanPace = isReported ? (pace + this.pace.estimate(nowMs)) / 2 : 1;
		const ratio = (nowMs - startedMs) / Math.max(1, expectedFirstByteMs) / meanPace;
		const bounded = Math.min(maxSlowness, Math.max(minSlowness, ratio));
		if (isReported && this.measuredAnswers === 0) {
			this.measuredSlowness = this.typicalSlowness;
		}
		// An entry among many gets few answers of each target, so the first ones count more.
		const firstWeight = isReported ? 1 / (this.measuredAnswers + typicalSlownessAnswers) : 0;
		this.measuredAnswers++;
		this.measuredSlowness += (bounded - this.measuredSlowness) * Math.max(slownessUpdateWeight, firstWeight);
	}
}

/**
 * The work at one target as this entry estimates it: how long until a request sent now gives its first byte.
 *
 * An engine reads prompts one after the other, in pieces between the steps of what runs, so a prompt waits
 * for those before it. What is before it is told by no report in time; it is what was sent there and has not
 * begun to answer.
 *
 * A plain target runs as many requests as it has slots; more wait for one of these to end.
 *
 * How fast a target really is shows in its answers. Each target's times are held against the estimate, and
 * the ratio corrects the next ones: an engine that has turned slow is seen after a few answers, and is left
 * as soon as another one, cache or not, would be sooner.
 */

import type { RequestId, TargetId } from '../../../core/ids/common/ids';
import type { PromptShape } from '../prompts/promptShape';
import { computeTextHash } from '../scheduling/prefixRanking';
import type { ReportedLoad, SchedulableRequest, SchedulableTarget } from '../scheduling/serviceScheduler';
import { AttemptEnd } from '../scheduling/serviceScheduler';
import type { ColdTurns } from './coldTargetRateLimiter';
import { ColdAllowance } from './coldTargetRateLimiter';
import { PromptCache } from './prefixCacheModel';
import { UnansweredReading } from './pendingPrefill';
import type { WorkEstimateFigures, WorkQueueFigures, WorkRetryFigures } from './workPolicy';
import { getUrgency } from './workQueue';

/** One attempt of this entry at the target. */
export interface TargetRun {
	readonly requestId: RequestId;
	readonly startedMs: number;
	/** Estimated reading of the prompt, in milliseconds; 0 for a plain request. */
	readonly readingMs: number;
	/** Estimated time to the first byte when it was sent, before the target's slowness. */
	readonly expectedMs: number;
	readonly isKeptApart: boolean;
	readonly urgency: number;
	hasFirstByte: boolean;
}

/** What is asked of the room at a target. */
export interface RoomQuestion {
	readonly isLate: boolean;
	/** 0 is the most urgent. */
	readonly urgency: number;
}

/** Weight of one answer in the share of failures; some ten answers show a target that fails a part. */
const failureWeight = 0.1;

/** One target with what this entry knows of its work. */
export class TargetWork {
	readonly id: TargetId;
	readonly idHash: number;
	private readonly runs = new Map<RequestId, TargetRun>();
	private readonly cold = new ColdAllowance();
	private readonly unanswered: UnansweredReading;
	private cache: PromptCache;
	private measuredSlowness = 1;
	private typicalSlowness = 1;
	private failures = 0;
	private othersAtReport = 0;
	private reportedMs = Number.NEGATIVE_INFINITY;
	private pausedUntilMs = 0;
	private failuresInRow = 0;

	constructor(
		private described: SchedulableTarget,
		private readonly estimate: WorkEstimateFigures,
		private readonly queue: WorkQueueFigures,
	) {
		this.id = described.id;
		this.idHash = computeTextHash(described.id);
		this.cache = new PromptCache(described.registered?.cacheTokens ?? 0);
		this.unanswered = new UnansweredReading(estimate.othersFadeMs);
	}

	get target(): SchedulableTarget {
		return this.described;
	}

	get running(): number {
		return this.runs.size;
	}

	/** An engine reads prompts; a plain target does not. */
	get isEngine(): boolean {
		return (this.described.registered?.cacheTokens ?? 0) > 0;
	}

	/** Failed answers of late, as a share. */
	get failureShare(): number {
		return this.failures;
	}

	/** Its times against the estimate, as its own answers showed them. */
	get ownSlowness(): number {
		return this.measuredSlowness;
	}

	/** What is usual among the service's targets; a target is held to be different only if it clearly is. */
	setTypicalSlowness(typical: number): void {
		this.typicalSlowness = typical;
	}

	/**
	 * A few answers scatter by a third either way. Taken at its word, that scatter would move requests from the
	 * target that holds their prompt to one that does not.
	 */
	private get slowness(): number {
		const ratio = this.measuredSlowness / this.typicalSlowness;
		return ratio > this.estimate.clearlySlow ? this.measuredSlowness : this.typicalSlowness;
	}

	/** What the target last said of itself; another start of it holds and knows nothing of before. */
	setTarget(target: SchedulableTarget): void {
		const isOtherStart = target.registered?.generation !== this.described.registered?.generation;
		this.described = target;
		if (isOtherStart) {
			this.cache = new PromptCache(target.registered?.cacheTokens ?? 0);
			this.measuredSlowness = 1;
			this.failures = 0;
			this.failuresInRow = 0;
			this.pausedUntilMs = 0;
		}
	}

	/** Whether it may be sent a request at all now. */
	isOpen(nowMs: number): boolean {
		const { isLeaving, registered } = this.described;
		return !isLeaving && nowMs >= this.pausedUntilMs && nowMs < (registered?.endsMs ?? Infinity);
	}

	isCold(nowMs: number): boolean {
		return nowMs < (this.described.registered?.coldUntilMs ?? 0);
	}

	private get coldTurns(): ColdTurns {
		const {
			coldUntilMs = 0,
			coldRequestsPerSecond = Infinity,
			entries = 1,
			place = 0,
		} = this.described.registered ?? {};
		return { coldUntilMs, requestsPerSecond: coldRequestsPerSecond, entries, place };
	}

	/** Whether sparing a cold target allows a request now. */
	isColdOpen(nowMs: number): boolean {
		return !this.isCold(nowMs) || this.cold.isOpen(this.coldTurns, nowMs);
	}

	/** When a closed target may be open again, in monotonic milliseconds. */
	getNextOpenMs(nowMs: number): number {
		return Math.max(this.pausedUntilMs, this.isCold(nowMs) ? this.cold.getNextMs(this.coldTurns, nowMs) : 0);
	}

	hasKeptApart(): boolean {
		return [...this.runs.values()].some(run => run.isKeptApart);
	}

	hasPart(id: string): boolean {
		return this.cache.has(id);
	}

	/** Whether a further request finds room; one that is late already leaves some to others. */
	hasRoom({ isLate, urgency }: RoomQuestion, nowMs: number): boolean {
		const { mostAheadMs, lateShare, beyondSlots, lateReserve } = this.queue;
		const { slots } = this.described;
		const inUse = this.estimateRunning(nowMs);
		if (!this.isEngine) {
			return inUse + 1 <= slots * (isLate ? 1 - lateReserve : 1 + beyondSlots);
		}
		const share = isLate ? lateShare : 1;
		const aheadMs = this.estimateAhead(urgency, nowMs) * this.slowness;
		return inUse < slots * (isLate ? 1 - lateReserve : 1) && aheadMs <= mostAheadMs * share;
	}

	/** Requests that run there, those of all entries together. */
	estimateRunning(nowMs: number): number {
		return this.runs.size + this.estimateOthers(nowMs);
	}

	/**
	 * What sending the request there takes from the answers that run there, in milliseconds of all of them
	 * together: while its prompt is read, each gets a token between two portions in place of one a step.
	 */
	estimateDelayMs(request: SchedulableRequest, nowMs: number, fetchedTokens = 0): number {
		return this.estimateReadingMs(request, fetchedTokens) * this.estimateRunning(nowMs);
	}

	/** Reading of the request's prompt, in milliseconds; 0 for a plain request. */
	estimateReadingMs({ work }: SchedulableRequest, fetchedTokens = 0): number {
		return work?.prompt === undefined ? 0 : this.computeReadingMs(work.prompt, fetchedTokens);
	}

	/** Free slots as this entry sees them. */
	countFree(nowMs: number): number {
		return Math.max(0, this.described.slots - this.runs.size - this.estimateOthers(nowMs));
	}

	/**
	 * Milliseconds from now until the first byte of the request's answer, were it sent now; `fetchedTokens` of
	 * its prompt come from another target.
	 */
	estimateFirstMs(request: SchedulableRequest, nowMs: number, fetchedTokens = 0): number {
		const waitMs = this.estimateWaitMs(nowMs, getUrgency(request));
		return (waitMs + this.computeUnloadedMs(request, fetchedTokens)) * this.slowness;
	}

	/**
	 * Milliseconds that a request sent now would wait at the target before it is worked on; the least urgent one
	 * where no urgency is given.
	 */
	estimateWaitMs(nowMs: number, urgency = Number.POSITIVE_INFINITY): number {
		if (this.isEngine) {
			const over = Math.max(0, this.estimateRunning(nowMs) + 1 - this.described.slots);
			return this.estimateAhead(urgency, nowMs) + (over * this.estimate.streamRunMs) / this.described.slots;
		}
		const inUse = this.estimateRunning(nowMs);
		const over = Math.max(0, inUse + 1 - this.described.slots);
		return (over * this.estimate.plainRunMs) / this.described.slots;
	}

	/** Time to the first byte at this target if nothing else ran there. */
	computeUnloadedMs({ work }: SchedulableRequest, fetchedTokens = 0): number {
		if (work?.prompt === undefined) {
			return this.estimate.plainRunMs;
		}
		return this.estimate.firstEventMs + this.computeReadingMs(work.prompt, fetchedTokens);
	}

	noteStart(request: SchedulableRequest, isKeptApart: boolean, fetchedTokens: number, nowMs: number): void {
		const prompt = request.work?.prompt;
		const readingMs = prompt === undefined ? 0 : this.computeReadingMs(prompt, fetchedTokens);
		const urgency = getUrgency(request);
		const expectedMs = this.estimateWaitMs(nowMs, urgency) + this.computeUnloadedMs(request, fetchedTokens);
		this.runs.set(request.id, {
			requestId: request.id,
			startedMs: nowMs,
			readingMs,
			expectedMs,
			isKeptApart,
			urgency,
			hasFirstByte: false,
		});
		this.unanswered.noteSent(urgency, readingMs, nowMs);
		if (prompt !== undefined) {
			this.cache.noteSent(prompt);
		}
		if (this.isCold(nowMs)) {
			this.cold.noteSent(this.coldTurns, nowMs);
		}
	}

	noteFirstByte(requestId: RequestId, nowMs: number): void {
		const run = this.runs.get(requestId);
		if (run === undefined || run.hasFirstByte) {
			return;
		}
		run.hasFirstByte = true;
		this.failuresInRow = 0;
		if (this.isEngine) {
			this.noteSpeed((nowMs - run.startedMs) / Math.max(1, run.expectedMs));
		}
		this.unanswered.noteSettled(run.urgency, run.readingMs, nowMs);
	}

	/** An attempt ended; one that refused, failed or could not be reached is left alone for a while. */
	noteEnd(requestId: RequestId, end: AttemptEnd, retry: WorkRetryFigures, nowMs: number): void {
		const run = this.runs.get(requestId);
		this.runs.delete(requestId);
		if (run?.hasFirstByte === false) {
			this.unanswered.noteSettled(run.urgency, run.readingMs, nowMs);
		}
		switch (end) {
			case AttemptEnd.Answered:
				this.noteAnswered(run, nowMs);
				return;
			case AttemptEnd.Cancelled:
				return;
			case AttemptEnd.Erred:
				this.noteFailure();
				return;
			case AttemptEnd.TargetRefused:
				this.pause(retry, nowMs);
				return;
			case AttemptEnd.Failed:
			case AttemptEnd.Silent:
			case AttemptEnd.NotConnected:
				this.noteFailure();
				this.pause(retry, nowMs);
		}
	}

	noteLoad(load: ReportedLoad, nowMs: number): void {
		this.othersAtReport = Math.max(0, load.running + load.waiting - this.runs.size);
		this.reportedMs = nowMs - load.ageMs;
	}

	private noteAnswered(run: TargetRun | undefined, nowMs: number): void {
		this.failures -= this.failures * failureWeight;
		if (run !== undefined && !this.isEngine) {
			this.noteSpeed((nowMs - run.startedMs) / Math.max(1, run.expectedMs));
		}
	}

	private noteFailure(): void {
		this.failures += (1 - this.failures) * failureWeight;
	}

	private pause({ firstPauseMs, mostPauseMs }: WorkRetryFigures, nowMs: number): void {
		this.pausedUntilMs = nowMs + Math.min(mostPauseMs, firstPauseMs * 2 ** this.failuresInRow);
		this.failuresInRow++;
	}

	/** Requests of other entries there: the last report, fading into as many as this entry's own. */
	private estimateOthers(nowMs: number): number {
		const { share } = this.described;
		const neutral = this.runs.size * (1 / share - 1);
		const belief = Math.exp(-Math.max(0, nowMs - this.reportedMs) / this.estimate.reportFadeMs);
		return neutral + (this.othersAtReport - neutral) * belief;
	}

	/** Reading of prompts that stands before a new one, in milliseconds of a target of usual speed. */
	private estimateAhead(urgency: number, nowMs: number): number {
		const others = 1 / this.described.share - 1;
		return this.unanswered.sumOwn(urgency) + others * this.unanswered.computeMeanOwn(urgency, nowMs);
	}

	private computeReadingMs(prompt: PromptShape, fetchedTokens: number): number {
		const { tokensPerMs, fetchedTokensPerMs } = this.estimate;
		const missing = this.cache.countMissing(prompt);
		const fetched = Math.min(missing, fetchedTokens);
		return (missing - fetched) / tokensPerMs + fetched / fetchedTokensPerMs;
	}

	private noteSpeed(ratio: number): void {
		const { speedWeight, leastSlowness, mostSlowness } = this.estimate;
		const bounded = Math.min(mostSlowness, Math.max(leastSlowness, ratio));
		this.measuredSlowness += (bounded - this.measuredSlowness) * speedWeight;
	}
}

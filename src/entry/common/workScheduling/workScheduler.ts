/**
 * Schedules the requests of one service by their work: prompts by the tokens that have to be read, plain
 * requests by slots. It puts the parts together; what each of them answers to stands at its head.
 *
 * Load pattern that it is judged by: a region at several times its mean load, with long prompts among short
 * ones. What matters is how many answers begin within their aim, the most urgent first; a request that
 * cannot be answered by its deadline is refused when that is known, with a time to come back, and none is
 * refused while a target has room.
 */

import type { IRandom } from '../../../base/common/random';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
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
} from '../scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../scheduling/serviceScheduler';
import { LineEstimates } from './queueEstimates';
import { RetryAllowance } from './fleetRetryBudget';
import type { WorkChoice } from './targetChooser';
import { WorkTargetChooser } from './targetChooser';
import { TargetWork } from './targetLoadModel';
import type { WorkPolicy } from './workPolicy';
import { defaultWorkPolicy } from './workPolicy';
import type { WaitingRequest, WorkItem } from './workQueue';
import { getUrgency, isAimMissed, WorkQueue } from './workQueue';

interface HeldWork {
	readonly request: SchedulableRequest;
	readonly tried: TargetId[];
	/** Sends that may have run. */
	runs: number;
	/** Some attempt may have run, so the caller is not told otherwise. */
	mayHaveRun: boolean;
	running: TargetWork | undefined;
	hasFirstByte: boolean;
	lastFault: ErrorKind | undefined;
}

/** Sends that the target refused unrun beyond what the route allows to run. */
const mostRefusedSends = 2;

/**
 * Requests in a row that find no target before the rest of the line is left for the next time: what keeps
 * them waiting mostly keeps all waiting, and a line of a thousand would be walked at each answer.
 */
const mostUnplaced = 8;

const faultsOfEnds: Readonly<Partial<Record<AttemptEnd, ErrorKind>>> = {
	[AttemptEnd.TargetRefused]: ErrorKind.TargetRefused,
	[AttemptEnd.NotConnected]: ErrorKind.NoTarget,
	[AttemptEnd.Failed]: ErrorKind.TargetFailed,
	[AttemptEnd.Erred]: ErrorKind.TargetFailed,
	[AttemptEnd.Silent]: ErrorKind.TargetSilent,
};

/** Decides for one service. */
export class WorkScheduler implements IServiceScheduler {
	private readonly targets = new Map<TargetId, TargetWork>();
	private listed: readonly TargetWork[] = [];
	private readonly queue = new WorkQueue();
	private readonly held = new Map<RequestId, HeldWork>();
	private readonly chooser: WorkTargetChooser;
	private readonly retries: RetryAllowance;
	private readonly estimates: LineEstimates;
	private decided: ScheduleDecision[] = [];
	private checkedMs = Number.NEGATIVE_INFINITY;

	constructor(
		random: IRandom,
		/** Entries of the fleet that share its bounds, this one included. */
		private readonly countEntries: () => number,
		private readonly policy: WorkPolicy = defaultWorkPolicy,
	) {
		this.chooser = new WorkTargetChooser(policy.choice, policy.estimate, random);
		this.retries = new RetryAllowance(policy.retry);
		this.estimates = new LineEstimates(this.queue, policy);
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
				this.targets.set(target.id, new TargetWork(target, this.policy.estimate, this.policy.queue));
			} else {
				known.setTarget(target);
			}
		}
		this.listed = [...this.targets.values()];
		this.estimates.setTargets(this.listed);
	}

	submit(request: SchedulableRequest, nowMs: number): void {
		this.retries.noteRequest(nowMs);
		const item = this.estimates.createItem(request, nowMs);
		const fault = this.findFault(item, nowMs);
		if (fault !== undefined) {
			this.refuse(request, fault, 'nothing was sent', false, nowMs);
			return;
		}
		this.held.set(request.id, {
			request,
			tried: [],
			runs: 0,
			mayHaveRun: false,
			running: undefined,
			hasFirstByte: false,
			lastFault: undefined,
		});
		this.queue.add(item, nowMs);
	}

	advance(nowMs: number): readonly ScheduleDecision[] {
		if (nowMs - this.checkedMs >= this.policy.queue.recheckMs) {
			this.checkedMs = nowMs;
			this.compareTargets();
			this.checkWaiting(nowMs);
		}
		this.startWaiting(nowMs);
		const { decided } = this;
		this.decided = [];
		return decided;
	}

	getNextDueMs(): number | undefined {
		return this.queue.size > 0 ? this.checkedMs + this.policy.queue.recheckMs : undefined;
	}

	noteFirstByte(requestId: RequestId, nowMs: number): void {
		const held = this.held.get(requestId);
		if (held !== undefined) {
			held.hasFirstByte = true;
			held.running?.noteFirstByte(requestId, nowMs);
		}
	}

	noteEnd(requestId: RequestId, end: AttemptEnd, nowMs: number): boolean {
		const held = this.held.get(requestId);
		const target = held?.running;
		if (held === undefined || target === undefined) {
			return false;
		}
		held.running = undefined;
		target.noteEnd(requestId, end, this.policy.retry, nowMs);
		const isUnrun = end === AttemptEnd.TargetRefused || end === AttemptEnd.NotConnected;
		held.runs += isUnrun ? 0 : 1;
		held.mayHaveRun ||= !isUnrun;
		held.lastFault = faultsOfEnds[end];
		held.tried.push(target.id);
		if (!this.isRetryAllowed(held, end, nowMs)) {
			this.held.delete(requestId);
			return false;
		}
		if (end !== AttemptEnd.NotConnected) {
			this.retries.noteRepeat(nowMs);
		}
		this.queue.add(this.estimates.createItem(held.request, nowMs), nowMs);
		return true;
	}

	isRetriable(requestId: RequestId, nowMs: number): boolean {
		const held = this.held.get(requestId);
		if (held === undefined) {
			return false;
		}
		const hasRoom = this.listed.some(
			target =>
				target.isOpen(nowMs) && target.hasRoom({ isLate: false, urgency: getUrgency(held.request) }, nowMs),
		);
		const after = { ...held, runs: held.runs + 1, mayHaveRun: true };
		return hasRoom && this.isRetryAllowed(after, AttemptEnd.Erred, nowMs);
	}

	noteLoad(target: TargetId, load: ReportedLoad, nowMs: number): void {
		this.targets.get(target)?.noteLoad(load, nowMs);
	}

	cancel(requestId: RequestId): void {
		const held = this.held.get(requestId);
		if (held === undefined || held.running !== undefined) {
			return;
		}
		this.held.delete(requestId);
		this.queue.remove(requestId);
	}

	measureTarget(target: TargetId): TargetRoom {
		const known = this.targets.get(target);
		return { running: known?.running ?? 0, limit: known?.target.slots ?? 0 };
	}

	/** With a request, the wait until its first byte; without, the wait of any request before its own work. */
	measureRoom(nowMs: number, request?: SchedulableRequest): ServiceRoom {
		const open = this.listed.filter(target => target.isOpen(nowMs) && target.isColdOpen(nowMs));
		const waits = open.map(target =>
			request === undefined ? target.estimateWaitMs(nowMs) : target.estimateFirstMs(request, nowMs),
		);
		const unloaded = request === undefined ? [] : open.map(target => target.computeUnloadedMs(request));
		const lineMs = this.estimates.estimateLineMs(open, request);
		return {
			waitMs: Math.min(...waits) + lineMs,
			freeSlots: open.reduce((sum, target) => sum + target.countFree(nowMs) * target.target.share, 0),
			running: this.listed.reduce((sum, target) => sum + target.running, 0),
			queued: this.queue.size,
			...(unloaded.length > 0 ? { unloadedMs: Math.max(...unloaded) } : {}),
			holdsSharedPart: request !== undefined && this.hasSharedPart(open, request),
			runningPerTarget: this.computeRunningPerTarget(open, nowMs),
			...(request?.work?.prompt === undefined || unloaded.length === 0
				? {}
				: { readingMs: Math.min(...unloaded) - this.policy.estimate.firstEventMs }),
		};
	}

	private computeRunningPerTarget(open: readonly TargetWork[], nowMs: number): number {
		const running = open.reduce((sum, target) => sum + target.estimateRunning(nowMs), 0);
		return running / Math.max(1, open.length);
	}

	/** Whether a target here is believed to hold the request's shared part, if it has one. */
	private hasSharedPart(open: readonly TargetWork[], { work }: SchedulableRequest): boolean {
		const shared = work?.prompt && findSharedPart(work.prompt, this.policy.choice.leastSharedTokens);
		return shared !== undefined && open.some(target => target.hasPart(shared.id));
	}

	/** Why a request is not let in, or undefined. */
	private findFault(item: WorkItem, nowMs: number): ErrorKind | undefined {
		if (!this.isServable()) {
			return ErrorKind.NoTarget;
		}
		if (this.queue.size >= this.policy.queue.mostWaiting) {
			return ErrorKind.Overloaded;
		}
		const leftMs = item.request.deadlineMs - nowMs;
		const waitMs = this.estimates.estimateWaitMs(item.request, isAimMissed(item, nowMs), nowMs);
		return waitMs > leftMs * this.policy.queue.waitShare ? ErrorKind.Overloaded : undefined;
	}

	private isServable(): boolean {
		return this.listed.some(({ target }) => !target.isLeaving);
	}

	private compareTargets(): void {
		const measured = this.listed.map(target => target.ownSlowness).sort((left, right) => left - right);
		const typical = measured[Math.floor(measured.length / 2)] ?? 1;
		for (const target of this.listed) {
			target.setTypicalSlowness(typical);
		}
	}

	/** Moves late ones back, and refuses those whose deadline is out of reach. */
	private checkWaiting(nowMs: number): void {
		this.queue.markLate(nowMs);
		const isServable = this.isServable();
		for (const { request, unloadedMs, joinedMs } of this.queue.list()) {
			const longestWaitMs = (request.deadlineMs - joinedMs) * this.policy.queue.waitShare;
			const hasWaitedEnough = nowMs - joinedMs > longestWaitMs;
			if (!isServable || hasWaitedEnough || nowMs + unloadedMs > request.deadlineMs) {
				this.refuseWaiting(request, nowMs);
			}
		}
	}

	private refuseWaiting(request: SchedulableRequest, nowMs: number): void {
		const held = this.held.get(request.id);
		this.queue.remove(request.id);
		this.held.delete(request.id);
		const kind = held?.lastFault ?? ErrorKind.DeadlineUnreachable;
		this.refuse(request, kind, 'no room in time', held?.mayHaveRun === true, nowMs);
	}

	private startWaiting(nowMs: number): void {
		let unplaced = 0;
		while (unplaced < mostUnplaced) {
			const item = this.queue.find(unplaced);
			const held = item && this.held.get(item.request.id);
			if (item === undefined || held === undefined) {
				return;
			}
			const choice = this.chooseFor(held, item, nowMs);
			if (choice === undefined) {
				unplaced++;
			} else {
				this.start(held, item, choice, nowMs);
			}
		}
	}

	/** Another target than those that were tried, or one of these where there is no other. */
	private chooseFor(held: HeldWork, { isLate }: WaitingRequest, nowMs: number): WorkChoice | undefined {
		const { request, tried } = held;
		const isKeptApart = request.isKeptApart?.() === true;
		const isOtherLeft = this.listed.some(({ id, target }) => !target.isLeaving && !tried.includes(id));
		const question = { request, tried: isOtherLeft ? tried : [], isLate, isKeptApart };
		return this.chooser.choose(this.listed, question, nowMs);
	}

	private start(held: HeldWork, { isLate }: WaitingRequest, choice: WorkChoice, nowMs: number): void {
		const { request } = held;
		this.queue.remove(request.id);
		held.running = choice.target;
		const isKeptApart = request.isKeptApart?.() === true;
		choice.target.noteStart(request, isKeptApart, choice.fetchedTokens, nowMs);
		this.decided.push({
			kind: ScheduleDecisionKind.Start,
			requestId: request.id,
			target: choice.target.id,
			reason: choice.reason,
			isDeferred: isLate,
			...(choice.fetchFrom === undefined ? {} : { fetchFrom: choice.fetchFrom }),
		});
	}

	private isRetryAllowed(held: HeldWork, end: AttemptEnd, nowMs: number): boolean {
		const { request } = held;
		if (end === AttemptEnd.Answered || end === AttemptEnd.Cancelled) {
			return false;
		}
		const mostAttempts = request.work?.mostAttempts ?? 1;
		const isRunnable = held.mayHaveRun ? request.isRepeatable && held.runs < mostAttempts : true;
		const isBegunElsewhere = held.hasFirstByte && request.work?.isResumable !== true;
		const isSentTooOften = held.tried.length >= mostAttempts + mostRefusedSends;
		const leftMs = request.deadlineMs - nowMs;
		return (
			isRunnable &&
			!isBegunElsewhere &&
			!isSentTooOften &&
			leftMs > this.policy.retry.leastLeftMs &&
			(end === AttemptEnd.NotConnected || this.isBudgetOpen(nowMs))
		);
	}

	private isBudgetOpen(nowMs: number): boolean {
		this.retries.setEntries(this.countEntries());
		return this.retries.isOpen(nowMs);
	}

	private refuse(
		request: SchedulableRequest,
		kind: ErrorKind,
		detail: string,
		mayHaveRun: boolean,
		nowMs: number,
	): void {
		const retryAfterMs = this.estimates.planReturn(request, nowMs);
		this.decided.push({
			kind: ScheduleDecisionKind.Refuse,
			requestId: request.id,
			error: createRequestError(kind, detail, { retryAfterMs, isOutcomeUnknown: mayHaveRun }),
		});
	}
}

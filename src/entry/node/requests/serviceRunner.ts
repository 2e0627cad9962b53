/**
 * Applies the decisions of a service's scheduler: starts attempts, reports their results to the scheduler, and
 * answers the requests that the scheduler refuses. All scheduling decisions are made by the scheduler.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { RequestId, TargetId } from '../../../core/ids/common/ids';
import { AnswerEnd } from '../../common/callers/answerEnd';
import type { AnswerHead } from '../../common/callers/answerSink';
import type { IStartGate } from '../../common/intake/loopLagGate';
import type { AnswerMetadata, ITargetDialect } from '../../common/dialect/targetDialect';
import { noKeyCheck } from '../../common/keys/keyConfirmation';
import type { IKeyCheck } from '../../common/keys/keyConfirmation';
import { RequestEvent } from '../../common/requests/requestLifecycle';
import type {
	IServiceScheduler,
	SchedulableRequest,
	SchedulableTarget,
	ScheduleDecision,
	ServiceRoom,
	StartDecision,
	TargetRoom,
	TargetSlowness,
} from '../../common/scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../../common/scheduling/serviceScheduler';
import { describeUnmatched, hasMatchedTarget } from '../../common/scheduling/versionMatch';
import type { TargetSoftware } from '../../common/streams/streamOrigin';
import { describeContinuation, describeSoftware } from '../../common/streams/streamOrigin';
import type { ITargetDirectory } from '../targets/targetDirectory';
import { endUnanswered, sendRetryEvent } from './attemptEnds';
import type { IAttemptOwner } from './attemptRun';
import { AttemptRun } from './attemptRun';
import type { CrashDetector } from './crashDetector';
import type { IConfirmationOwner } from './endConfirmations';
import { EndConfirmations } from './endConfirmations';
import type { IPathObserver } from '../paths/servicePaths';
import type { IRequestFallback } from './requestFallback';
import { createUnreachedError, rejectingFallback } from './requestFallback';
import type { RequestRun } from './requestRun';
import { isEventStream } from './requestRun';
import { createSchedulable } from './schedulableRequest';

/** A submitted request with the number of attempts so far and the attempt in progress. */
interface RunState {
	readonly run: RequestRun;
	attempts: number;
	running: AttemptRun | undefined;
}

enum RunnerPhase {
	Serving,
	/** No target of the service is reached. */
	Paused,
	/** The process is about to end. */
	Stopped,
}

/** Runs the requests of one service. */
export class ServiceRunner extends Disposable implements IAttemptOwner, IConfirmationOwner {
	private readonly states = new Map<RequestId, RunState>();
	private dueTimer: IDisposable | undefined;
	private schedulable: readonly SchedulableTarget[] = [];
	private isAdvancing = false;
	private isAdvancePending = false;
	private phase = RunnerPhase.Serving;
	private mustAdvanceAgain = false;
	/** Decides on the uncertain ends of answers, also of those that other entries ran for this one. */
	readonly confirmations: EndConfirmations;

	constructor(
		private readonly scheduler: IServiceScheduler,
		private readonly targets: ITargetDirectory,
		private readonly crashDetector: CrashDetector,
		private readonly dialect: ITargetDialect,
		private readonly timers: ITimerService,
		private readonly startGate: IStartGate,
		private readonly paths: IPathObserver,
		private readonly keys: IKeyCheck = noKeyCheck,
		/** Called with each load header of a target that can't be read. */
		private readonly noteUnreadableLoad: (target: TargetId, text: string) => void = () => undefined,
		private readonly fallback: IRequestFallback = rejectingFallback,
	) {
		super();
		this.confirmations = new EndConfirmations(timers, this);
	}

	override dispose(): void {
		this.dueTimer?.dispose();
		super.dispose();
	}

	setTargets(targets: readonly SchedulableTarget[]): void {
		this.schedulable = targets;
		this.confirmations.setTargets(targets.map(({ id }) => id));
		this.scheduler.setTargets(targets, this.timers.getNow());
		this.advance();
	}

	/** Submits a request, which this runner then answers, refuses or abandons. */
	submit(run: RequestRun): void {
		run.lifecycle.send(RequestEvent.Enqueue);
		this.submitToScheduler({ run, attempts: 0, running: undefined });
	}

	/** Submits a request after a failed forward to another entry; its state machine is already in a queued state. */
	submitReturned(run: RequestRun): void {
		this.submitToScheduler({ run, attempts: run.history.sends, running: undefined });
	}

	/** Handles a disconnected caller: a waiting request is removed, a running attempt's connection is closed. */
	abandon(run: RequestRun): void {
		const state = this.states.get(run.call.id);
		if (state === undefined) {
			return;
		}
		if (state.running !== undefined) {
			this.abandonRunning(state.run, state.running);
			return;
		}
		this.scheduler.cancel(run.call.id, this.timers.getNow());
		this.states.delete(run.call.id);
		run.abandon();
		this.advance();
	}

	/** If the attempt has already ended and a crash check is pending, `finishAttempt` does the rest afterwards. */
	private abandonRunning(run: RequestRun, attempt: AttemptRun): void {
		if (attempt.isUnderWay()) {
			attempt.cancel(createRequestError(ErrorKind.CallerGone, 'the caller closed its connection'));
			return;
		}
		run.abandon();
	}

	/**
	 * Stops sending requests to targets, none of which is reached. Until `resume` is called, requests that no target has got are
	 * handed over to the fallback, also if an attempt ends later, and new ones are rejected.
	 */
	pause(): void {
		if (this.phase === RunnerPhase.Serving) {
			this.phase = RunnerPhase.Paused;
			this.endUnsentAttempts();
			this.forwardWaiting();
		}
	}

	resume(): void {
		if (this.phase === RunnerPhase.Paused) {
			this.phase = RunnerPhase.Serving;
			this.scheduler.resumeTargets();
			this.advance();
		}
	}

	/** Starts no more attempts. Requests that wait for one are removed, and are left to be ended by the caller. */
	stop(): void {
		this.phase = RunnerPhase.Stopped;
		this.endUnsentAttempts();
		this.takeWaiting();
	}

	private endUnsentAttempts(): void {
		for (const { running } of [...this.states.values()]) {
			running?.endUnsent(createUnreachedError());
		}
	}

	private forwardWaiting(): void {
		for (const run of this.takeWaiting()) {
			this.fallback.takeOver(run);
		}
	}

	/** Removes and returns the requests without an attempt in progress. */
	private takeWaiting(): readonly RequestRun[] {
		const waiting = [...this.states.values()].filter(({ running }) => running === undefined);
		for (const { run } of waiting) {
			this.scheduler.cancel(run.call.id, this.timers.getNow());
			this.states.delete(run.call.id);
		}
		return waiting.map(({ run }) => run).filter(run => !run.hasEnded());
	}

	/** Measures the capacity left for a normal request, or for the given one. */
	measureRoom(request?: SchedulableRequest): ServiceRoom {
		return this.scheduler.measureRoom(this.timers.getNow(), request);
	}

	/** Whether the service has a usable target in this region that may run the request. */
	hasTarget(request: SchedulableRequest): boolean {
		return hasMatchedTarget(this.schedulable, request);
	}

	measureTarget(target: TargetId): TargetRoom {
		return this.scheduler.measureTarget(target);
	}

	/** Lists how slow the targets are by estimate; empty if the scheduler estimates it otherwise. */
	listSlowness(): readonly TargetSlowness[] {
		return this.scheduler.listSlowness?.(this.timers.getNow()) ?? [];
	}

	noteHandedOver(attempt: AttemptRun): void {
		this.scheduler.noteHandedOver(attempt.run.call.id, this.timers.getNow());
	}

	noteFirstByte(attempt: AttemptRun): void {
		this.scheduler.noteFirstByte(attempt.run.call.id, this.timers.getNow());
	}

	noteAnswerHead(attempt: AttemptRun, head: AnswerHead, reading: AnswerMetadata): void {
		this.paths.noteAnswer();
		this.targets.noteAnswerHead(attempt.target, head, reading);
		this.scheduler.noteRefusalLimit?.(attempt.target, reading.refusalLimit);
		if (reading.unreadableLoad !== undefined) {
			this.noteUnreadableLoad(attempt.target, reading.unreadableLoad);
		}
		if (reading.load !== undefined) {
			this.scheduler.noteLoad(attempt.target, reading.load, this.timers.getNow());
		}
	}

	noteBegun({ run, target }: AttemptRun, head: AnswerHead): void {
		if (isEventStream(run.call, head)) {
			this.confirmations.noteHead(head.endsWithConnection !== true, target);
		}
	}

	isEndAcceptable({ run }: AttemptRun): boolean {
		return this.confirmations.isAcceptable(run);
	}

	findSendRefusal({ run }: AttemptRun): RequestError | undefined {
		return this.keys.findRefusal(run.call.head);
	}

	isRetryAllowed({ run }: AttemptRun): boolean {
		return this.scheduler.isRetriable(run.call.id, this.timers.getNow());
	}

	noteSilence({ run, target }: AttemptRun): boolean {
		this.paths.noteTrouble(`${target} is silent`);
		const isPaused = this.phase === RunnerPhase.Paused;
		if (isPaused && !this.fallback.isAvailable(run)) {
			return false;
		}
		return this.scheduler.noteSilence(run.call.id, this.timers.getNow(), isPaused);
	}

	noteEnd(attempt: AttemptRun, end: AttemptEnd, error: RequestError | undefined): void {
		const { run, target } = attempt;
		if (!this.states.has(run.call.id)) {
			return;
		}
		run.note(
			JournalStep.AttemptEnded,
			`${attempt.id}: ${end}; ${error?.detail ?? `${target}: ${attempt.describePace()}`}${describeBegun(run)}`,
		);
		this.targets.noteAttemptEnd(target, end, run);
		this.notePathEnd(target, end);
		if (run.hasGoneOn() || (end === AttemptEnd.Answered && run.isEndCertain())) {
			this.crashDetector.noteAnswered(run.call);
		}
		this.confirmations.noteAttemptEnd(attempt, end, error);
		if (error?.kind !== ErrorKind.TargetFailed) {
			this.finishAttempt(attempt, end, error);
			return;
		}
		void this.finishAfterCrashCheck(attempt, end, error);
	}

	private notePathEnd(target: TargetId, end: AttemptEnd): void {
		if (end === AttemptEnd.NotConnected || end === AttemptEnd.Failed || end === AttemptEnd.Silent) {
			this.paths.noteTrouble(`${end} at ${target}`);
		}
	}

	/** The check takes up to a second. The caller is answered at its deadline all the same; a default deadline cuts off no answer. */
	private async finishAfterCrashCheck(
		attempt: AttemptRun,
		end: AttemptEnd,
		error: RequestError,
	): Promise<void> {
		const { run, target } = attempt;
		const mayCutOff = run.call.isDeadlineGiven || !run.hasBegun();
		const deadline = mayCutOff ? this.scheduleDeadline(run, error) : undefined;
		const inFlight = this.listInFlight(target);
		for (const { call } of inFlight.filter(other => other.hasGoneOn())) {
			this.crashDetector.noteAnswered(call);
		}
		const hasCrashed =
			!this.isStopExpected(target, end) &&
			(await this.crashDetector.checkForCrash(
				target,
				inFlight.map(({ call }) => call),
			));
		deadline?.dispose();
		if (end === AttemptEnd.Unconfirmed) {
			this.finishUnconfirmed(attempt, error, hasCrashed);
			return;
		}
		this.finishAttempt(attempt, end, error);
	}

	private scheduleDeadline(run: RequestRun, error: RequestError): IDisposable {
		return this.timers.schedule(run.getRemainingMs(), () => {
			endUnanswered(run, error);
		});
	}

	/** Whether a target that is leaving may have stopped with its last answer, which an unframed answer doesn't show. */
	private isStopExpected(target: TargetId, end: AttemptEnd): boolean {
		const isInUse = this.schedulable.some(({ id, isLeaving }) => id === target && !isLeaving);
		return end === AttemptEnd.Unconfirmed && !isInUse;
	}

	/** Goes on after an uncertain end: at another target if it has to be confirmed or the target crashed. */
	private finishUnconfirmed(attempt: AttemptRun, error: RequestError, hasCrashed: boolean): void {
		const { run, target } = attempt;
		if (hasCrashed) {
			this.confirmations.noteCrash(run);
			this.targets.noteAttemptEnd(target, AttemptEnd.Failed, run);
			this.finishAttempt(attempt, AttemptEnd.Failed, error);
			return;
		}
		if (this.confirmations.isDue(run, target)) {
			this.finishAttempt(attempt, AttemptEnd.Unconfirmed, error);
			this.confirmations.scheduleWaitEnd(run);
			return;
		}
		run.finish(AnswerEnd.Uncertain);
		this.finishAttempt(attempt, AttemptEnd.Answered, undefined);
	}

	handleEarlyEnd(target: TargetId): void {
		this.scheduler.noteEarlyEnd?.(target, this.timers.getNow());
	}

	endConfirmation(run: RequestRun, error: RequestError): boolean {
		const state = this.states.get(run.call.id);
		if (state === undefined) {
			run.stop(error);
			return true;
		}
		if (state.running !== undefined) {
			const isUnderWay = state.running.isUnderWay();
			state.running.cancel(error);
			return isUnderWay;
		}
		this.scheduler.cancel(run.call.id, this.timers.getNow());
		this.states.delete(run.call.id);
		run.fail(error);
		this.advance();
		return true;
	}

	/** Lists the requests in flight at a target, including those whose connection just broke. */
	private listInFlight(target: TargetId): RequestRun[] {
		return [...this.states.values()]
			.filter(({ running }) => running?.target === target)
			.map(({ run }) => run);
	}

	private finishAttempt(attempt: AttemptRun, end: AttemptEnd, error: RequestError | undefined): void {
		const { run } = attempt;
		const state = this.states.get(run.call.id);
		if (state === undefined) {
			return;
		}
		state.running = undefined;
		const refusal = run.hasEnded() ? undefined : this.crashDetector.findRefusal(run.call);
		const isStopped = refusal !== undefined || (run.hasEnded() && end !== AttemptEnd.Answered);
		const schedulerEnd = isStopped ? AttemptEnd.Cancelled : end;
		const nowMs = this.timers.getNow();
		const budgetRefusal = this.scheduler.findBudgetRefusal?.(run.call.id, schedulerEnd, nowMs);
		const isRetried = this.scheduler.noteEnd(run.call.id, schedulerEnd, nowMs);
		if (isRetried) {
			this.noteRetry(run, end);
		} else {
			this.noteUnresumed(run, budgetRefusal);
			this.states.delete(run.call.id);
			endUnanswered(run, refusal ?? error);
		}
		this.advance();
	}

	/** Notes why a request is not retried, if the reason is the budget of retries or the version that began its stream. */
	private noteUnresumed(run: RequestRun, budgetRefusal: string | undefined): void {
		if (budgetRefusal !== undefined) {
			run.note(JournalStep.Refused, budgetRefusal);
			return;
		}
		const continuation = run.hasEnded() ? undefined : run.findContinuation();
		const required = continuation && run.findRequiredVersion();
		if (continuation === undefined || required === undefined || this.hasTarget(createSchedulable(run))) {
			return;
		}
		const reason = describeUnmatched(this.schedulable, required);
		run.note(JournalStep.Refused, `${reason}; ${describeContinuation(continuation, this.timers.getNow())}`);
	}

	private noteRetry(run: RequestRun, end: AttemptEnd): void {
		sendRetryEvent(run, end);
		run.note(JournalStep.Retried, end);
		run.noteSubmitted();
	}

	private submitToScheduler(state: RunState): void {
		const { run } = state;
		const isServing = this.phase === RunnerPhase.Serving;
		const refusal =
			this.crashDetector.findRefusal(run.call) ?? (isServing ? undefined : createUnreachedError());
		if (refusal !== undefined) {
			run.note(JournalStep.Refused, refusal.detail);
			run.fail(refusal);
			return;
		}
		this.states.set(run.call.id, state);
		run.note(JournalStep.Queued, this.describeQueue());
		run.noteSubmitted();
		// A pending advance starts whatever is queued by then, so the request is queued only after a poll of its own.
		this.startGate.run(() => {
			this.addToQueue(state);
		});
	}

	private addToQueue(state: RunState): void {
		const { run } = state;
		if (this.states.get(run.call.id) !== state) {
			return;
		}
		const request = {
			...createSchedulable(run),
			isKeptApart: () => this.crashDetector.isSuspected(run.call),
			isEndProvedBy: (target: TargetId) => this.confirmations.isEndProvedBy(run, target),
		};
		this.scheduler.submit(request, this.timers.getNow());
		run.noteCounted();
		this.advance();
	}

	private describeQueue(): string {
		const room = this.measureRoom();
		return `${room.queued} waiting, ${room.running} running, ${Math.round(room.waitMs)} ms predicted wait`;
	}

	/** Advances the scheduler, or does so once the sockets have been read if the event loop is behind. */
	private advance(): void {
		if (this.phase === RunnerPhase.Paused) {
			this.forwardWaiting();
			return;
		}
		if (this.isAdvancePending || this.phase === RunnerPhase.Stopped) {
			return;
		}
		this.isAdvancePending = true;
		this.startGate.run(() => {
			this.isAdvancePending = false;
			this.advanceNow();
		});
	}

	/**
	 * Applies the scheduler's decisions until none is left. Applying a decision can call this method again, and
	 * such a nested call only makes the outer loop run once more.
	 */
	private advanceNow(): void {
		if (this.phase !== RunnerPhase.Serving) {
			return;
		}
		if (this.isAdvancing) {
			this.mustAdvanceAgain = true;
			return;
		}
		this.isAdvancing = true;
		let isUnfinished = true;
		while (isUnfinished) {
			this.mustAdvanceAgain = false;
			this.applyDecisions(this.scheduler.advance(this.timers.getNow()));
			isUnfinished = this.mustAdvanceAgain;
		}
		this.isAdvancing = false;
		this.scheduleNext();
	}

	private applyDecisions(decisions: readonly ScheduleDecision[]): void {
		for (const decision of decisions) {
			if (decision.kind === ScheduleDecisionKind.Start) {
				this.start(decision);
			} else {
				this.refuse(decision.requestId, decision.error);
			}
		}
	}

	private scheduleNext(): void {
		this.dueTimer?.dispose();
		this.dueTimer = undefined;
		const dueMs = this.scheduler.getNextDueMs();
		if (dueMs !== undefined) {
			this.dueTimer = this.timers.schedule(Math.max(1, dueMs - this.timers.getNow()), () => {
				this.advance();
			});
		}
	}

	private start(decision: StartDecision): void {
		const state = this.states.get(decision.requestId);
		if (state === undefined) {
			return;
		}
		const { call } = state.run;
		// A call with a ticket is not removed from the queue when its deadline or a stop ends it.
		if (state.run.hasEnded()) {
			this.scheduler.noteEnd(decision.requestId, AttemptEnd.Cancelled, this.timers.getNow());
			this.states.delete(decision.requestId);
			this.mustAdvanceAgain = true;
			return;
		}
		const refusal = this.crashDetector.findRefusal(call) ?? this.keys.findRefusal(call.head);
		if (refusal !== undefined) {
			this.scheduler.noteEnd(decision.requestId, AttemptEnd.Cancelled, this.timers.getNow());
			this.refuse(decision.requestId, refusal);
			this.mustAdvanceAgain = true;
			return;
		}
		const client = this.targets.findClient(decision.target);
		state.attempts++;
		state.run.note(JournalStep.Started, this.describeStart(state.run, decision));
		if (client === undefined) {
			this.endForRemovedTarget(state, decision.target);
			return;
		}
		const attempt = new AttemptRun(
			state.run,
			decision.target,
			state.attempts,
			{
				fetchAddress: this.findAddress(decision.fetchFrom),
				expectedFirstByteMs: decision.expectedFirstByteMs,
				observeVersion: () => this.targets.observeVersion(decision.target),
			},
			client,
			this.dialect,
			this.timers,
			this,
		);
		state.running = attempt;
		this.paths.noteSent();
		attempt.start();
	}

	private describeStart(run: RequestRun, { target, reason }: StartDecision): string {
		const continuation = run.findContinuation();
		if (continuation === undefined) {
			return `${target}: ${reason}`;
		}
		const described = describeContinuation(continuation, this.timers.getNow());
		const software = this.targets.findSoftware(target) ?? unknownSoftware;
		return `${target}: ${reason}, ${described}, ${describeSoftware(software)}`;
	}

	private findAddress(target: TargetId | undefined): string | undefined {
		return target === undefined ? undefined : this.targets.findAddress(target);
	}

	/** Ends an attempt whose target was removed after the scheduler chose it. */
	private endForRemovedTarget(state: RunState, target: TargetId): void {
		const { run } = state;
		run.lifecycle.send(RequestEvent.Start);
		const isRetried = this.scheduler.noteEnd(run.call.id, AttemptEnd.NotConnected, this.timers.getNow());
		run.lifecycle.send(RequestEvent.NotConnected);
		this.mustAdvanceAgain = true;
		if (!isRetried) {
			this.states.delete(run.call.id);
			run.fail(createRequestError(ErrorKind.NoTarget, `${target} is no longer in use by this entry`));
		}
	}

	private refuse(requestId: RequestId, error: RequestError): void {
		const state = this.states.get(requestId);
		this.states.delete(requestId);
		state?.run.noteRefusal(error);
		state?.run.fail(error);
	}
}

/** An attempt that ended after the head of an answer is logged with how that answer is delimited. */
function describeBegun(run: RequestRun): string {
	return run.hasBegun() ? `; ${run.describeAnswer()}` : '';
}

const unknownSoftware: TargetSoftware = { version: undefined, boot: undefined };

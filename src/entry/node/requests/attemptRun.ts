/**
 * One attempt of a request at a target: watches its silence and its deadline, checks that the answer is
 * this attempt's own, and streams it on.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { AttemptId, TargetId } from '../../../core/ids/common/ids';
import { createAttemptId } from '../../../core/ids/common/ids';
import type { AnswerHead } from '../../common/callers/answerSink';
import type { AnswerMetadata, ITargetDialect, SentAttempt } from '../../common/dialect/targetDialect';
import { RequestEvent } from '../../common/requests/requestLifecycle';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import { AnswerPace } from '../../common/streams/answerPace';
import type { IAttempt, IAttemptObserver, ITargetClient } from '../targets/targetClient';
import type { RequestRun } from './requestRun';

/** What the scheduler wants of an attempt beside its target. */
export type AttemptTreatment = Pick<SentAttempt, 'isDeferred' | 'fetchAddress'>;

/** Hears what an attempt learns of its target, and how it ended. */
export interface IAttemptOwner {
	noteFirstByte(attempt: AttemptRun): void;
	/** The head of an answer or of a refusal: it may carry the target's load or its wish to leave. */
	noteAnswerHead(attempt: AttemptRun, head: AnswerHead, reading: AnswerMetadata): void;
	/** Whether the request would be made again if the target's answer were a failure. */
	isTakenBack(attempt: AttemptRun): boolean;
	/** Called once. `error` says what the caller is told if no other attempt is made. */
	noteEnd(attempt: AttemptRun, end: AttemptEnd, error: RequestError | undefined): void;
}

const leastFailureStatus = 500;
const statusOk = 200;

/** An attempt under way. */
export class AttemptRun implements IAttemptObserver {
	readonly id: AttemptId;
	private attempt: IAttempt | undefined;
	private silenceTimer: IDisposable | undefined;
	private deadlineTimer: IDisposable | undefined;
	private heardMs = 0;
	private pace = new AnswerPace(0);
	private isHandedOver = false;
	private isPaused = false;
	private isOver = false;

	constructor(
		readonly run: RequestRun,
		readonly target: TargetId,
		attemptNumber: number,
		private readonly treatment: AttemptTreatment,
		private readonly client: ITargetClient,
		private readonly dialect: ITargetDialect,
		private readonly timers: ITimerService,
		private readonly owner: IAttemptOwner,
	) {
		this.id = createAttemptId(run.call.id, attemptNumber, run.call.origin !== undefined);
	}

	start(): void {
		this.run.life.send(RequestEvent.Start);
		this.run.noteAttemptStart();
		this.heardMs = this.timers.getNow();
		this.pace = new AnswerPace(this.heardMs);
		this.deadlineTimer = this.timers.schedule(this.run.getRemainingMs(), () => {
			this.endAtDeadline();
		});
		const { head, body } = this.run.call;
		this.attempt = this.client.send(
			{ method: head.method, path: head.path, lines: this.dialect.createRequestLines(this.describe()), body },
			this,
		);
	}

	/** False once its end was told to its owner, who may still be finding out why it ended. */
	isUnderWay(): boolean {
		return !this.isOver;
	}

	/** How the answer came in so far, for the log. */
	describePace(): string {
		return this.pace.describe(this.timers.getNow());
	}

	/** Ends the attempt from outside; the target's connection is closed. */
	cancel(error: RequestError): void {
		this.endEarly(AttemptEnd.Cancelled, error);
	}

	noteHandedOver(): void {
		this.isHandedOver = true;
		this.heardMs = this.timers.getNow();
		this.run.life.send(RequestEvent.HandOver);
		this.run.note(JournalStep.HandedOver, `${this.id} to ${this.target}`);
		this.watchSilence(this.getLimits().firstByteMs);
	}

	receiveHead(head: AnswerHead): void {
		if (this.isOver) {
			return;
		}
		this.heardMs = this.timers.getNow();
		const reading = this.dialect.readAnswerHead(head, this.describe());
		if (reading.fault !== undefined) {
			this.endEarly(AttemptEnd.Failed, createRequestError(ErrorKind.AnswerCrossed, reading.fault));
			return;
		}
		this.owner.noteAnswerHead(this, head, reading);
		const detail = `${this.target} answered ${head.status}`;
		if (reading.isNotRun) {
			this.endReleased(AttemptEnd.TargetRefused, createRequestError(ErrorKind.TargetRefused, detail));
			return;
		}
		if (this.run.hasBegun() && head.status !== statusOk) {
			this.endReleased(AttemptEnd.Failed, createRequestError(ErrorKind.TargetFailed, detail));
			return;
		}
		if (head.status >= leastFailureStatus && this.owner.isTakenBack(this)) {
			this.endReleased(AttemptEnd.Erred, createRequestError(ErrorKind.TargetFailed, detail));
			return;
		}
		this.beginAnswer(head);
	}

	receiveData(chunk: Uint8Array): boolean {
		if (this.isOver) {
			return true;
		}
		this.heardMs = this.timers.getNow();
		this.pace.recordChunk(this.heardMs);
		const isReady = this.run.write(chunk);
		if (!isReady) {
			this.pauseForReader();
		}
		return isReady;
	}

	noteEnded(): void {
		if (this.isOver) {
			return;
		}
		this.close();
		this.run.finish();
		this.finishAs(AttemptEnd.Answered, undefined);
	}

	noteBroken(error: Error): void {
		if (this.isOver) {
			return;
		}
		this.close();
		this.run.markInterrupted();
		const detail = `${this.target}: ${error.message}`;
		if (this.isHandedOver) {
			this.finishAs(AttemptEnd.Failed, createRequestError(ErrorKind.TargetFailed, detail));
			return;
		}
		this.finishAs(AttemptEnd.NotConnected, createRequestError(ErrorKind.NoTarget, detail));
	}

	private beginAnswer(head: AnswerHead): void {
		this.pace.recordHead(this.timers.getNow());
		this.owner.noteFirstByte(this);
		const { status, endsWithConnection = false } = head;
		this.run.begin({ status, lines: this.dialect.listAnswerLines(head), endsWithConnection });
		this.silenceTimer?.dispose();
		this.watchSilence(this.getLimits().idleMs);
		if (!this.run.call.isDeadlineGiven) {
			this.deadlineTimer?.dispose();
		}
	}

	/** While the caller is the slow one, the target's silence is no sign of anything. */
	private pauseForReader(): void {
		this.isPaused = true;
		this.run.waitForDrain(() => {
			this.isPaused = false;
			this.heardMs = this.timers.getNow();
			this.attempt?.resume();
		});
	}

	/**
	 * One timer a silence, moved on only when it fires: a stream of many chunks would otherwise make and
	 * cancel a timer for each.
	 */
	private watchSilence(limitMs: number): void {
		const quietMs = this.isPaused ? 0 : this.timers.getNow() - this.heardMs;
		this.silenceTimer = this.timers.schedule(limitMs - quietMs, () => {
			const isSilent = !this.isPaused && this.timers.getNow() - this.heardMs >= limitMs;
			if (isSilent) {
				this.endSilent(limitMs);
				return;
			}
			this.watchSilence(limitMs);
		});
	}

	private endSilent(limitMs: number): void {
		this.client.renewConnections();
		const detail = `${this.target} was silent for ${limitMs} ms`;
		this.endEarly(AttemptEnd.Silent, createRequestError(ErrorKind.TargetSilent, detail));
	}

	private endAtDeadline(): void {
		const detail = `${this.target}: ${this.describePace()}`;
		const kind = this.isHandedOver ? ErrorKind.DeadlineExceeded : ErrorKind.DeadlineUnreachable;
		this.endEarly(AttemptEnd.Cancelled, createRequestError(kind, detail));
	}

	/** The target has said all that matters; its connection is well and can be used again. */
	private endReleased(end: AttemptEnd, error: RequestError): void {
		this.close();
		this.attempt?.release();
		this.finishAs(end, error);
	}

	private endEarly(end: AttemptEnd, error: RequestError): void {
		if (this.isOver) {
			return;
		}
		this.close();
		this.run.markInterrupted();
		this.attempt?.cancel(error.detail);
		this.finishAs(end, error);
	}

	private finishAs(end: AttemptEnd, error: RequestError | undefined): void {
		this.run.noteAttemptEnd(end);
		this.owner.noteEnd(this, end, error);
	}

	private close(): void {
		this.isOver = true;
		this.silenceTimer?.dispose();
		this.deadlineTimer?.dispose();
	}

	private getLimits(): { firstByteMs: number; idleMs: number } {
		return this.run.call.plan.classes[this.run.call.head.requestClass];
	}

	private describe(): SentAttempt {
		const { id, head } = this.run.call;
		return {
			requestId: head.routed?.callerRequestId ?? id,
			attemptId: this.id,
			target: this.target,
			head,
			remainingMs: this.run.getRemainingMs(),
			lastEventId: this.run.getLastEventId(),
			...this.treatment,
		};
	}
}

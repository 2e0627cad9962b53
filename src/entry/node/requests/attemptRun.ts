/**
 * One attempt of a request at a target: applies the idle timeout and the deadline, checks that the answer
 * belongs to this attempt, and streams it to the caller.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { AttemptId, TargetId } from '../../../core/ids/common/ids';
import { createAttemptId } from '../../../core/ids/common/ids';
import { AnswerEnd } from '../../common/callers/answerEnd';
import type { AnswerHead } from '../../common/callers/answerSink';
import type { AnswerMetadata, ITargetDialect, SentAttempt } from '../../common/dialect/targetDialect';
import { describeHistory } from '../../common/requests/attemptHistory';
import { RequestEvent } from '../../common/requests/requestLifecycle';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import { AnswerPace } from '../../common/streams/answerPace';
import type { KnownOrigin } from '../../common/streams/streamOrigin';
import { ownSource } from '../../common/streams/streamOrigin';
import type { IAttempt, IAttemptObserver, ITargetClient } from '../targets/targetClient';
import type { FindVersion } from '../targets/targetDirectory';
import type { FindOrigin, RequestRun } from './requestRun';

/** What the scheduler decides for an attempt in addition to its target. */
export interface AttemptOptions extends Pick<SentAttempt, 'fetchAddress'> {
	/** Estimated time to the first byte when the attempt was started, in milliseconds, if known. */
	readonly expectedFirstByteMs?: number | undefined;
	/** Returns a function that finds the software version of the target's process, once it is certain. */
	readonly observeVersion: () => FindVersion;
}

/** Receives what an attempt observes about its target, and how it ended. */
export interface IAttemptOwner {
	/** Returns why the request may not be sent now; asked before the first byte is written. */
	findSendRefusal(attempt: AttemptRun): RequestError | undefined;
	noteHandedOver(attempt: AttemptRun): void;
	noteFirstByte(attempt: AttemptRun): void;
	/** Receives the head of an answer or a refusal, which may report the target's load or that it is leaving. */
	noteAnswerHead(attempt: AttemptRun, head: AnswerHead, reading: AnswerMetadata): void;
	/** Receives the head of an answer that is passed on. */
	noteBegun(attempt: AttemptRun, head: AnswerHead): void;
	/** Whether the caller may get an uncertain end that no other target confirms. */
	isEndAcceptable(attempt: AttemptRun): boolean;
	/** Whether the request would be retried if the target answered with a server error. */
	isRetryAllowed(attempt: AttemptRun): boolean;
	/** Called while the target is silent. Returns whether the attempt should end. */
	noteSilence(attempt: AttemptRun): boolean;
	/** Called once. `error` is the error for the caller if there is no further attempt. */
	noteEnd(attempt: AttemptRun, end: AttemptEnd, error: RequestError | undefined): void;
}

const minServerErrorStatus = 500;
/** Delay after which the event loop has read the sockets that were ready. */
const socketReadMs = 1;
/** How often the attempt at a silent target is checked for another target that could take the request. */
const silenceRecheckMs = 200;

/** An attempt in progress. */
export class AttemptRun implements IAttemptObserver {
	readonly id: AttemptId;
	private attempt: IAttempt | undefined;
	private silenceTimer: IDisposable | undefined;
	private deadlineTimer: IDisposable | undefined;
	private lastActivityMs = 0;
	private pace = new AnswerPace(0);
	private isHandedOver = false;
	private isPaused = false;
	private isOver = false;

	constructor(
		readonly run: RequestRun,
		readonly target: TargetId,
		attemptNumber: number,
		private readonly options: AttemptOptions,
		private readonly client: ITargetClient,
		private readonly dialect: ITargetDialect,
		private readonly timers: ITimerService,
		private readonly owner: IAttemptOwner,
	) {
		this.id = createAttemptId(run.call.id, attemptNumber, run.call.origin !== undefined);
	}

	start(): void {
		this.run.lifecycle.send(RequestEvent.Start);
		this.run.noteAttemptStart();
		this.lastActivityMs = this.timers.getNow();
		this.pace = new AnswerPace(this.lastActivityMs);
		this.deadlineTimer = this.timers.schedule(this.run.getRemainingMs(), () => {
			this.endAtDeadline();
		});
		const { id, head, body } = this.run.call;
		this.attempt = this.client.send(
			{
				requestId: id,
				method: head.method,
				path: head.path,
				lines: this.dialect.createRequestLines(this.createSentAttempt()),
				body,
			},
			this,
		);
	}

	/** False once the attempt has ended, even if its owner is still checking whether the target crashed. */
	isUnderWay(): boolean {
		return !this.isOver;
	}

	/** Describes the timing of the answer so far, for the log. */
	describePace(): string {
		return this.pace.describe(this.timers.getNow());
	}

	/** Cancels the attempt and closes its connection to the target. */
	cancel(error: RequestError): void {
		this.endClosingConnection(AttemptEnd.Cancelled, error);
	}

	/** Ends the attempt if it still waits for a connection, so that no byte was sent. */
	endUnsent(error: RequestError): void {
		if (!this.isHandedOver) {
			this.endClosingConnection(AttemptEnd.NotConnected, error);
		}
	}

	/** A connection may open, or the process go on, long after the attempt was started, so the request is checked again. */
	noteHandedOver(): void {
		const refusal = this.owner.findSendRefusal(this);
		if (refusal !== undefined) {
			this.run.noteRefusal(refusal);
			this.endClosingConnection(AttemptEnd.Cancelled, refusal);
			return;
		}
		this.isHandedOver = true;
		this.lastActivityMs = this.timers.getNow();
		this.owner.noteHandedOver(this);
		this.run.lifecycle.send(RequestEvent.HandOver);
		this.run.noteSent(this.target);
		this.run.note(
			JournalStep.HandedOver,
			`${this.id} to ${this.target}; ${describeHistory(this.run.history)}`,
		);
		this.watchSilence(this.getLimits().firstByteMs);
	}

	receiveHead(head: AnswerHead): void {
		if (this.isOver) {
			return;
		}
		this.lastActivityMs = this.timers.getNow();
		const reading = this.dialect.readAnswerHead(head, this.createSentAttempt());
		if (reading.fault !== undefined) {
			this.endClosingConnection(
				AttemptEnd.Failed,
				createRequestError(ErrorKind.AnswerCrossed, reading.fault),
			);
			return;
		}
		this.owner.noteAnswerHead(this, head, reading);
		const detail = `${this.target} answered ${head.status}`;
		if (reading.isNotRun) {
			this.run.noteNotRun();
			this.endKeepingConnection(
				AttemptEnd.TargetRefused,
				createRequestError(ErrorKind.TargetRefused, detail),
			);
			return;
		}
		const isServerError = head.status >= minServerErrorStatus && !this.run.hasBegun();
		if (isServerError && this.owner.isRetryAllowed(this)) {
			this.endKeepingConnection(AttemptEnd.Erred, createRequestError(ErrorKind.TargetFailed, detail));
			return;
		}
		this.beginAnswer(head);
	}

	receiveData(chunk: Uint8Array): boolean {
		if (this.isOver) {
			return true;
		}
		this.lastActivityMs = this.timers.getNow();
		this.pace.recordChunk(this.lastActivityMs);
		const isReady = this.run.write(chunk);
		const fault = this.run.findStreamFault();
		if (fault !== undefined) {
			const error = createRequestError(ErrorKind.TargetFailed, `${this.target}: ${fault}`);
			this.endClosingConnection(AttemptEnd.Failed, error);
			return true;
		}
		if (!isReady) {
			this.pauseForCaller();
		}
		return isReady;
	}

	noteCompleted(): void {
		if (this.isOver) {
			return;
		}
		if (this.run.isInsideEvent()) {
			this.noteFailed(new Error('the answer ended inside an event'));
			return;
		}
		this.close();
		if (this.run.isEndCertain()) {
			this.run.finish(AnswerEnd.Certain);
			this.finishAs(AttemptEnd.Answered, undefined);
			return;
		}
		this.run.openEnd.noteEnd(() => this.owner.isEndAcceptable(this));
		const detail = `${this.target}: the connection ended, which doesn't show that the answer is whole`;
		this.finishAs(AttemptEnd.Unconfirmed, createRequestError(ErrorKind.TargetFailed, detail));
	}

	noteFailed(error: Error): void {
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
		const { status, endsWithConnection = false } = head;
		const fault = this.run.begin(
			{ status, lines: this.dialect.listAnswerLines(head), endsWithConnection },
			this.createOriginFinder(),
		);
		if (fault !== undefined) {
			const error = createRequestError(ErrorKind.TargetFailed, `${this.target}: ${fault}`);
			this.endKeepingConnection(AttemptEnd.Failed, error);
			return;
		}
		this.pace.recordHead(this.timers.getNow());
		this.owner.noteFirstByte(this);
		this.owner.noteBegun(this, head);
		this.silenceTimer?.dispose();
		this.watchSilence(this.getLimits().idleMs);
		if (!this.run.call.isDeadlineGiven) {
			this.deadlineTimer?.dispose();
		}
	}

	private createOriginFinder(): FindOrigin {
		const { service } = this.run.call.head;
		const findVersion = this.options.observeVersion();
		let origin: KnownOrigin | undefined;
		return () => {
			const version = origin === undefined ? findVersion() : undefined;
			if (version !== undefined) {
				origin = { service, version, source: ownSource, learnedMs: this.timers.getNow() };
			}
			return origin;
		};
	}

	/** Pauses reading until the caller catches up. Meanwhile the target is not expected to send anything. */
	private pauseForCaller(): void {
		this.isPaused = true;
		this.run.waitForDrain(() => {
			this.isPaused = false;
			this.lastActivityMs = this.timers.getNow();
			this.attempt?.resume();
		});
	}

	/**
	 * Checks the attempt when the target has sent nothing for `limitMs`. The timer is rescheduled only when it fires,
	 * because a stream of many chunks would otherwise create and cancel a timer for each chunk.
	 */
	private watchSilence(limitMs: number): void {
		const firstCheckMs = limitMs - socketReadMs;
		this.scheduleSilenceCheck(firstCheckMs - this.computeSilentMs(), () => {
			if (this.computeSilentMs() < firstCheckMs) {
				this.watchSilence(limitMs);
				return;
			}
			// Timers run before sockets are read. After a long turn of the event loop, what the target sent is unread.
			this.scheduleSilenceCheck(socketReadMs, () => {
				if (this.computeSilentMs() >= limitMs) {
					this.client.renewConnections();
				}
				this.handleSilence(limitMs);
			});
		});
	}

	private scheduleSilenceCheck(delayMs: number, check: () => void): void {
		this.silenceTimer = this.timers.schedule(delayMs, check);
	}

	private computeSilentMs(): number {
		return this.isPaused ? 0 : this.timers.getNow() - this.lastActivityMs;
	}

	/** Ends the attempt if the request can go on elsewhere, and otherwise checks again soon. */
	private handleSilence(limitMs: number): void {
		if (this.computeSilentMs() < limitMs) {
			this.watchSilence(limitMs);
			return;
		}
		if (!this.owner.noteSilence(this)) {
			this.scheduleSilenceCheck(silenceRecheckMs, () => {
				this.handleSilence(limitMs);
			});
			return;
		}
		const detail = this.describeSilence(limitMs);
		this.endClosingConnection(AttemptEnd.Silent, createRequestError(ErrorKind.TargetSilent, detail));
	}

	/** The estimate shows whether the target was late, or the limit too short for the request. */
	private describeSilence(limitMs: number): string {
		const { expectedFirstByteMs } = this.options;
		const silence = `${this.target} was silent for ${Math.round(this.computeSilentMs())} ms, ${limitMs} ms allowed`;
		if (this.run.hasBegun() || expectedFirstByteMs === undefined) {
			return silence;
		}
		return `${silence}, first byte expected in ${Math.round(expectedFirstByteMs)} ms`;
	}

	private endAtDeadline(): void {
		const detail = `${this.target}: ${this.describePace()}`;
		const kind = this.isHandedOver ? ErrorKind.DeadlineExceeded : ErrorKind.DeadlineUnreachable;
		this.endClosingConnection(AttemptEnd.Cancelled, createRequestError(kind, detail));
	}

	/** Ends the attempt after the answer's head. The connection is intact and can be reused. */
	private endKeepingConnection(end: AttemptEnd, error: RequestError): void {
		this.close();
		this.attempt?.release();
		this.finishAs(end, error);
	}

	/** Ends the attempt and closes its connection, so that no later request can read the rest of the answer. */
	private endClosingConnection(end: AttemptEnd, error: RequestError): void {
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

	private createSentAttempt(): SentAttempt {
		const { id, head } = this.run.call;
		return {
			requestId: head.routed?.callerRequestId ?? id,
			attemptId: this.id,
			target: this.target,
			head,
			remainingMs: this.run.getRemainingMs(),
			lastEventId: this.run.getLastEventId(),
			fetchAddress: this.options.fetchAddress,
		};
	}
}

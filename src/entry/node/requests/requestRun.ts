/**
 * One request at one entry: its call, its life on the chart, and the sink its answer goes to. Whatever
 * happens to a request goes through here, so that the chart, the journal and the metrics never disagree
 * with what the caller was told.
 */

import type { ErrorKind, RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind as Kind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { IRequestJournal } from '../../../core/explain/common/requestJournal';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { InstanceId, RegionName, RequestId } from '../../../core/ids/common/ids';
import type { ITimerService } from '../../../base/common/timerService';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';
import type { CallHead } from '../../common/callers/callHead';
import { findHeader } from '../../common/callers/callHead';
import { RouteKind } from '../../../core/manifest/common/routes';
import type { CallPlan } from '../../common/placement/callPlan';
import { RequestEvent, RequestLife } from '../../common/requests/requestLife';
import type { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import { EventCutter } from '../../common/streams/eventCutter';

/** Which entry forwarded a request here. */
export interface ForwardOrigin {
	readonly instance: InstanceId;
	readonly region: RegionName;
}

/** A request whose head and body were accepted. Times are monotonic milliseconds. */
export interface AcceptedCall {
	readonly id: RequestId;
	readonly head: CallHead;
	readonly plan: CallPlan;
	readonly body: Uint8Array;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	/** Whether the caller named the deadline; one that it did not name never cuts an answer that flows. */
	readonly isDeadlineGiven: boolean;
	readonly origin: ForwardOrigin | undefined;
}

/** How a request ended, for those who count. */
export interface RequestEnd {
	readonly outcome: Outcome;
	readonly errorKind: ErrorKind | undefined;
	readonly firstByteMs: number | undefined;
	readonly tookMs: number;
}

/** Hears what is counted of a request. */
export interface IRunObserver {
	/** An attempt starts, `waitedMs` after the request was submitted or taken back. */
	noteQueueWait(run: RequestRun, waitedMs: number): void;
	noteAttemptEnd(run: RequestRun, end: AttemptEnd): void;
	/** Milliseconds between two pieces of the answer. */
	noteGap(run: RequestRun, gapMs: number): void;
	/** Called once. */
	noteEnd(run: RequestRun, end: RequestEnd): void;
}

/** A request under way. */
export class RequestRun {
	private firstByteMs: number | undefined;
	private submittedMs: number | undefined;
	private lastPieceMs: number | undefined;
	private isOver = false;
	private abandonHandler: (() => void) | undefined;
	private events: EventCutter | undefined;

	constructor(
		readonly call: AcceptedCall,
		readonly life: RequestLife,
		private readonly sink: IAnswerSink,
		private readonly journal: IRequestJournal,
		private readonly timers: ITimerService,
		private readonly observer: IRunObserver,
	) {
		sink.watchAbandoned(() => {
			this.handleAbandoned();
		});
	}

	hasBegun(): boolean {
		return this.firstByteMs !== undefined;
	}

	hasEnded(): boolean {
		return this.isOver;
	}

	getRemainingMs(): number {
		return Math.max(0, this.call.deadlineMs - this.timers.getNow());
	}

	note(step: JournalStep, detail: string): void {
		this.journal.addStep(this.call.id, step, detail, this.timers.getNow());
	}

	/** The request waits for an attempt, its first or another one. */
	noteSubmitted(): void {
		this.submittedMs = this.timers.getNow();
	}

	noteAttemptStart(): void {
		if (this.submittedMs !== undefined) {
			this.observer.noteQueueWait(this, this.timers.getNow() - this.submittedMs);
		}
		this.submittedMs = undefined;
	}

	noteAttemptEnd(end: AttemptEnd): void {
		this.observer.noteAttemptEnd(this, end);
	}

	/** Hands the answer's head on; of an answer that another target goes on with, the caller has it already. */
	begin(head: AnswerHead): void {
		this.life.send(RequestEvent.FirstByte);
		if (this.hasBegun()) {
			this.note(JournalStep.FirstByte, `goes on after event ${this.getLastEventId() ?? 'none'}`);
			return;
		}
		if (isEventStream(this.call, head)) {
			this.events = new EventCutter();
		}
		this.noteBegun(head);
	}

	/** The last event that the caller has of a stream, or that it said it has. */
	getLastEventId(): string | undefined {
		return this.events?.getLastEventId() ?? this.call.head.routed?.lastEventId;
	}

	/** The answer broke off; what the caller has of it ends with a whole event. */
	markInterrupted(): void {
		this.events?.clearRest();
	}

	/** Hands on the head of a kept answer; the chart already stands at `answering`. */
	beginKept(head: AnswerHead): void {
		this.noteBegun(head);
	}

	/** Gives false where the caller is behind. */
	write(chunk: Uint8Array): boolean {
		const nowMs = this.timers.getNow();
		if (this.lastPieceMs !== undefined) {
			this.observer.noteGap(this, nowMs - this.lastPieceMs);
		}
		this.lastPieceMs = nowMs;
		if (this.events === undefined) {
			return this.sink.write(chunk);
		}
		const whole = this.events.push(chunk);
		return whole.byteLength === 0 || this.sink.write(whole);
	}

	waitForDrain(resume: () => void): void {
		this.sink.waitForDrain(resume);
	}

	/** What is done when the caller goes away; whoever holds the request last has the say. */
	setAbandonHandler(handle: () => void): void {
		this.abandonHandler = handle;
	}

	/** The answer is whole. */
	finish(): void {
		if (this.isOver) {
			return;
		}
		this.life.send(RequestEvent.LastByte);
		const rest = this.events?.takeRest();
		if (rest !== undefined && rest.byteLength > 0) {
			this.sink.write(rest);
		}
		this.sink.end();
		this.close(Outcome.Answered, undefined, 'the answer is whole');
	}

	/** Ends the request without its whole answer: a refusal before the first byte, a cut after it. */
	fail(error: RequestError): void {
		if (this.isOver) {
			return;
		}
		const told = this.life.refuse(error);
		if (this.hasBegun()) {
			this.sink.cut();
		} else {
			this.sink.refuse(told);
		}
		this.close(getOutcomeOf(told), told.kind, `${told.kind}: ${told.detail}`);
	}

	/** The caller went away; nobody is left to be told. */
	abandon(): void {
		if (this.isOver) {
			return;
		}
		this.life.send(RequestEvent.CallerGone);
		const error = createRequestError(Kind.CallerGone, 'the caller closed its connection');
		this.close(this.life.getOutcome(), error.kind, error.detail);
	}

	private handleAbandoned(): void {
		if (this.isOver) {
			return;
		}
		if (this.abandonHandler === undefined) {
			this.abandon();
			return;
		}
		this.abandonHandler();
	}

	private noteBegun(head: AnswerHead): void {
		this.firstByteMs = this.timers.getNow() - this.call.arrivedMs;
		this.note(JournalStep.FirstByte, `status ${head.status}`);
		this.sink.begin(head);
	}

	private close(outcome: Outcome, errorKind: ErrorKind | undefined, detail: string): void {
		this.isOver = true;
		this.note(JournalStep.Ended, `${outcome}; ${detail}`);
		this.observer.noteEnd(this, {
			outcome,
			errorKind,
			firstByteMs: this.firstByteMs,
			tookMs: this.timers.getNow() - this.call.arrivedMs,
		});
	}
}

const eventStreamType = 'text/event-stream';

function isEventStream(call: AcceptedCall, { lines }: AnswerHead): boolean {
	const isStreamRoute = call.head.routed?.route.kind === RouteKind.Stream;
	return isStreamRoute && findHeader(lines, 'content-type')?.startsWith(eventStreamType) === true;
}

/**
 * One request at one entry: the accepted call, its state machine, and the sink that receives its answer. Every
 * step of a request goes through this class, so that the state machine, the journal and the metrics always
 * agree with what the caller received.
 */

import type { ErrorKind, RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind as Kind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { IRequestJournal } from '../../../core/explain/common/requestJournal';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { InstanceId, RegionName, RequestId, StreamId, TargetId } from '../../../core/ids/common/ids';
import type { ITimerService } from '../../../base/common/timerService';
import { AnswerEnd, describeFraming } from '../../common/callers/answerEnd';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';
import type { CallHead } from '../../common/callers/callHead';
import { RouteKind } from '../../../core/manifest/common/routes';
import type { CallPlan } from '../../common/placement/callPlan';
import type { AttemptHistory } from '../../common/requests/attemptHistory';
import { addSend, describeHistory, markLastNotRun, noAttempts } from '../../common/requests/attemptHistory';
import { RequestEvent, RequestLifecycle, RequestState } from '../../common/requests/requestLifecycle';
import type { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import { describeContinuation } from '../../common/streams/streamOrigin';
import type { VersionRequirement } from '../../common/scheduling/versionMatch';
import type { Continuation, KnownOrigin } from '../../common/streams/streamOrigin';
import { OpenEnd } from '../../common/streams/openEnd';
import { describeHead, hasEventStreamType, isEventStreamHead } from '../../common/streams/eventStreamHead';
import { EventStreamSplitter } from '../../common/streams/eventStreamSplitter';

/** The entry that forwarded a request to this one. */
export interface ForwardOrigin {
	readonly instance: InstanceId;
	readonly region: RegionName;
}

/** A request whose head and body were accepted. Times are in milliseconds of a monotonic clock. */
export interface AcceptedCall {
	readonly id: RequestId;
	readonly head: CallHead;
	readonly plan: CallPlan;
	readonly body: Uint8Array;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	/** Whether the caller set the deadline. A default deadline never cuts off an answer that has started. */
	readonly isDeadlineGiven: boolean;
	readonly origin: ForwardOrigin | undefined;
	/** When a request that was forwarded to this entry has to be given back unless it has started. */
	readonly startByMs?: number;
	/** The origin of the stream that a forwarded request resumes, if the forwarding entry knows it. */
	readonly streamOrigin?: KnownOrigin;
	/** What other entries did for a forwarded request before. */
	readonly history?: AttemptHistory;
	/** The possible runs after which a forwarded request has to be given back, including those of other entries. */
	readonly maxRuns?: number;
	/** Whether the caller of a forwarded request has the head of the answer, which only a stream of events goes on with. */
	readonly isContinuation?: boolean;
}

/** Returns the origin of a stream, or undefined if it is not known. */
export type FindOrigin = () => KnownOrigin | undefined;

/** How a request ended, for the metrics. */
export interface RequestEnd {
	readonly outcome: Outcome;
	readonly errorKind: ErrorKind | undefined;
	readonly firstByteMs: number | undefined;
	readonly tookMs: number;
	/** What the caller was shown at the end of an answer that had begun. */
	readonly answerEnd?: AnswerEnd | undefined;
}

/** Receives the measurements of a request. */
export interface IRunObserver {
	/** Called when an attempt starts, `waitedMs` after the request was submitted or queued again for a retry. */
	noteQueueWait(run: RequestRun, waitedMs: number): void;
	noteAttemptEnd(run: RequestRun, end: AttemptEnd): void;
	/** Called with each chunk of the answer. */
	noteAnswerChunk(run: RequestRun): void;
	/** Called with the first event of a stream that this run passes on to its caller. */
	noteFirstEvent(run: RequestRun, stream: StreamId, findOrigin: FindOrigin): void;
	/** Called with the time between two chunks of the answer. */
	noteAnswerGap(run: RequestRun, gapMs: number): void;
	/** Called once. */
	noteEnd(run: RequestRun, end: RequestEnd): void;
}

const queuedStates: ReadonlySet<RequestState> = new Set([RequestState.Queued, RequestState.QueuedInDoubt]);

/** A request in progress. */
export class RequestRun {
	private firstByteMs: number | undefined;
	private waitingSinceMs: number | undefined;
	private lastChunkMs: number | undefined;
	private isOver = false;
	private abandonHandler: (() => void) | undefined;
	private events: EventStreamSplitter | undefined;
	/** Whether the answer began as a stream of events with the status of one, so that another target may go on with it. */
	private isStream = false;
	private findOrigin: FindOrigin | undefined;
	/** Whether the current answer has neither a length nor chunks, so that its end does not show that it is whole. */
	private isUnframed = false;
	/** Whether the answer began at a target that sent neither a length nor chunks. */
	private beganUnframed = false;
	/** Whether the caller may have its whole answer, although nothing shows it. */
	readonly openEnd = new OpenEnd();
	/** The part of the next event that an interrupted attempt left. */
	private brokenEvent: Uint8Array | undefined;
	/** Number of reads in which the current target's answer brought whole events. */
	private eventReads = 0;
	private hasPassedEvent = false;
	private hasPassedEvents = false;
	private isOriginReported = false;
	private attempts: AttemptHistory;

	constructor(
		readonly call: AcceptedCall,
		readonly lifecycle: RequestLifecycle,
		private readonly sink: IAnswerSink,
		private readonly journal: IRequestJournal,
		private readonly timers: ITimerService,
		private readonly observer: IRunObserver,
	) {
		const { streamOrigin, history = noAttempts } = call;
		this.attempts = history;
		if (streamOrigin !== undefined) {
			this.findOrigin = () => streamOrigin;
		}
		sink.watchAbandoned(() => {
			this.handleCallerGone();
		});
	}

	/** What was done for the request so far, over all entries. */
	get history(): AttemptHistory {
		return this.attempts;
	}

	/** Records that an attempt is written to a connection to a target from now on. */
	noteSent(target: TargetId): void {
		this.attempts = addSend(this.attempts, target);
	}

	/** Records that the target of the last attempt reported that it did not run it. */
	noteNotRun(): void {
		this.attempts = markLastNotRun(this.attempts);
	}

	/** Records that this entry counts the request into its budget of retries. */
	noteCounted(): void {
		this.attempts = { ...this.attempts, isCounted: true };
	}

	/** Records what the request's history is after a peer gave it back. */
	setHistory(history: AttemptHistory): void {
		this.attempts = history;
	}

	hasBegun(): boolean {
		return this.firstByteMs !== undefined;
	}

	/** Whether the caller has received the whole answer. */
	isAnswered(): boolean {
		return this.isOver && this.lifecycle.getOutcome() === Outcome.Answered;
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

	/** Records why the request is refused and, if it resumes a stream, what is known of that. */
	noteRefusal({ detail }: RequestError): void {
		const continuation = this.findContinuation();
		const described =
			continuation === undefined ? '' : `; ${describeContinuation(continuation, this.timers.getNow())}`;
		this.note(JournalStep.Refused, `${detail}${described}`);
	}

	/** Records that the request starts to wait for its first or next attempt. */
	noteSubmitted(): void {
		this.waitingSinceMs = this.timers.getNow();
	}

	/** Returns how long the request has waited without an attempt or forward in progress; 0 if one is in progress. */
	measureQueuedMs(): number {
		return queuedStates.has(this.lifecycle.getState())
			? this.timers.getNow() - (this.waitingSinceMs ?? this.call.arrivedMs)
			: 0;
	}

	noteAttemptStart(): void {
		if (this.waitingSinceMs !== undefined) {
			this.observer.noteQueueWait(this, this.timers.getNow() - this.waitingSinceMs);
		}
		this.waitingSinceMs = undefined;
	}

	noteAttemptEnd(end: AttemptEnd): void {
		this.observer.noteAttemptEnd(this, end);
	}

	/**
	 * Forwards the head of the answer. If another target resumes the answer, the caller already has the head.
	 *
	 * @param findOrigin Returns the origin of a stream whose first event this answer contains.
	 * @returns Why this answer can't go on with the one that has begun, which it then leaves as it is, or undefined.
	 */
	begin(head: AnswerHead, findOrigin: FindOrigin): string | undefined {
		if (this.isContinuation() && !isEventStream(this.call, head)) {
			return `no stream goes on with ${describeHead(head)}`;
		}
		this.lifecycle.send(RequestEvent.FirstByte);
		this.isUnframed = head.endsWithConnection === true;
		this.eventReads = 0;
		if (this.getLastEventId() === undefined) {
			this.findOrigin = findOrigin;
		}
		if (this.hasBegun()) {
			this.note(JournalStep.Continued, `${describeHead(head)}, ${this.describeAnswer()}`);
			this.events?.beginContinuation();
			return undefined;
		}
		if (!hasEvents(this.call, head)) {
			this.noteAnswerBegun(head);
			return undefined;
		}
		this.isStream = isEventStreamHead(head);
		this.events = new EventStreamSplitter(
			!this.isStream || this.isEmptyAllowed(),
			this.call.head.routed?.lastEventId,
			this.isResumable(),
		);
		// Another target may go on with the stream, and its length is another one.
		const lines = head.lines.filter(({ name }) => name !== 'content-length');
		this.noteAnswerBegun({ ...head, lines });
		return undefined;
	}

	/** Whether a stream that has no event may be whole: all events came before, or the caller wants no tokens. */
	private isEmptyAllowed(): boolean {
		const { lastEventId, prompt } = this.call.head.routed ?? {};
		return lastEventId !== undefined || prompt?.maxOutputTokens === 0;
	}

	/** Whether the caller has the head of the answer, from this entry or from the one that forwarded the request. */
	private isContinuation(): boolean {
		return this.hasBegun() || this.call.isContinuation === true;
	}

	/** Returns the id of the last event forwarded to the caller, or else the one given in the caller's request. */
	getLastEventId(): string | undefined {
		return this.events?.getLastEventId() ?? this.call.head.routed?.lastEventId;
	}

	/** Returns how the stream has to go on, or undefined if its caller has received no event yet. */
	findContinuation(): Continuation | undefined {
		const afterEvent = this.getLastEventId();
		const { routed } = this.call.head;
		if (afterEvent === undefined || routed?.route.isResumable !== true) {
			return undefined;
		}
		const resumed = routed.lastEventId === undefined ? undefined : routed.resumes;
		const stream = resumed ?? (routed.callerRequestId as StreamId);
		return { stream, afterEvent, origin: this.findOrigin?.() };
	}

	/** Sets the origin of the stream that the caller resumes. */
	setOrigin(origin: KnownOrigin): void {
		this.findOrigin = () => origin;
	}

	/** Whether the caller resumes a stream whose origin has to be found first. */
	isOriginMissing(): boolean {
		const continuation = this.findContinuation();
		const isResumed = this.call.origin === undefined && !this.hasBegun() && continuation !== undefined;
		return isResumed && continuation.origin === undefined;
	}

	/** Returns the version at which the stream goes on, or undefined while its caller has received no event. */
	findRequiredVersion(): VersionRequirement | undefined {
		const continuation = this.findContinuation();
		if (continuation === undefined) {
			return undefined;
		}
		const { origin } = continuation;
		return { version: origin?.service === this.call.head.service ? origin.version : undefined };
	}

	/**
	 * Whether the answer is a stream whose bytes so far are no whole events, so that its end can't be the real one. Where the answer
	 * has no framing, no half line can be its end, and under another status than that of a stream only its framing shows one.
	 */
	isInsideEvent(): boolean {
		const { events, isUnframed } = this;
		if (events === undefined || (!this.isStream && !isUnframed)) {
			return false;
		}
		return events.isInsideEvent() || (isUnframed && events.isInsideLine());
	}

	/** Returns why the bytes of the current target can't be events of the stream, or undefined. */
	findStreamFault(): string | undefined {
		if (this.events?.isEventTooLong() === true) {
			return 'an event without end';
		}
		return this.events?.hasMisplacedEvent() === true ? 'no event after the last one' : undefined;
	}

	/** Whether the end of the answer shows that it is whole: its target sent a length or chunks. */
	isEndCertain(): boolean {
		return !this.isUnframed;
	}

	/** Whether the answer began with framing of its target, so that it may end only where a target's framing shows it. */
	hasBegunFramed(): boolean {
		return !this.beganUnframed;
	}

	/** Whether the request is for a stream that can go on after any of its events. */
	isResumable(): boolean {
		return this.call.head.routed?.route.isResumable === true;
	}

	/**
	 * Whether another target can go on with the answer: it has not begun, or is a stream of which nothing has been passed on, or
	 * that has an event to go on after. Otherwise another run would begin anew, and the caller would get parts of two.
	 */
	isContinuable(): boolean {
		if (!this.hasBegun()) {
			return true;
		}
		return this.isStream && (!this.hasPassedEvents || this.events?.isResumable() === true);
	}

	/** Describes how the current target's answer is delimited and how far it has come, for the log. */
	describeAnswer(): string {
		const position = this.events === undefined ? '' : `${this.events.describePosition()}, `;
		return `${position}${describeFraming(this.isUnframed)}`;
	}

	/** Whether the current target's stream has gone on beyond its first event. */
	hasGoneOn(): boolean {
		return this.eventReads > 1;
	}

	/** Holds back an incomplete event after an answer was interrupted, so that the caller has only complete events. */
	markInterrupted(): void {
		const isInside = this.events?.isInsideEvent() === true;
		const rest = this.events?.takeRemainder();
		if (isInside && rest !== undefined && rest.byteLength > 0) {
			this.brokenEvent = rest;
			this.openEnd.noteMoreBytes();
		}
	}

	/** Forwards the head of a stored answer. The state machine is already in the state `answering`. */
	beginKeptAnswer(head: AnswerHead): void {
		this.isUnframed = head.endsWithConnection === true;
		this.noteAnswerBegun(head);
	}

	/** Returns false if the caller reads more slowly than data arrives. */
	write(chunk: Uint8Array): boolean {
		const nowMs = this.timers.getNow();
		this.observer.noteAnswerChunk(this);
		if (this.lastChunkMs !== undefined) {
			this.observer.noteAnswerGap(this, nowMs - this.lastChunkMs);
		}
		this.lastChunkMs = nowMs;
		if (this.events === undefined) {
			return this.sink.write(chunk);
		}
		const completeEvents = this.events.push(chunk);
		if (completeEvents.byteLength > 0) {
			this.hasPassedEvents = true;
			this.eventReads++;
			this.brokenEvent = undefined;
			this.openEnd.noteMoreBytes();
		}
		this.noteEvents(this.events);
		return completeEvents.byteLength === 0 || this.sink.write(completeEvents);
	}

	waitForDrain(resume: () => void): void {
		this.sink.waitForDrain(resume);
	}

	/** Sets what to do when the caller disconnects, replacing any handler set before. */
	setAbandonHandler(handle: () => void): void {
		this.abandonHandler = handle;
	}

	/**
	 * Ends the request with its answer. A stream that ends inside an event is cut, and so is an answer that began with
	 * framing if its end is uncertain.
	 */
	finish(end: AnswerEnd.Certain | AnswerEnd.Uncertain): void {
		if (this.isOver) {
			return;
		}
		if (this.isInsideEvent()) {
			this.fail(createRequestError(Kind.TargetFailed, 'the answer ended inside an event'));
			return;
		}
		if (end === AnswerEnd.Uncertain && this.hasBegunFramed()) {
			this.fail(createRequestError(Kind.TargetFailed, 'nothing shows that the answer is whole'));
			return;
		}
		const isAnswering = this.lifecycle.getState() === RequestState.Answering;
		this.lifecycle.send(isAnswering ? RequestEvent.LastByte : RequestEvent.AcceptEnd);
		const answer = this.describeAnswer();
		const rest = this.events?.takeRemainder();
		if (rest !== undefined && rest.byteLength > 0) {
			this.sink.write(rest);
		}
		this.sink.end(end);
		this.close(Outcome.Answered, undefined, `the answer has ended, ${answer}, its end is ${end}`, end);
	}

	/**
	 * Ends the request without a complete answer: with an error before the first byte, by cutting it off after. An answer
	 * that began without framing and may be whole ends regularly.
	 */
	fail(error: RequestError): void {
		if (this.isOver) {
			return;
		}
		this.markInterrupted();
		if (this.openEnd.isAcceptable() && !this.hasBegunFramed() && !this.isInsideEvent()) {
			this.note(JournalStep.AttemptEnded, `the end of the answer is not confirmed: ${error.detail}`);
			this.finish(AnswerEnd.Uncertain);
			return;
		}
		const reported = this.lifecycle.refuse(error);
		this.sink.noteAttempts?.(this.attempts);
		const answerEnd = this.hasBegun() ? AnswerEnd.Cut : undefined;
		if (answerEnd === undefined) {
			this.sink.refuse(reported);
		} else {
			this.cutAnswer();
		}
		this.close(getOutcomeOf(reported), reported.kind, `${reported.kind}: ${reported.detail}`, answerEnd);
	}

	/** Ends the request without a complete answer, and what is done for it at targets or at another entry. */
	stop(error: RequestError): void {
		this.fail(error);
		this.abandonHandler?.();
	}

	/** Ends the request after its caller disconnected, without sending anything. */
	abandon(): void {
		if (this.isOver) {
			return;
		}
		this.lifecycle.send(RequestEvent.CallerGone);
		const error = createRequestError(Kind.CallerGone, 'the caller closed its connection');
		this.close(this.lifecycle.getOutcome(), error.kind, error.detail);
	}

	/**
	 * Ends an incomplete answer. Callers that read no chunks may take a reset for the regular end of an answer without a
	 * length, so that only a stream that ends inside an event shows them that it is incomplete.
	 */
	private cutAnswer(): void {
		const isHidden = this.beganUnframed || this.sink.isCutHidden?.() === true;
		if (isHidden && this.brokenEvent !== undefined) {
			this.sink.write(this.brokenEvent);
		}
		this.sink.cut();
	}

	private noteEvents(events: EventStreamSplitter): void {
		const isReportDue = this.call.origin !== undefined && !this.isOriginReported;
		if (this.hasPassedEvent && !isReportDue) {
			return;
		}
		const continuation = this.findContinuation();
		if (
			continuation === undefined ||
			this.findOrigin === undefined ||
			events.getLastEventId() === undefined
		) {
			return;
		}
		if (!this.hasPassedEvent) {
			this.hasPassedEvent = true;
			this.observer.noteFirstEvent(this, continuation.stream, this.findOrigin);
		}
		if (isReportDue && continuation.origin !== undefined) {
			this.isOriginReported = true;
			this.sink.noteOrigin?.(continuation.origin);
		}
	}

	private handleCallerGone(): void {
		if (this.isOver) {
			return;
		}
		if (this.abandonHandler === undefined) {
			this.abandon();
			return;
		}
		this.abandonHandler();
	}

	private noteAnswerBegun(head: AnswerHead): void {
		this.firstByteMs = this.timers.getNow() - this.call.arrivedMs;
		this.beganUnframed = head.endsWithConnection === true;
		this.note(JournalStep.FirstByte, `${describeHead(head)}, ${describeFraming(this.beganUnframed)}`);
		this.sink.begin(head);
	}

	private close(
		outcome: Outcome,
		errorKind: ErrorKind | undefined,
		detail: string,
		answerEnd?: AnswerEnd,
	): void {
		this.isOver = true;
		this.note(JournalStep.Ended, `${outcome}; ${detail}; ${describeHistory(this.attempts)}`);
		this.observer.noteEnd(this, {
			outcome,
			errorKind,
			firstByteMs: this.firstByteMs,
			tookMs: this.timers.getNow() - this.call.arrivedMs,
			answerEnd,
		});
	}
}

/** Whether the answer with this head is a stream of events on a route for streams. */
export function isEventStream(call: AcceptedCall, head: AnswerHead): boolean {
	return hasEvents(call, head) && isEventStreamHead(head);
}

function hasEvents({ head }: AcceptedCall, answer: AnswerHead): boolean {
	return head.routed?.route.kind === RouteKind.Stream && head.method !== 'HEAD' && hasEventStreamType(answer);
}

/**
 * The requests in progress at this entry. A graceful shutdown waits until none is left. When a request ends,
 * its metrics are recorded and the memory reserved for its body is released.
 *
 * The part that holds a request (a queue, an attempt, a forward, a crash check) ends it at its deadline. A request that none
 * of them has ended is ended here, and counted, because it shows a fault: its caller would otherwise wait for nothing.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { IRequestJournal } from '../../../core/explain/common/requestJournal';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { RequestId, ServiceName, StreamId } from '../../../core/ids/common/ids';
import { RepeatRule } from '../../../core/manifest/common/manifest';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { otherServiceLabel } from '../../../core/telemetry/common/entryMetricLabels';
import type { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import type { IAnswerSink } from '../../common/callers/answerSink';
import type { CallHead } from '../../common/callers/callHead';
import type { RequestWorkCounts } from '../../common/eventLoop/workCounts';
import { RequestLifecycle } from '../../common/requests/requestLifecycle';
import type { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { HeldBytes } from '../callers/bodyReader';
import type { LimitGate } from '../limits/limitGate';
import type { StreamOriginKeeper } from '../streams/streamOriginKeeper';
import type { AcceptedCall, FindOrigin, IRunObserver, RequestEnd } from './requestRun';
import { RequestRun } from './requestRun';

/** A request that was refused because of its head or its body. */
export interface RefusedCall {
	readonly id: RequestId;
	/** Undefined if the head could not be read. */
	readonly head: CallHead | undefined;
	/** Method and path as sent by the caller, as far as they could be read. */
	readonly line: string;
	/** Monotonic milliseconds. */
	readonly arrivedMs: number;
}

/** Used in the journal for fields that could not be read from the head. */
const unknownLabel = 'unknown';

/** Time after a deadline in which the part that holds the request ends it. */
const overdueMs = 50;

/** Creates request runs, tracks them until they end, and records their metrics. */
export class ActiveRuns implements IRunObserver {
	/** Each with the timer that ends it if nothing else does. */
	private readonly runs = new Map<RequestRun, IDisposable>();
	private readonly runsById = new Map<RequestId, RequestRun>();
	private repeatedIds = 0;
	private readonly idleWaiters: (() => void)[] = [];
	private readonly work = { requestsStarted: 0, attemptsStarted: 0, answerChunks: 0, callerCloses: 0 };

	constructor(
		private readonly journal: IRequestJournal,
		private readonly metrics: EntryMetrics,
		private readonly heldBytes: HeldBytes,
		private readonly timers: ITimerService,
		private readonly streams: Pick<StreamOriginKeeper, 'noteBegun'>,
		private readonly limits?: Pick<LimitGate, 'noteNotRun'>,
	) {}

	/** Returns the amount of work for requests so far. */
	getWorkCounts(): RequestWorkCounts {
		return this.work;
	}

	open(accepted: AcceptedCall, sink: IAnswerSink): RequestRun {
		const call = this.withUnusedId(accepted);
		const { service, organisation, requestClass } = call.head;
		this.work.requestsStarted++;
		this.journal.open(call.id, { service, organisation, requestClass }, call.arrivedMs);
		const line = `${call.head.method} ${call.head.path}`;
		this.journal.addStep(call.id, JournalStep.Received, line, call.arrivedMs);
		const run = new RequestRun(call, new RequestLifecycle(), sink, this.journal, this.timers, this);
		const limit = this.timers.schedule(run.getRemainingMs() + overdueMs, () => {
			this.endOverdue(run);
		});
		this.runs.set(run, limit);
		this.runsById.set(call.id, run);
		return run;
	}

	/** Measures for how long a request of the service has waited without an attempt or forward in progress, at the most. */
	measureLongestWaitMs(service: ServiceName): number {
		const waits = [...this.runs.keys()]
			.filter(({ call }) => call.head.service === service)
			.map(run => run.measureQueuedMs());
		return Math.max(0, ...waits);
	}

	/** Records a request that was refused before its run was created, so that it can be looked up later. */
	recordRefused(call: RefusedCall, error: RequestError): void {
		const { id, head, line, arrivedMs } = call;
		const outcome = getOutcomeOf(error);
		this.noteErrorKind(error.kind);
		this.noteNotRun(head, outcome);
		const nowMs = this.timers.getNow();
		const labels = {
			service: head?.service ?? unknownLabel,
			organisation: head?.organisation ?? unknownLabel,
			requestClass: head?.requestClass ?? unknownLabel,
		};
		this.journal.open(id, labels, arrivedMs);
		this.journal.addStep(id, JournalStep.Received, line, arrivedMs);
		this.journal.addStep(id, JournalStep.Refused, error.detail, nowMs);
		this.journal.addStep(id, JournalStep.Ended, `${outcome}; ${error.kind}: ${error.detail}`, nowMs);
		const requestClass = head?.requestClass ?? RequestClass.Normal;
		this.metrics.noteRequest(head?.service ?? otherServiceLabel, requestClass, outcome, error.kind);
	}

	/** Whether a request with this id is in progress. */
	has(id: RequestId): boolean {
		return this.runsById.has(id);
	}

	count(): number {
		return this.runs.size;
	}

	/** Ends all requests in progress because the process is about to end. */
	stopAll(error: RequestError): void {
		for (const run of [...this.runs.keys()]) {
			run.stop(error);
		}
	}

	/** Resolves when no request is in progress. */
	async waitUntilIdle(): Promise<void> {
		if (this.runs.size === 0) {
			return;
		}
		await new Promise<void>(resolve => {
			this.idleWaiters.push(resolve);
		});
	}

	noteQueueWait({ call }: RequestRun, waitedMs: number): void {
		this.work.attemptsStarted++;
		this.metrics.noteQueueWait(call.head.service, call.head.requestClass, waitedMs);
	}

	noteAttemptEnd({ call }: RequestRun, end: AttemptEnd): void {
		this.metrics.noteAttempt(call.head.service, end);
	}

	/** The entry to which the caller is connected records the stream. */
	noteFirstEvent(run: RequestRun, stream: StreamId, findOrigin: FindOrigin): void {
		if (run.call.origin === undefined && run.call.head.routed?.route.isResumable === true) {
			this.streams.noteBegun({ stream, findOrigin, isAnswered: () => run.isAnswered() });
		}
	}

	noteAnswerChunk(): void {
		this.work.answerChunks++;
	}

	noteAnswerGap({ call }: RequestRun, gapMs: number): void {
		this.metrics.noteGap(call.head.service, call.head.requestClass, gapMs);
	}

	noteEnd(run: RequestRun, end: RequestEnd): void {
		const { service, requestClass } = run.call.head;
		this.runs.get(run)?.dispose();
		this.runs.delete(run);
		this.runsById.delete(run.call.id);
		this.heldBytes.release(run.call.body.byteLength);
		this.noteErrorKind(end.errorKind);
		this.noteNotRun(run.call.head, end.outcome);
		this.metrics.noteRequest(service, requestClass, end.outcome, end.errorKind);
		if (end.firstByteMs !== undefined) {
			this.metrics.noteFirstByte(service, requestClass, end.firstByteMs);
			this.metrics.noteAnswer(service, requestClass, end.tookMs);
		}
		if (end.answerEnd !== undefined) {
			this.metrics.noteAnswerEnd(service, end.answerEnd);
		}
		if (this.runs.size === 0) {
			for (const resolve of this.idleWaiters.splice(0)) {
				resolve();
			}
		}
	}

	/**
	 * Returns the call with an id that no request in progress has, since queues and targets tell requests apart by it. An entry
	 * forwards a request again only if it has given up the forward before, whose cancellation may have been lost with the connection.
	 */
	private withUnusedId(call: AcceptedCall): AcceptedCall {
		const earlier = this.runsById.get(call.id);
		if (earlier === undefined) {
			return call;
		}
		const sender = call.origin?.instance;
		const isSentAgain = sender !== undefined && sender === earlier.call.origin?.instance;
		if (isSentAgain && call.plan.repeat === RepeatRule.Idempotent) {
			earlier.stop(createRequestError(ErrorKind.PeerFailed, `${sender} has sent it again`));
		}
		return { ...call, id: this.createUnusedId(call.id) };
	}

	private createUnusedId(id: RequestId): RequestId {
		this.repeatedIds++;
		const created = `${id}.${this.repeatedIds}` as RequestId;
		return this.has(created) ? this.createUnusedId(id) : created;
	}

	/** A default deadline cuts off no answer that has begun. */
	private endOverdue(run: RequestRun): void {
		if (run.hasBegun() && !run.call.isDeadlineGiven) {
			return;
		}
		const state = run.lifecycle.getState();
		this.metrics.noteOverdue(run.call.head.service, state);
		const isNotRun = run.lifecycle.getOutcome() === Outcome.NotRun;
		const kind = isNotRun ? ErrorKind.DeadlineUnreachable : ErrorKind.DeadlineExceeded;
		run.stop(createRequestError(kind, `overdue, not ended by its deadline in state ${state}`));
	}

	private noteNotRun(head: CallHead | undefined, outcome: Outcome): void {
		if (head !== undefined && outcome === Outcome.NotRun) {
			this.limits?.noteNotRun(head);
		}
	}

	private noteErrorKind(kind: ErrorKind | undefined): void {
		if (kind === ErrorKind.CallerGone) {
			this.work.callerCloses++;
		}
	}
}

/**
 * The requests under way at this entry. A graceful stop waits for the last of them, and the bytes of their
 * bodies are released as each ends.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { getOutcomeOf } from '../../../core/errors/common/errorKinds';
import type { IRequestJournal } from '../../../core/explain/common/requestJournal';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { RequestId } from '../../../core/ids/common/ids';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { otherServiceLabel } from '../../../core/telemetry/common/entryMetricLabels';
import type { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import type { IAnswerSink } from '../../common/callers/answerSink';
import type { CallHead } from '../../common/callers/callHead';
import { RequestLife } from '../../common/requests/requestLife';
import type { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { HeldBytes } from '../callers/bodyReader';
import type { AcceptedCall, IRunObserver, RequestEnd } from './requestRun';
import { RequestRun } from './requestRun';

/** A request that was refused by its head or its body. */
export interface RefusedCall {
	readonly id: RequestId;
	/** Undefined where the head could not be read. */
	readonly head: CallHead | undefined;
	/** Method and path as the caller wrote them, as far as they could be read. */
	readonly line: string;
	/** Monotonic milliseconds. */
	readonly arrivedMs: number;
}

/** Stands in a record for what a head did not tell. */
const untold = 'unknown';

/** Opens runs and hears of their ends. */
export class ActiveRuns implements IRunObserver {
	private readonly runs = new Set<RequestRun>();
	private readonly ids = new Set<RequestId>();
	private readonly waiters: (() => void)[] = [];

	constructor(
		private readonly journal: IRequestJournal,
		private readonly metrics: EntryMetrics,
		private readonly held: HeldBytes,
		private readonly timers: ITimerService,
	) {}

	open(call: AcceptedCall, sink: IAnswerSink): RequestRun {
		const { service, organisation, requestClass } = call.head;
		this.journal.open(call.id, { service, organisation, requestClass }, call.arrivedMs);
		const line = `${call.head.method} ${call.head.path}`;
		this.journal.addStep(call.id, JournalStep.Received, line, call.arrivedMs);
		const run = new RequestRun(call, new RequestLife(), sink, this.journal, this.timers, this);
		this.runs.add(run);
		this.ids.add(call.id);
		return run;
	}

	/** Records a request that never became a run, so that its caller's question about it has an answer. */
	recordRefused(call: RefusedCall, error: RequestError): void {
		const { id, head, line, arrivedMs } = call;
		const outcome = getOutcomeOf(error);
		const nowMs = this.timers.getNow();
		const about = {
			service: head?.service ?? untold,
			organisation: head?.organisation ?? untold,
			requestClass: head?.requestClass ?? untold,
		};
		this.journal.open(id, about, arrivedMs);
		this.journal.addStep(id, JournalStep.Received, line, arrivedMs);
		this.journal.addStep(id, JournalStep.Refused, error.detail, nowMs);
		this.journal.addStep(id, JournalStep.Ended, `${outcome}; ${error.kind}: ${error.detail}`, nowMs);
		const requestClass = head?.requestClass ?? RequestClass.Normal;
		this.metrics.noteRequest(head?.service ?? otherServiceLabel, requestClass, outcome, error.kind);
	}

	/** Whether a request of that id is under way. */
	has(id: RequestId): boolean {
		return this.ids.has(id);
	}

	count(): number {
		return this.runs.size;
	}

	/** Ends when no request is under way. */
	async waitForNone(): Promise<void> {
		if (this.runs.size === 0) {
			return;
		}
		await new Promise<void>(resolve => {
			this.waiters.push(resolve);
		});
	}

	noteQueueWait({ call }: RequestRun, waitedMs: number): void {
		this.metrics.noteQueueWait(call.head.service, call.head.requestClass, waitedMs);
	}

	noteAttemptEnd({ call }: RequestRun, end: AttemptEnd): void {
		this.metrics.noteAttempt(call.head.service, end);
	}

	noteGap({ call }: RequestRun, gapMs: number): void {
		this.metrics.noteGap(call.head.service, call.head.requestClass, gapMs);
	}

	noteEnd(run: RequestRun, end: RequestEnd): void {
		const { service, requestClass } = run.call.head;
		this.runs.delete(run);
		this.ids.delete(run.call.id);
		this.held.release(run.call.body.byteLength);
		this.metrics.noteRequest(service, requestClass, end.outcome, end.errorKind);
		if (end.firstByteMs !== undefined) {
			this.metrics.noteFirstByte(service, requestClass, end.firstByteMs);
			this.metrics.noteAnswer(service, requestClass, end.tookMs);
		}
		if (this.runs.size === 0) {
			for (const resolve of this.waiters.splice(0)) {
				resolve();
			}
		}
	}
}

/**
 * The requests under way at this entry. A graceful stop waits for the last of them, and the bytes of their
 * bodies are released as each ends.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { IRequestJournal } from '../../../platform/explain/common/requestJournal';
import type { EntryMetrics } from '../../../platform/telemetry/node/entryMetrics';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { RequestLife } from '../../common/requests/requestLife';
import type { HeldBytes } from '../callers/bodyReader';
import type { AcceptedCall, RequestEnd } from './requestRun';
import { RequestRun } from './requestRun';

/** Opens runs and hears of their ends. */
export class ActiveRuns {
	private readonly runs = new Set<RequestRun>();
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
		const run = new RequestRun(call, new RequestLife(), sink, this.journal, this.timers, (ended, end) => {
			this.noteEnd(ended, end);
		});
		this.runs.add(run);
		return run;
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

	private noteEnd(run: RequestRun, end: RequestEnd): void {
		const { service, requestClass } = run.call.head;
		this.runs.delete(run);
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

/**
 * A request journal that also logs each decision on a request, so that the cause of a failure can be found from the
 * request id with the logs alone.
 *
 * Logging is rate-limited. At several times the usual load, when every request is retried or refused, a line for each
 * step would cost most when the least CPU time is available, and a slow reader of standard output would lose
 * important lines among unimportant ones. Failures have a separate limit, which successful steps cannot exhaust. The
 * number of omitted lines is logged at most once a second.
 */

import type { RequestId } from '../../ids/common/ids';
import type { IRequestJournal, RequestRecord } from './requestJournal';
import { JournalStep } from './requestJournal';

/** One decision on a request. */
export interface DecisionLine {
	readonly request: RequestId;
	readonly step: JournalStep;
	/** The inputs and the result of the decision, as text. */
	readonly detail: string;
	readonly sinceArrivalMs: number;
	/** The version of the manifest that was in force. */
	readonly manifest: number;
}

/** The log that decisions are written to. */
export interface IDecisionLog {
	writeDecision(line: DecisionLine): void;
	/** @param lines The number of lines omitted since the last call. */
	writeOmitted(lines: number): void;
}

/** Rate limits of the log. */
export interface LogLimits {
	readonly linesPerSecond: number;
	readonly failuresPerSecond: number;
}

/** Sufficient for three lines per request at 130 requests a second, the peak load of an entry; failures are rarer. */
export const defaultLogLimits: LogLimits = { linesPerSecond: 400, failuresPerSecond: 200 };

const msPerSecond = 1_000;

/** Steps that are decisions. All other steps only show how time was spent and are kept in the journal alone. */
const loggedSteps: ReadonlySet<JournalStep> = new Set([
	JournalStep.Refused,
	JournalStep.SentAway,
	JournalStep.Started,
	JournalStep.Continued,
	JournalStep.ForwardEnded,
	JournalStep.AttemptEnded,
	JournalStep.Retried,
	JournalStep.Ended,
]);

/** Matches the detail of a successful `ended`, `attempt-ended` or `forward-ended` step. */
const successPattern = /^answered|: answered;/;

/** Adds steps to a journal and writes decisions to the log. */
export class LoggedJournal implements IRequestJournal {
	private currentSecond = 0;
	private writtenLines = 0;
	private writtenFailures = 0;
	private omitted = 0;

	constructor(
		private readonly journal: IRequestJournal,
		private readonly log: IDecisionLog,
		private readonly getManifestVersion: () => number,
		private readonly limits: LogLimits = defaultLogLimits,
	) {}

	open(
		id: RequestId,
		request: Pick<RequestRecord, 'service' | 'organisation' | 'requestClass'>,
		nowMs: number,
	): void {
		this.journal.open(id, request, nowMs);
	}

	addStep(id: RequestId, step: JournalStep, detail: string, nowMs: number): void {
		this.journal.addStep(id, step, detail, nowMs);
		if (!loggedSteps.has(step) || !this.admitLine(step, detail, nowMs)) {
			return;
		}
		this.log.writeDecision({
			request: id,
			step,
			detail,
			sinceArrivalMs: Math.round(nowMs - (this.journal.getArrivedMs(id) ?? nowMs)),
			manifest: this.getManifestVersion(),
		});
	}

	find(id: RequestId): RequestRecord | undefined {
		return this.journal.find(id);
	}

	getArrivedMs(id: RequestId): number | undefined {
		return this.journal.getArrivedMs(id);
	}

	private admitLine(step: JournalStep, detail: string, nowMs: number): boolean {
		this.beginSecond(nowMs);
		const isFailure = isFailureStep(step, detail);
		const isAdmitted = isFailure
			? this.writtenFailures < this.limits.failuresPerSecond
			: this.writtenLines < this.limits.linesPerSecond;
		if (!isAdmitted) {
			this.omitted++;
			return false;
		}
		if (isFailure) {
			this.writtenFailures++;
		} else {
			this.writtenLines++;
		}
		return true;
	}

	private beginSecond(nowMs: number): void {
		const second = Math.floor(nowMs / msPerSecond);
		if (second === this.currentSecond) {
			return;
		}
		this.currentSecond = second;
		this.writtenLines = 0;
		this.writtenFailures = 0;
		if (this.omitted > 0) {
			this.log.writeOmitted(this.omitted);
			this.omitted = 0;
		}
	}
}

function isFailureStep(step: JournalStep, detail: string): boolean {
	switch (step) {
		case JournalStep.Refused:
		case JournalStep.Retried:
			return true;
		case JournalStep.AttemptEnded:
		case JournalStep.ForwardEnded:
		case JournalStep.Ended:
			return !successPattern.test(detail);
		default:
			return false;
	}
}

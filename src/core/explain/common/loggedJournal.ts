/**
 * A journal that also writes each decision on a request to the log, so that a person who has only the logs
 * can follow a request from its id to its cause.
 *
 * Load pattern: an entry at several times its usual load, with every request retried or refused. A line for
 * each step would then cost most when there is least to spare, and a reader of standard output that falls
 * behind would lose the lines that matter among those that do not. So lines are written at a bounded rate,
 * and what tells of a failure has a bound of its own, which the calm steps of others cannot use up. What was
 * left out is counted and told once a second.
 */

import type { RequestId } from '../../ids/common/ids';
import type { IRequestJournal, RequestRecord } from './requestJournal';
import { JournalStep } from './requestJournal';

/** One decision on a request. */
export interface DecisionLine {
	readonly request: RequestId;
	readonly step: JournalStep;
	/** The inputs that decided it, and the outcome, in words. */
	readonly detail: string;
	readonly sinceArrivalMs: number;
	/** The version of the manifest that was in force. */
	readonly manifest: number;
}

/** Where lines go. */
export interface IDecisionLog {
	writeDecision(line: DecisionLine): void;
	/** Lines that were left out since the last time. */
	writeOmitted(lines: number): void;
}

/** Bounds of the log, in lines. */
export interface LogBounds {
	readonly linesPerSecond: number;
	readonly failuresPerSecond: number;
}

/** Three lines a request at 130 requests a second, an entry at its peak; failures are rarer. */
export const defaultLogBounds: LogBounds = { linesPerSecond: 400, failuresPerSecond: 200 };

const msPerSecond = 1_000;

/** Steps that are decisions; the others tell where time went, and stand in the journal alone. */
const loggedSteps: ReadonlySet<JournalStep> = new Set([
	JournalStep.Refused,
	JournalStep.SentAway,
	JournalStep.Started,
	JournalStep.AttemptEnded,
	JournalStep.Retried,
	JournalStep.Ended,
]);

/** What an end or an attempt's end says when all went well. */
const successPattern = /^answered|: answered;/;

/** Writes to a journal and to the log. */
export class LoggedJournal implements IRequestJournal {
	private second = 0;
	private lines = 0;
	private failures = 0;
	private omitted = 0;

	constructor(
		private readonly journal: IRequestJournal,
		private readonly log: IDecisionLog,
		private readonly getManifestVersion: () => number,
		private readonly bounds: LogBounds = defaultLogBounds,
	) {}

	open(
		id: RequestId,
		about: Pick<RequestRecord, 'service' | 'organisation' | 'requestClass'>,
		nowMs: number,
	): void {
		this.journal.open(id, about, nowMs);
	}

	note(id: RequestId, step: JournalStep, detail: string, nowMs: number): void {
		this.journal.note(id, step, detail, nowMs);
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
			? this.failures < this.bounds.failuresPerSecond
			: this.lines < this.bounds.linesPerSecond;
		if (!isAdmitted) {
			this.omitted++;
			return false;
		}
		if (isFailure) {
			this.failures++;
		} else {
			this.lines++;
		}
		return true;
	}

	private beginSecond(nowMs: number): void {
		const second = Math.floor(nowMs / msPerSecond);
		if (second === this.second) {
			return;
		}
		this.second = second;
		this.lines = 0;
		this.failures = 0;
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
		case JournalStep.Ended:
			return !successPattern.test(detail);
		default:
			return false;
	}
}

/**
 * The native HTTP interface to targets, documented in docs/PLATFORM.md.
 */

import { headers } from '../../../core/headers/common/headers';
import type { AnswerHead } from '../callers/answerSink';
import type { HeaderLine } from '../callers/callHead';
import { findHeader, listForwardedLines } from '../callers/callHead';
import { readReportedLoad } from '../scheduling/reportedLoad';
import type { AnswerMetadata, ITargetDialect, SentAttempt } from './targetDialect';

const loadSeparator = '/';
const refusalStatuses: ReadonlySet<number> = new Set([429, 503]);

export class NativeTargetDialect implements ITargetDialect {
	createRequestLines({ requestId, attemptId, head, remainingMs }: SentAttempt): readonly HeaderLine[] {
		return [
			...head.forwardedLines,
			{ name: headers.requestId, value: requestId },
			{ name: headers.attempt, value: attemptId },
			{ name: headers.priority, value: head.requestClass },
			{ name: headers.organisation, value: head.organisation },
			{ name: headers.deadlineMs, value: String(Math.ceil(remainingMs)) },
			...(head.prefixKey === undefined ? [] : [{ name: headers.prefixKey, value: head.prefixKey }]),
		];
	}

	readAnswerHead(head: AnswerHead, { attemptId, target }: SentAttempt): AnswerMetadata {
		const echoed = findHeader(head.lines, headers.attempt);
		const { load, unreadable } = readReportedLoad(findHeader(head.lines, headers.targetLoad), loadSeparator);
		const isMismatched = echoed !== undefined && echoed !== String(attemptId);
		return {
			isNotRun: refusalStatuses.has(head.status) && findHeader(head.lines, headers.targetNotRun) === '1',
			fault: isMismatched
				? `${target} sent attempt id ${echoed} in the answer to attempt ${attemptId}`
				: undefined,
			load,
			unreadableLoad: unreadable,
			isLeaving: findHeader(head.lines, headers.targetLeaving) === '1',
		};
	}

	listAnswerLines(head: AnswerHead): readonly HeaderLine[] {
		const length = head.lines.filter(line => line.name === 'content-length');
		return [...listForwardedLines(head.lines), ...length];
	}
}

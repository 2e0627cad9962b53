/**
 * The protocol between an entry and targets: the header lines that the entry adds to a request, and the
 * metadata in the head of an answer.
 */

import type { AttemptId, TargetId } from '../../../core/ids/common/ids';
import type { AnswerHead } from '../callers/answerSink';
import type { CallHead, HeaderLine } from '../callers/callHead';
import type { ReportedLoad } from '../scheduling/serviceScheduler';

/** The data of one attempt from which its request is built. */
export interface SentAttempt {
	readonly requestId: string;
	readonly attemptId: AttemptId;
	readonly target: TargetId;
	readonly head: CallHead;
	/** Milliseconds until the deadline, after which the answer is useless to the caller. */
	readonly remainingMs: number;
	/** The id of the last stream event that the caller has, where this attempt continues an earlier one. */
	readonly lastEventId: string | undefined;
	/**
	 * IP address and port of another target from which the target can fetch the missing part of the prompt's
	 * cache.
	 */
	readonly fetchAddress: string | undefined;
}

/** The metadata in the head of an answer. */
export interface AnswerMetadata {
	/** The target reports that it did not run the request. */
	readonly isNotRun: boolean;
	/** Why the answer cannot be a complete answer to this attempt, or undefined. */
	readonly fault: string | undefined;
	readonly load: ReportedLoad | undefined;
	/** The load header if it, or one of its known figures, can't be read. */
	readonly unreadableLoad?: string | undefined;
	/** Refusals for want of room that the target bears in a second, if it says that it is brittle. */
	readonly refusalLimit?: number | undefined;
	/** The target accepts no new requests. */
	readonly isLeaving: boolean;
}

/** One format of requests to targets and of their answers. */
export interface ITargetDialect {
	/** All header lines of the request except the hop-by-hop headers. */
	createRequestLines(attempt: SentAttempt): readonly HeaderLine[];
	readAnswerHead(head: AnswerHead, attempt: SentAttempt): AnswerMetadata;
	/** The header lines of an answer that are forwarded to the caller. */
	listAnswerLines(head: AnswerHead): readonly HeaderLine[];
}

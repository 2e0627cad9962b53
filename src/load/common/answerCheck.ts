/**
 * Checks the answer to one request of a load run. Throughput and latency are meaningful only for correct answers,
 * so the status, the outcome header and, if the target echoes the request body, every byte are checked.
 */

import { Outcome } from '../../core/errors/common/outcome';
import type { LoadOptions } from './loadOptions';

/** The result of a request. A run counts its requests by this kind. */
export enum ResultKind {
	/** The answer is complete and correct. */
	Ok = 'ok',
	/** The request was refused, and its outcome header states that it was not run. */
	Refused = 'refused',
	/** Any other error, including transport errors and incorrect answers. */
	Failed = 'failed',
}

/** The parts of an answer that are checked. */
export interface ReceivedAnswer {
	readonly status: number;
	/** The value of the outcome header, if present. */
	readonly outcome: string | undefined;
	/** The value of the error header, if present. */
	readonly error: string | undefined;
	readonly body: Uint8Array;
}

/** The result of one request. `reason` is empty if the answer is correct. */
export interface RequestResult {
	readonly kind: ResultKind;
	readonly reason: string;
}

const answeredOutcome: string = Outcome.Answered;
const notRunOutcome: string = Outcome.NotRun;
const okResult: RequestResult = { kind: ResultKind.Ok, reason: '' };
const minUnsuccessfulStatus = 300;

/** Checks the answer to a request with the body `sentBody`. */
export function checkAnswer(
	options: Pick<LoadOptions, 'isEcho' | 'isOutcomeExpected'>,
	sentBody: Uint8Array,
	answer: ReceivedAnswer,
): RequestResult {
	if (answer.status >= minUnsuccessfulStatus) {
		return createErrorResult(answer);
	}
	if (options.isOutcomeExpected && answer.outcome !== answeredOutcome) {
		return { kind: ResultKind.Failed, reason: `outcome ${answer.outcome ?? 'missing'}` };
	}
	if (options.isEcho && !isSameBytes(sentBody, answer.body)) {
		return { kind: ResultKind.Failed, reason: 'the body is not the one that was sent' };
	}
	return okResult;
}

function createErrorResult(answer: ReceivedAnswer): RequestResult {
	const kind = answer.outcome === notRunOutcome ? ResultKind.Refused : ResultKind.Failed;
	return { kind, reason: answer.error ?? `status ${answer.status}` };
}

function isSameBytes(left: Uint8Array, right: Uint8Array): boolean {
	if (left.length !== right.length) {
		return false;
	}
	for (let index = 0; index < left.length; index++) {
		if (left[index] !== right[index]) {
			return false;
		}
	}
	return true;
}

/**
 * The answer to a request that has no whole answer of a target: status, headers and a JSON body, all from
 * the fault's kind. Callers' connections and the replies to parse errors use the same one.
 */

import type { AdvertisedEntry, RequestError } from '../../../core/errors/common/errorKinds';
import { errorAnswers, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import type { Outcome } from '../../../core/errors/common/outcome';
import { headers } from '../../../core/headers/common/headers';
import type { RequestId } from '../../../core/ids/common/ids';
import type { HeaderLine } from './callHead';

/** The JSON body of a refusal. */
export interface RefusalBody {
	readonly error: string;
	readonly outcome: Outcome;
	readonly message: string;
	readonly detail: string;
	readonly requestId: RequestId;
	readonly retryAfterMs?: number;
	readonly entries?: readonly AdvertisedEntry[];
}

/** A refusal, ready to be written. */
export interface Refusal {
	readonly status: number;
	readonly lines: readonly HeaderLine[];
	readonly text: string;
}

/** When a passing fault names no time of its own. */
const usualRetryAfterMs = 1_000;
const msPerSecond = 1_000;

/** Makes the answer that a fault's kind stands for. */
export function createRefusal(requestId: RequestId, error: RequestError): Refusal {
	const answer = errorAnswers[error.kind];
	const outcome = getOutcomeOf(error);
	const retryAfterMs = answer.isTemporary ? Math.ceil(error.retryAfterMs ?? usualRetryAfterMs) : undefined;
	const body: RefusalBody = {
		error: error.kind,
		outcome,
		message: answer.message,
		detail: error.detail,
		requestId,
		...(retryAfterMs === undefined ? {} : { retryAfterMs }),
		...(error.entries === undefined ? {} : { entries: error.entries }),
	};
	const lines = [
		{ name: 'content-type', value: 'application/json' },
		{ name: headers.requestId, value: requestId },
		{ name: headers.outcome, value: outcome },
		{ name: headers.error, value: error.kind },
	];
	if (retryAfterMs !== undefined) {
		lines.push({ name: 'retry-after', value: String(Math.ceil(retryAfterMs / msPerSecond)) });
	}
	return { status: answer.status, lines, text: `${JSON.stringify(body)}\n` };
}

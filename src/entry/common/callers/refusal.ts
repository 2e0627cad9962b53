/**
 * The answer to a request for which no target gave a complete answer: status, headers and a JSON body, all
 * derived from the kind of the error. Caller connections and the replies to HTTP parse errors both use it.
 */

import type { AdvertisedEntry, RequestError } from '../../../core/errors/common/errorKinds';
import { errorAnswers, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
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

/** A refusal as it is written to the connection. */
export interface Refusal {
	readonly status: number;
	readonly lines: readonly HeaderLine[];
	readonly text: string;
}

/** Used where a temporary error has no retry time of its own. */
const defaultRetryAfterMs = 1_000;
const msPerSecond = 1_000;

/** Returns the header of a 401 that names the accepted scheme, which RFC 9110, section 11.6.1 requires. */
export function listChallengeLines({ kind }: RequestError): readonly HeaderLine[] {
	return kind === ErrorKind.KeyUnknown ? [{ name: 'www-authenticate', value: 'Bearer' }] : [];
}

/** Builds the answer that belongs to the kind of an error. */
export function createRefusal(requestId: RequestId, error: RequestError): Refusal {
	const answer = errorAnswers[error.kind];
	const outcome = getOutcomeOf(error);
	const retryAfterMs = answer.isTemporary ? Math.ceil(error.retryAfterMs ?? defaultRetryAfterMs) : undefined;
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
		...listChallengeLines(error),
	];
	if (retryAfterMs !== undefined) {
		lines.push({ name: 'retry-after', value: String(Math.ceil(retryAfterMs / msPerSecond)) });
	}
	return { status: answer.status, lines, text: `${JSON.stringify(body)}\n` };
}

/**
 * The native HTTP interface for callers, documented in docs/CALLING.md.
 */

import type { Result } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { headers } from '../../../core/headers/common/headers';
import type { RequestId } from '../../../core/ids/common/ids';
import type { CallHead, HeaderLine, RawHead } from '../callers/callHead';
import { parseCallHead } from '../callers/callHead';
import type { Refusal } from '../callers/refusal';
import { createRefusal } from '../callers/refusal';
import type { ICallerDialect } from './callerDialect';

export class NativeCallerDialect implements ICallerDialect {
	/** The entry generates the request ids itself. */
	findRequestId(): undefined {
		return undefined;
	}

	readHead(raw: RawHead): Result<CallHead, RequestError> {
		return parseCallHead(raw);
	}

	createAnswerLines(id: RequestId): readonly HeaderLine[] {
		return [
			{ name: headers.requestId, value: id },
			{ name: headers.outcome, value: Outcome.Answered },
		];
	}

	createRefusal(id: RequestId, error: RequestError): Refusal {
		return createRefusal(id, error);
	}
}

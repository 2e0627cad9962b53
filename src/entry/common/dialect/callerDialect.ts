/**
 * The protocol between callers and an entry: the format of a request's head, and of the answers that the
 * entry creates itself.
 */

import type { Result } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { RequestId } from '../../../core/ids/common/ids';
import type { CallHead, HeaderLine, RawHead } from '../callers/callHead';
import type { Refusal } from '../callers/refusal';
import type { ManifestIndex } from '../placement/manifestIndex';

/** One format of requests and answers that callers can use. */
export interface ICallerDialect {
	/** The request id that the caller sent, if it is usable. */
	findRequestId(raw: RawHead): string | undefined;
	/**
	 * Parses a head with the active manifest, which may not be loaded yet, or returns the first error in the
	 * head.
	 */
	readHead(raw: RawHead, manifest: ManifestIndex | undefined): Result<CallHead, RequestError>;
	/** The header lines that are added to a target's answer. */
	createAnswerLines(id: RequestId): readonly HeaderLine[];
	/** Builds the answer that reports an error to the caller. */
	createRefusal(id: RequestId, error: RequestError): Refusal;
}

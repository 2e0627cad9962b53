/**
 * The destination of an answer: a caller's connection, the entry that forwarded the request, or the recorder
 * that caches the answer for later requests with the same ticket. Code that produces an answer depends on
 * this interface only.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { AttemptHistory } from '../requests/attemptHistory';
import type { StreamOrigin } from '../streams/streamOrigin';
import type { AnswerEnd } from './answerEnd';
import type { HeaderLine } from './callHead';

/** Status and headers of an answer. */
export interface AnswerHead {
	readonly status: number;
	readonly lines: readonly HeaderLine[];
	/**
	 * The target sent neither a length nor chunks, so the answer ends when the target's connection closes, which a crash
	 * causes as well. Callers of HTTP/1.1 get it in chunks, with the last chunk only after the end was accepted.
	 */
	readonly endsWithConnection?: boolean;
}

/** Receives one answer: `begin`, any number of `write`, then `end` or `cut`, or otherwise `refuse` alone. */
export interface IAnswerSink {
	begin(head: AnswerHead): void;
	/** Returns false under backpressure. Writing may resume when `waitForDrain` calls back. */
	write(chunk: Uint8Array): boolean;
	waitForDrain(resume: () => void): void;
	/**
	 * Ends the answer. The end is uncertain only after a head with `endsWithConnection`: an answer that began with the
	 * framing of its target may end only with that of a target.
	 */
	end(end: AnswerEnd.Certain | AnswerEnd.Uncertain): void;
	/**
	 * Aborts an answer that has begun and cannot be completed. The reader's HTTP library must report an error,
	 * because a truncated answer with a clean end would look complete.
	 */
	cut(): void;
	/** Whether the reader, or the caller behind it, may take a cut for a regular end, since neither a length nor chunks show the end. */
	isCutHidden?(): boolean;
	/** Answers with an error. Allowed only before `begin`. */
	refuse(error: RequestError): void;
	/** Receives the origin of a stream once it is certain, where the reader has to know it. */
	noteOrigin?(origin: StreamOrigin): void;
	/** Receives what was done for the request, before `cut` or `refuse`, where the reader has to know it. */
	noteAttempts?(history: AttemptHistory): void;
	/** Calls back once if the reader disconnects before the end of the answer. */
	watchAbandoned(notify: () => void): void;
}

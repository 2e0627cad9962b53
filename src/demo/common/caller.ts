/**
 * The HTTP client interface of the demo, with its request and answer types.
 */

import { headers } from '../../core/headers/common/headers';

/** An HTTP request of a caller. */
export interface CallRequest {
	readonly method: string;
	readonly url: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Uint8Array | string;
}

/** The answer to a request, or the error that prevented it. */
export interface CallAnswer {
	/** HTTP status, or 0 when no response head arrived. */
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** The error that left the answer incomplete. Empty for a complete answer. */
	readonly fault: string;
	readonly tookMs: number;
}

/** Sends requests and simulates callers that disconnect early. */
export interface ICaller {
	send(request: CallRequest): Promise<CallAnswer>;
	/**
	 * Reads at least `minBytes` of the answer, or all of a shorter one, and disconnects. Returns the number
	 * of bytes read.
	 */
	cancelAfter(request: CallRequest, minBytes: number): Promise<number>;
	/** Sends the first half of the body and closes the connection. */
	cancelUpload(request: CallRequest): Promise<void>;
}

/** Returns the outcome header of an answer, or an empty string. */
export function getOutcome(answer: CallAnswer): string {
	return answer.headers[headers.outcome] ?? '';
}

/** Returns the error kind header of an answer, or an empty string. */
export function getErrorKind(answer: CallAnswer): string {
	return answer.headers[headers.error] ?? '';
}

/** Decodes the body of an answer as text. */
export function getText(answer: CallAnswer): string {
	return new TextDecoder().decode(answer.body);
}

/** Parses the body of an answer as JSON. Returns undefined when the body is not valid JSON. */
export function parseJson(answer: CallAnswer): unknown {
	try {
		return JSON.parse(getText(answer));
	} catch {
		return undefined;
	}
}

/** Whether two bodies are identical, byte for byte. */
export function isSameBody(left: Uint8Array, right: Uint8Array): boolean {
	return left.length === right.length && left.every((byte, index) => byte === right[index]);
}

/** Formats status, outcome, error kind and error of an answer for the table. */
export function describeAnswer(answer: CallAnswer): string {
	const outcome = getOutcome(answer);
	const parts = [
		answer.status === 0 ? 'no answer' : String(answer.status),
		outcome === '' ? '' : outcome,
		getErrorKind(answer),
		answer.fault === '' ? '' : `error: ${answer.fault}`,
	];
	return parts.filter(part => part !== '').join(' ');
}

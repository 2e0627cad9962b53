/**
 * Reads from the head of an answer whether its body is a stream of events. Only such an answer can go on with a stream
 * whose head the caller has: the body of an error or of another type of content would be taken for events.
 */

import type { AnswerHead } from '../callers/answerSink';
import { findHeader } from '../callers/callHead';

const statusOk = 200;
const eventStreamType = 'text/event-stream';

export function isEventStreamHead(head: AnswerHead): boolean {
	return head.status === statusOk && hasEventStreamType(head);
}

/** Whether the body is events by its type, whatever the status says. */
export function hasEventStreamType({ lines }: AnswerHead): boolean {
	const type = findHeader(lines, 'content-type')?.toLowerCase();
	return type?.startsWith(eventStreamType) === true;
}

/** Names the status and the type of an answer for the log. */
export function describeHead({ status, lines }: AnswerHead): string {
	return `status ${status}, ${findHeader(lines, 'content-type') ?? 'no content type'}`;
}

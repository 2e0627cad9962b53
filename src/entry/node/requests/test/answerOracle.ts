/**
 * Judges what a caller got of a stream by what was sent for it: the events in order, no event twice, nothing of another answer,
 * and a regular end only where a run ended in a way that shows as one.
 *
 * Three answers pass that nothing can show to be wrong: a last chunk between two events, an empty stream with framing
 * that goes on, and events that a run leaves out.
 */

import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { AnswerHead } from '../../../common/callers/answerSink';
import type { ParsedEvent } from '../../../common/streams/test/referenceEvents';
import { parseEvents } from '../../../common/streams/test/referenceEvents';

/** What one run sent. */
export interface SentRun {
	/** Whether its head is that of a stream of events. */
	readonly isStream: boolean;
	/** Whether its body is events by its type. Under another status than that of a stream nothing goes on with it. */
	readonly hasEvents: boolean;
	readonly isUnframed: boolean;
	readonly bytes: Buffer;
	/** Number of events of the stream, from its first on, that have come with it. */
	readonly lastEvent: number;
	/** How it ended; cut if nothing showed an end. */
	readonly end: AnswerEnd;
}

/** What the caller got. */
export interface ReceivedAnswer {
	readonly head: AnswerHead | undefined;
	/** The index of the run whose head it got. */
	readonly begunBy: number | undefined;
	readonly bytes: Buffer;
	/** Undefined if the request was refused, or nothing ended it. */
	readonly end: AnswerEnd | undefined;
	readonly isRefused: boolean;
	/** Calls of the sink out of order. */
	readonly misuses: readonly string[];
}

/** Returns what is wrong with the answer, or undefined. */
export function findWrong(
	events: readonly ParsedEvent[],
	runs: readonly SentRun[],
	received: ReceivedAnswer,
): string | undefined {
	const { begunBy, bytes, end, isRefused, misuses } = received;
	if (misuses.length > 0) {
		return misuses.join(', ');
	}
	if (begunBy === undefined) {
		return isRefused && bytes.byteLength === 0 ? undefined : 'neither a head nor a refusal';
	}
	if (end === undefined) {
		return 'no end';
	}
	const begun = runs[begunBy];
	if (begun === undefined) {
		return 'the head of no run';
	}
	return begun.isStream ? findWrongStream(events, runs, received) : findWrongOther(begun, received);
}

/** An answer that is no stream consists of the bytes of one run. */
function findWrongOther(run: SentRun, received: ReceivedAnswer): string | undefined {
	const { bytes, end } = run;
	if (!bytes.subarray(0, received.bytes.byteLength).equals(received.bytes)) {
		return 'bytes of another answer';
	}
	if (received.end === AnswerEnd.Cut) {
		return undefined;
	}
	if (!isComplete(run, received)) {
		return 'a regular end before the last byte';
	}
	return received.end === end
		? undefined
		: `an end that is ${String(received.end)} where the run's is ${end}`;
}

/** Readers of events ignore line ends and comments after the last one. */
function isComplete({ bytes, hasEvents }: SentRun, received: ReceivedAnswer): boolean {
	if (received.bytes.byteLength === bytes.byteLength) {
		return true;
	}
	const { events, isInsideEvent } = parseEvents(bytes);
	return hasEvents && !isInsideEvent && parseEvents(received.bytes).events.length === events.length;
}

function findWrongStream(
	events: readonly ParsedEvent[],
	runs: readonly SentRun[],
	{ bytes, end, head }: ReceivedAnswer,
): string | undefined {
	const parsed = parseEvents(bytes);
	const isPrefix = parsed.events.every((event, index) => isEqual(event, events[index]));
	if (!isPrefix) {
		return `other events than those of the stream: ${JSON.stringify(parsed.events)}`;
	}
	if (end === AnswerEnd.Cut) {
		return undefined;
	}
	if (parsed.isInsideEvent) {
		return 'a regular end inside an event';
	}
	if (end === AnswerEnd.Uncertain && head?.endsWithConnection !== true) {
		return 'an uncertain end of an answer that began with framing';
	}
	const passed = parsed.events.length;
	const isShown = runs.some(run => run.isStream && run.lastEvent === passed && run.end === end);
	return isShown ? undefined : `an end that is ${String(end)} after ${passed} events, which no run shows`;
}

function isEqual(left: ParsedEvent, right: ParsedEvent | undefined): boolean {
	return left.id === right?.id && left.type === right.type && left.data === right.data;
}

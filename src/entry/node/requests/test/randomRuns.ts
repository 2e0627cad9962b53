/**
 * Test fixtures: a stream of events, and random runs of it at targets or other entries: what each sends, how it is
 * cut into pieces, and how it ends.
 */

import fc from 'fast-check';
import type { ParsedEvent } from '../../../common/streams/test/referenceEvents';
import { parseEvents } from '../../../common/streams/test/referenceEvents';

/** The stream that the caller asks for. */
export interface RandomStream {
	/** The ids of its events; empty for one that has none. */
	readonly ids: readonly string[];
	readonly hasTypes: boolean;
}

export enum RunWay {
	Direct = 'direct',
	Forward = 'forward',
}

/** The event with which a run begins. */
export enum RunStart {
	/** The one after the last event of the caller, as it is asked to. */
	Next = 'next',
	/** The last event of the caller once more. */
	Again = 'again',
	/** The first event of the stream. */
	Anew = 'anew',
}

export enum RunEnd {
	/** With a last chunk or a reached length, or by the close of the connection if there is no framing. */
	Regular = 'regular',
	/** As regular, but another target has confirmed the end to the peer. */
	Confirmed = 'confirmed',
	Broken = 'broken',
	/** A peer reports that it could not complete the answer. */
	Fault = 'fault',
	/** The messages of a peer end without an end message. */
	Missing = 'missing',
	Silent = 'silent',
	/** The target crashes, which ends its connection as a regular end does. */
	Crash = 'crash',
}

/** What a peer sends out of order. */
export enum RunDisorder {
	None = 'none',
	NoHead = 'no head',
	LateHead = 'late head',
	SecondHead = 'second head',
}

/** How a run writes its events. */
export interface EventStyle {
	readonly lineEnd: string;
	readonly hasMark: boolean;
	readonly hasComments: boolean;
	readonly hasIdFirst: boolean;
	readonly hasBareField: boolean;
}

export interface RandomRun {
	readonly way: RunWay;
	readonly status: number;
	readonly type: string | undefined;
	readonly isUnframed: boolean;
	readonly style: EventStyle;
	readonly start: RunStart;
	/** Number of whole events that it sends, if so many are left. */
	readonly events: number;
	/** Bytes of the event after these that it sends. */
	readonly extraBytes: number;
	/** Whether it sends an error in place of events. */
	readonly isError: boolean;
	readonly pieces: readonly number[];
	readonly end: RunEnd;
	readonly disorder: RunDisorder;
}

export interface RandomAnswer {
	readonly stream: RandomStream;
	readonly runs: readonly RandomRun[];
	/** Whether most streams of the service have no framing, so that their ends are accepted. */
	readonly isUnframedUsual: boolean;
	/** The caller reads so slowly that one in this many writes has to wait; 0 for none. */
	readonly writesPerPause: number;
}

/** A byte order mark. */
export const mark = '\uFEFF';
const errorBody = '{"error":"überlastet"}';

/** Writes the events of a stream from one index up to another. */
export function writeEvents(
	{ ids, hasTypes }: RandomStream,
	style: EventStyle,
	from: number,
	to = ids.length,
): string {
	const written = ids.slice(from, to).map((id, index) => {
		const idLines = id === '' ? [] : [`id: ${id}`];
		const dataLines = [`data: töken €${from + index}`, 'data:\u{1F600}'];
		const fields = style.hasIdFirst ? [...idLines, ...dataLines] : [...dataLines, ...idLines];
		const lines = [
			...(style.hasComments ? [': id: 7'] : []),
			...(style.hasBareField ? ['nothing'] : []),
			...(hasTypes ? ['event: token'] : []),
			...fields,
		];
		return [...lines, '', ''].join(style.lineEnd);
	});
	return written.join('');
}

export const plainStyle: EventStyle = {
	lineEnd: '\n',
	hasMark: false,
	hasComments: false,
	hasIdFirst: true,
	hasBareField: false,
};

/** The events that a caller has once it got the whole stream. */
export function listEvents(stream: RandomStream): readonly ParsedEvent[] {
	return parseEvents(Buffer.from(writeEvents(stream, plainStyle, 0))).events;
}

/** What a run sends. */
export interface RunBody {
	readonly bytes: Buffer;
	/** The number of events of the stream, from its first on, that have come once all bytes have. */
	readonly lastEvent: number;
	/** Whether no event is begun at the end; without framing, nor a comment. */
	readonly isBetweenEvents: boolean;
}

/** Writes what a run sends that was asked for the events after so many. */
export function writeBody(stream: RandomStream, run: RandomRun, after: number): RunBody {
	if (run.isError) {
		return { bytes: Buffer.from(errorBody), lastEvent: after, isBetweenEvents: false };
	}
	const starts = { [RunStart.Next]: after, [RunStart.Again]: Math.max(0, after - 1), [RunStart.Anew]: 0 };
	const from = starts[run.start];
	const wholeEvents = Math.min(stream.ids.length, from + run.events);
	const begun = Buffer.from(writeEvents(stream, run.style, wholeEvents, wholeEvents + 1));
	const extra = begun.subarray(0, Math.min(run.extraBytes, Math.max(0, begun.byteLength - 1)));
	const text = (run.style.hasMark ? mark : '') + writeEvents(stream, run.style, from, wholeEvents);
	const bytes = Buffer.concat([Buffer.from(text), extra]);
	const { events, isInsideEvent } = parseEvents(bytes);
	const isInsideLine = extra.byteLength > 0 && !/[\r\n]$/.test(extra.toString('latin1'));
	return {
		bytes,
		lastEvent: events.length === 0 ? after : from + events.length,
		isBetweenEvents: !isInsideEvent && !(run.isUnframed && isInsideLine),
	};
}

/** Cuts the bytes into pieces of these lengths, and the rest. */
export function cutPieces(bytes: Buffer, lengths: readonly number[]): Buffer[] {
	const pieces: Buffer[] = [];
	let start = 0;
	for (const length of [...lengths, bytes.byteLength]) {
		pieces.push(bytes.subarray(start, start + length));
		start += length;
	}
	return pieces.filter(({ byteLength }) => byteLength > 0);
}

const idLists: fc.Arbitrary<readonly string[]> = fc
	.tuple(
		fc.integer({ min: 0, max: 5 }),
		fc.constantFrom<(index: number) => string>(
			index => String(index + 1),
			index => String(index + 8),
			index => `17649390000000000${index + 10}`,
			index => `part-${index}`,
			index => `é${9 - index}`,
			index => (index === 4 ? '' : String(index + 1)),
			() => '',
		),
	)
	.map(([count, createId]) => Array.from({ length: count }, (_, index) => createId(index)));

const styles: fc.Arbitrary<EventStyle> = fc.record({
	lineEnd: fc.constantFrom('\n', '\n', '\r\n', '\r'),
	hasMark: fc.constantFrom(false, false, false, true),
	hasComments: fc.boolean(),
	hasIdFirst: fc.boolean(),
	hasBareField: fc.boolean(),
});

const streamTypes = ['text/event-stream', 'Text/Event-Stream', 'text/event-stream;charset=UTF-8'];
const otherTypes = ['application/json', undefined, 'text/plain'];

interface RandomHead {
	readonly status: number;
	readonly type: string | undefined;
}

const heads: fc.Arbitrary<RandomHead> = fc.oneof(
	{ weight: 5, arbitrary: fc.record({ status: fc.constant(200), type: fc.constantFrom(...streamTypes) }) },
	{ weight: 1, arbitrary: fc.record({ status: fc.constant(200), type: fc.constantFrom(...otherTypes) }) },
	{
		weight: 2,
		arbitrary: fc.record({
			status: fc.constantFrom(206, 404, 500),
			type: fc.constantFrom(...streamTypes, ...otherTypes),
		}),
	},
);

const { Next, Again, Anew } = RunStart;
const ends = Object.values(RunEnd);
const { None, NoHead, LateHead, SecondHead } = RunDisorder;

const runs: fc.Arbitrary<RandomRun> = fc
	.record({
		way: fc.constantFrom(RunWay.Direct, RunWay.Forward),
		head: heads,
		isUnframed: fc.boolean(),
		style: styles,
		start: fc.constantFrom(Next, Next, Next, Next, Again, Anew),
		events: fc.oneof(fc.integer({ min: 0, max: 5 }), fc.constant(9)),
		extraBytes: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 60 })),
		isError: fc.constantFrom(false, false, false, false, true),
		pieces: fc.array(fc.integer({ min: 1, max: 50 }), { maxLength: 8 }),
		end: fc.constantFrom(...ends),
		disorder: fc.constantFrom(None, None, None, None, None, None, NoHead, LateHead, SecondHead),
	})
	.map(({ head, ...run }) => ({ ...run, ...head }));

export const randomAnswers: fc.Arbitrary<RandomAnswer> = fc.record({
	stream: fc.record({ ids: idLists, hasTypes: fc.boolean() }),
	runs: fc.array(runs, { minLength: 1, maxLength: 3 }),
	isUnframedUsual: fc.boolean(),
	writesPerPause: fc.constantFrom(0, 0, 1, 2),
});

const soundRun: Partial<RandomRun> = {
	status: 200,
	type: 'text/event-stream',
	isUnframed: false,
	start: Next,
	events: 9,
	extraBytes: 0,
	isError: false,
	end: RunEnd.Regular,
	disorder: None,
};
const brokenEnds = fc.constantFrom(RunEnd.Broken, RunEnd.Fault, RunEnd.Missing, RunEnd.Crash);

/** Answers whose first run breaks off anywhere, and whose second one goes on as it is asked to. */
export const mendedAnswers: fc.Arbitrary<RandomAnswer> = fc
	.tuple(
		randomAnswers,
		runs,
		runs,
		fc.integer({ min: 0, max: 5 }),
		fc.integer({ min: 0, max: 60 }),
		brokenEnds,
	)
	.map(([answer, first, second, events, extraBytes, end]) => ({
		...answer,
		runs: [
			{ ...first, ...soundRun, events, extraBytes, end },
			{ ...second, ...soundRun },
		],
	}))
	.filter(({ stream }) => stream.ids.length > 0 && stream.ids.every(id => id !== ''));

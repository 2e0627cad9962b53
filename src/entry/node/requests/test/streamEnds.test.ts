import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { AnswerHead } from '../../../common/callers/answerSink';
import { createAnswerHead, createEvent, StreamRun, targetFailed } from './streamRuns';

const stream = createAnswerHead();
const unframedStream = createAnswerHead({ isUnframed: true });
const cut = { isCut: true, hasEnded: false };
const ended = { isCut: false, hasEnded: true };
const longEventBytes = 300_000;
const comment = ': keep\n\n';

function beginStream(streamRun: StreamRun, head: AnswerHead, text: string): StreamRun {
	streamRun.begin(head);
	streamRun.write(text);
	return streamRun;
}

describe('an answer whose head the caller of another entry has', () => {
	// Guards against an entry that answers a forwarded request to go on with an error or with content of another type.
	it.each([{ status: 500 }, { status: 206 }, { type: 'application/json' }])(
		'begins only as a stream: %j',
		options => {
			const streamRun = new StreamRun({ isContinuation: true, lastEventId: '2' });
			expect(streamRun.begin(createAnswerHead(options))).toContain('no stream goes on');
			expect(streamRun.run.hasBegun()).toBe(false);
			expect(streamRun.sink.head).toBeUndefined();
		},
	);

	it('begins as a stream', () => {
		const streamRun = new StreamRun({ isContinuation: true, lastEventId: '2' });
		expect(streamRun.begin(stream)).toBeUndefined();
	});
});

describe('a stream without an event', () => {
	// Guards against cutting a stream of which nothing is left, or that was to have no events.
	it.each([
		{ name: 'its caller has all events', options: { lastEventId: '4' } },
		{ name: 'its caller wants no tokens', options: { maxOutputTokens: 0 } },
	])('is whole if $name', ({ options }) => {
		const { run, sink } = beginStream(new StreamRun(options), stream, '');
		run.finish(AnswerEnd.Certain);
		expect(sink).toMatchObject(ended);
	});

	// Guards against an empty stream that is taken for whole.
	it.each([{}, { maxOutputTokens: 1 }])('is cut if events are wanted: %j', options => {
		const { run, sink } = beginStream(new StreamRun(options), stream, '');
		run.finish(AnswerEnd.Certain);
		expect(sink).toMatchObject(cut);
	});
});

describe('the first event for a caller that resumes a stream', () => {
	// Guards against events that the caller has, sent by a target that begins anew.
	it.each([
		{ event: 2, isFault: true },
		{ event: 3, isFault: false },
	])('has to follow event 2: $event', ({ event, isFault }) => {
		const { run, sink } = beginStream(new StreamRun({ lastEventId: '2' }), stream, createEvent(event));
		expect(run.findStreamFault() !== undefined).toBe(isFault);
		expect(sink.text).toBe(isFault ? '' : createEvent(event));
	});
});

describe('the first event of a target that goes on for a caller that resumed a stream', () => {
	// Guards against events repeated after a second target, which goes on after a later event than the caller named.
	it('has to follow the last one that was passed on', () => {
		const streamRun = beginStream(new StreamRun({ lastEventId: '2' }), stream, createEvent(3));
		streamRun.markInterrupted();
		const { run, sink } = beginStream(streamRun, stream, createEvent(3));
		expect(run.findStreamFault()).toBeDefined();
		expect(sink.text).toBe(createEvent(3));
	});
});

describe('a stream that goes on after a target that sent events again', () => {
	// Guards against a stream that no target can go on with, since one before began anew.
	it('has the events of the next target', () => {
		const streamRun = beginStream(new StreamRun(), stream, createEvent(1));
		streamRun.markInterrupted();
		beginStream(streamRun, stream, createEvent(1));
		streamRun.markInterrupted();
		const { run, sink } = beginStream(streamRun, stream, comment);
		expect(run.findStreamFault()).toBeUndefined();
		streamRun.write(createEvent(2));
		expect(run.findStreamFault()).toBeUndefined();
		expect(sink.text).toBe(createEvent(1) + comment + createEvent(2));
	});

	// Guards against an event that is repeated because its id is no number.
	it('has no event of the same id, which may be any text', () => {
		const { run } = beginStream(new StreamRun({ lastEventId: 'b7' }), stream, 'id: b7\ndata: a\n\n');
		expect(run.findStreamFault()).toBeDefined();
	});
});

describe('an event without end', () => {
	// Guards against an entry that holds the bytes of such an event for as long as they come.
	it('is a fault of its stream', () => {
		const { run } = beginStream(new StreamRun(), stream, `data: ${'a'.repeat(longEventBytes)}`);
		expect(run.findStreamFault()).toBe('an event without end');
	});
});

describe('the end of an answer', () => {
	const half = 'id: 2\nda';
	// Guards against a broken-off answer that is ended as whole, and against cutting one whose framing shows its end.
	it.each([
		{ name: 'a stream inside an event', head: stream, rest: half, end: cut },
		{ name: 'a stream inside a comment', head: stream, rest: ': keep', end: ended },
		{ name: 'a stream without framing inside an event', head: unframedStream, rest: half, end: cut },
		{ name: 'a stream without framing inside a comment', head: unframedStream, rest: ': keep', end: cut },
		{ name: 'a stream without framing', head: unframedStream, rest: '', end: ended },
		{
			name: 'events under status 404 inside an event',
			head: createAnswerHead({ status: 404 }),
			rest: half,
			end: ended,
		},
		{
			name: 'events under status 404 without framing, inside an event',
			head: createAnswerHead({ status: 404, isUnframed: true }),
			rest: half,
			end: cut,
		},
	])('is shown as it is: $name', ({ head, rest, end }) => {
		const { run, sink } = beginStream(new StreamRun(), head, createEvent(1) + rest);
		run.finish(run.isEndCertain() ? AnswerEnd.Certain : AnswerEnd.Uncertain);
		expect(sink).toMatchObject(end);
	});

	// Guards against framing of the entry's own for an end that no target's framing shows.
	it('is not shown if it is uncertain and the answer began with framing', () => {
		const streamRun = beginStream(new StreamRun(), stream, createEvent(1));
		streamRun.markInterrupted();
		const { run, sink } = beginStream(streamRun, unframedStream, createEvent(2));
		run.finish(AnswerEnd.Uncertain);
		expect(sink).toMatchObject({ ...cut, text: createEvent(1) + createEvent(2) });
	});
});

describe('a failure after an end that may be that of the answer', () => {
	// Guards against an accepted end of an answer that began with framing, or of which a target sent more.
	it.each([
		{ name: 'is passed on', first: unframedStream, rest: '', end: ended },
		{ name: 'is cut if the answer began with framing', first: stream, rest: '', end: cut },
		{ name: 'is cut if a target sent an event more', first: unframedStream, rest: createEvent(3), end: cut },
		{
			name: 'is cut if a target sent half an event more',
			first: unframedStream,
			rest: 'id: 3\nda',
			end: cut,
		},
	])('$name', ({ first, rest, end }) => {
		const streamRun = beginStream(new StreamRun(), first, createEvent(1));
		streamRun.markInterrupted();
		const { run, sink } = beginStream(streamRun, unframedStream, createEvent(2));
		run.openEnd.noteEnd(() => true);
		streamRun.markInterrupted();
		beginStream(streamRun, unframedStream, rest);
		run.fail(targetFailed);
		expect(sink).toMatchObject(end);
	});
});

describe('an end that may be that of an answer without an event', () => {
	// Guards against an empty stream that is taken for whole once no target confirms its end.
	it('is not passed on', () => {
		const { run, sink } = beginStream(new StreamRun(), unframedStream, '');
		run.openEnd.noteEnd(() => true);
		run.fail(targetFailed);
		expect(sink).toMatchObject(cut);
	});
});

describe('an answer without framing that is cut', () => {
	// Guards against an end that callers who read no chunks take for a regular one.
	it('ends with the half event at which it broke off', () => {
		const text = `${createEvent(1)}id: 2\nda`;
		const { run, sink } = beginStream(new StreamRun(), unframedStream, text);
		run.fail(targetFailed);
		expect(sink).toMatchObject({ ...cut, text });
	});

	// Guards against half an event of a target whose stream has gone on elsewhere, at the end of what the caller has.
	it('ends with the half event of its last target only', () => {
		const streamRun = beginStream(new StreamRun(), unframedStream, `${createEvent(1)}id: 2\nda`);
		streamRun.markInterrupted();
		const { run, sink } = beginStream(streamRun, unframedStream, createEvent(2));
		run.fail(targetFailed);
		expect(sink).toMatchObject({ ...cut, text: createEvent(1) + createEvent(2) });
	});
});

describe('a stream with framing that is cut', () => {
	const text = `${createEvent(1)}id: 2\nda`;

	// Guards against an early end that callers of HTTP/1.0 take for a regular one, since they read no chunks.
	it('ends with the half event at which it broke off if its caller reads no chunks', () => {
		const streamRun = new StreamRun();
		streamRun.sink.isReadingChunks = false;
		const { run, sink } = beginStream(streamRun, stream, text);
		run.fail(targetFailed);
		expect(sink).toMatchObject({ ...cut, text });
	});

	it('ends with its last event if its caller reads chunks', () => {
		const { run, sink } = beginStream(new StreamRun(), stream, text);
		run.fail(targetFailed);
		expect(sink).toMatchObject({ ...cut, text: createEvent(1) });
	});
});

describe('a stream whose last event has an empty id', () => {
	// Guards against a target that is asked to go on after no event, so that its caller gets all events again.
	it('does not go on', () => {
		const { run } = beginStream(new StreamRun(), stream, `${createEvent(1)}id:\ndata: a\n\n`);
		expect(run.isContinuable()).toBe(false);
	});
});

describe('an answer that is no stream', () => {
	// Guards against another run of a request whose caller has the head of an answer without events of a stream.
	it('does not go on if it has events under the status of an error', () => {
		const { run } = beginStream(new StreamRun(), createAnswerHead({ status: 404 }), '');
		expect(run.isContinuable()).toBe(false);
	});
});

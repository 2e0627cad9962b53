import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { Answer } from './forwardAnswers';
import {
	createScript,
	listAnswers,
	listShownEnds,
	noHead,
	otherHeads,
	otherStatuses,
	streamHeads,
} from './forwardAnswers';
import type { PeerScript } from './scriptedPeers';
import {
	createBody,
	createEnd,
	createEvent,
	createEventsAfter,
	createHead,
	createMessage,
	ForwardedStream,
	wholeStream,
} from './scriptedPeers';

const begunEvents = 2;
const begun = createEvent(1) + createEvent(2);
const streamHead = createHead(200, 'text/event-stream');

interface Received {
	/** Undefined if the request was refused. */
	readonly end: AnswerEnd | undefined;
	readonly text: string;
}

/** Forwards the request as its last attempt, and returns what its caller received. */
async function forwardLast(stream: ForwardedStream, script: PeerScript): Promise<Received> {
	const { error } = await stream.forward(script);
	if (error !== undefined) {
		stream.run.fail(error);
	}
	return describeReceived(stream);
}

function describeReceived({ sink }: ForwardedStream): Received {
	const { isCut, answerEnd, text } = sink;
	return { end: isCut ? AnswerEnd.Cut : answerEnd, text };
}

/** Where the stream goes on, an end without any event left is whole as well. */
function findAllowedEnds(answer: Answer, beganUnframed: boolean, isGoingOn: boolean): readonly AnswerEnd[] {
	const { isStream = false, isWhole = false, body } = answer;
	const isEndOfEvents = isWhole || (isGoingOn && body === 'no body');
	return isStream && isEndOfEvents ? listShownEnds(answer, beganUnframed) : [AnswerEnd.Cut];
}

/** A stream without framing that is cut may end inside an event, which shows its caller that it is incomplete. */
function hasOnlyEvents(text: string, { isStream = false, body }: Answer, beganUnframed: boolean): boolean {
	if (isStream && beganUnframed) {
		return body === 'an error' || wholeStream.startsWith(text);
	}
	return wholeStream.startsWith(text) && (text === '' || text.endsWith('\n\n'));
}

/** Describes the answers of which the caller gets what it may not get. */
async function listWrong(
	answers: readonly Answer[],
	receive: (answer: Answer) => Promise<Received>,
	isRight: (answer: Answer, received: Received) => boolean,
): Promise<string[]> {
	const wrong: string[] = [];
	for (const answer of answers) {
		const received = await receive(answer);
		if (!isRight(answer, received)) {
			const { end = 'refused', text } = received;
			wrong.push(`${answer.body}, ${answer.end}: ${end} after ${JSON.stringify(text)}`);
		}
	}
	return wrong;
}

const headsGoingOn = [...streamHeads, ...otherHeads, ...otherStatuses, noHead];
const beginnings = [
	{ beginning: 'with framing', beganUnframed: false },
	{ beginning: 'without framing', beganUnframed: true },
];

describe('a broken-off stream that goes on over a forward', () => {
	// Guards against an error of a peer, half an event or a missing head that ends a broken-off stream as if it were whole.
	it.each(beginnings.flatMap(beginning => headsGoingOn.map(head => ({ ...beginning, ...head }))))(
		'has only its events and ends as shown, begun $beginning, if the peer sends $head',
		async ({ beganUnframed, ...head }) => {
			const receive = async (answer: Answer): Promise<Received> => {
				const stream = new ForwardedStream();
				stream.beginAtTarget(begun, beganUnframed);
				return forwardLast(stream, createScript(answer, begunEvents));
			};
			const wrong = await listWrong(listAnswers(head), receive, (answer, { end, text }) => {
				const isEndAllowed = findAllowedEnds(answer, beganUnframed, true).some(allowed => allowed === end);
				const areBytesAllowed = answer.isStream === true ? text.startsWith(begun) : text === begun;
				return isEndAllowed && areBytesAllowed && hasOnlyEvents(text, answer, beganUnframed);
			});
			expect(wrong).toEqual([]);
		},
	);

	// Guards against what a failed forward leaves behind, to which the next answer of the same stream is joined.
	it.each(headsGoingOn)('goes on at the next peer after one that sends $head', async head => {
		const failing = listAnswers(head).filter(answer =>
			findAllowedEnds(answer, false, true).includes(AnswerEnd.Cut),
		);
		const receive = async (answer: Answer): Promise<Received> => {
			const stream = new ForwardedStream();
			stream.beginAtTarget(begun, false);
			await stream.forward(createScript(answer, begunEvents));
			if (stream.run.hasEnded()) {
				return describeReceived(stream);
			}
			stream.markInterrupted();
			const passedOn = Number(stream.run.getLastEventId());
			return forwardLast(stream, [streamHead, createBody(createEventsAfter(passedOn)), createEnd(true)]);
		};
		const wrong = await listWrong(
			failing,
			receive,
			(_, { end, text }) => end === AnswerEnd.Certain && text === wholeStream,
		);
		expect(wrong).toEqual([]);
	});

	// Guards against parts of two answers of a peer in one stream, and against bytes whose head comes after them.
	it.each([
		{ name: 'a second head', script: [streamHead, createBody(createEvent(3)), streamHead] },
		{
			name: 'an error after its head',
			script: [streamHead, createBody(createEvent(3)), createHead(500, undefined)],
		},
		{ name: 'a head after an error', script: [createHead(500, undefined), streamHead] },
		{ name: 'events that the caller has', script: [streamHead, createBody(createEvent(2))] },
		{ name: 'bytes before its head', script: [createBody(createEvent(3)), streamHead] },
	])('is cut if the peer sends $name', async ({ script }) => {
		const stream = new ForwardedStream();
		stream.beginAtTarget(begun, false);
		const { end, text } = await forwardLast(stream, [...script, createBody(createEvent(4)), createEnd(true)]);
		expect(end).toBe(AnswerEnd.Cut);
		expect([begun, begun + createEvent(3)]).toContain(text);
	});
});

describe('a stream that breaks off inside an event over a forward', () => {
	const half = 'id: 4\nda';

	// Guards against an early end that callers of HTTP/1.0 take for a regular one, since they read no chunks.
	it.each([
		{ caller: 'reads no chunks', isReadingChunks: false, rest: half },
		{ caller: 'reads chunks', isReadingChunks: true, rest: '' },
	])('ends with "$rest" if its caller $caller', async ({ isReadingChunks, rest }) => {
		const stream = new ForwardedStream();
		stream.sink.isReadingChunks = isReadingChunks;
		stream.beginAtTarget(begun, false);
		const script = [streamHead, createBody(createEvent(3)), createBody(half)];
		const received = await forwardLast(stream, script);
		expect(received).toEqual({ end: AnswerEnd.Cut, text: begun + createEvent(3) + rest });
	});
});

describe('a stream over a peer of an earlier release', () => {
	// Guards against a peer that joins to its answer one of a target that begins anew, which it does not check itself.
	it.each([
		{ name: 'goes on', passedOn: begunEvents, first: createEvent(begunEvents + 1) },
		{ name: 'begins', passedOn: 0, first: begun },
	])('is cut if it $name there and its events come again', async ({ passedOn, first }) => {
		const stream = new ForwardedStream();
		if (passedOn > 0) {
			stream.beginAtTarget(begun, false);
		}
		const again = createBody(wholeStream);
		const received = await forwardLast(stream, [streamHead, createBody(first), again, createEnd(true)]);
		expect(received.end).toBe(AnswerEnd.Cut);
	});
});

describe('a stream that begins over a forward', () => {
	// Guards against a stream that ends inside an event, or before its first one, and looks whole by the framing of its target.
	it.each(streamHeads)('has only its events and ends as shown if the peer sends $head', async head => {
		const receive = (answer: Answer): Promise<Received> =>
			forwardLast(new ForwardedStream(), createScript(answer, 0));
		const wrong = await listWrong(listAnswers(head), receive, (answer, { end, text }) => {
			const { isUnframed = false } = answer;
			const isEndAllowed = findAllowedEnds(answer, isUnframed, false).some(allowed => allowed === end);
			return isEndAllowed && hasOnlyEvents(text, answer, isUnframed);
		});
		expect(wrong).toEqual([]);
	});

	// Guards against an answer that is no stream and is taken for one, or for whole although it is not.
	it.each(otherHeads)('is passed on as it is if the peer sends $head', async head => {
		const receive = (answer: Answer): Promise<Received> =>
			forwardLast(new ForwardedStream(), createScript(answer, 0));
		const wrong = await listWrong(listAnswers(head), receive, (answer, { end, text }) => {
			const isEndAllowed = listShownEnds(answer, head.isUnframed === true).some(allowed => allowed === end);
			return isEndAllowed && text === answer.createChunks(0).join('');
		});
		expect(wrong).toEqual([]);
	});

	// Guards against bytes without a head, which would be given one that no target sent.
	it('is refused, and none of it passed on, if the peer sends no head', async () => {
		const receive = (answer: Answer): Promise<Received> =>
			forwardLast(new ForwardedStream(), createScript(answer, 0));
		const wrong = await listWrong(
			listAnswers(noHead),
			receive,
			(_, { end, text }) => end === undefined && text === '',
		);
		expect(wrong).toEqual([]);
	});

	it.each([
		{ name: 'a second head', script: [streamHead, createBody(begun), streamHead] },
		{ name: 'an error after its head', script: [streamHead, createBody(begun), createHead(500, undefined)] },
	])('is cut if the peer sends $name', async ({ script }) => {
		const stream = new ForwardedStream();
		const { end, text } = await forwardLast(stream, [
			...script,
			createBody(createEventsAfter(begunEvents)),
			createEnd(true),
		]);
		expect({ end, text }).toEqual({ end: AnswerEnd.Cut, text: begun });
	});

	// Guards against an answer to which a peer of an earlier release has joined the bytes of another one.
	it.each([
		{ name: 'fewer bytes than its length', text: 'half', end: AnswerEnd.Cut },
		{ name: 'more bytes than its length', text: `half${wholeStream}`, end: AnswerEnd.Cut },
		{ name: 'as many bytes as its length', text: 'half and half', end: AnswerEnd.Certain },
	])('ends as shown if the peer sends $name', async ({ text, end }) => {
		const headers = [{ name: 'content-length', value: '13' }];
		const head = createMessage({ case: 'head', value: { status: 404, headers } });
		const received = await forwardLast(new ForwardedStream(), [head, createBody(text), createEnd(true)]);
		expect(received.end).toBe(end);
		expect(received.text.length).toBeLessThanOrEqual(13);
	});

	it('is refused if the peer sends bytes before its head', async () => {
		const stream = new ForwardedStream();
		const received = await forwardLast(stream, [createBody(wholeStream), streamHead, createEnd(true)]);
		expect(received).toEqual({ end: undefined, text: '' });
		expect(stream.sink.refusal).toBeDefined();
	});
});

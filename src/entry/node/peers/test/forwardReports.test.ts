import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { ForwardRequestResponse } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardEndKind } from '../forwardRun';
import { PeerSink } from '../peerSink';
import type { PeerScript } from './scriptedPeers';
import {
	createBody,
	createEnd,
	createEvent,
	createHead,
	createMessage,
	ForwardedStream,
	reset,
	wholeStream,
} from './scriptedPeers';

const streamHead = createHead(200, 'text/event-stream');
const unframedHead = createHead(200, 'text/event-stream', true);
/** Answers of a peer that doesn't say what it did. */
const unreportedRuns: readonly { readonly name: string; readonly script: PeerScript }[] = [
	{ name: 'an uncertain end', script: [unframedHead, createBody(createEvent(1)), createEnd(false)] },
	{ name: 'a reset', script: [streamHead, createBody(createEvent(1)), reset] },
	{ name: 'no end', script: [streamHead, createBody(createEvent(1))] },
];
/** The deadline of the request, counted from its start. */
const deadlineMs = 30_000;

describe('the head of a forwarded request', () => {
	// Guards against a peer that doesn't know that only a stream of events can go on with the answer.
	it.each([
		{ name: 'has begun', isBegun: true },
		{ name: 'has not begun', isBegun: false },
	])('says whether the answer $name', async ({ isBegun }) => {
		const stream = new ForwardedStream();
		if (isBegun) {
			stream.beginAtTarget(createEvent(1), false);
		}
		await stream.forward([streamHead, createEnd(true)]);
		expect(stream.sentHeads).toMatchObject([{ isContinuation: isBegun, lastEventId: isBegun ? '1' : '' }]);
	});
});

describe('the runs of a forwarded request', () => {
	// Guards against more runs than the route allows, after a peer that says nothing of those that it made.
	it.each(unreportedRuns)('are the most that the peer may have made at $name', async ({ script }) => {
		const stream = new ForwardedStream();
		const { error } = await stream.forward(script);
		expect(error).toBeDefined();
		expect(stream.run.history).toMatchObject({ sends: 1, possibleRuns: 2, isCounted: true });
	});

	// Guards against an entry that counts as failed after an answer that it passed on with an uncertain end.
	it('are reported by a peer that passes on an uncertain end', async () => {
		const script = [unframedHead, createBody(createEvent(1)), createEnd(false)];
		const end = await new ForwardedStream().forward(script);
		expect(end).toMatchObject({ kind: ForwardEndKind.Unconfirmed, isReported: true });
	});
});

describe('an answer without a body over a forward', () => {
	// Guards against cutting an answer that names a length and has no body.
	it.each([
		{ method: 'HEAD', status: 200 },
		{ method: 'GET', status: 304 },
	])('is whole: $method, $status', async ({ method, status }) => {
		const headers = [{ name: 'content-length', value: '13' }];
		const stream = new ForwardedStream({ method });
		const head = createMessage({ case: 'head', value: { status, headers } });
		const { kind } = await stream.forward([head, createEnd(true)]);
		expect(kind).toBe(ForwardEndKind.Answered);
		expect(stream.sink.answerEnd).toBe(AnswerEnd.Certain);
	});
});

describe('the deadline of a forwarded request', () => {
	// Guards against a default deadline that cuts an answer which has begun, and one of the caller that does not.
	it.each([
		{ isDeadlineGiven: false, kind: ForwardEndKind.Answered },
		{ isDeadlineGiven: true, kind: ForwardEndKind.Failed },
	])('ends an answer only if its caller set it: $isDeadlineGiven', async ({ isDeadlineGiven, kind }) => {
		const stream = new ForwardedStream({ isDeadlineGiven });
		const pass = (): void => {
			stream.timers.advance(deadlineMs);
		};
		const end = await stream.forward([streamHead, pass, createBody(wholeStream), createEnd(true)]);
		expect(end.kind).toBe(kind);
	});
});

describe('the end message of a peer', () => {
	// Guards against an uncertain end that the forwarding entry takes for one that a target's framing shows.
	it.each([
		{ end: AnswerEnd.Certain, isConfirmed: true },
		{ end: AnswerEnd.Uncertain, isConfirmed: false },
	])('says whether the end is certain: $end', async ({ end, isConfirmed }) => {
		const sink = new PeerSink();
		sink.begin({ status: 200, lines: [], endsWithConnection: true });
		sink.end(end);
		const parts: ForwardRequestResponse['part'][] = [];
		for await (const { part } of sink.takeMessages()) {
			parts.push(part);
		}
		expect(parts.at(-1)).toMatchObject({ case: 'end', value: { isConfirmed } });
	});
});

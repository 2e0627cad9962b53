import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { TargetId } from '../../../../core/ids/common/ids';
import type { ForwardHead } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { knownKey, ScriptedKeys, withdrawnWithinMs } from '../../../common/keys/test/scriptedKeys';
import { openStartGate } from '../../../common/intake/test/startGates';
import { addSend, noAttempts } from '../../../common/requests/attemptHistory';
import { RemoteEnd } from '../../../common/sendAway/sendAwayPolicy';
import { computeDigestOf } from '../../keys/test/keyDigestFixtures';
import { createFaultMessage } from '../../peers/peerSink';

import { timeLimitMs, offer, createFixture, createGiveBack } from './forwardFixtures';

describe('a request that was forwarded to a peer', () => {
	// Guards against a run at home after the deadline, when no connection to the peer came about until then.
	it('is refused at its deadline as not run while the connection is still being opened', async () => {
		const { flow, dispatch, advance } = createFixture();
		// Too short for a run at home after the connection has failed.
		const sink = dispatch(150);
		await advance(145);
		flow.submit();
		const startedBefore = flow.attempts.length;
		await advance(5);
		expect(flow.attempts).toHaveLength(startedBefore);
		expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.NotRun);
	});

	// Guards against a run that is cut off by the deadline, after a peer that is behind has given the request back late.
	it('is refused at once as not run if too little time is left when it is given back', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		const sink = dispatch();
		peer.acceptConnection();
		await advance(0);
		// Half of the time that a plain run takes by estimate is 40 ms.
		await advance(timeLimitMs - 40);
		flow.submit();
		const startedBefore = flow.attempts.length;
		await advance(10);
		peer.answer(createGiveBack());
		await advance(0);
		expect(flow.attempts).toHaveLength(startedBefore);
		expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.NotRun);
	});

	it('is run at home if enough time is left when it is given back', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		dispatch();
		peer.acceptConnection();
		await advance(0);
		await advance(100);
		peer.answer(createGiveBack());
		await advance(0);
		expect(flow.attempts).toHaveLength(1);
	});

	// Guards against a caller that gets no answer at its deadline because the peer is behind.
	it('is refused and cancelled at its deadline while the peer does not answer', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		const sink = dispatch();
		peer.acceptConnection();
		await advance(0);
		await advance(timeLimitMs);
		expect(sink.refusal?.kind).toBe(ErrorKind.DeadlineExceeded);
		expect(peer.isCancelled()).toBe(true);
		expect(flow.attempts).toEqual([]);
	});

	// Guards against a home region that is left out for all requests because its targets may not go on with one stream.
	it.each([
		{ kind: ErrorKind.StreamUnknown, remoteEnd: RemoteEnd.TargetFailed },
		{ kind: ErrorKind.VersionNotServed, remoteEnd: RemoteEnd.TargetFailed },
		{ kind: ErrorKind.DeadlineUnreachable, remoteEnd: RemoteEnd.Failed },
	])('tells the policy how it ended after $kind: $remoteEnd', async ({ kind, remoteEnd }) => {
		const { peer, remoteEnds, dispatch, advance } = createFixture();
		dispatch();
		peer.acceptConnection();
		await advance(0);
		peer.answer(createFaultMessage(createRequestError(kind, 'not here'), noAttempts));
		await advance(0);
		expect(remoteEnds).toEqual([remoteEnd]);
	});

	// Guards against forwarding a request again to a peer that refuses it because its budget of retries is used up.
	it.each([
		{ name: 'once to a peer that refused to send it', history: noAttempts, forwards: 1 },
		{
			name: 'again to a peer whose target failed',
			history: addSend(noAttempts, 'bookings-9' as TargetId),
			forwards: 2,
		},
	])('is forwarded $name', async ({ history, forwards }) => {
		const { peer, dispatch, advance } = createFixture();
		dispatch();
		peer.acceptConnection();
		await advance(0);
		const failure = createRequestError(ErrorKind.TargetFailed, 'the target failed');
		peer.answer(createFaultMessage(failure, history));
		await advance(0);
		await advance(0);
		expect(peer.requests.filter(({ part }) => part.case === 'head')).toHaveLength(forwards);
	});

	// Guards against a run at home for a caller that left while the peer kept the request.
	it('is not run at home if its caller left before it was given back', async () => {
		const { flow, peer, ends, dispatch, advance } = createFixture();
		const sink = dispatch();
		peer.acceptConnection();
		await advance(0);
		await advance(100);
		sink.abandon?.();
		expect(peer.isCancelled()).toBe(true);
		peer.answer(createGiveBack());
		await advance(100);
		expect(flow.attempts).toEqual([]);
		expect(ends[0]?.errorKind).toBe(ErrorKind.CallerGone);
	});

	it('is not sent if its caller leaves while the connection is being opened', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		const sink = dispatch();
		await advance(100);
		sink.abandon?.();
		peer.acceptConnection();
		await advance(100);
		expect(peer.requests).toEqual([]);
		expect(flow.attempts).toEqual([]);
	});

	// Guards against peers that keep what they cannot start until its own region can no longer serve it.
	it('tells the peer in what time it has to be started', async () => {
		const { peer, dispatch, advance } = createFixture();
		dispatch();
		await advance(10);
		peer.acceptConnection();
		await advance(0);
		const { startWithinMs, remainingMs } = peer.requests[0]!.part.value as ForwardHead;
		expect(startWithinMs).toBeDefined();
		expect(startWithinMs).toBeLessThan(remainingMs);
	});

	// Guards against two seconds of waiting for a connection to a peer while targets at home are idle.
	it('is run at home if no connection comes about in the time that it would have taken there', async () => {
		const { flow, dispatch, advance } = createFixture();
		dispatch();
		await advance(200);
		expect(flow.attempts).toHaveLength(1);
	});

	// Guards against forwarding a request whose caller has left, when an entry that is behind reads the close last.
	it('is not sent if its caller leaves before an entry that is behind has read its sockets', async () => {
		let release = (): void => undefined;
		const { peer, dispatch, advance } = createFixture({
			run: start => {
				release = start;
			},
		});
		const sink = dispatch();
		peer.acceptConnection();
		await advance(0);
		sink.abandon?.();
		release();
		await advance(0);
		expect(peer.requests).toEqual([]);
	});

	// Guards against runs that go on after the deadline because the peer counts the time left from its own reading.
	it('has to be answered by the peer in time for the way back', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		dispatch();
		await advance(10);
		peer.acceptConnection();
		await advance(0);
		const { remainingMs } = peer.requests[0]!.part.value as ForwardHead;
		const readMs = flow.timers.getNow() + offer.oneWayMs;
		expect(readMs + remainingMs + offer.oneWayMs).toBeLessThanOrEqual(timeLimitMs);
	});
});

describe('a request with a key that is forwarded to a peer', () => {
	const keyDigest = computeDigestOf('sk-1');

	it('is sent with the digest of the key, and offered only to entries that confirm keys', async () => {
		const { peer, keyedOffers, dispatch, advance } = createFixture();
		dispatch(timeLimitMs, { keyDigest });
		peer.acceptConnection();
		await advance(0);
		const head = peer.requests[0]!.part.value as ForwardHead;
		expect(Buffer.from(head.keyDigest).toString('hex')).toBe(keyDigest);
		expect(new Set(keyedOffers)).toEqual(new Set([true]));
	});

	it('has no digest if it has no key', async () => {
		const { peer, keyedOffers, dispatch, advance } = createFixture();
		dispatch();
		peer.acceptConnection();
		await advance(0);
		expect((peer.requests[0]!.part.value as ForwardHead).keyDigest).toHaveLength(0);
		expect(new Set(keyedOffers)).toEqual(new Set([false]));
	});

	// Guards against a caller whose new key is refused, because the peer has an older version of the manifest.
	it('is run at home if the peer does not know the key', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		const sink = dispatch(timeLimitMs, { keyDigest });
		peer.acceptConnection();
		await advance(0);
		const error = createRequestError(ErrorKind.KeyUnconfirmed, 'no organisation has the key');
		peer.answer(createFaultMessage(error, noAttempts));
		await advance(0);
		expect(flow.attempts).toHaveLength(1);
		expect(sink.refusal).toBeUndefined();
	});
});

describe('a request with a key that the policy forwards', () => {
	// Guards against a forward by knowledge that became too old while the body was read.
	it('is refused before it is handed to the peer if the knowledge is too old', async () => {
		const keys = new ScriptedKeys();
		keys.ageMs = withdrawnWithinMs;
		const { flow, peer, dispatch, advance } = createFixture(openStartGate, keys);
		const sink = dispatch(timeLimitMs, { keyDigest: knownKey });
		peer.acceptConnection();
		await advance(1);
		expect(sink.refusal?.kind).toBe(ErrorKind.KeyUnconfirmed);
		expect(peer.requests).toEqual([]);
		expect(flow.attempts).toEqual([]);
	});

	// Guards against a run at home with a key that was withdrawn while the peer had the request.
	it('is refused when the peer gives it back if its key was withdrawn meanwhile', async () => {
		const keys = new ScriptedKeys();
		const { flow, peer, dispatch, advance } = createFixture(openStartGate, keys);
		const sink = dispatch(timeLimitMs, { keyDigest: knownKey });
		peer.acceptConnection();
		await advance(1);
		expect(peer.requests.length).toBeGreaterThan(0);
		keys.isWithdrawn = true;
		peer.answer(createGiveBack());
		await advance(1);
		await advance(1);
		expect(sink.refusal).toMatchObject({ kind: ErrorKind.KeyUnknown });
		expect(flow.attempts).toEqual([]);
	});
});

import { create } from '@bufbuild/protobuf';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { ForwardRequestResponse } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardRequestResponseSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import type { RoutedCall } from '../../../common/callers/callHead';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { ServiceName, SoftwareVersion, TargetId, ZoneName } from '../../../../core/ids/common/ids';
import { addSend, noAttempts } from '../../../common/requests/attemptHistory';
import { createFaultMessage } from '../../peers/peerSink';
import { createBody, createEnd, createEvent, createMessage } from '../../peers/test/scriptedPeers';
import type { SchedulableTarget } from '../../../common/scheduling/serviceScheduler';
import type { StreamOrigin } from '../../../common/streams/streamOrigin';
import { encodeOrigin } from '../../streams/originCodec';
import { createFixture } from './forwardFixtures';

function createRouted(isResumable: boolean, attempts = 3): RoutedCall {
	const route = { kind: RouteKind.Stream, isResumable, attempts, firstByteAimMs: 500 };
	return { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0 } as RoutedCall;
}

describe('a request whose peer sends the head of an answer and no more', () => {
	// Guards against another run of a request of whose answer its caller has a part that no target can go on with.
	it.each([
		{ name: 'a resumable stream', isResumable: true, type: 'text/event-stream', runs: 1 },
		{ name: 'a stream that can not be resumed', isResumable: false, type: 'text/event-stream', runs: 0 },
		{ name: 'another answer on the route of a stream', isResumable: true, type: 'text/plain', runs: 0 },
	])('runs at home only if another target can go on: $name', async ({ isResumable, type, runs }) => {
		const { flow, peer, dispatch, advance } = createFixture();
		const sink = dispatch(undefined, { routed: createRouted(isResumable) });
		peer.acceptConnection();
		await advance(0);
		const headers = [{ name: 'content-type', value: type }];
		peer.answer(
			create(ForwardRequestResponseSchema, { part: { case: 'head', value: { status: 200, headers } } }),
		);
		await advance(0);
		expect(flow.attempts).toHaveLength(runs);
		expect(sink).toMatchObject({ isCut: runs === 0, hasEnded: false });
	});
});

const origin: StreamOrigin = { service: 'bookings' as ServiceName, version: 'v1' as SoftwareVersion };
const streamHead = { status: 200, lines: [{ name: 'content-type', value: 'text/event-stream' }] };

function createTargetOf(version: SoftwareVersion): SchedulableTarget {
	const registered = {
		generation: 1,
		coldUntilMs: 0,
		coldRequestsPerSecond: 0,
		entries: 1,
		senderRank: 0,
		endsMs: Number.POSITIVE_INFINITY,
		cacheTokens: 0,
		version,
		findCertainVersion: () => version,
	};
	const zone = 'kingston-a' as ZoneName;
	const id = 'bookings-1' as TargetId;
	return { id, zone, isSameZone: true, slots: 8, share: 1, isLeaving: false, registered };
}

function createUnframedHead(): ForwardRequestResponse {
	const headers = [{ name: 'content-type', value: 'text/event-stream' }];
	const value = { status: 200, headers, endsWithConnection: true };
	return create(ForwardRequestResponseSchema, { part: { case: 'head', value } });
}

describe('an uncertain end of a stream over a forward', () => {
	// Guards against two equal ends that pass for proof although a target between them had half an event more.
	it('is not confirmed by an equal one after half an event more', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		flow.runner.setTargets([createTargetOf(origin.version)]);
		const sink = dispatch(undefined, { routed: createRouted(true, 5) });
		const failure = createRequestError(ErrorKind.TargetFailed, 'the target failed');
		const fault = createFaultMessage(failure, addSend(noAttempts, 'bookings-9' as TargetId));
		const originMessage = createMessage({ case: 'origin', value: encodeOrigin(origin) });
		peer.acceptConnection();
		await advance(0);
		peer.answer(createUnframedHead(), originMessage, createBody(createEvent(1)), createEnd(false));
		await advance(0);
		await advance(0);
		peer.answer(createUnframedHead(), createBody('id: 2\nda'), fault);
		await advance(0);
		await advance(0);
		const { observer } = flow.attempts[0]!;
		observer.noteHandedOver();
		observer.receiveHead({ ...streamHead, endsWithConnection: true });
		observer.noteCompleted();
		await advance(0);
		expect(sink).toMatchObject({ hasEnded: false, text: createEvent(1) });
	});
});

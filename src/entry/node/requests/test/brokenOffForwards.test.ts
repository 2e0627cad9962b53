import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { ServiceName, TargetId } from '../../../../core/ids/common/ids';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { RoutedCall } from '../../../common/callers/callHead';
import { addSend, noAttempts } from '../../../common/requests/attemptHistory';
import { createFaultMessage } from '../../peers/peerSink';
import {
	createBody,
	createEnd,
	createEvent,
	createHead,
	createMessage,
} from '../../peers/test/scriptedPeers';
import { encodeOrigin } from '../../streams/originCodec';
import { createFixture } from './forwardFixtures';
import { createTarget, version } from './randomEntry';

const eventStreamType = 'text/event-stream';

function createRouted(isResumable: boolean, attempts = 3): RoutedCall {
	const route = { kind: RouteKind.Stream, isResumable, attempts, firstByteAimMs: 500 };
	return { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0 } as RoutedCall;
}

describe('a request whose peer sends the head of an answer and no more', () => {
	// Guards against another run of a request of whose answer its caller has a part that no target can go on with.
	it.each([
		{ name: 'a resumable stream', isResumable: true, type: eventStreamType, runs: 1 },
		{ name: 'a stream that can not be resumed', isResumable: false, type: eventStreamType, runs: 0 },
		{ name: 'another answer on the route of a stream', isResumable: true, type: 'text/plain', runs: 0 },
	])('runs at home only if another target can go on: $name', async ({ isResumable, type, runs }) => {
		const { flow, peer, dispatch, advance } = createFixture();
		const sink = dispatch(undefined, { routed: createRouted(isResumable) });
		peer.acceptConnection();
		await advance(0);
		peer.answer(createHead(200, type));
		await advance(0);
		expect(flow.attempts).toHaveLength(runs);
		expect(sink).toMatchObject({ isCut: runs === 0, hasEnded: false });
	});
});

describe('an uncertain end of a stream over a forward', () => {
	// Guards against two equal ends that pass for proof although a target between them had half an event more.
	it('is not confirmed by an equal one after half an event more', async () => {
		const { flow, peer, dispatch, advance } = createFixture();
		flow.runner.setTargets([createTarget('bookings-1' as TargetId)]);
		const sink = dispatch(undefined, { routed: createRouted(true, 5) });
		const failure = createRequestError(ErrorKind.TargetFailed, 'the target failed');
		const fault = createFaultMessage(failure, addSend(noAttempts, 'bookings-9' as TargetId));
		const origin = encodeOrigin({ service: 'bookings' as ServiceName, version });
		const unframedHead = createHead(200, eventStreamType, true);
		peer.acceptConnection();
		await advance(0);
		const originMessage = createMessage({ case: 'origin', value: origin });
		peer.answer(unframedHead, originMessage, createBody(createEvent(1)), createEnd(false));
		await advance(0);
		await advance(0);
		peer.answer(unframedHead, createBody('id: 2\nda'), fault);
		await advance(0);
		await advance(0);
		const { observer } = flow.attempts[0]!;
		observer.noteHandedOver();
		const lines = [{ name: 'content-type', value: eventStreamType }];
		observer.receiveHead({ status: 200, lines, endsWithConnection: true });
		observer.noteCompleted();
		await advance(0);
		expect(sink).toMatchObject({ hasEnded: false, text: createEvent(1) });
	});
});

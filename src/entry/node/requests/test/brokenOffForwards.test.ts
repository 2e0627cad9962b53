import { create } from '@bufbuild/protobuf';
import { RouteKind } from '../../../../core/manifest/common/routes';
import { ForwardRequestResponseSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import type { RoutedCall } from '../../../common/callers/callHead';
import { createFixture } from './forwardFixtures';

function createRouted(isResumable: boolean): RoutedCall {
	const route = { kind: RouteKind.Stream, isResumable, attempts: 3, firstByteAimMs: 500 };
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

/**
 * Test fixture: a peer that sends a random run of a stream for each forwarded request.
 */

import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { TargetId } from '../../../../core/ids/common/ids';
import type {
	ForwardHead,
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { AttemptHistory } from '../../../common/requests/attemptHistory';
import { addSend, noAttempts } from '../../../common/requests/attemptHistory';
import { decodeHistory } from '../../peers/attemptHistoryCodec';
import type { PeerConnection } from '../../peers/peerClients';
import { createFaultMessage } from '../../peers/peerSink';
import { createMessage } from '../../peers/test/scriptedPeers';
import type { PlayedRun, RandomRunSource } from './randomRunSource';
import { RunDisorder, RunEnd, RunWay } from './randomRuns';

const runTarget = 'elsewhere-1' as TargetId;
const origin = createMessage({ case: 'origin', value: { service: 'bookings', version: 'v1' } });

export function createRandomPeer(source: RandomRunSource): PeerConnection {
	const forwardRequest = async function* answer(
		requests: AsyncIterable<ForwardRequestRequest>,
		{ signal }: { signal: AbortSignal },
	): AsyncGenerator<ForwardRequestResponse> {
		const head = await readHead(requests);
		const { lastEventId } = head;
		const played = source.take(RunWay.Forward, lastEventId === '' ? undefined : lastEventId);
		yield* listMessages(played);
		yield* endMessages(played, addRun(head), signal);
	};
	return {
		session: { connect: () => Promise.resolve('open') },
		client: { forwardRequest },
	} as unknown as PeerConnection;
}

async function readHead(requests: AsyncIterable<ForwardRequestRequest>): Promise<ForwardHead> {
	const heads: ForwardHead[] = [];
	for await (const { part } of requests) {
		if (part.case === 'head') {
			heads.push(part.value);
		}
	}
	return heads[0]!;
}

function addRun({ attempts }: ForwardHead): AttemptHistory {
	return addSend(attempts === undefined ? noAttempts : decodeHistory(attempts), runTarget);
}

function listMessages({ run, head, pieces }: PlayedRun): ForwardRequestResponse[] {
	const { status, lines, endsWithConnection = false } = head;
	const headers = lines.map(({ name, value }) => ({ name, value }));
	const headMessage = createMessage({ case: 'head', value: { status, headers, endsWithConnection } });
	const bodies = pieces.map(value => createMessage({ case: 'body', value }));
	switch (run.disorder) {
		case RunDisorder.None:
			return [headMessage, origin, ...bodies];
		case RunDisorder.NoHead:
			return bodies;
		case RunDisorder.LateHead:
			return [...bodies, headMessage];
		case RunDisorder.SecondHead:
			return [headMessage, origin, ...bodies, headMessage, ...bodies];
	}
}

async function* endMessages(
	{ run, shownEnd }: PlayedRun,
	history: AttemptHistory,
	signal: AbortSignal,
): AsyncGenerator<ForwardRequestResponse> {
	if (run.end === RunEnd.Silent) {
		await waitForCancel(signal);
	}
	if (run.end === RunEnd.Broken || run.end === RunEnd.Silent) {
		throw new Error('the stream was reset');
	}
	if (run.end === RunEnd.Fault || run.end === RunEnd.Crash) {
		const error = createRequestError(ErrorKind.TargetFailed, 'the answer is incomplete');
		yield createFaultMessage(error, history);
		return;
	}
	if (run.end !== RunEnd.Missing) {
		yield createMessage({ case: 'end', value: { isConfirmed: shownEnd === AnswerEnd.Certain } });
	}
}

async function waitForCancel(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
}

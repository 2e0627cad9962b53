/**
 * Test fixture: the path of a plain answer from a scripted target to a caller, direct or over another entry.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { RequestError } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type {
	InstanceId,
	ManifestVersion,
	RegionName,
	RequestId,
	TargetId,
} from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import type {
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { IAnswerSink } from '../../../common/callers/answerSink';
import { NativeTargetDialect } from '../../../common/dialect/nativeTargetDialect';
import { RequestEvent, RequestLifecycle } from '../../../common/requests/requestLifecycle';
import { AttemptEnd } from '../../../common/scheduling/serviceScheduler';
import { ForwardEndKind, ForwardRun } from '../../peers/forwardRun';
import type { PeerConnection } from '../../peers/peerClients';
import { PeerSink } from '../../peers/peerSink';
import type { IAttemptOwner } from '../../requests/attemptRun';
import { AttemptRun } from '../../requests/attemptRun';
import { RequestRun } from '../../requests/requestRun';
import { createCall, createObserver, createPlan } from '../../requests/test/flowFixtures';
import type { IAttemptObserver } from '../../targets/targetClient';

/** Sends the answer of a target. */
export type SendAnswer = (observer: IAttemptObserver) => void;

const timers = new ManualTimerService();
const target = 'bookings-1' as TargetId;

function openRun(method: string, sink: IAnswerSink): RequestRun {
	const journal = new RingRequestJournal(1, () => new Date(0));
	const call = createCall('plain-1' as RequestId, createPlan(RepeatRule.Idempotent), 'work', 0);
	journal.open(call.id, { service: 'bookings', organisation: 'a', requestClass: 'normal' }, 0);
	const run = new RequestRun(
		{ ...call, head: { ...call.head, method } },
		new RequestLifecycle(),
		sink,
		journal,
		timers,
		createObserver([], []),
	);
	run.lifecycle.send(RequestEvent.AcceptHead);
	return run;
}

/** Ends the request with its only attempt, as a runner does where no target can confirm the end. */
function endRun(run: RequestRun, isUnconfirmed: boolean, error: RequestError | undefined): void {
	if (isUnconfirmed) {
		run.finish(AnswerEnd.Uncertain);
	} else if (error !== undefined) {
		run.fail(error);
	}
}

const owner: IAttemptOwner = {
	findSendRefusal: () => undefined,
	noteHandedOver: () => undefined,
	noteFirstByte: () => undefined,
	noteAnswerHead: () => undefined,
	noteBegun: () => undefined,
	isEndAcceptable: () => false,
	isRetryAllowed: () => false,
	noteSilence: () => false,
	noteEnd: ({ run }, end, error) => {
		endRun(run, end === AttemptEnd.Unconfirmed, error);
	},
};

/** Lets a target answer the caller of this sink. */
export function answerDirectly(method: string, sink: IAnswerSink, send: SendAnswer): void {
	const run = openRun(method, sink);
	run.lifecycle.send(RequestEvent.Enqueue);
	const client = {
		send: (_: unknown, observer: IAttemptObserver) => {
			setImmediate(() => {
				observer.noteHandedOver();
				send(observer);
			});
			return { resume: () => undefined, cancel: () => undefined, release: () => undefined };
		},
		renewConnections: () => undefined,
	};
	const options = { fetchAddress: undefined, observeVersion: () => () => undefined };
	new AttemptRun(run, target, 1, options, client, new NativeTargetDialect(), timers, owner).start();
}

const sender = {
	instance: 'entry-1' as InstanceId,
	region: 'kingston' as RegionName,
	manifestVersion: 1 as ManifestVersion,
};

/** Lets a target of another entry answer the caller of this sink. */
export async function answerOverForward(method: string, sink: IAnswerSink, send: SendAnswer): Promise<void> {
	const run = openRun(method, sink);
	const forwardRequest = async function* answer(
		requests: AsyncIterable<ForwardRequestRequest>,
	): AsyncGenerator<ForwardRequestResponse> {
		let forwardedMethod = '';
		for await (const { part } of requests) {
			forwardedMethod = part.case === 'head' ? part.value.method : forwardedMethod;
		}
		const peerSink = new PeerSink();
		answerDirectly(forwardedMethod, peerSink, send);
		yield* peerSink.takeMessages();
	};
	const peer = {
		session: { connect: () => Promise.resolve('open') },
		client: { forwardRequest },
	} as unknown as PeerConnection;
	const route = { to: 'entry-9' as InstanceId, peer, reason: 'sooner there' };
	const { kind, error } = await new ForwardRun(run, route, sender, true, timers).forward();
	endRun(run, kind === ForwardEndKind.Unconfirmed, error);
}

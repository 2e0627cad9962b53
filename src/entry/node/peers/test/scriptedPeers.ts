/**
 * Test fixtures: a request for a stream that is forwarded to peers which send scripted messages.
 */

import type { MessageInitShape } from '@bufbuild/protobuf';
import { create } from '@bufbuild/protobuf';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type { InstanceId, ManifestVersion, RegionName, RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type {
	ForwardHead,
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardRequestResponseSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import type { AnswerEnd } from '../../../common/callers/answerEnd';
import type { RoutedCall } from '../../../common/callers/callHead';
import { noAttempts } from '../../../common/requests/attemptHistory';
import { RequestEvent, RequestLifecycle, RequestState } from '../../../common/requests/requestLifecycle';
import { RequestRun } from '../../requests/requestRun';
import { CapturingSink, createCall, createObserver, createPlan } from '../../requests/test/flowFixtures';
import type { ForwardEnd } from '../forwardRun';
import { ForwardRun } from '../forwardRun';
import type { PeerConnection } from '../peerClients';
import { createFaultMessage } from '../peerSink';

type Part = NonNullable<MessageInitShape<typeof ForwardRequestResponseSchema>['part']>;

export function createMessage(part: Part): ForwardRequestResponse {
	return create(ForwardRequestResponseSchema, { part });
}

export function createHead(
	status: number,
	contentType: string | undefined,
	endsWithConnection = false,
): ForwardRequestResponse {
	const headers = contentType === undefined ? [] : [{ name: 'content-type', value: contentType }];
	return createMessage({ case: 'head', value: { status, headers, endsWithConnection } });
}

export function createBody(text: string): ForwardRequestResponse {
	return createMessage({ case: 'body', value: Buffer.from(text) });
}

export function createEnd(isConfirmed: boolean): ForwardRequestResponse {
	return createMessage({ case: 'end', value: { isConfirmed } });
}

export const fault = createFaultMessage(
	createRequestError(ErrorKind.TargetFailed, 'the answer is incomplete'),
	noAttempts,
);

/** In place of a last message: the stream of messages fails. */
export const reset = Symbol('reset');

/** What a peer sends for one forwarded request, and what happens between its messages. */
export type PeerScript = readonly (ForwardRequestResponse | typeof reset | (() => void))[];

const lastEvent = 4;

export function createEvent(id: number): string {
	return `id: ${id}\ndata: token-${id}\n\n`;
}

/** The text of the events after one event, up to the last one of the stream. */
export function createEventsAfter(event: number): string {
	const ids = Array.from({ length: lastEvent - event }, (_, index) => event + 1 + index);
	return ids.map(createEvent).join('');
}

export const wholeStream = createEventsAfter(0);

/** Also captures what the end of the answer shows. */
class EndCapturingSink extends CapturingSink {
	answerEnd: AnswerEnd | undefined;

	override end(answerEnd?: AnswerEnd): void {
		super.end();
		this.answerEnd = answerEnd;
	}
}

const sender = {
	instance: 'entry-1' as InstanceId,
	region: 'kingston' as RegionName,
	manifestVersion: 1 as ManifestVersion,
};

export interface ForwardedOptions {
	readonly method?: string;
	/** Whether the caller set the deadline. */
	readonly isDeadlineGiven?: boolean;
}

/** A request for a resumable stream whose answer comes from peers. */
export class ForwardedStream {
	readonly sink = new EndCapturingSink();
	readonly run: RequestRun;
	readonly timers = new ManualTimerService();
	private readonly heads: ForwardHead[] = [];

	constructor({ method = 'POST', isDeadlineGiven = true }: ForwardedOptions = {}) {
		const journal = new RingRequestJournal(100, () => new Date(0));
		const call = createCall('forwarded-1' as RequestId, createPlan(RepeatRule.Idempotent), 'work', 0);
		const route = { kind: RouteKind.Stream, isResumable: true, attempts: 3, firstByteAimMs: 500 };
		const routed = { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0 } as RoutedCall;
		journal.open(call.id, { service: 'bookings', organisation: 'a', requestClass: 'normal' }, 0);
		this.run = new RequestRun(
			{ ...call, isDeadlineGiven, head: { ...call.head, method, routed } },
			new RequestLifecycle(),
			this.sink,
			journal,
			this.timers,
			createObserver([], []),
		);
		this.run.lifecycle.send(RequestEvent.AcceptHead);
	}

	/** The heads of the request as the peers got it. */
	get sentHeads(): readonly ForwardHead[] {
		return this.heads;
	}

	/** The events after which the peers were asked to go on. */
	get askedAfter(): readonly string[] {
		return this.heads.map(({ lastEventId }) => lastEventId);
	}

	/** Lets the answer begin at a target of this entry that breaks it off after some bytes. */
	beginAtTarget(text: string, endsWithConnection: boolean): void {
		const { run } = this;
		for (const event of [RequestEvent.Enqueue, RequestEvent.Start, RequestEvent.HandOver]) {
			run.lifecycle.send(event);
		}
		const lines = [{ name: 'content-type', value: 'text/event-stream' }];
		run.begin({ status: 200, lines, endsWithConnection }, () => undefined);
		run.write(Buffer.from(text));
		this.markInterrupted();
	}

	/** Forwards the request to a peer that sends these messages. */
	async forward(script: PeerScript): Promise<ForwardEnd> {
		const { heads } = this;
		const forwardRequest = async function* answer(
			requests: AsyncIterable<ForwardRequestRequest>,
			{ signal }: { signal: AbortSignal },
		): AsyncGenerator<ForwardRequestResponse> {
			for await (const { part } of requests) {
				if (part.case === 'head') {
					heads.push(part.value);
				}
			}
			for (const message of script) {
				if (message === reset) {
					throw new Error('the stream was reset');
				}
				if (typeof message === 'function') {
					message();
					signal.throwIfAborted();
					continue;
				}
				yield message;
			}
		};
		return this.forwardTo({
			session: { connect: () => Promise.resolve('open') },
			client: { forwardRequest },
		} as unknown as PeerConnection);
	}

	/** Forwards the request over a connection to a peer. */
	async forwardTo(peer: PeerConnection): Promise<ForwardEnd> {
		const route = { to: 'entry-9' as InstanceId, peer, reason: 'sooner there' };
		return new ForwardRun(this.run, route, sender, true, this.timers).forward();
	}

	/** Lets the answer go on elsewhere after a forward has failed. */
	markInterrupted(): void {
		const { run } = this;
		const isAnswering = run.lifecycle.getState() === RequestState.Answering;
		run.markInterrupted();
		run.lifecycle.send(isAnswering ? RequestEvent.Interrupt : RequestEvent.Retry);
	}
}

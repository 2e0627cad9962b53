/**
 * Test fixtures: a router whose policy sends requests to a peer of another region, which connects and answers as the test says.
 */

import { SeededRandom } from '../../../../base/common/random';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type { InstanceId, ManifestVersion, RegionName, RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import type {
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../../gen/anvilroad/peer/v1/peer_pb';
import type { CallHead } from '../../../common/callers/callHead';
import type { IKeyCheck } from '../../../common/keys/keyConfirmation';
import { noKeyCheck } from '../../../common/keys/keyConfirmation';
import { openStartGate } from '../../../common/intake/test/startGates';
import { noAttempts } from '../../../common/requests/attemptHistory';
import { RequestLifecycle } from '../../../common/requests/requestLifecycle';
import type { RemoteOffer, SendAwayContext } from '../../../common/sendAway/sendAwayPolicy';
import { RemoteEnd } from '../../../common/sendAway/sendAwayPolicy';
import { WorkScheduler } from '../../../common/workScheduling/workScheduler';
import type { PeerConnection } from '../../peers/peerClients';
import { createFaultMessage } from '../../peers/peerSink';
import type { TicketService } from '../../tickets/ticketService';
import type { IRouterContext } from '../requestRouter';
import { RequestRouter } from '../requestRouter';
import type { AcceptedCall, RequestEnd } from '../requestRun';
import { RequestRun } from '../requestRun';
import type { Flow } from './flowFixtures';
import { CapturingSink, createCall, createFlow, createObserver, createPlan } from './flowFixtures';
import { createPosition } from '../../../common/workScheduling/test/fleetPositions';

const region = 'kingston' as RegionName;
const peerInstance = 'entry-9' as InstanceId;
export const timeLimitMs = 1_500;

export const offer: RemoteOffer = {
	instance: peerInstance,
	region: 'montego' as RegionName,
	room: { waitMs: 10, freeSlots: 4, running: 0, queued: 0 },
	ageMs: 0,
	oneWayMs: 55,
	linkBytesPerMs: 100,
};

/** A peer that connects and answers when the test says so. */
interface ScriptedPeer {
	readonly connection: PeerConnection;
	readonly requests: ForwardRequestRequest[];
	acceptConnection(): void;
	answer(...messages: readonly ForwardRequestResponse[]): void;
	isCancelled(): boolean;
}

function createPeer(): ScriptedPeer {
	const requests: ForwardRequestRequest[] = [];
	let resolveConnect: (state: string) => void = () => undefined;
	let resolveAnswer: (messages: readonly ForwardRequestResponse[]) => void = () => undefined;
	let isCancelled = false;
	const connected = new Promise<string>(resolve => {
		resolveConnect = resolve;
	});
	const forwardRequest = async function* forward(
		sent: AsyncIterable<ForwardRequestRequest>,
		{ signal }: { signal: AbortSignal },
	): AsyncGenerator<ForwardRequestResponse> {
		for await (const message of sent) {
			requests.push(message);
		}
		yield* await new Promise<readonly ForwardRequestResponse[]>((resolve, reject) => {
			resolveAnswer = resolve;
			signal.addEventListener('abort', () => {
				isCancelled = true;
				reject(new Error('cancelled'));
			});
		});
	};
	return {
		connection: {
			session: { connect: () => connected },
			client: { forwardRequest },
		} as unknown as PeerConnection,
		requests,
		acceptConnection: () => {
			resolveConnect('open');
		},
		answer: (...messages) => {
			resolveAnswer(messages);
		},
		isCancelled: () => isCancelled,
	};
}

interface ForwardFixture {
	readonly flow: Flow;
	readonly peer: ScriptedPeer;
	readonly ends: RequestEnd[];
	/** The ends of forwards that the policy received. */
	readonly remoteEnds: RemoteEnd[];
	/** Dispatches a request that the policy sends to the peer. */
	dispatch(limitMs?: number, headChange?: Partial<CallHead>): CapturingSink;
	/** Whether the offers were limited to entries that confirm keys, for each time they were listed. */
	readonly keyedOffers: boolean[];
	/** Advances the clock, then lets pending promises run. */
	advance(durationMs: number): Promise<void>;
}

export function createFixture(startGate = openStartGate, keys: IKeyCheck = noKeyCheck): ForwardFixture {
	const flow = createFlow(
		1,
		RepeatRule.Idempotent,
		new WorkScheduler(new SeededRandom(7), () => createPosition(1)),
		undefined,
		openStartGate,
		keys,
	);
	const { timers } = flow;
	const peer = createPeer();
	const ends: RequestEnd[] = [];
	const remoteEnds: RemoteEnd[] = [];
	const keyedOffers: boolean[] = [];
	const journal = new RingRequestJournal(100, () => new Date(0));
	const context = {
		getRunner: () => flow.runner,
		getSendAwayPolicy: () => ({
			decide: ({ offers }: SendAwayContext) => ({ sendTo: offers[0]?.instance, reason: 'sooner there' }),
			recordEnd: (_instance: unknown, end: RemoteEnd) => {
				remoteEnds.push(end);
			},
		}),
		listOffers: (_service: unknown, _required: unknown, isKeyed: boolean) => {
			keyedOffers.push(isKeyed);
			return [offer];
		},
		findStreamOrigin: () => new Promise(() => undefined),
		isCut: () => false,
		pickNeighbour: () => undefined,
		isCountingAttempts: () => true,
		noteRelayEnd: () => undefined,
		setFallback: () => undefined,
		findOwnerRegion: () => undefined,
		findPeer: () => peer.connection,
		findRegion: () => undefined,
		describeSender: () => ({
			instance: 'entry-1' as InstanceId,
			region,
			manifestVersion: 1 as ManifestVersion,
		}),
		openRun: (call: AcceptedCall, sink: CapturingSink) => {
			journal.open(call.id, { service: 'bookings', organisation: 'a', requestClass: 'normal' }, 0);
			return new RequestRun(call, new RequestLifecycle(), sink, journal, timers, createObserver(ends, []));
		},
	} as unknown as IRouterContext;
	const router = new RequestRouter(context, {} as unknown as TicketService, timers, startGate, keys);
	const plan = { ...createPlan(RepeatRule.Idempotent), homeRegion: undefined };
	return {
		flow,
		peer,
		ends,
		remoteEnds,
		keyedOffers,
		dispatch: (limitMs = timeLimitMs, headChange = {}) => {
			const sink = new CapturingSink();
			const nowMs = timers.getNow();
			const call = createCall('forwarded-1' as RequestId, plan, 'work', nowMs);
			const head = { ...call.head, ...headChange };
			router.dispatch({ ...call, head, deadlineMs: nowMs + limitMs }, sink);
			return sink;
		},
		advance: async durationMs => {
			timers.advance(durationMs);
			await flow.waitForPromises();
		},
	};
}

export function createGiveBack(): ForwardRequestResponse {
	return createFaultMessage(
		createRequestError(ErrorKind.DeadlineUnreachable, 'no target had capacity in time'),
		noAttempts,
	);
}

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type { InstanceId, RegionName, RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { RoutedCall } from '../../../common/callers/callHead';
import { openStartGate } from '../../../common/intake/test/startGates';
import { RequestLifecycle } from '../../../common/requests/requestLifecycle';
import type { RemoteOffer, SendAwayContext, SendAwayDecision } from '../../../common/sendAway/sendAwayPolicy';
import type { TicketService } from '../../tickets/ticketService';
import type { IRouterContext } from '../requestRouter';
import { RequestRouter } from '../requestRouter';
import { RequestRun } from '../requestRun';
import { CapturingSink, createCall, createObserver, createPlan } from './flowFixtures';
import { createFixture } from './forwardFixtures';

const region = 'kingston' as RegionName;

function createOffers(count: number): RemoteOffer[] {
	return Array.from({ length: count }, (_, index) => ({
		instance: `entry-${index}` as InstanceId,
		region: 'montego' as RegionName,
		room: { waitMs: 10, freeSlots: 4, running: 0, queued: 0 },
		ageMs: 0,
		oneWayMs: 55,
		linkBytesPerMs: 100,
	}));
}

/** Dispatches requests with a policy and returns how many offers were created for them. */
function countCreatedOffers(
	fleetSize: number,
	requests: number,
	decide: (context: SendAwayContext) => SendAwayDecision,
): number {
	const timers = new ManualTimerService();
	const journal = new RingRequestJournal(100, () => new Date(0));
	let created = 0;
	const runner = {
		measureRoom: () => ({ waitMs: 0, freeSlots: 8, running: 0, queued: 0 }),
		hasTarget: () => true,
		submit: () => undefined,
	};
	const context = {
		getRunner: () => runner,
		getSendAwayPolicy: () => ({ decide, recordEnd: () => undefined }),
		listOffers: () => {
			created += fleetSize;
			return createOffers(fleetSize);
		},
		isCut: () => false,
		pickNeighbour: () => undefined,
		isCountingAttempts: () => true,
		noteRelayEnd: () => undefined,
		setFallback: () => undefined,
		findOwnerRegion: () => undefined,
		findPeer: () => undefined,
		describeSender: () => ({ region }),
		openRun: (call: RequestRun['call']) => {
			journal.open(call.id, { service: 'bookings', organisation: 'a', requestClass: 'normal' }, 0);
			return new RequestRun(
				call,
				new RequestLifecycle(),
				new CapturingSink(),
				journal,
				timers,
				createObserver([], []),
			);
		},
	} as unknown as IRouterContext;
	const router = new RequestRouter(context, {} as unknown as TicketService, timers, openStartGate);
	const plan = { ...createPlan(RepeatRule.Idempotent), homeRegion: undefined };
	for (let index = 0; index < requests; index++) {
		router.dispatch(createCall(`request-${index}` as RequestId, plan, 'work', 0), new CapturingSink());
	}
	return created;
}

describe('the offers of other regions', () => {
	// Guards against work for each entry of other regions on every request, also on those that are kept here.
	it.each([10, 85, 300])('of %i entries are not created for requests that are kept', size => {
		const keep = (): SendAwayDecision => ({ sendTo: undefined, reason: 'in time here' });
		expect(countCreatedOffers(size, 130, keep)).toBe(0);
	});

	it.each([10, 85, 300])('of %i entries are created once for a request that may be sent away', size => {
		const compare = ({ offers }: SendAwayContext): SendAwayDecision => ({
			sendTo: undefined,
			reason: `${offers.length} offers`,
		});
		expect(countCreatedOffers(size, 130, compare)).toBe(size * 130);
	});
});

describe('a request to resume a stream whose origin nobody tells', () => {
	// Guards against callers that wait beyond their deadline for entries that are asked for the origin.
	it('is refused at its deadline', async () => {
		const { dispatch, advance } = createFixture();
		const limitMs = 200;
		const route = { kind: RouteKind.Stream, isResumable: true, attempts: 3, firstByteAimMs: 500 };
		const routed = { route, callerRequestId: 'r1', lastEventId: '3' } as RoutedCall;
		const sink = dispatch(limitMs, { routed });
		await advance(limitMs - 1);
		expect(sink.refusal).toBeUndefined();
		await advance(1);
		expect(sink.refusal?.kind).toBe(ErrorKind.StreamUnknown);
	});
});

/**
 * Creates a call handler with scripted targets: the ledger, router, journal and metrics are real, the network is not.
 */

import { ok } from 'neverthrow';
import { SeededRandom } from '../../../base/common/random';
import { RingRequestJournal } from '../../../core/explain/common/ringRequestJournal';
import type {
	BootId,
	InstanceId,
	KeyDigest,
	ManifestVersion,
	OrganisationName,
	RegionName,
	RequestId,
	ServiceName,
	ZoneName,
} from '../../../core/ids/common/ids';
import { RepeatRule } from '../../../core/manifest/common/manifest';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { SentAwayResult } from '../../../core/telemetry/common/entryMetricLabels';
import { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import { AtMostOnceLedger } from '../../common/atMostOnce/atMostOnceLedger';
import type { CallHead } from '../../common/callers/callHead';
import { NativeCallerDialect } from '../../common/dialect/nativeCallerDialect';
import type { IKeyDigests } from '../../common/keys/keyDigests';
import type { LookupCandidate } from '../fleet/entryFleet';
import type { RequestWorkCounts } from '../../common/eventLoop/workCounts';
import type { IKeyCheck } from '../../common/keys/keyConfirmation';
import { noKeyCheck } from '../../common/keys/keyConfirmation';
import { openStartGate } from '../../common/intake/test/startGates';
import { ManifestIndex } from '../../common/placement/manifestIndex';
import { NeverSendAwayPolicy } from '../../common/sendAway/sendAwayPolicy';
import { formatTicket } from '../../common/tickets/ticket';
import { TicketIssuer } from '../../common/tickets/ticketIssuer';
import { CallHandler } from '../callHandler';
import { HeldBytes } from '../callers/bodyReader';
import { createKeyDigests } from '../keys/test/keyDigestFixtures';
import type { PeerConnection } from '../peers/peerClients';
import { ActiveRuns } from '../requests/activeRuns';
import type { IRouterContext } from '../requests/requestRouter';
import { RequestRouter } from '../requests/requestRouter';
import type { Flow } from '../requests/test/flowFixtures';
import { createFlow, createFlowManifest, CapturingSink } from '../requests/test/flowFixtures';
import { HmacTicketSigner } from '../tickets/hmacTicketSigner';
import { TicketService } from '../tickets/ticketService';

const own = { instance: 'entry-1' as InstanceId, boot: 'boot1' as BootId };
const region = 'kingston' as RegionName;
const zone = 'kingston-a' as ZoneName;
const neighbour = { own: { instance: 'entry-2' as InstanceId, boot: 'boot2' as BootId }, region };

/** A peer whose connections always fail. */
const closedPeer = { session: { connect: () => Promise.resolve('error') } } as unknown as PeerConnection;

/** A call handler and the components that tests inspect. */
export interface HandlerFixture {
	readonly handler: CallHandler;
	readonly flow: Flow;
	readonly journal: RingRequestJournal;
	readonly heldBytes: HeldBytes;
	/** Renders the metrics page. */
	render(): Promise<string>;
	getWorkCounts(): RequestWorkCounts;
	/** Issues a ticket of this entry, or of another entry in its region. */
	issue(issuer?: 'own' | 'neighbour'): string;
	/** Sends a call as a caller's connection would. */
	send(ticket: string | undefined, body?: string, keyDigest?: KeyDigest): CapturingSink;
	setLeaving(): void;
}

/** Creates a handler with scripted targets, by default one. */
export function createHandlerFixture(
	repeat = RepeatRule.AtMostOnce,
	maxHeldBytes = 1_000,
	keys: IKeyCheck = noKeyCheck,
	manifest = createFlowManifest(repeat),
	keyDigests: IKeyDigests = createKeyDigests(),
	targets = 1,
): HandlerFixture {
	const flow = createFlow(targets, repeat, undefined, undefined, openStartGate, keys);
	const { timers } = flow;
	const metrics = new EntryMetrics({ version: '1', instance: own.instance, region, zone });
	metrics.setServices(['bookings']);
	const journal = new RingRequestJournal(100, () => new Date(0));
	const heldBytes = new HeldBytes(maxHeldBytes);
	const runs = new ActiveRuns(journal, metrics, heldBytes, timers, { noteBegun: () => undefined });
	const signer = new HmacTicketSigner('a key of today');
	const tickets = new TicketService(
		{ own, region },
		signer,
		new TicketIssuer(own, signer, 120_000),
		new AtMostOnceLedger(own, { maxAnswerBytes: 1_000, maxTickets: 10 }),
		{ findEntry: instance => (instance === neighbour.own.instance ? neighbour : undefined) },
	);
	const router = new RequestRouter(
		createRouterContext(flow, runs, metrics),
		tickets,
		timers,
		openStartGate,
		keys,
	);
	let isLeaving = false;
	const index = new ManifestIndex(manifest);
	const accepted = { version: 1 as ManifestVersion, digest: '', document: '', manifest, source: 'platform' };
	const createCandidate = (instance: InstanceId): LookupCandidate => ({
		instance,
		region,
		zone,
		callerUrl: 'http://127.0.0.1:1',
		isLeaving: isLeaving && instance === own.instance,
		isSuspect: false,
		room: undefined,
		ageMs: 0,
	});
	const handler = new CallHandler(
		{ id: own.instance, region, zone, boot: own.boot },
		new NativeCallerDialect(keyDigests),
		{ getCurrent: () => ({ accepted, index }) },
		{
			listCandidates: () => [createCandidate(neighbour.own.instance)],
			receiveViews: () => [],
			receiveCrashReport: () => undefined,
		},
		{
			describeCandidate: () => createCandidate(own.instance),
			isLeaving: () => isLeaving,
			isRefusing: () => isLeaving,
			getLatestEndMs: () => Number.POSITIVE_INFINITY,
		},
		{ findHold: () => undefined },
		tickets,
		router,
		runs,
		{ listMissing: () => [] },
		{ receive: () => undefined, answer: () => undefined },
		metrics,
		timers,
		new SeededRandom(1),
		{ admit: (_, plan) => ok(plan) },
		keys,
	);
	return {
		handler,
		flow,
		journal,
		heldBytes,
		render: () => metrics.render(),
		getWorkCounts: () => runs.getWorkCounts(),
		issue: (issuer = 'own') =>
			issuer === 'own'
				? tickets.issueBatch(1, timers.getNow())[0]!
				: formatTicket({ issuer: neighbour.own, number: 1, expiresMs: 120_000 }, signer),
		send: (ticket, body = 'pay', keyDigest) =>
			sendCall(handler, { ...createHead(ticket), ...(keyDigest === undefined ? {} : { keyDigest }) }, body),
		setLeaving: () => {
			isLeaving = true;
		},
	};
}

function createRouterContext(flow: Flow, runs: ActiveRuns, metrics: EntryMetrics): IRouterContext {
	return {
		getRunner: () => flow.runner,
		getSendAwayPolicy: () => new NeverSendAwayPolicy(),
		isCut: () => false,
		pickNeighbour: () => undefined,
		isCountingAttempts: () => true,
		isConfirmingKeys: () => true,
		noteRelayEnd: () => undefined,
		setFallback: () => undefined,
		listOffers: () => [],
		findStreamOrigin: async () => Promise.resolve(undefined),
		findPeer: () => closedPeer,
		findRegion: () => region,
		findOwnerRegion: () => undefined,
		describeSender: () => ({ instance: own.instance, region, manifestVersion: 1 as ManifestVersion }),
		openRun: (call, sink) => runs.open(call, sink),
		noteForwardEnd: (service, to) => {
			metrics.noteSentAway(service, to, SentAwayResult.Failed);
		},
		noteTicket: result => {
			metrics.noteTicket(result);
		},
		recordRefused: (call, error) => {
			runs.recordRefused(call, error);
		},
	};
}

function createHead(ticket: string | undefined): CallHead {
	return {
		service: 'bookings' as ServiceName,
		organisation: 'harbour-hotel' as OrganisationName,
		requestClass: RequestClass.Normal,
		method: 'POST',
		path: '/pay',
		deadlineMs: 30_000,
		prefixKey: undefined,
		ticket,
		forwardedLines: [],
	};
}

function sendCall(handler: CallHandler, head: CallHead, body: string): CapturingSink {
	const sink = new CapturingSink();
	const plan = handler.plan(head);
	if (plan.isErr()) {
		sink.refuse(head.ticket === undefined ? plan.error : handler.refuseTicketedCall(head.ticket, plan.error));
		return sink;
	}
	const id: RequestId = handler.createRequestId();
	const times = { arrivedMs: 0, deadlineMs: 30_000, isDeadlineGiven: true };
	handler.accept({ id, head, plan: plan.value, body: Buffer.from(body), ...times, origin: undefined }, sink);
	return sink;
}

/**
 * Test fixture: an entry whose targets and peers send random runs of one stream to one caller.
 */

import { setImmediate } from 'node:timers/promises';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type {
	InstanceId,
	ManifestVersion,
	RegionName,
	RequestId,
	ServiceName,
	SoftwareVersion,
	TargetId,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { RoutedCall } from '../../../common/callers/callHead';
import { NativeTargetDialect } from '../../../common/dialect/nativeTargetDialect';
import { openStartGate } from '../../../common/intake/test/startGates';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { RequestLifecycle } from '../../../common/requests/requestLifecycle';
import type { SchedulableTarget } from '../../../common/scheduling/serviceScheduler';
import type { RemoteOffer, SendAwayContext } from '../../../common/sendAway/sendAwayPolicy';
import { createPosition } from '../../../common/workScheduling/test/fleetPositions';
import { WorkScheduler } from '../../../common/workScheduling/workScheduler';
import type { ITargetClient } from '../../targets/targetClient';
import type { TicketService } from '../../tickets/ticketService';
import { CrashDetector } from '../crashDetector';
import type { IRouterContext } from '../requestRouter';
import { RequestRouter } from '../requestRouter';
import type { AcceptedCall } from '../requestRun';
import { RequestRun } from '../requestRun';
import { ServiceRunner } from '../serviceRunner';
import type { ReceivedAnswer, SentRun } from './answerOracle';
import { createCall, createObserver, createPlan } from './flowFixtures';
import { JudgedSink } from './judgedSink';
import { createRandomPeer } from './randomPeer';
import { RandomRunSource } from './randomRunSource';
import type { RandomAnswer } from './randomRuns';
import { RunWay } from './randomRuns';
import { createRandomTarget } from './randomTarget';

const service = 'bookings' as ServiceName;
/** The version of all targets. */
export const version = 'v1' as SoftwareVersion;
const targetIds = ['bookings-1', 'bookings-2', 'bookings-3'].map(id => id as TargetId);
const offers: readonly RemoteOffer[] = ['entry-7', 'entry-8', 'entry-9'].map(instance => ({
	instance: instance as InstanceId,
	region: 'montego' as RegionName,
	room: { waitMs: 10, freeSlots: 4, running: 0, queued: 0 },
	ageMs: 0,
	oneWayMs: 5,
	linkBytesPerMs: 100,
}));
/** Heads of streams without framing after which these are usual. */
const usualHeads = 60;
const stepMs = 400;
const maxSteps = 200;
const turnsPerStep = 4;

export interface RandomOutcome {
	readonly sent: readonly SentRun[];
	readonly received: ReceivedAnswer;
	/** The steps of the request's journal, to trace it. */
	readonly steps: readonly string[];
}

/** A target in use whose version is certain. */
export function createTarget(id: TargetId): SchedulableTarget {
	return {
		id,
		zone: 'kingston-a' as ZoneName,
		isSameZone: true,
		slots: 8,
		share: 1,
		isLeaving: false,
		registered: {
			generation: 1,
			coldUntilMs: Number.NEGATIVE_INFINITY,
			coldRequestsPerSecond: Number.POSITIVE_INFINITY,
			entries: 1,
			senderRank: 0,
			endsMs: Number.POSITIVE_INFINITY,
			cacheTokens: 0,
			version,
			findCertainVersion: () => version,
		},
	};
}

/** One entry with one request. */
class RandomEntry {
	private readonly timers = new ManualTimerService();
	private readonly journal = new RingRequestJournal(10, () => new Date(0));
	private readonly crashedTargets = new Set<TargetId>();
	private readonly source: RandomRunSource;
	private readonly sink: JudgedSink;
	private request: RequestRun | undefined;

	constructor(private readonly answer: RandomAnswer) {
		this.source = new RandomRunSource(answer);
		this.sink = new JudgedSink(answer.writesPerPause);
	}

	async run(): Promise<RandomOutcome> {
		const runner = this.createRunner();
		for (let head = 0; head < (this.answer.isUnframedUsual ? usualHeads : 0); head++) {
			runner.confirmations.noteHead(false);
		}
		const call = this.createCall();
		this.createRouter(runner).dispatch(call, this.sink);
		for (let step = 0; step < maxSteps && !this.sink.isOver(); step++) {
			await waitTurns();
			this.timers.advance(this.sink.isOver() ? 0 : stepMs);
		}
		await waitTurns();
		runner.dispose();
		const entries = this.journal.find(call.id)?.entries ?? [];
		return {
			sent: this.source.sent,
			received: this.sink.describe(),
			steps: entries.map(({ step, detail }) => `${step} ${detail}`),
		};
	}

	private createCall(): AcceptedCall {
		const plan = { ...createPlan(RepeatRule.Idempotent), homeRegion: undefined };
		const call = createCall('random-1' as RequestId, plan, 'work', this.timers.getNow());
		const route = { kind: RouteKind.Stream, isResumable: true, attempts: 3, firstByteAimMs: 500 };
		const routed = { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0 } as RoutedCall;
		return { ...call, head: { ...call.head, routed } };
	}

	private createRunner(): ServiceRunner {
		const { timers, crashedTargets } = this;
		const runner = new ServiceRunner(
			new WorkScheduler(new SeededRandom(7), () => createPosition(1)),
			{
				findClient: id => this.createClient(id),
				findAddress: () => undefined,
				findSoftware: () => undefined,
				observeVersion: () => () => version,
				noteAnswerHead: () => undefined,
				noteAttemptEnd: () => undefined,
			},
			new CrashDetector(
				new Quarantine(),
				target => Promise.resolve(crashedTargets.has(target)),
				() => Promise.resolve(),
				timers,
			),
			new NativeTargetDialect(),
			timers,
			openStartGate,
			{ noteSent: () => undefined, noteAnswer: () => undefined, noteTrouble: () => undefined },
		);
		runner.setTargets(targetIds.map(createTarget));
		return runner;
	}

	private createRouter(runner: ServiceRunner): RequestRouter {
		const context = {
			getRunner: () => runner,
			getSendAwayPolicy: () => ({
				decide: ({ offers: [offer] }: SendAwayContext) => ({
					sendTo: this.source.getNextWay() === RunWay.Forward ? offer?.instance : undefined,
					reason: 'drawn',
				}),
				recordEnd: () => undefined,
			}),
			listOffers: () => offers,
			isCut: () => false,
			pickNeighbour: () => undefined,
			isCountingAttempts: () => true,
			setFallback: () => undefined,
			findOwnerRegion: () => undefined,
			findPeer: () => createRandomPeer(this.source),
			findRegion: () => undefined,
			noteForwardEnd: () => undefined,
			describeSender: () => ({
				instance: 'entry-1' as InstanceId,
				region: 'kingston' as RegionName,
				manifestVersion: 1 as ManifestVersion,
			}),
			openRun: (call: AcceptedCall, sink: JudgedSink) => this.openRun(call, sink),
		} as unknown as IRouterContext;
		return new RequestRouter(context, {} as unknown as TicketService, this.timers, openStartGate);
	}

	private openRun(call: AcceptedCall, sink: JudgedSink): RequestRun {
		this.journal.open(call.id, { service, organisation: 'a', requestClass: 'normal' }, 0);
		const observer = createObserver([], []);
		this.request = new RequestRun(call, new RequestLifecycle(), sink, this.journal, this.timers, observer);
		return this.request;
	}

	private createClient(target: TargetId): ITargetClient {
		return createRandomTarget({
			source: this.source,
			findLastEventId: () => this.request?.getLastEventId(),
			noteCrash: () => this.crashedTargets.add(target),
		});
	}
}

async function waitTurns(): Promise<void> {
	for (let turn = 0; turn < turnsPerStep; turn++) {
		await setImmediate();
	}
}

export async function runAnswer(answer: RandomAnswer): Promise<RandomOutcome> {
	return new RandomEntry(answer).run();
}

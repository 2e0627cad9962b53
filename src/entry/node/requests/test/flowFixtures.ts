/**
 * A service runner between scripted targets and a sink that remembers what its caller received.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { RequestError } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type {
	OrganisationName,
	RequestId,
	ServiceName,
	TargetId,
	ZoneName,
} from '../../../../core/ids/common/ids';
import type { Manifest } from '../../../../core/manifest/common/manifest';
import { checkManifest, RepeatRule } from '../../../../core/manifest/common/manifest';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import type { AnswerHead, IAnswerSink } from '../../../common/callers/answerSink';
import { NativeTargetDialect } from '../../../common/dialect/nativeTargetDialect';
import { planCall } from '../../../common/placement/callPlan';
import { ManifestIndex } from '../../../common/placement/manifestIndex';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { RequestEvent, RequestLifecycle } from '../../../common/requests/requestLifecycle';
import { ServiceScheduler } from '../../../common/scheduling/scheduler';
import type { AttemptRequest, IAttempt, IAttemptObserver, ITargetClient } from '../../targets/targetClient';
import { CrashWatch } from '../crashWatch';
import type { AcceptedCall, IRunObserver, RequestEnd } from '../requestRun';
import { RequestRun } from '../requestRun';
import { ServiceRunner } from '../serviceRunner';

/** One attempt as a scripted target sees it. */
export interface SeenAttempt {
	readonly target: TargetId;
	readonly request: AttemptRequest;
	readonly observer: IAttemptObserver;
	cancelled: string | undefined;
	/** The rest of its answer is read and dropped, and its connection is used again. */
	isReleased: boolean;
	resumed: number;
}

/** What a caller received. */
export class RememberingSink implements IAnswerSink {
	head: AnswerHead | undefined;
	text = '';
	hasEnded = false;
	isCut = false;
	refusal: RequestError | undefined;
	isReading = true;
	drain: (() => void) | undefined;
	abandon: (() => void) | undefined;

	begin(head: AnswerHead): void {
		this.head = head;
	}

	write(chunk: Uint8Array): boolean {
		this.text += Buffer.from(chunk).toString();
		return this.isReading;
	}

	waitForDrain(resume: () => void): void {
		this.drain = resume;
	}

	end(): void {
		this.hasEnded = true;
	}

	cut(): void {
		this.isCut = true;
	}

	refuse(error: RequestError): void {
		this.refusal = error;
	}

	watchAbandoned(notify: () => void): void {
		this.abandon = notify;
	}
}

/** The whole arrangement. */
export interface Flow {
	readonly timers: ManualTimerService;
	readonly runner: ServiceRunner;
	readonly attempts: SeenAttempt[];
	readonly renewed: TargetId[];
	readonly dead: Set<TargetId>;
	/** Attempts made each time that the region was told of a death. */
	readonly toldAfter: number[];
	readonly ends: RequestEnd[];
	/** What was counted of the requests, in its order, but for their ends. */
	readonly counted: string[];
	submit(body?: string): RememberingSink;
	/** Lets promises that are due waitForPromises. */
	waitForPromises(): Promise<void>;
}

/** One region, one organisation and one plain service. */
export function createFlowManifest(repeat: RepeatRule): Manifest {
	return checkManifest({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [{ name: 'bookings', kind: 'plain', residency: 'home', repeat }],
	})._unsafeUnwrap();
}

function createPlan(repeat: RepeatRule): AcceptedCall['plan'] {
	const manifest = createFlowManifest(repeat);
	const call = {
		service: 'bookings' as ServiceName,
		organisation: 'harbour-hotel' as OrganisationName,
		method: 'POST',
		path: '/run',
	};
	return planCall(new ManifestIndex(manifest), manifest.regions[0]!.name, call)._unsafeUnwrap();
}

function createClient(target: TargetId, attempts: SeenAttempt[], renewed: TargetId[]): ITargetClient {
	return {
		send(request, observer): IAttempt {
			const seen: SeenAttempt = {
				target,
				request,
				observer,
				cancelled: undefined,
				isReleased: false,
				resumed: 0,
			};
			attempts.push(seen);
			return {
				resume: () => seen.resumed++,
				cancel: reason => {
					seen.cancelled = reason;
				},
				release: () => {
					seen.isReleased = true;
				},
			};
		},
		renewConnections: () => renewed.push(target),
	};
}

/** Builds a runner before `targets` scripted targets. */
export function createFlow(targets: number, repeat = RepeatRule.Idempotent): Flow {
	const timers = new ManualTimerService();
	const attempts: SeenAttempt[] = [];
	const renewed: TargetId[] = [];
	const dead = new Set<TargetId>();
	const toldAfter: number[] = [];
	const ends: RequestEnd[] = [];
	const counted: string[] = [];
	const ids = Array.from({ length: targets }, (_, index) => `bookings-${index + 1}` as TargetId);
	const clients = new Map(ids.map(id => [id, createClient(id, attempts, renewed)]));
	const crashes = new CrashWatch(
		new Quarantine(),
		target => Promise.resolve(dead.has(target)),
		() => {
			toldAfter.push(attempts.length);
			return Promise.resolve();
		},
		timers,
	);
	const directory = {
		findClient: (id: TargetId) => clients.get(id),
		findAddress: () => undefined,
		noteAnswerHead: () => undefined,
		noteAttemptEnd: () => undefined,
	};
	const scheduler = new ServiceScheduler(new SeededRandom(7));
	const runner = new ServiceRunner(scheduler, directory, crashes, new NativeTargetDialect(), timers);
	const zone = 'kingston-a' as ZoneName;
	runner.setTargets(ids.map(id => ({ id, zone, isSameZone: true, slots: 8, share: 1, isLeaving: false })));
	const journal = new RingRequestJournal(100, () => new Date(0));
	const plan = createPlan(repeat);
	const observer = createObserver(ends, counted);
	let submitted = 0;
	const submit = (body = 'work'): RememberingSink => {
		submitted++;
		const sink = new RememberingSink();
		const call = createCall(`request-${submitted}` as RequestId, plan, body, timers.getNow());
		journal.open(call.id, { service: 'bookings', organisation: 'harbour-hotel', requestClass: 'normal' }, 0);
		const run = new RequestRun(call, new RequestLifecycle(), sink, journal, timers, observer);
		run.life.send(RequestEvent.AcceptHead);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submit(run);
		return sink;
	};
	const waitForPromises = async (): Promise<void> => {
		await new Promise(resolve => setImmediate(resolve));
	};
	return { timers, runner, attempts, renewed, dead, toldAfter, ends, counted, submit, waitForPromises };
}

function createObserver(ends: RequestEnd[], counted: string[]): IRunObserver {
	return {
		noteQueueWait: (_, waitedMs) => counted.push(`waited ${waitedMs}`),
		noteAttemptEnd: (_, end) => counted.push(`attempt ${end}`),
		noteGap: (_, gapMs) => counted.push(`gap ${gapMs}`),
		noteEnd: (_, end) => ends.push(end),
	};
}

function createCall(id: RequestId, plan: AcceptedCall['plan'], body: string, nowMs: number): AcceptedCall {
	return {
		id,
		head: {
			service: 'bookings' as ServiceName,
			organisation: 'harbour-hotel' as OrganisationName,
			requestClass: RequestClass.Normal,
			method: 'POST',
			path: '/run',
			deadlineMs: 30_000,
			prefixKey: undefined,
			ticket: undefined,
			forwardedLines: [],
		},
		plan,
		body: Buffer.from(body),
		arrivedMs: nowMs,
		deadlineMs: nowMs + 30_000,
		isDeadlineGiven: true,
		origin: undefined,
	};
}

/** The attempt's own id, as it was sent to the target. */
export function getAttemptId(attempt: SeenAttempt): string {
	return attempt.request.lines.find(line => line.name === 'anvilroad-attempt')?.value ?? '';
}

/** Answers an attempt with one chunk; `status` and headers as given. */
export function beginAnswer(
	attempt: SeenAttempt,
	text: string,
	more: { status?: number; lines?: AnswerHead['lines'] } = {},
): void {
	attempt.observer.receiveHead({ status: more.status ?? 200, lines: more.lines ?? [] });
	attempt.observer.receiveData(Buffer.from(text));
}

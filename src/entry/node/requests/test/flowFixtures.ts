/**
 * Test fixtures: a service runner with scripted targets, and a sink that captures what the caller receives.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { RequestError } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type {
	KeyDigest,
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
import type { IStartGate } from '../../../common/intake/loopLagGate';
import type { IKeyCheck } from '../../../common/keys/keyConfirmation';
import { noKeyCheck } from '../../../common/keys/keyConfirmation';
import { openStartGate } from '../../../common/intake/test/startGates';
import { planCall } from '../../../common/placement/callPlan';
import { ManifestIndex } from '../../../common/placement/manifestIndex';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { RequestEvent, RequestLifecycle } from '../../../common/requests/requestLifecycle';
import { ServiceScheduler } from '../../../common/scheduling/scheduler';
import type { IServiceScheduler } from '../../../common/scheduling/serviceScheduler';
import type { AttemptRequest, IAttempt, IAttemptObserver, ITargetClient } from '../../targets/targetClient';
import { CrashDetector } from '../crashDetector';
import type { IRequestFallback } from '../requestFallback';
import { rejectingFallback } from '../requestFallback';
import type { AcceptedCall, IRunObserver, RequestEnd } from '../requestRun';
import { RequestRun } from '../requestRun';
import { ServiceRunner } from '../serviceRunner';

/** One attempt as received by a scripted target. */
export interface CapturedAttempt {
	readonly target: TargetId;
	readonly request: AttemptRequest;
	readonly observer: IAttemptObserver;
	cancelled: string | undefined;
	/** Whether the rest of the answer is discarded so that the connection can be reused. */
	isReleased: boolean;
	resumeCount: number;
}

/** Captures what a caller receives. */
export class CapturingSink implements IAnswerSink {
	head: AnswerHead | undefined;
	text = '';
	hasEnded = false;
	isCut = false;
	refusal: RequestError | undefined;
	isReading = true;
	isReadingChunks = true;
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

	isCutHidden(): boolean {
		return !this.isReadingChunks;
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

/** A service runner with its scripted targets, and everything recorded about them. */
export interface Flow {
	readonly timers: ManualTimerService;
	readonly runner: ServiceRunner;
	readonly attempts: CapturedAttempt[];
	readonly renewedTargets: TargetId[];
	readonly crashedTargets: Set<TargetId>;
	/** How long the check whether a target has crashed takes. */
	probeMs: number;
	/** The number of attempts so far, each time a crash was shared with the region. */
	readonly attemptCountsWhenShared: number[];
	readonly ends: RequestEnd[];
	/** Measurements reported to the run observer, in order, except for the ends of requests. */
	readonly observations: string[];
	/** The steps of all requests. */
	readonly journal: RingRequestJournal;
	/** Submits a request, by default with an id of its own. */
	submit(body?: string, id?: string, keyDigest?: KeyDigest): CapturingSink;
	/** Waits until pending promise callbacks have run. */
	waitForPromises(): Promise<void>;
}

/** Creates a manifest with one region, one organisation and one plain service. */
export function createFlowManifest(repeat: RepeatRule): Manifest {
	return checkManifest({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [{ name: 'bookings', kind: 'plain', residency: 'home', repeat }],
	})._unsafeUnwrap();
}

/** Creates the plan of a call to the service of `createFlowManifest`. */
export function createPlan(repeat: RepeatRule): AcceptedCall['plan'] {
	const manifest = createFlowManifest(repeat);
	const call = {
		service: 'bookings' as ServiceName,
		organisation: 'harbour-hotel' as OrganisationName,
		method: 'POST',
		path: '/run',
	};
	return planCall(new ManifestIndex(manifest), manifest.regions[0]!.name, call)._unsafeUnwrap();
}

function createClient(
	target: TargetId,
	attempts: CapturedAttempt[],
	renewedTargets: TargetId[],
): ITargetClient {
	return {
		send(request, observer): IAttempt {
			const captured: CapturedAttempt = {
				target,
				request,
				observer,
				cancelled: undefined,
				isReleased: false,
				resumeCount: 0,
			};
			attempts.push(captured);
			return {
				resume: () => captured.resumeCount++,
				cancel: reason => {
					captured.cancelled = reason;
				},
				release: () => {
					captured.isReleased = true;
				},
			};
		},
		renewConnections: () => renewedTargets.push(target),
	};
}

/** Creates a runner with the given number of scripted targets. */
export function createFlow(
	targets: number,
	repeat = RepeatRule.Idempotent,
	scheduler: IServiceScheduler = new ServiceScheduler(new SeededRandom(7)),
	timers = new ManualTimerService(),
	startGate: IStartGate = openStartGate,
	keys: IKeyCheck = noKeyCheck,
	fallback: IRequestFallback = rejectingFallback,
): Flow {
	const attempts: CapturedAttempt[] = [];
	const renewedTargets: TargetId[] = [];
	const crashedTargets = new Set<TargetId>();
	const attemptCountsWhenShared: number[] = [];
	const ends: RequestEnd[] = [];
	const observations: string[] = [];
	const ids = Array.from({ length: targets }, (_, index) => `bookings-${index + 1}` as TargetId);
	const clients = new Map(ids.map(id => [id, createClient(id, attempts, renewedTargets)]));
	const crashDetector = new CrashDetector(
		new Quarantine(),
		async target => {
			if (flow.probeMs > 0) {
				await new Promise<void>(resolve => timers.schedule(flow.probeMs, resolve));
			}
			return crashedTargets.has(target);
		},
		() => {
			attemptCountsWhenShared.push(attempts.length);
			return Promise.resolve();
		},
		timers,
	);
	const directory = {
		findClient: (id: TargetId) => clients.get(id),
		findAddress: () => undefined,
		findSoftware: () => undefined,
		observeVersion: () => () => undefined,
		noteAnswerHead: () => undefined,
		noteAttemptEnd: () => undefined,
	};
	const runner = new ServiceRunner(
		scheduler,
		directory,
		crashDetector,
		new NativeTargetDialect(),
		timers,
		startGate,
		{ noteSent: () => undefined, noteAnswer: () => undefined, noteTrouble: () => undefined },
		keys,
		undefined,
		fallback,
	);
	const zone = 'kingston-a' as ZoneName;
	runner.setTargets(ids.map(id => ({ id, zone, isSameZone: true, slots: 8, share: 1, isLeaving: false })));
	const journal = new RingRequestJournal(100, () => new Date(0));
	const plan = createPlan(repeat);
	const observer = createObserver(ends, observations);
	let submitted = 0;
	const submit = (body = 'work', id?: string, keyDigest?: KeyDigest): CapturingSink => {
		submitted++;
		const sink = new CapturingSink();
		const requestId = (id ?? `request-${submitted}`) as RequestId;
		const call = withKey(createCall(requestId, plan, body, timers.getNow()), keyDigest);
		journal.open(call.id, { service: 'bookings', organisation: 'harbour-hotel', requestClass: 'normal' }, 0);
		const run = new RequestRun(call, new RequestLifecycle(), sink, journal, timers, observer);
		run.lifecycle.send(RequestEvent.AcceptHead);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submit(run);
		return sink;
	};
	const waitForPromises = async (): Promise<void> => {
		await new Promise(resolve => setImmediate(resolve));
	};
	const flow: Flow = {
		timers,
		runner,
		attempts,
		renewedTargets,
		crashedTargets,
		probeMs: 0,
		attemptCountsWhenShared,
		ends,
		observations,
		journal,
		submit,
		waitForPromises,
	};
	return flow;
}

/** Creates an observer that records into the two lists. */
export function createObserver(ends: RequestEnd[], observations: string[]): IRunObserver {
	return {
		noteQueueWait: (_, waitedMs) => observations.push(`waited ${waitedMs}`),
		noteAttemptEnd: (_, end) => observations.push(`attempt ${end}`),
		noteAnswerChunk: () => undefined,
		noteFirstEvent: () => undefined,
		noteAnswerGap: (_, gapMs) => observations.push(`gap ${gapMs}`),
		noteEnd: (_, end) => ends.push(end),
	};
}

/** Creates a call with a deadline of 30 seconds. */
export function createCall(
	id: RequestId,
	plan: AcceptedCall['plan'],
	body: string,
	nowMs: number,
): AcceptedCall {
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

/** Returns the call with the digest of a key, if one is given. */
export function withKey(call: AcceptedCall, keyDigest: KeyDigest | undefined): AcceptedCall {
	return keyDigest === undefined ? call : { ...call, head: { ...call.head, keyDigest } };
}

/** Returns the attempt id that was sent to the target. */
export function getAttemptId(attempt: CapturedAttempt): string {
	return attempt.request.lines.find(line => line.name === 'anvilroad-attempt')?.value ?? '';
}

/** Sends the head and one chunk of an answer. */
export function beginAnswer(
	attempt: CapturedAttempt,
	text: string,
	more: { status?: number; lines?: AnswerHead['lines'] } = {},
): void {
	attempt.observer.receiveHead({ status: more.status ?? 200, lines: more.lines ?? [] });
	attempt.observer.receiveData(Buffer.from(text));
}

/** Sends an answer without framing whose connection then ends. */
export function answerUnframed({ observer }: CapturedAttempt): void {
	observer.noteHandedOver();
	observer.receiveHead({ status: 200, lines: [], endsWithConnection: true });
	observer.receiveData(Buffer.from('paid'));
	observer.noteCompleted();
}

export async function advance(flow: Flow, durationMs: number): Promise<void> {
	flow.timers.advance(durationMs);
	await flow.waitForPromises();
}

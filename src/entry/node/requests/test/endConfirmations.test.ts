import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type { RequestId, TargetId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { RoutedCall } from '../../../common/callers/callHead';
import { RequestEvent, RequestLifecycle } from '../../../common/requests/requestLifecycle';
import { AttemptEnd } from '../../../common/scheduling/serviceScheduler';
import type { AttemptRun } from '../attemptRun';
import { EndConfirmations } from '../endConfirmations';
import { RequestRun } from '../requestRun';
import { CapturingSink, createCall, createObserver, createPlan } from './flowFixtures';
import { createAnswerHead, createEvent, StreamRun } from './streamRuns';

/** Heads of streams that make ends without framing no longer rare, and not yet usual. */
const framedHeads = 30;
const unframedHeads = 24;
/** Ends in a row that proved right, after which only some are confirmed. */
const rightEnds = 8;

const failure = createRequestError(ErrorKind.TargetFailed, 'the target failed');

/** Creates a stream whose target has sent three events without framing. */
function createStream(): RequestRun {
	const journal = new RingRequestJournal(10, () => new Date(0));
	const call = createCall('request-1' as RequestId, createPlan(RepeatRule.Idempotent), 'work', 0);
	const route = { kind: RouteKind.Stream, isResumable: true, attempts: 3, firstByteAimMs: 500 };
	const routed = { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0 } as RoutedCall;
	const run = new RequestRun(
		{ ...call, head: { ...call.head, routed } },
		new RequestLifecycle(),
		new CapturingSink(),
		journal,
		new ManualTimerService(),
		createObserver([], []),
	);
	journal.open(call.id, { service: 'bookings', organisation: 'a', requestClass: 'normal' }, 0);
	const events = [RequestEvent.AcceptHead, RequestEvent.Enqueue, RequestEvent.Start, RequestEvent.HandOver];
	for (const event of events) {
		run.lifecycle.send(event);
	}
	const lines = [{ name: 'content-type', value: 'text/event-stream' }];
	run.begin({ status: 200, lines, endsWithConnection: true }, () => undefined);
	run.write(Buffer.from('id: 3\ndata: token-3\n\n'));
	return run;
}

/** Creates the confirmations of a service where a burst of streams had no framing. */
function createConfirmations(): EndConfirmations {
	const owner = { handleEarlyEnd: () => undefined, endConfirmation: () => true };
	const confirmations = new EndConfirmations(new ManualTimerService(), owner);
	for (let head = 0; head < framedHeads + unframedHeads; head++) {
		confirmations.noteHead(head < framedHeads);
	}
	return confirmations;
}

function createAttempt(run: RequestRun, target: string): Pick<AttemptRun, 'run' | 'target'> {
	return { run, target: target as TargetId };
}

/** Ends the stream uncertainly at a target. */
function endAt(confirmations: EndConfirmations, run: RequestRun, target: string): void {
	run.openEnd.noteEnd(() => confirmations.isAcceptable(run));
	confirmations.noteAttemptEnd(createAttempt(run, target), AttemptEnd.Unconfirmed, failure);
}

/** Ends another stream as its target with framing confirms it, after which ends are not doubtful. */
function endOther(confirmations: EndConfirmations): void {
	const other = createStream();
	endAt(confirmations, other, 'engine-8');
	confirmations.noteAttemptEnd(createAttempt(other, 'engine-9'), AttemptEnd.Answered, undefined);
}

describe('the equal ends of two targets after a target broke the stream off', () => {
	// Guards against broken-off streams that look complete because two targets that fail send nothing more of them.
	it('are no proof if its attempt failed', () => {
		const confirmations = createConfirmations();
		const run = createStream();
		confirmations.noteAttemptEnd(createAttempt(run, 'engine-1'), AttemptEnd.Failed, failure);
		endAt(confirmations, run, 'engine-2');
		endAt(confirmations, run, 'engine-3');
		expect(confirmations.isAcceptable(run)).toBe(false);
	});

	// Guards against the same after a crash, which ends a connection without a reset.
	it('are no proof if it crashed', () => {
		const confirmations = createConfirmations();
		const run = createStream();
		endAt(confirmations, run, 'engine-1');
		confirmations.noteCrash(run);
		endOther(confirmations);
		endAt(confirmations, run, 'engine-2');
		endAt(confirmations, run, 'engine-3');
		expect(confirmations.isAcceptable(run)).toBe(false);
	});

	it('are a proof if none broke it off', () => {
		const confirmations = createConfirmations();
		const run = createStream();
		endAt(confirmations, run, 'engine-2');
		endAt(confirmations, run, 'engine-3');
		expect(confirmations.isAcceptable(run)).toBe(true);
	});
});

describe('the uncertain end of an answer that began with framing', () => {
	// Guards against an answer that is cut, as its caller can't get its end without framing, though another target may show it.
	it('is confirmed, also where most ends without framing have proved right', () => {
		const confirmations = createConfirmations();
		for (let right = 0; right < rightEnds; right++) {
			const run = createStream();
			run.openEnd.noteEnd(() => true);
			confirmations.noteAttemptEnd(createAttempt(run, 'target-1'), AttemptEnd.Answered, undefined);
		}
		const { run } = createFramedStream();
		expect([createStream(), run].map(stream => confirmations.isDue(stream, 'target-2' as TargetId))).toEqual([
			false,
			true,
		]);
	});
});

/** Creates a stream whose first target has broken it off in chunks, and whose second one sends no framing. */
function createFramedStream(): StreamRun {
	const streamRun = new StreamRun();
	streamRun.begin(createAnswerHead());
	streamRun.write(createEvent(1));
	streamRun.markInterrupted();
	streamRun.begin(createAnswerHead({ isUnframed: true }));
	streamRun.write(createEvent(2));
	return streamRun;
}

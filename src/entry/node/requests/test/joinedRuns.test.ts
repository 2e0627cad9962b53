import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type { RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { RoutedCall } from '../../../common/callers/callHead';
import { RequestEvent, RequestLifecycle } from '../../../common/requests/requestLifecycle';
import { createPosition } from '../../../common/workScheduling/test/fleetPositions';
import { WorkScheduler } from '../../../common/workScheduling/workScheduler';
import { RequestRun } from '../requestRun';
import type { Flow } from './flowFixtures';
import {
	beginAnswer,
	CapturingSink,
	createCall,
	createFlow,
	createObserver,
	createPlan,
} from './flowFixtures';

const eventStream = { lines: [{ name: 'content-type', value: 'text/event-stream' }] };

/** Submits a request on a route whose streams may be resumed. */
function submitResumable(flow: Flow): CapturingSink {
	const { timers, runner } = flow;
	const route = { kind: RouteKind.Stream, isResumable: true, attempts: 3, firstByteAimMs: 500 };
	const routed = { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0 } as RoutedCall;
	const call = createCall('r1' as RequestId, createPlan(RepeatRule.Idempotent), 'work', timers.getNow());
	const sink = new CapturingSink();
	const journal = new RingRequestJournal(10, () => new Date(0));
	const run = new RequestRun(
		{ ...call, head: { ...call.head, routed } },
		new RequestLifecycle(),
		sink,
		journal,
		timers,
		createObserver([], []),
	);
	run.lifecycle.send(RequestEvent.AcceptHead);
	run.setAbandonHandler(() => {
		runner.abandon(run);
	});
	runner.submit(run);
	return sink;
}

function createTwoTargets(): Flow {
	const scheduler = new WorkScheduler(new SeededRandom(7), () => createPosition(1));
	return createFlow(2, RepeatRule.Idempotent, scheduler, new ManualTimerService());
}

describe('an answer on a route whose streams may be resumed, broken off after its first bytes', () => {
	// Guards against joining the bytes of two runs, where nothing says after which of them the second one goes on.
	it.each([
		{ name: 'is no stream of events', text: 'half of the', more: {} },
		{ name: 'has events without ids', text: 'data: a\n\n', more: eventStream },
	])('is cut if it $name', async ({ text, more }) => {
		const flow = createTwoTargets();
		const sink = submitResumable(flow);
		flow.attempts[0]!.observer.noteHandedOver();
		beginAnswer(flow.attempts[0]!, text, more);
		flow.attempts[0]!.observer.noteFailed(new Error('read ECONNRESET'));
		await flow.waitForPromises();
		expect(flow.attempts.length).toBe(1);
		expect(sink).toMatchObject({ text, isCut: true, hasEnded: false });
	});

	it('goes on at another target if nothing of it was passed on', async () => {
		const flow = createTwoTargets();
		const sink = submitResumable(flow);
		flow.attempts[0]!.observer.noteHandedOver();
		beginAnswer(flow.attempts[0]!, 'id: 1\nda', eventStream);
		flow.attempts[0]!.observer.noteFailed(new Error('read ECONNRESET'));
		await flow.waitForPromises();
		expect(flow.attempts.length).toBe(2);
		expect(sink.isCut).toBe(false);
	});
});

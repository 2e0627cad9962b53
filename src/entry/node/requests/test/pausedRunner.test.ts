import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import { headers } from '../../../../core/headers/common/headers';
import type { RequestId, TargetId, ZoneName } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import type { IStartGate } from '../../../common/intake/loopLagGate';
import { openStartGate } from '../../../common/intake/test/startGates';
import { noKeyCheck } from '../../../common/keys/keyConfirmation';
import { ServiceScheduler } from '../../../common/scheduling/scheduler';
import type { IServiceScheduler } from '../../../common/scheduling/serviceScheduler';
import { createPosition } from '../../../common/workScheduling/test/fleetPositions';
import { WorkScheduler } from '../../../common/workScheduling/workScheduler';
import type { RequestRun } from '../requestRun';
import type { CapturedAttempt, Flow } from './flowFixtures';
import { advance, createFlow } from './flowFixtures';
import { createAnswerHead, createEvent, StreamRun } from './streamRuns';

const flowTargets = ['bookings-1', 'bookings-2'] as TargetId[];
const probeMs = 200;
/** The longest silence that the class of the requests allows, with the checks that follow it. */
const silenceMs = 15_200;
const confirmationMs = 1_500;
/** Longer than a target is paused after failures. */
const targetPauseMs = 8_000;

interface PausableFlow {
	readonly flow: Flow;
	/** The requests that the fallback got. */
	readonly takenOver: RequestRun[];
	/** Whether another entry can get requests. */
	isAvailable: boolean;
}

interface FlowOptions {
	readonly repeat?: RepeatRule;
	readonly scheduler?: IServiceScheduler;
	readonly timers?: ManualTimerService;
	readonly startGate?: IStartGate;
}

function createPausable(options: FlowOptions = {}): PausableFlow {
	const {
		repeat = RepeatRule.Idempotent,
		scheduler = new ServiceScheduler(new SeededRandom(7)),
		timers = new ManualTimerService(),
		startGate = openStartGate,
	} = options;
	const takenOver: RequestRun[] = [];
	const pausable = { takenOver, isAvailable: true };
	const flow = createFlow(flowTargets.length, repeat, scheduler, timers, startGate, noKeyCheck, {
		isAvailable: () => pausable.isAvailable,
		takeOver: run => {
			takenOver.push(run);
		},
	});
	flow.probeMs = probeMs;
	return Object.assign(pausable, { flow });
}

function keepTargetsExcept(removed: TargetId, { runner }: Flow): void {
	const kept = flowTargets.filter(id => id !== removed);
	const zone = 'kingston-a' as ZoneName;
	runner.setTargets(kept.map(id => ({ id, zone, isSameZone: true, slots: 8, share: 1, isLeaving: false })));
}

interface AttemptCase {
	readonly name: string;
	end(attempt: CapturedAttempt, flow: Flow): Promise<void> | void;
}

const cases: readonly AttemptCase[] = [
	{
		name: 'its target stays silent',
		end: async (_, flow) => advance(flow, silenceMs),
	},
	{
		name: 'its connection is reset',
		end: ({ observer }) => {
			observer.noteFailed(new Error('connection reset'));
		},
	},
	{
		name: 'its target refuses it unrun',
		end: ({ observer }) => {
			observer.receiveHead({ status: 503, lines: [{ name: headers.targetNotRun, value: '1' }] });
		},
	},
	{
		name: 'its connection is reset after its target was removed',
		end: ({ observer, target }, flow) => {
			keepTargetsExcept(target, flow);
			observer.noteFailed(new Error('connection reset'));
		},
	},
	{
		name: 'its answer belongs to another attempt',
		end: ({ observer }) => {
			observer.receiveHead({ status: 200, lines: [{ name: headers.attempt, value: 'another' }] });
		},
	},
];

describe('a request whose attempt ends after the paths to all targets were lost', () => {
	// Guards against requests that are queued where nothing starts or rejects them until the paths are whole again.
	it.each(cases)('is handed over if $name', async ({ end }) => {
		const { flow, takenOver } = createPausable();
		flow.submit();
		const [attempt] = flow.attempts;
		attempt!.observer.noteHandedOver();
		flow.runner.pause();
		expect(takenOver).toEqual([]);
		await end(attempt!, flow);
		await advance(flow, probeMs);
		expect(takenOver.map(run => run.hasEnded())).toEqual([false]);
		expect(flow.attempts).toHaveLength(1);
		expect(flow.runner.measureRoom()).toMatchObject({ queued: 0, running: 0 });
	});

	// Guards against the same if the loss is noticed while the target of a broken connection is checked.
	it.each([false, true])('is handed over if its target is being checked (crash: %s)', async hasCrashed => {
		const { flow, takenOver } = createPausable();
		flow.submit();
		const [attempt] = flow.attempts;
		attempt!.observer.noteHandedOver();
		if (hasCrashed) {
			flow.crashedTargets.add(attempt!.target);
		}
		attempt!.observer.noteFailed(new Error('connection reset'));
		flow.runner.pause();
		expect(takenOver).toEqual([]);
		await advance(flow, probeMs);
		expect(takenOver.map(run => run.hasEnded())).toEqual([false]);
	});

	// Guards against a request that waits for a target although the service has none left here.
	it('is rejected if all targets were removed', async () => {
		const { flow, takenOver } = createPausable();
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.runner.pause();
		flow.runner.setTargets([]);
		flow.attempts[0]!.observer.noteFailed(new Error('connection reset'));
		await advance(flow, probeMs);
		expect([takenOver.length, sink.refusal?.kind]).toEqual([0, ErrorKind.TargetFailed]);
	});

	// Guards against a payment that another entry runs although a target behind the lost paths may have run it.
	it('is not handed over if it may have run and runs at most once', async () => {
		const { flow, takenOver } = createPausable({ repeat: RepeatRule.AtMostOnce });
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.runner.pause();
		flow.attempts[0]!.observer.noteFailed(new Error('connection reset'));
		await advance(flow, probeMs);
		expect(takenOver).toEqual([]);
		expect(sink.refusal).toMatchObject({ kind: ErrorKind.TargetFailed });
	});

	// Guards against answers that are lost because a silent attempt ends although nobody else can run its request.
	it('stays at its silent target while no other entry can get it', async () => {
		const pausable = createPausable();
		const { flow, takenOver } = pausable;
		flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.runner.pause();
		pausable.isAvailable = false;
		await advance(flow, silenceMs);
		expect([takenOver.length, flow.attempts[0]!.cancelled]).toEqual([0, undefined]);
		pausable.isAvailable = true;
		await advance(flow, probeMs);
		expect(takenOver).toHaveLength(1);
	});
});

describe('a request without an attempt when the paths to all targets are lost', () => {
	it('is handed over if it waits for a connection', () => {
		const { flow, takenOver } = createPausable();
		flow.submit();
		flow.runner.pause();
		expect(takenOver).toHaveLength(1);
		expect(flow.attempts[0]!.cancelled).toBeDefined();
	});

	// Guards against a request that is queued twice, and then answered or run twice.
	it('is queued once if it comes back before the event loop has caught up', async () => {
		const starts: (() => void)[] = [];
		const startGate: IStartGate = { run: start => starts.push(start) };
		const { flow, takenOver } = createPausable({ startGate });
		flow.submit();
		flow.runner.pause();
		flow.runner.resume();
		flow.runner.submitReturned(takenOver[0]!);
		while (starts.length > 0) {
			starts.shift()?.();
		}
		await flow.waitForPromises();
		expect(flow.attempts).toHaveLength(1);
		expect(flow.runner.measureRoom()).toMatchObject({ queued: 0, running: 1 });
	});
});

describe('the requests of an entry that stops while the paths to all targets are lost', () => {
	// Guards against attempts and forwards of requests that the stop has ended.
	it('are neither handed over nor started again, also if the paths are whole again', async () => {
		const { flow, takenOver } = createPausable();
		flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.runner.pause();
		flow.runner.stop();
		flow.attempts[0]!.observer.noteFailed(new Error('connection reset'));
		flow.runner.resume();
		await advance(flow, probeMs);
		expect([takenOver.length, flow.attempts.length]).toEqual([0, 1]);
	});
});

describe('paths that are lost and whole again in turn', () => {
	it('leave no request in the queue', async () => {
		const { flow, takenOver } = createPausable();
		for (let turn = 0; turn < 3; turn++) {
			flow.submit(`work ${turn}`, `turn-${turn}`);
			flow.attempts.at(-1)!.observer.noteHandedOver();
			flow.runner.pause();
			flow.attempts.at(-1)!.observer.noteFailed(new Error('connection reset'));
			await advance(flow, probeMs);
			flow.runner.resume();
			await advance(flow, targetPauseMs);
		}
		expect(takenOver.map(({ call }) => call.id)).toEqual(['turn-0', 'turn-1', 'turn-2'] as RequestId[]);
		expect(flow.runner.measureRoom()).toMatchObject({ queued: 0, running: 0 });
	});
});

describe('a stream whose end is to be confirmed when the paths to all targets are lost', () => {
	async function endStream(isFramedFirst: boolean): Promise<{ stream: StreamRun; pausable: PausableFlow }> {
		const stream = new StreamRun();
		// The version of the targets is known where streams go on.
		jest.spyOn(stream.run, 'findRequiredVersion').mockReturnValue(undefined);
		const scheduler = new WorkScheduler(new SeededRandom(7), () => createPosition(1));
		const pausable = createPausable({ scheduler, timers: stream.timers });
		const { flow } = pausable;
		flow.runner.submitReturned(stream.run);
		if (isFramedFirst) {
			const { observer } = flow.attempts[0]!;
			observer.noteHandedOver();
			observer.receiveHead(createAnswerHead());
			observer.receiveData(Buffer.from(createEvent(1)));
			observer.noteFailed(new Error('connection reset'));
			await advance(flow, probeMs);
			await advance(flow, probeMs);
		}
		const { observer } = flow.attempts.at(-1)!;
		observer.noteHandedOver();
		observer.receiveHead(createAnswerHead({ isUnframed: true }));
		observer.receiveData(Buffer.from(createEvent(2)));
		observer.noteCompleted();
		flow.runner.pause();
		await advance(flow, probeMs);
		return { stream, pausable };
	}

	// Guards against a caller that waits for the end of its stream until its deadline because no target here can confirm it.
	it.each([false, true])('is handed over (began with framing: %s)', async isFramedFirst => {
		const { stream, pausable } = await endStream(isFramedFirst);
		expect(pausable.takenOver).toEqual([stream.run]);
	});

	// Guards against the same if the other entry does not answer.
	it('ends when the wait for a confirmation is over, wherever that is awaited', async () => {
		const { stream, pausable } = await endStream(false);
		let cancelledForwards = 0;
		stream.run.setAbandonHandler(() => {
			cancelledForwards++;
		});
		await advance(pausable.flow, confirmationMs);
		expect([stream.run.hasEnded(), cancelledForwards]).toEqual([true, 1]);
	});
});

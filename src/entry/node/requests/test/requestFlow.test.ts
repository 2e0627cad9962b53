import { SeededRandom } from '../../../../base/common/random';
import { ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { RecordedStep } from '../../../../core/explain/common/requestJournal';
import { JournalStep } from '../../../../core/explain/common/requestJournal';
import type { RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { WorkScheduler } from '../../../common/workScheduling/workScheduler';
import type { Flow } from './flowFixtures';
import { beginAnswer, createFlow, getAttemptId } from './flowFixtures';
import { createPosition } from '../../../common/workScheduling/test/fleetPositions';

/** Creates a flow whose entry has too few requests and too large a fleet for a retry. */
function createFlowWithoutBudget(): Flow {
	return createFlow(
		2,
		RepeatRule.Idempotent,
		new WorkScheduler(new SeededRandom(7), () => createPosition(Number.POSITIVE_INFINITY)),
	);
}

function listSteps({ journal }: Flow): readonly RecordedStep[] {
	return journal.find('request-1' as RequestId)?.entries ?? [];
}

describe('request flow through an entry', () => {
	it('forwards the complete answer of the attempt', () => {
		const flow = createFlow(1);
		const sink = flow.submit();
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		beginAnswer(attempt, 'done', { lines: [{ name: 'anvilroad-attempt', value: getAttemptId(attempt) }] });
		attempt.observer.noteCompleted();
		expect(sink).toMatchObject({ text: 'done', hasEnded: true, isCut: false });
		expect(flow.ends[0]?.outcome).toBe(Outcome.Answered);
	});

	it('never forwards an answer that names another attempt', () => {
		// A target, or a proxy in front of it, mixes up two connections and sends the answer of one request on
		// the connection of another. Without a check, a customer would receive another customer's booking.
		const flow = createFlow(2);
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		beginAnswer(flow.attempts[0]!, 'not yours', {
			lines: [{ name: 'anvilroad-attempt', value: 'request-9.1' }],
		});
		const second = flow.attempts[1]!;
		second.observer.noteHandedOver();
		beginAnswer(second, 'yours');
		second.observer.noteCompleted();
		expect(flow.attempts[0]!.cancelled).toBeDefined();
		expect(second.target).not.toBe(flow.attempts[0]!.target);
		expect(sink.text).toBe('yours');
	});

	it('cuts off an answer that is interrupted and never ends it cleanly', async () => {
		// A target crashes while it streams a draft. A clean end would present the partial draft as complete.
		const flow = createFlow(2);
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		beginAnswer(flow.attempts[0]!, 'half');
		flow.attempts[0]!.observer.noteFailed(new Error('socket hang up'));
		await flow.waitForPromises();
		expect(sink).toMatchObject({ isCut: true, hasEnded: false });
		expect(flow.attempts).toHaveLength(1);
		expect(flow.ends[0]?.outcome).toBe(Outcome.Unknown);
	});

	it('reports not-run if every target refused, and unknown if an earlier attempt broke', async () => {
		// The first target accepts the request and its connection breaks; the second target refuses. The refusal
		// does not show whether the first target ran the request, so after "not-run" a caller might order twice.
		const flow = createFlow(2);
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.attempts[0]!.observer.noteFailed(new Error('socket hang up'));
		await flow.waitForPromises();
		flow.attempts[1]!.observer.noteHandedOver();
		flow.attempts[1]!.observer.receiveHead({
			status: 503,
			lines: [{ name: 'anvilroad-not-run', value: '1' }],
		});
		flow.timers.advance(30_000);
		expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.Unknown);

		const clean = createFlow(1);
		const refused = clean.submit();
		clean.attempts[0]!.observer.noteHandedOver();
		clean.attempts[0]!.observer.receiveHead({
			status: 503,
			lines: [{ name: 'anvilroad-not-run', value: '1' }],
		});
		clean.timers.advance(30_000);
		expect(refused.refusal && getOutcomeOf(refused.refusal)).toBe(Outcome.NotRun);
	});

	it('replaces the connections to a silent target, and tries another target in time', () => {
		// A middlebox lost the state of the connection, so no data ever arrives. Without an idle timeout the
		// caller would wait until its deadline.
		const flow = createFlow(2);
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.timers.advance(15_000);
		expect(flow.renewedTargets).toEqual([flow.attempts[0]!.target]);
		const second = flow.attempts[1]!;
		second.observer.noteHandedOver();
		beginAnswer(second, 'in time');
		second.observer.noteCompleted();
		expect(sink).toMatchObject({ text: 'in time', hasEnded: true });
	});

	// Guards against logs that can't tell a target that is silent from a limit that is too short for the request.
	it('gives the limit and the estimate as the detail of an attempt that ended for silence', () => {
		const scheduler = new WorkScheduler(new SeededRandom(7), () => createPosition(1));
		jest.spyOn(scheduler, 'noteSilence').mockReturnValue(true);
		const flow = createFlow(2, RepeatRule.Idempotent, scheduler);
		flow.submit();
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		flow.timers.advance(15_000);
		expect(attempt.cancelled).toBe(
			`${attempt.target} was silent for 15000 ms, 15000 ms allowed, first byte expected in 80 ms`,
		);
	});

	// Guards against logs that don't show whether a failed request had no other attempt or the budget of retries was used up.
	it('notes that the budget of retries refuses another attempt', async () => {
		const flow = createFlowWithoutBudget();
		flow.submit();
		const { observer } = flow.attempts[0]!;
		observer.noteHandedOver();
		observer.receiveHead({ status: 503, lines: [{ name: 'anvilroad-not-run', value: '1' }] });
		await flow.waitForPromises();
		expect(listSteps(flow).slice(-3)).toMatchObject([
			{ step: JournalStep.AttemptEnded },
			{
				step: JournalStep.Refused,
				detail: 'not sent to another target: 0 sent and 0 set aside of 0 retries',
			},
			{ step: JournalStep.Ended },
		]);
	});

	it('notes no refusal of the budget where no attempt is left', async () => {
		const flow = createFlowWithoutBudget();
		flow.submit();
		const { observer } = flow.attempts[0]!;
		observer.noteHandedOver();
		observer.noteFailed(new Error('read ECONNRESET'));
		await flow.waitForPromises();
		expect(listSteps(flow).map(({ step }) => step)).not.toContain(JournalStep.Refused);
	});

	// Guards against answers that are cut off because their target pauses and no other could go on with them.
	it('delivers the rest of an answer after a pause of its only target', () => {
		const flow = createFlow(
			1,
			RepeatRule.Idempotent,
			new WorkScheduler(new SeededRandom(7), () => createPosition(1)),
		);
		const sink = flow.submit();
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		beginAnswer(attempt, 'first, ');
		flow.timers.advance(14_000);
		attempt.observer.receiveData(Buffer.from('second'));
		attempt.observer.noteCompleted();
		expect(attempt.cancelled).toBeUndefined();
		expect(sink).toMatchObject({ text: 'first, second', hasEnded: true, isCut: false });
	});

	// Guards against new connections for every request to a target while one of its answers pauses.
	it('replaces the connections to a silent target once for a pause', () => {
		const flow = createFlow(
			1,
			RepeatRule.Idempotent,
			new WorkScheduler(new SeededRandom(7), () => createPosition(1)),
		);
		flow.submit();
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		beginAnswer(attempt, 'first, ');
		flow.timers.advance(14_000);
		expect(flow.renewedTargets).toEqual([attempt.target]);
	});

	it('does not treat a slow caller as a silent target', () => {
		// A caller on a slow link reads more slowly than the target sends. Reading from the target is paused, so
		// no data arrives meanwhile. An idle timeout would cut off an answer that the caller is still reading.
		const flow = createFlow(1);
		const sink = flow.submit();
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		sink.isReading = false;
		beginAnswer(attempt, 'first');
		flow.timers.advance(25_000);
		expect(sink.isCut).toBe(false);
		sink.drain?.();
		expect(attempt.resumeCount).toBe(1);
		attempt.observer.noteCompleted();
		expect(sink.hasEnded).toBe(true);
	});

	it('closes the connection to the target when the caller disconnects', () => {
		const flow = createFlow(1);
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		sink.abandon?.();
		expect(flow.attempts[0]!.cancelled).toBeDefined();
		expect(flow.ends[0]?.errorKind).toBe(ErrorKind.CallerGone);
		expect(flow.runner.measureRoom().running).toBe(0);
	});

	// Guards against an answer that comes a second after the deadline, when the connection to the target breaks before.
	it('answers at the deadline while the check for a crash is pending', async () => {
		const flow = createFlow(2);
		const sink = flow.submit();
		flow.timers.advance(29_900);
		flow.probeMs = 500;
		flow.attempts[0]!.observer.noteHandedOver();
		flow.attempts[0]!.observer.noteFailed(new Error('reset'));
		flow.timers.advance(100);
		expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.Unknown);
		flow.timers.advance(400);
		await flow.waitForPromises();
		expect(flow.attempts).toHaveLength(1);
		expect(flow.runner.measureRoom().running).toBe(0);
	});

	it('never sends a payment a second time', async () => {
		// The connection breaks after the payment was handed over, so the service may have run it.
		const flow = createFlow(3, RepeatRule.AtMostOnce);
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		flow.attempts[0]!.observer.noteFailed(new Error('reset'));
		await flow.waitForPromises();
		flow.timers.advance(30_000);
		expect(flow.attempts).toHaveLength(1);
		expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.Unknown);
	});

	it('refuses a request after its second crash, also when it is resent', async () => {
		// One request crashes each target that runs it, and its caller resends it repeatedly. Without the check,
		// all targets of the service would be down within seconds.
		const flow = createFlow(5);
		const sink = flow.submit('deadly');
		for (const index of [0, 1]) {
			const attempt = flow.attempts[index]!;
			attempt.observer.noteHandedOver();
			flow.crashedTargets.add(attempt.target);
			flow.timers.advance(3_000);
			attempt.observer.noteFailed(new Error('reset'));
			await flow.waitForPromises();
		}
		expect(flow.attemptCountsWhenShared).toEqual([1, 2]);
		const resent = flow.submit('deadly');
		const other = flow.submit('harmless');
		expect(flow.attempts).toHaveLength(3);
		expect(sink.refusal?.kind).toBe(ErrorKind.Quarantined);
		expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.Unknown);
		expect(resent.refusal?.kind).toBe(ErrorKind.Quarantined);
		expect(other.refusal).toBeUndefined();
	});
});

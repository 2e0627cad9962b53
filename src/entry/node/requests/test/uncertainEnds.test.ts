import { SeededRandom } from '../../../../base/common/random';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import { ServiceScheduler } from '../../../common/scheduling/scheduler';
import { AttemptEnd } from '../../../common/scheduling/serviceScheduler';
import type { CapturingSink, Flow } from './flowFixtures';
import { advance, answerUnframed, createFlow } from './flowFixtures';

/** The slots of a target of `createFlow`. */
const slots = 8;
const probeMs = 200;
const deadlineMs = 30_000;

/** A flow with one target, and the calls of its scheduler. */
interface UncertainFlow {
	readonly flow: Flow;
	/** How attempts ended for the scheduler, in order. */
	readonly schedulerEnds: AttemptEnd[];
}

function createUncertainFlow(): UncertainFlow {
	const scheduler = new ServiceScheduler(new SeededRandom(7));
	const noteEnd = jest.spyOn(scheduler, 'noteEnd');
	const flow = createFlow(1, RepeatRule.Idempotent, scheduler);
	flow.probeMs = probeMs;
	return {
		flow,
		get schedulerEnds() {
			return noteEnd.mock.calls.map(([, end]) => end);
		},
	};
}

function describeSink({ text, hasEnded, isCut, refusal }: CapturingSink): object {
	return { text, hasEnded, isCut, isRefused: refusal !== undefined };
}

const ended = { text: 'paid', hasEnded: true, isCut: false, isRefused: false };
const cut = { text: 'paid', hasEnded: false, isCut: true, isRefused: false };
const open = { text: 'paid', hasEnded: false, isCut: false, isRefused: false };

describe('a plain answer without framing', () => {
	// Guards against a part of an answer that its caller takes for the whole after the target crashed.
	it('is cut if its target has crashed', async () => {
		const { flow } = createUncertainFlow();
		const sink = flow.submit();
		flow.crashedTargets.add(flow.attempts[0]!.target);
		answerUnframed(flow.attempts[0]!);
		expect(describeSink(sink)).toEqual(open);
		await advance(flow, probeMs);
		await advance(flow, deadlineMs);
		expect(describeSink(sink)).toEqual(cut);
		expect(flow.attempts).toHaveLength(1);
		expect(flow.ends).toMatchObject([{ errorKind: ErrorKind.TargetFailed, answerEnd: AnswerEnd.Cut }]);
	});

	// Guards against whole answers that are cut, sent again or ended twice because they have no framing.
	it('ends once if its target accepts connections', async () => {
		const { flow } = createUncertainFlow();
		const sink = flow.submit();
		const end = jest.spyOn(sink, 'end');
		answerUnframed(flow.attempts[0]!);
		expect(describeSink(sink)).toEqual(open);
		await advance(flow, probeMs);
		await advance(flow, deadlineMs);
		expect(describeSink(sink)).toEqual(ended);
		expect(end.mock.calls).toEqual([[AnswerEnd.Uncertain]]);
		expect(flow.attempts).toHaveLength(1);
		expect(flow.ends).toMatchObject([{ outcome: Outcome.Answered, answerEnd: AnswerEnd.Uncertain }]);
	});

	// Guards against a second end, and a slot that stays taken, if the caller leaves while the target is checked.
	it.each([false, true])(
		'is not sent on to a caller that left during the check (crash: %s)',
		async hasCrashed => {
			const created = createUncertainFlow();
			const { flow } = created;
			const sink = flow.submit();
			if (hasCrashed) {
				flow.crashedTargets.add(flow.attempts[0]!.target);
			}
			answerUnframed(flow.attempts[0]!);
			sink.abandon?.();
			await advance(flow, probeMs);
			await advance(flow, deadlineMs);
			expect(describeSink(sink)).toEqual(open);
			expect(flow.ends).toMatchObject([{ errorKind: ErrorKind.CallerGone }]);
			expect(created.schedulerEnds).toHaveLength(1);
			expect(flow.attempts).toHaveLength(1);
		},
	);

	// Guards against a caller that waits beyond its deadline for the check, and against a second end after it.
	it('ends once at its deadline if that passes during the check', async () => {
		const created = createUncertainFlow();
		const { flow } = created;
		const sink = flow.submit();
		const end = jest.spyOn(sink, 'end');
		await advance(flow, deadlineMs - probeMs / 2);
		answerUnframed(flow.attempts[0]!);
		await advance(flow, probeMs / 2);
		expect(describeSink(sink)).toEqual(ended);
		await advance(flow, deadlineMs);
		expect(end.mock.calls).toEqual([[AnswerEnd.Uncertain]]);
		expect(sink.isCut).toBe(false);
		expect(flow.ends).toHaveLength(1);
		expect(created.schedulerEnds).toHaveLength(1);
	});

	// Guards against slots that stay taken, or are given back twice, after uncertain ends.
	it('gives its slot to one later request', async () => {
		const created = createUncertainFlow();
		const { flow } = created;
		const sinks = Array.from({ length: slots + 2 }, (_, index) => flow.submit(`work ${index}`));
		expect(flow.attempts).toHaveLength(slots);
		answerUnframed(flow.attempts[0]!);
		await advance(flow, probeMs);
		expect(sinks[0]?.hasEnded).toBe(true);
		expect(created.schedulerEnds).toEqual([AttemptEnd.Answered]);
		expect(flow.attempts).toHaveLength(slots + 1);
		await advance(flow, probeMs);
		expect(flow.attempts).toHaveLength(slots + 1);
	});
});

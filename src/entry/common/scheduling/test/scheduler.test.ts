import { SeededRandom } from '../../../../base/common/random';
import { ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { RequestId, TargetId } from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import { ServiceScheduler } from '../scheduler';
import type {
	RefuseDecision,
	ScheduleDecision,
	SchedulableRequest,
	StartDecision,
} from '../serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../serviceScheduler';
import { createRequest, createTarget } from './fixtures';

function createScheduler(...ids: string[]): ServiceScheduler {
	const scheduler = new ServiceScheduler(new SeededRandom(1));
	scheduler.setTargets(
		ids.map(id => createTarget(id)),
		0,
	);
	return scheduler;
}

function listStarts(decisions: readonly ScheduleDecision[]): StartDecision[] {
	return decisions.filter(decision => decision.kind === ScheduleDecisionKind.Start);
}

function listRefusals(decisions: readonly ScheduleDecision[]): RefuseDecision[] {
	return decisions.filter(decision => decision.kind === ScheduleDecisionKind.Refuse);
}

function submit(
	scheduler: ServiceScheduler,
	requests: SchedulableRequest[],
	nowMs: number,
): ScheduleDecision[] {
	return requests.flatMap(request => {
		scheduler.submit(request, nowMs);
		return [...scheduler.advance(nowMs)];
	});
}

function createMany(count: number, more: Partial<SchedulableRequest> = {}): SchedulableRequest[] {
	return Array.from({ length: count }, (_, index) => createRequest(`r${index}`, more));
}

/** Starts one request and ends its first attempt; gives the target and whether it was taken back. */
function endFirst(
	scheduler: ServiceScheduler,
	end: AttemptEnd,
	more: Partial<SchedulableRequest> = {},
): { readonly target: TargetId; readonly isRequeued: boolean } {
	const [start] = listStarts(submit(scheduler, [createRequest('r0', more)], 0));
	return { target: start!.target, isRequeued: scheduler.noteEnd('r0' as RequestId, end, 10) };
}

describe('ServiceScheduler under overload', () => {
	// Ten times as many questions arrive at once as can be answered in time. Queued, most callers would learn
	// at their deadline that they had no chance.
	it('refuses on arrival what cannot be answered in time, with a time to come back that grows', () => {
		const scheduler = createScheduler('t1');
		const refusals = listRefusals(submit(scheduler, createMany(200, { deadlineMs: 2_000 }), 0));
		expect(refusals.length).toBeGreaterThan(170);
		const times = refusals.map(({ error }) => error.retryAfterMs ?? 0);
		expect(Math.min(...times)).toBeGreaterThanOrEqual(500);
		expect(times.at(-1)).toBeGreaterThan(2 * (times[0] ?? 0));
		expect(new Set(times).size).toBeGreaterThan(times.length / 2);
		expect(refusals.every(({ error }) => getOutcomeOf(error) === Outcome.NotRun)).toBe(true);
	});

	// Drafts of half a minute come in when nothing else does. If they took every slot, a question that arrives
	// a moment later would wait for the end of one.
	it('keeps slots from drafts that questions find free', () => {
		const scheduler = createScheduler('t1', 't2');
		const drafts = createMany(20, { requestClass: RequestClass.Draft, deadlineMs: 600_000 });
		expect(listStarts(submit(scheduler, drafts, 0))).toHaveLength(6);
		expect(listStarts(submit(scheduler, [createRequest('q')], 1))).toHaveLength(1);
	});

	it('lets one request through when estimates say that none can be in time, so that they can mend', () => {
		const scheduler = createScheduler('t1');
		submit(scheduler, [createRequest('r0', { deadlineMs: 60_000 })], 0);
		scheduler.noteEnd('r0' as RequestId, AttemptEnd.Answered, 50_000);
		const late = { arrivedMs: 50_000, deadlineMs: 52_000 };
		const decisions = submit(scheduler, [createRequest('r1', late), createRequest('r2', late)], 50_000);
		expect(decisions.map(({ kind }) => kind)).toEqual([
			ScheduleDecisionKind.Start,
			ScheduleDecisionKind.Refuse,
		]);
	});

	// The only targets leave while requests wait. Their callers must hear of it now, not at their deadline.
	it('refuses at once what waits when the last target goes', () => {
		const scheduler = createScheduler('t1');
		submit(scheduler, createMany(8), 0);
		scheduler.setTargets([createTarget('t1', { isLeaving: true })], 5);
		const refusals = listRefusals(scheduler.advance(5));
		expect(refusals).toHaveLength(4);
		expect(refusals.every(({ error }) => error.kind === ErrorKind.NoTarget)).toBe(true);
	});
});

describe('ServiceScheduler after a failed attempt', () => {
	// A target refuses a payment that it did not run. Another target may have it, since nothing ran yet.
	it('makes an attempt that cannot have run again elsewhere, for any request', () => {
		for (const end of [AttemptEnd.TargetRefused, AttemptEnd.NotConnected]) {
			const scheduler = createScheduler('t1', 't2');
			const { target, isRequeued: isTakenBack } = endFirst(scheduler, end, { isRepeatable: false });
			expect(isTakenBack).toBe(true);
			const [retry] = listStarts(scheduler.advance(10));
			expect(retry?.target).toBeDefined();
			expect(retry?.target).not.toBe(target);
		}
	});

	// A connection breaks while a payment runs. Sent again, the household would be charged twice.
	it('never repeats an attempt that may have run unless the request allows it', () => {
		for (const end of [AttemptEnd.Failed, AttemptEnd.Silent]) {
			expect(endFirst(createScheduler('t1', 't2'), end, { isRepeatable: false }).isRequeued).toBe(false);
			expect(endFirst(createScheduler('t1', 't2'), end).isRequeued).toBe(true);
		}
	});

	// The caller has a part of an answer when the target dies. A second attempt would append another one.
	it('does not repeat after the first byte', () => {
		const scheduler = createScheduler('t1', 't2');
		submit(scheduler, [createRequest('r0')], 0);
		scheduler.noteFirstByte('r0' as RequestId, 5);
		expect(scheduler.noteEnd('r0' as RequestId, AttemptEnd.Failed, 10)).toBe(false);
	});

	// The first attempt broke off, the second could not be made. Told `not-run`, the caller would send again
	// what may have run.
	it('does not say of a request that it was not run when an earlier attempt may have run', () => {
		const scheduler = createScheduler('t1', 't2', 't3');
		endFirst(scheduler, AttemptEnd.Failed);
		scheduler.advance(10);
		scheduler.noteEnd('r0' as RequestId, AttemptEnd.NotConnected, 20);
		scheduler.setTargets([], 30);
		const [refusal] = listRefusals(scheduler.advance(30));
		expect(refusal?.error.kind).toBe(ErrorKind.TargetFailed);
		expect(getOutcomeOf(refusal!.error)).toBe(Outcome.Unknown);
	});

	// Every target breaks off every request. Retried freely, the load on them would be three times what callers
	// send, at the worst moment.
	it('stops retrying when its savings are spent', () => {
		const scheduler = createScheduler(...Array.from({ length: 40 }, (_, index) => `t${index}`));
		let takenBack = 0;
		submit(scheduler, createMany(60), 0);
		for (let index = 0; index < 60; index++) {
			takenBack += scheduler.noteEnd(`r${index}` as RequestId, AttemptEnd.Silent, 10) ? 1 : 0;
		}
		expect(takenBack).toBe(10);
	});

	// A target dies. Its slots are all free, so it looks like the best one; without a pause it would draw every
	// new request to itself and fail it.
	it('sends nothing to a target that could not be reached, then tries it with one request', () => {
		const scheduler = createScheduler('t1', 't2');
		const { target } = endFirst(scheduler, AttemptEnd.NotConnected);
		scheduler.advance(10);
		const during = listStarts(submit(scheduler, [createRequest('a'), createRequest('b')], 50));
		expect(during.map(start => start.target)).not.toContain(target);
		const after = listStarts(
			submit(
				scheduler,
				createMany(8).map(r => ({ ...r, id: `x${r.id}` as RequestId })),
				500,
			),
		);
		expect(after.filter(start => start.target === target)).toHaveLength(1);
	});
});

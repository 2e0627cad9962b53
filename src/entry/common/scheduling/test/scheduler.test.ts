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

function createMany(count: number, overrides: Partial<SchedulableRequest> = {}): SchedulableRequest[] {
	return Array.from({ length: count }, (_, index) => createRequest(`r${index}`, overrides));
}

/**
 * Starts one request and ends its first attempt. Returns the target and whether the request is queued for a
 * retry.
 */
function endFirst(
	scheduler: ServiceScheduler,
	end: AttemptEnd,
	overrides: Partial<SchedulableRequest> = {},
): { readonly target: TargetId; readonly isRequeued: boolean } {
	const [start] = listStarts(submit(scheduler, [createRequest('r0', overrides)], 0));
	return { target: start!.target, isRequeued: scheduler.noteEnd('r0' as RequestId, end, 10) };
}

describe('ServiceScheduler under overload', () => {
	// Ten times as many questions arrive at once as can be answered in time. If all were queued, most would fail
	// at their deadline.
	it('refuses requests on arrival that cannot be answered in time, with increasing retry delays', () => {
		const scheduler = createScheduler('t1');
		const refusals = listRefusals(submit(scheduler, createMany(200, { deadlineMs: 2_000 }), 0));
		expect(refusals.length).toBeGreaterThan(170);
		const times = refusals.map(({ error }) => error.retryAfterMs ?? 0);
		expect(Math.min(...times)).toBeGreaterThanOrEqual(500);
		expect(times.at(-1)).toBeGreaterThan(2 * (times[0] ?? 0));
		expect(new Set(times).size).toBeGreaterThan(times.length / 2);
		expect(refusals.every(({ error }) => getOutcomeOf(error) === Outcome.NotRun)).toBe(true);
	});

	// Drafts of half a minute arrive first. If they occupied every slot, a question that arrives a moment later
	// would wait for the end of a draft.
	it('keeps slots free of drafts for questions', () => {
		const scheduler = createScheduler('t1', 't2');
		const drafts = createMany(20, { requestClass: RequestClass.Draft, deadlineMs: 600_000 });
		expect(listStarts(submit(scheduler, drafts, 0))).toHaveLength(6);
		expect(listStarts(submit(scheduler, [createRequest('q')], 1))).toHaveLength(1);
	});

	it('admits one request when the estimate exceeds every deadline, so that the estimate can be corrected', () => {
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

	// The only target leaves while requests wait. Their callers must be answered now, not at their deadline.
	it('refuses waiting requests at once when the last target leaves', () => {
		const scheduler = createScheduler('t1');
		submit(scheduler, createMany(8), 0);
		scheduler.setTargets([createTarget('t1', { isLeaving: true })], 5);
		const refusals = listRefusals(scheduler.advance(5));
		expect(refusals).toHaveLength(4);
		expect(refusals.every(({ error }) => error.kind === ErrorKind.NoTarget)).toBe(true);
	});
});

describe('ServiceScheduler after a failed attempt', () => {
	// A target refuses a payment that it didn't run. Another target may run it, since nothing ran yet.
	it('retries an attempt that cannot have run at another target, for any request', () => {
		for (const end of [AttemptEnd.TargetRefused, AttemptEnd.NotConnected]) {
			const scheduler = createScheduler('t1', 't2');
			const { target, isRequeued } = endFirst(scheduler, end, { isRepeatable: false });
			expect(isRequeued).toBe(true);
			const [retry] = listStarts(scheduler.advance(10));
			expect(retry?.target).toBeDefined();
			expect(retry?.target).not.toBe(target);
		}
	});

	// A connection breaks while a payment runs. A second attempt could charge the payment twice.
	it('never retries an attempt that may have run unless the request is repeatable', () => {
		for (const end of [AttemptEnd.Failed, AttemptEnd.Silent]) {
			expect(endFirst(createScheduler('t1', 't2'), end, { isRepeatable: false }).isRequeued).toBe(false);
			expect(endFirst(createScheduler('t1', 't2'), end).isRequeued).toBe(true);
		}
	});

	// The caller has received part of an answer when the target crashes. A second attempt would append another
	// answer to it.
	it('does not retry after the first byte of an answer', () => {
		const scheduler = createScheduler('t1', 't2');
		submit(scheduler, [createRequest('r0')], 0);
		scheduler.noteFirstByte('r0' as RequestId, 5);
		expect(scheduler.noteEnd('r0' as RequestId, AttemptEnd.Failed, 10)).toBe(false);
	});

	// The connection of the first attempt broke, and the second attempt found no connection. With the outcome
	// `not-run`, the caller would resend a request that may have run.
	it('does not report not-run when an earlier attempt may have run', () => {
		const scheduler = createScheduler('t1', 't2', 't3');
		endFirst(scheduler, AttemptEnd.Failed);
		scheduler.advance(10);
		scheduler.noteEnd('r0' as RequestId, AttemptEnd.NotConnected, 20);
		scheduler.setTargets([], 30);
		const [refusal] = listRefusals(scheduler.advance(30));
		expect(refusal?.error.kind).toBe(ErrorKind.TargetFailed);
		expect(getOutcomeOf(refusal!.error)).toBe(Outcome.Unknown);
	});

	// Every attempt at every target fails. With unlimited retries, the targets would get three times the load
	// that callers send.
	it('stops retrying when the retry budget is used up', () => {
		const scheduler = createScheduler(...Array.from({ length: 40 }, (_, index) => `t${index}`));
		let requeued = 0;
		submit(scheduler, createMany(60), 0);
		for (let index = 0; index < 60; index++) {
			requeued += scheduler.noteEnd(`r${index}` as RequestId, AttemptEnd.Silent, 10) ? 1 : 0;
		}
		expect(requeued).toBe(10);
	});

	// A crashed target has only free slots, so it appears to be the best choice. Without a pause it would attract
	// and fail every new request.
	it('pauses a target that could not be reached, then tries it with one request', () => {
		const scheduler = createScheduler('t1', 't2');
		const { target } = endFirst(scheduler, AttemptEnd.NotConnected);
		scheduler.advance(10);
		const during = listStarts(submit(scheduler, [createRequest('a'), createRequest('b')], 50));
		expect(during.map(start => start.target)).not.toContain(target);
		const after = listStarts(
			submit(
				scheduler,
				createMany(8).map(request => ({ ...request, id: `x${request.id}` as RequestId })),
				500,
			),
		);
		expect(after.filter(start => start.target === target)).toHaveLength(1);
	});
});

import { SeededRandom } from '../../../../base/common/random';
import type { RequestId, TargetId } from '../../../../core/ids/common/ids';
import type { SchedulableRequest } from '../../scheduling/serviceScheduler';
import { ScheduleDecisionKind, SlownessSource } from '../../scheduling/serviceScheduler';
import { createWorkPolicy, defaultWorkPolicy } from '../workPolicy';
import { WorkScheduler } from '../workScheduler';
import { createEngineTarget, createPromptedRequest, createUnsharedPrompt } from './engineSimulation';
import { createPosition } from './fleetPositions';

const slots = 12;
const fast = 'engine-1' as TargetId;
const slow = 'engine-2' as TargetId;
const reports = 30;
const reportIntervalMs = 5_000;
const nowMs = reports * reportIntervalMs;

/** Creates the scheduler of the only entry before a fast and a slow engine, which have reported for minutes. */
function createScheduler(
	slowness?: { readonly fast: number; readonly slow: number },
	policy = defaultWorkPolicy,
): WorkScheduler {
	const scheduler = new WorkScheduler(new SeededRandom(1), () => createPosition(1), policy);
	scheduler.setTargets([fast, slow].map(id => createEngineTarget(id, { slots, cacheTokens: 300_000 })));
	for (let timeMs = 0; timeMs < nowMs; timeMs += reportIntervalMs) {
		const load = { running: 0, waiting: 0, slots, ageMs: 0 };
		scheduler.noteLoad(fast, { ...load, slowness: slowness?.fast }, timeMs);
		scheduler.noteLoad(slow, { ...load, slowness: slowness?.slow }, timeMs);
		scheduler.advance(timeMs);
	}
	return scheduler;
}

function createRequest(id: string): SchedulableRequest {
	const times = { dueAfterMs: 1_000, deadlineMs: 9_000, urgency: 0 };
	return createPromptedRequest(id as RequestId, createUnsharedPrompt(id, 3_000), times, nowMs);
}

/** Returns the targets of a number of requests that arrive at once, and the reasons of the choices. */
function startRequests(scheduler: WorkScheduler, count: number): { targets: TargetId[]; reasons: string[] } {
	const targets: TargetId[] = [];
	const reasons: string[] = [];
	for (let index = 0; index < count; index++) {
		scheduler.submit(createRequest(`r-${index}`), nowMs);
		for (const decision of scheduler.advance(nowMs)) {
			if (decision.kind === ScheduleDecisionKind.Start) {
				targets.push(decision.target);
				reasons.push(decision.reason);
			}
		}
	}
	return { targets, reasons };
}

describe('WorkScheduler with a fast and a slow engine', () => {
	// Guards against a slow engine that gets as many requests as a fast one, and against one that gets none.
	it('sends the fast engine more, and the slow one what it answers as soon', () => {
		const { targets } = startRequests(createScheduler({ fast: 0.7, slow: 1.4 }), 6);
		const atFast = targets.filter(target => target === fast).length;
		expect(targets[0]).toBe(fast);
		expect(atFast).toBeGreaterThanOrEqual(4);
		expect(targets).toContain(slow);
	});

	it('gives the slowness as part of the reason, where it is reported', () => {
		const [reason] = startRequests(createScheduler({ fast: 0.7, slow: 1.4 }), 1).reasons;
		expect(reason).toMatch(/slowness 0\.\d\d now and 0\.\d\d lasting, reported 5000 ms ago/);
		expect(startRequests(createScheduler(), 1).reasons[0]).not.toContain('slowness');
	});

	// Guards against other regions that send as much to a region of slow targets as to one of fast ones.
	it('offers free slots by what the targets can do', () => {
		const usual = createScheduler().measureRoom(nowMs).freeSlots;
		expect(usual).toBe(2 * slots);
		expect(createScheduler({ fast: 2, slow: 2 }).measureRoom(nowMs).freeSlots).toBeCloseTo(usual / 2, 5);
		expect(createScheduler({ fast: 0.5, slow: 0.5 }).measureRoom(nowMs).freeSlots).toBeCloseTo(usual * 2, 5);
	});

	// Guards against decisions by reports that the deployment's settings do not ask to use.
	it('decides as without reports if the settings do not use them', () => {
		const unused = createScheduler(
			{ fast: 0.7, slow: 1.4 },
			createWorkPolicy(defaultWorkPolicy.retry, false),
		);
		expect(startRequests(unused, 6)).toEqual(startRequests(createScheduler(), 6));
	});

	it('predicts a longer wait at slow targets', () => {
		const request = createRequest('r-0');
		const usualMs = createScheduler().measureRoom(nowMs, request).waitMs;
		const slowMs = createScheduler({ fast: 2, slow: 2 }).measureRoom(nowMs, request).waitMs;
		expect(slowMs).toBeCloseTo(2 * usualMs, 3);
	});

	it('lists the slowness of each target with its source', () => {
		const listed = createScheduler({ fast: 0.7, slow: 1.4 }).listSlowness(nowMs);
		expect(listed.map(({ target, source }) => [target, source])).toEqual([
			[fast, SlownessSource.Reports],
			[slow, SlownessSource.Reports],
		]);
		expect(listed[1]!.lasting).toBeGreaterThan(1.6 * listed[0]!.lasting);
		const unreported = createScheduler().listSlowness(nowMs);
		expect(unreported[0]).toMatchObject({ lasting: 1, recent: 1, source: SlownessSource.AnswerTimes });
	});
});

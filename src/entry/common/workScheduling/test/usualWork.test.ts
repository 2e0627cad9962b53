import { SeededRandom } from '../../../../base/common/random';
import type { RequestId } from '../../../../core/ids/common/ids';
import type { SchedulableRequest } from '../../scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../../scheduling/serviceScheduler';
import { UsualWork } from '../usualWork';
import { WorkScheduler } from '../workScheduler';
import { createEngineTarget, createPromptedRequest } from './engineSimulation';

const dueAfterMs = 800;
const deadlineMs = 3_300;
const mediumTokens = 15_000;
/** Takes longer than the time to the due time at an idle engine. */
const largeTokens = 45_000;

function createRequest(id: string, tokens: number, arrivedMs: number): SchedulableRequest {
	const prompt = {
		parts: [{ id, tokens }],
		promptTokens: tokens,
		maxOutputTokens: 100,
		hintedOutputTokens: undefined,
	};
	return createPromptedRequest(id as RequestId, prompt, { dueAfterMs, deadlineMs, urgency: 1 }, arrivedMs);
}

/** Returns when a prompt is started while smaller prompts arrive at twice the rate that the engine processes. */
function findStartUnderLoad(tokens: number): number | undefined {
	const scheduler = new WorkScheduler(new SeededRandom(1), () => 1);
	scheduler.setTargets([createEngineTarget('engine-1', { slots: 64, cacheTokens: 300_000 })]);
	const arrivalIntervalMs = 100;
	const firstByteTimes = new Map<RequestId, number>();
	let busyUntilMs = 0;
	let startedMs: number | undefined;
	for (let nowMs = 0; nowMs <= deadlineMs; nowMs += 5) {
		if (nowMs % arrivalIntervalMs === 0) {
			scheduler.submit(createRequest(`small-${nowMs}`, 7_000, nowMs), nowMs);
		}
		if (nowMs === 4 * arrivalIntervalMs) {
			scheduler.submit(createRequest('observed', tokens, nowMs), nowMs);
		}
		for (const [id, firstByteMs] of [...firstByteTimes].filter(([, endMs]) => endMs <= nowMs)) {
			firstByteTimes.delete(id);
			scheduler.noteFirstByte(id, firstByteMs);
			scheduler.noteEnd(id, AttemptEnd.Answered, nowMs);
		}
		for (const decision of scheduler.advance(nowMs)) {
			if (decision.kind === ScheduleDecisionKind.Start) {
				startedMs = decision.requestId === 'observed' ? nowMs : startedMs;
				busyUntilMs = Math.max(nowMs, busyUntilMs) + 2 * arrivalIntervalMs;
				firstByteTimes.set(decision.requestId, busyUntilMs);
			}
		}
	}
	return startedMs;
}

describe('UsualWork', () => {
	// Guards against large prompts that are late on arrival and wait behind all smaller ones.
	it('counts the usual work of a kind of request, whatever the size of the prompt', () => {
		const usualWork = new UsualWork();
		const requests = [2_000, 2_000, 2_000, 60_000].map(tokens => createRequest(`r-${tokens}`, tokens, 0));
		for (const request of requests) {
			usualWork.note(request, request.work!.prompt!.promptTokens / 20);
		}
		const [small, , , large] = requests;
		expect(usualWork.computeCountedWorkMs(large!)).toBe(usualWork.computeCountedWorkMs(small!));
		expect(usualWork.computeCountedWorkMs(large!)).toBeCloseTo(1.3 * (0.9 * 100 + 0.1 * 3_000), 6);
	});

	it('leaves a third of the time to the due time for waiting', () => {
		const usualWork = new UsualWork();
		const request = createRequest('r-1', largeTokens, 100);
		usualWork.note(request, 1_300);
		expect(usualWork.computeCountedWorkMs(request)).toBeCloseTo((2 / 3) * dueAfterMs, 6);
	});
});

describe('WorkScheduler at twice the load that its engine can process', () => {
	it('starts a prompt of medium size', () => {
		expect(findStartUnderLoad(mediumTokens)).toBeDefined();
	});

	// Guards against smaller prompts that go before a large one until its deadline, however late they arrive.
	it('starts a prompt that takes longer than the time to its due time', () => {
		expect(findStartUnderLoad(largeTokens)).toBeDefined();
	});
});

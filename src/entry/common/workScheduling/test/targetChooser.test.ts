import { SeededRandom } from '../../../../base/common/random';
import type { RequestId, SoftwareVersion, TargetId } from '../../../../core/ids/common/ids';
import type { SchedulableRequest } from '../../scheduling/serviceScheduler';
import type { TargetChoice } from '../targetChooser';
import { WorkTargetChooser } from '../targetChooser';
import { TargetLoadModel } from '../targetLoadModel';
import { defaultWorkPolicy } from '../workPolicy';
import { createEngineTarget, createPromptedRequest } from './engineSimulation';

const { estimate, queue } = defaultWorkPolicy;

const draftQuery = { isLate: false, urgency: 1 };

function createTarget(id: string): TargetLoadModel {
	return new TargetLoadModel(createEngineTarget(id, { slots: 64, cacheTokens: 300_000 }), estimate, queue);
}

function createDraftRequest(id: string): SchedulableRequest {
	const prompt = {
		parts: [
			{ id: 'history', tokens: 13_000 },
			{ id, tokens: 2_000 },
		],
		promptTokens: 15_000,
		maxOutputTokens: 100,
		hintedOutputTokens: undefined,
	};
	return createPromptedRequest(
		id as RequestId,
		prompt,
		{ dueAfterMs: 1_000, deadlineMs: 10_000, urgency: 1 },
		0,
	);
}

function choose(
	targets: readonly TargetLoadModel[],
	triedTargets: readonly TargetLoadModel[] = [],
	isLate = false,
): TargetChoice | undefined {
	const chooser = new WorkTargetChooser(defaultWorkPolicy, new SeededRandom(1));
	const query = {
		request: createDraftRequest('d-1'),
		triedTargets: triedTargets.map(({ id }) => id),
		isLate,
		isIsolated: false,
	};
	return chooser.choose(targets, query, 0);
}

describe('WorkTargetChooser', () => {
	// Guards against repeated prefill after the start of an entry. The entry has sent nothing yet, but the other
	// entries have sent each part to its owner, the engine ranked first. Processing such a part again instead of
	// fetching it would keep an engine busy for a third of a second.
	it('fetches a shared part from its owner if no engine is known to hold it', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2'), createTarget('engine-3')];
		const first = choose(targets)!.target;
		const other = choose(targets, [first])!;
		expect(other.target).not.toBe(first);
		expect(other.fetchFrom).toBe(first.id);
	});

	// Guards against fetches from engines that have just started and hold nothing, at the moment at which they register.
	it('fetches no shared part from an owner that is cold, unless it was sent there', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		const first = choose(targets)!.target;
		first.setTarget({
			...first.description,
			registered: { ...first.description.registered!, generation: 2, coldUntilMs: 3_000 },
		});
		expect(choose(targets, [first])!.fetchFrom).toBeUndefined();
		first.noteStart(createDraftRequest('d-0'), false, 0, 0);
		expect(choose(targets, [first])!.fetchFrom).toBe(first.id);
	});

	// Guards against prompts that were cached by one software version and are continued by another.
	it.each(['v2', undefined])('fetches no shared part from an engine of version %s for one of v1', version => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		const first = choose(targets)!.target;
		first.noteStart(createDraftRequest('d-0'), false, 0, 0);
		expect(choose(targets, [first])!.fetchFrom).toBe(first.id);
		first.setTarget({
			...first.description,
			registered: {
				...first.description.registered!,
				findCertainVersion: () => version as SoftwareVersion | undefined,
			},
		});
		const other = choose(targets, [first])!;
		expect(other).toMatchObject({ fetchFrom: undefined, fetchedTokens: 0 });
	});

	// Guards against asking a target without framing whether a stream is whole, which ends it after the same event.
	it('sends a request with an end in doubt to a target that proves it, unless none of these has capacity', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2'), createTarget('engine-3')];
		for (const proving of targets) {
			const request = { ...createDraftRequest('d-1'), isEndProvedBy: (id: TargetId) => id === proving.id };
			const query = { request, triedTargets: [], isLate: false, isIsolated: false };
			const chooser = new WorkTargetChooser(defaultWorkPolicy, new SeededRandom(1));
			expect(chooser.choose(targets, query, 0)!.target).toBe(proving);
			const others = targets.filter(target => target !== proving);
			expect(others).toContain(chooser.choose(others, query, 0)!.target);
		}
	});

	it('does not expect to fetch a shared part if no engine is known to hold it', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		expect(choose(targets)!.fetchedTokens).toBe(0);
	});

	it('fetches a shared part from the engine to which it was sent', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		const first = choose(targets)!.target;
		first.noteStart(createDraftRequest('d-0'), false, 0, 0);
		const other = choose(targets, [first])!;
		expect(other.fetchFrom).toBe(first.id);
		expect(other.fetchedTokens).toBe(13_000);
	});

	// Guards against logs that can't tell whether large prompts, or late ones, are started with too little time left.
	it('gives the size of the prompt, the time left and whether the request is late as part of the reason', () => {
		const end = 'first byte in 474 ms, 10000 ms left, 15000 prompt tokens';
		expect(choose([createTarget('engine-1')])!.reason).toMatch(new RegExp(`${end}$`));
		expect(choose([createTarget('engine-1')], [], true)!.reason).toMatch(new RegExp(`${end}, late$`));
	});

	// Guards against an entry that is late for seconds in a burst, because it estimates for each waiting request the costs
	// at targets that have no capacity.
	it('estimates no costs while no target has capacity', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		const estimates = targets.map(target => jest.spyOn(target, 'estimateFirstByteMs'));
		expect(choose(targets)).toBeDefined();
		expect(estimates.map(({ mock }) => mock.calls.length)).toEqual([1, 1]);
		for (let request = 0; targets.some(target => target.hasCapacity(draftQuery, 0)); request++) {
			targets[request % 2]!.noteStart(createDraftRequest(`running-${request}`), false, 0, 0);
		}
		estimates.forEach(estimateFirstByteMs => estimateFirstByteMs.mockClear());
		expect(choose(targets)).toBeUndefined();
		expect(estimates.map(({ mock }) => mock.calls.length)).toEqual([0, 0]);
	});
});

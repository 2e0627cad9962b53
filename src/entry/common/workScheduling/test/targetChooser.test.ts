import { SeededRandom } from '../../../../base/common/random';
import type { RequestId } from '../../../../core/ids/common/ids';
import type { SchedulableRequest } from '../../scheduling/serviceScheduler';
import type { WorkChoice } from '../targetChooser';
import { WorkTargetChooser } from '../targetChooser';
import { TargetWork } from '../targetLoadModel';
import { defaultWorkPolicy } from '../workPolicy';
import { createEngineTarget, createPromptedRequest } from './engineSimulation';

const { choice, estimate, queue } = defaultWorkPolicy;

function createTarget(id: string): TargetWork {
	return new TargetWork(createEngineTarget(id, { slots: 64, cacheTokens: 300_000 }), estimate, queue);
}

function createDraft(id: string): SchedulableRequest {
	const prompt = {
		parts: [
			{ id: 'history', tokens: 13_000 },
			{ id, tokens: 2_000 },
		],
		promptTokens: 15_000,
		mostOutputTokens: 100,
		hintedOutputTokens: undefined,
	};
	return createPromptedRequest(id as RequestId, prompt, { aimMs: 1_000, deadlineMs: 10_000, urgency: 1 }, 0);
}

function choose(targets: readonly TargetWork[], tried: readonly TargetWork[] = []): WorkChoice | undefined {
	const chooser = new WorkTargetChooser(choice, estimate, new SeededRandom(1));
	const question = {
		request: createDraft('d-1'),
		tried: tried.map(({ id }) => id),
		isLate: false,
		isKeptApart: false,
	};
	return chooser.choose(targets, question, 0);
}

describe('where a shared part is fetched from', () => {
	// An entry that has just started has sent nothing, while the others have sent each part to its first engine for
	// hours. Read anew wherever the entry sends them, parts that lie next door keep engines busy for a third of a
	// second each, and callers wait behind them.
	it('is the engine that ranks first for it, where nothing is known of it', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2'), createTarget('engine-3')];
		const first = choose(targets)!.target;
		const other = choose(targets, [first])!;
		expect(other.target).not.toBe(first);
		expect(other.fetchFrom).toBe(first.id);
	});

	it('is not counted on where nothing is known of it', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		expect(choose(targets)!.fetchedTokens).toBe(0);
	});

	it('is the engine that it was sent to', () => {
		const targets = [createTarget('engine-1'), createTarget('engine-2')];
		const first = choose(targets)!.target;
		first.noteStart(createDraft('d-0'), false, 0, 0);
		const other = choose(targets, [first])!;
		expect(other.fetchFrom).toBe(first.id);
		expect(other.fetchedTokens).toBe(13_000);
	});
});

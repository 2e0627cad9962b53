/**
 * Overload that lasts, and a burst: the everyday mix at 1, 1.5 and 3 times the capacity, and at 4 times for
 * a minute.
 */

import { allContenders, ours } from '../contenders';
import type { Scenario, ScenarioGoal, ScenarioReport } from '../scenario';
import { computeSummary } from '../summary';
import type { RequestKind } from '../workload';
import { createMix, createQuestions } from './loads';
import { createRefusalGoal, listFigures, runLoad } from './runs';

const goodputGoal = 0.95;
/** Long enough that the counted drafts end while the load still lasts: a run that drains flatters queues. */
const steadyRun = { durationMs: 300_000, countFromMs: 30_000, countUntilMs: 120_000 };

function createOverload(
	name: string,
	pattern: string,
	createKinds: (load: number) => RequestKind[],
	load: number,
): Scenario {
	return {
		name,
		run(seed: number): ScenarioReport {
			const results = allContenders.map(contender => runLoad(contender, seed, createKinds(load), steadyRun));
			const ordinary = computeSummary(runLoad(ours, seed, createKinds(1), steadyRun)).goodput;
			const goodputs = results.map(result => computeSummary(result).goodput);
			const [own = 0, ...others] = goodputs;
			const goals: ScenarioGoal[] = [
				{ text: 'goodput beside that at 1x', value: own / ordinary, bound: goodputGoal, isLeast: true },
				{
					text: 'goodput beside the best baseline',
					value: own / Math.max(...others),
					bound: 1,
					isLeast: true,
				},
				createRefusalGoal(results[0]),
			];
			const rows = results.map((result, index) => ({
				contender: allContenders[index]?.name ?? '',
				figures: listFigures(result),
			}));
			return { name, pattern, seed, rows, goals };
		},
	};
}

/** At four times the capacity from the second 20 for a minute, else at half of it. */
function computeBurst(nowMs: number): number {
	return nowMs >= 20_000 && nowMs < 80_000 ? 4 : 0.5;
}

const burst: Scenario = {
	name: 'burst 4x',
	run(seed: number): ScenarioReport {
		const kinds = createMix(1, computeBurst, 4);
		const results = allContenders.map(contender => runLoad(contender, seed, kinds, { durationMs: 120_000 }));
		const goodputs = results.map(result => computeSummary(result).goodput);
		const [own = 0, ...others] = goodputs;
		return {
			name: 'burst 4x',
			pattern: 'everyday mix at 0.5x, at 4x for a minute, at 0.5x again',
			seed,
			rows: results.map((result, index) => ({
				contender: allContenders[index]?.name ?? '',
				figures: listFigures(result),
			})),
			goals: [
				{
					text: 'goodput beside the best baseline',
					value: own / Math.max(...others),
					bound: 1,
					isLeast: true,
				},
				createRefusalGoal(results[0]),
			],
		};
	},
};

const createQuestionsOnly = (load: number): RequestKind[] => [createQuestions(load)];

export const overloadScenarios: readonly Scenario[] = [
	createOverload('questions 1.5x', 'questions of 0.3 s at 1.5x', createQuestionsOnly, 1.5),
	createOverload('questions 3x', 'questions of 0.3 s at 3x', createQuestionsOnly, 3),
	createOverload('mix 1.5x', 'everyday mix at 1.5x', createMix, 1.5),
	createOverload('mix 3x', 'everyday mix at 3x', createMix, 3),
	burst,
];

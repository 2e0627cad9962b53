/**
 * Lasting overload at 1.5 and 3 times the capacity, with questions alone and with mixed load, and a burst of
 * mixed load at 4 times the capacity for a minute. Goodput under lasting overload is compared with the
 * goodput of the same load at exactly the capacity.
 */

import { allContenders, ours } from '../contenders';
import type { Scenario, ScenarioGoal, ScenarioReport } from '../scenario';
import { computeSummary } from '../summary';
import type { RequestKind } from '../workload';
import { createMixedLoad, createQuestions } from './loads';
import { createRefusalGoal, listFigures, runLoad } from './runs';

const minGoodputRatio = 0.95;
/**
 * The load continues until all counted drafts have ended. If the load stopped earlier, the queues would drain
 * at the end of the run and contenders with long queues would look better than under lasting load.
 */
const steadyRunOptions = { durationMs: 300_000, countFromMs: 30_000, countUntilMs: 120_000 };

function createOverload(
	name: string,
	pattern: string,
	createKinds: (load: number) => RequestKind[],
	load: number,
): Scenario {
	return {
		name,
		run(seed: number): ScenarioReport {
			const results = allContenders.map(contender =>
				runLoad(contender, seed, createKinds(load), steadyRunOptions),
			);
			const ordinary = computeSummary(runLoad(ours, seed, createKinds(1), steadyRunOptions)).goodput;
			const goodputs = results.map(result => computeSummary(result).goodput);
			const [own = 0, ...others] = goodputs;
			const goals: ScenarioGoal[] = [
				{ text: 'goodput beside that at 1x', value: own / ordinary, bound: minGoodputRatio, isLeast: true },
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

/** Returns 4 times the capacity from second 20 to second 80, and half of the capacity otherwise. */
function computeBurstLoad(nowMs: number): number {
	return nowMs >= 20_000 && nowMs < 80_000 ? 4 : 0.5;
}

const burst: Scenario = {
	name: 'burst 4x',
	run(seed: number): ScenarioReport {
		const kinds = createMixedLoad(1, computeBurstLoad, 4);
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
	createOverload('mix 1.5x', 'everyday mix at 1.5x', createMixedLoad, 1.5),
	createOverload('mix 3x', 'everyday mix at 3x', createMixedLoad, 3),
	burst,
];

/**
 * Prompts that share prefixes, which targets cache: requests spread evenly over many prefixes, and half of all
 * requests on one prefix.
 */

import type { IRandom } from '../../../base/common/random';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { allContenders } from '../contenders';
import type { ExperimentResult } from '../experiment';
import type { Scenario, ScenarioGoal, ScenarioReport } from '../scenario';
import { createFigure } from '../scenario';
import { computeAnsweredShare, computeLatency } from '../summary';
import type { RequestKind } from '../workload';
import { createEvenPicker } from '../workload';
import { createQuestions } from './loads';
import { runLoad } from './runs';

const prefixCount = 160;
/** Above the 20 prefixes per target that an ideal router needs, which spreads 160 prefixes over 8 targets. */
const cachedPrefixesPerTarget = 30;
const cacheMissMs = 300;
const loadFraction = 0.45;
const minHitRatio = 0.9;
const maxImbalance = 1.25;
const entryCount = 3;

/** Hit ratio of an ideal single router, with which each prefix misses the cache only once. */
function computeIdealHitShare(result: ExperimentResult): number {
	const { hits, misses } = countCacheLookups(result);
	return (hits + misses - prefixCount) / (hits + misses);
}

function countCacheLookups({ targets }: ExperimentResult): { hits: number; misses: number } {
	return {
		hits: targets.reduce((sum, { totals }) => sum + totals.prefixHits, 0),
		misses: targets.reduce((sum, { totals }) => sum + totals.prefixMisses, 0),
	};
}

function computeHitShare(result: ExperimentResult): number {
	const { hits, misses } = countCacheLookups(result);
	return hits / (hits + misses);
}

/** Ratio of the slot time of the most loaded target to the mean of all targets. */
function computeImbalance({ targets }: ExperimentResult): number {
	const loads = targets.map(({ totals }) => totals.slotMs);
	const mean = loads.reduce((sum, slotMs) => sum + slotMs, 0) / loads.length;
	return Math.max(...loads) / mean;
}

function createPrefixScenario(
	name: string,
	pattern: string,
	pickPrefix: (random: IRandom) => string,
	createGoals: (result: ExperimentResult) => ScenarioGoal[],
): Scenario {
	const kinds: RequestKind[] = [createQuestions(loadFraction, { pickPrefix, coldMs: cacheMissMs })];
	return {
		name,
		run(seed: number): ScenarioReport {
			const results = allContenders.map(contender =>
				runLoad(contender, seed, kinds, { cachedPrefixes: cachedPrefixesPerTarget, entryCount }),
			);
			const rows = results.map((result, index) => ({
				contender: allContenders[index]?.name ?? '',
				figures: [
					createFigure('prefix hits', computeHitShare(result) * 100, '%'),
					createFigure('most loaded / mean', computeImbalance(result), ''),
					createFigure('answered', computeAnsweredShare(result.records) * 100, '%'),
					createFigure('p50', computeLatency(result.records, RequestClass.Urgent, 0.5), 'ms'),
					createFigure('p99', computeLatency(result.records, RequestClass.Urgent, 0.99), 'ms'),
				],
			}));
			const [own] = results;
			return { name, pattern, seed, rows, goals: own === undefined ? [] : createGoals(own) };
		},
	};
}

function createBalanceGoal(result: ExperimentResult): ScenarioGoal {
	return {
		text: 'most loaded target beside the mean',
		value: computeImbalance(result),
		bound: maxImbalance,
		isLeast: false,
	};
}

const pickUniformPrefix = createEvenPicker('prefix', prefixCount);

export const prefixScenarios: readonly Scenario[] = [
	createPrefixScenario(
		'prefixes even',
		'questions at 0.45x over 160 prefixes, a cold one costs 300 ms, 30 fit a target, 3 entries',
		pickUniformPrefix,
		result => [
			{
				text: "hits beside an ideal router's",
				value: computeHitShare(result) / computeIdealHitShare(result),
				bound: minHitRatio,
				isLeast: true,
			},
			createBalanceGoal(result),
		],
	),
	createPrefixScenario(
		'prefix hot',
		'the same with half of all requests on one prefix',
		random => (random.pickFraction() < 0.5 ? 'prefix-hot' : pickUniformPrefix(random)),
		result => [createBalanceGoal(result)],
	),
];

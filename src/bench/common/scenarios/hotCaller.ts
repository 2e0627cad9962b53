/**
 * Fairness among organisations: one of ten organisations sends ten times its share of requests, and the other
 * nine send their usual load.
 */

import type { IRandom } from '../../../base/common/random';
import { allContenders, ours } from '../contenders';
import type { ExperimentResult } from '../experiment';
import type { Scenario, ScenarioReport } from '../scenario';
import { createFigure } from '../scenario';
import { computeAnsweredShare, computeQuantile, listLatencies } from '../summary';
import { createQuestions } from './loads';
import { runLoad } from './runs';

const name = 'hot organisation 10x';
const hotOrganisation = 'organisation-0';
const baseLoadFraction = 0.8;
const hotFactor = 10;
const organisationCount = 10;
const minOthersAnsweredRatio = 0.95;

/** Picks the hot organisation ten times as often as each of the other organisations. */
function pickOrganisation(random: IRandom): string {
	const index = random.pickBelow(organisationCount - 1 + hotFactor);
	return index < hotFactor ? hotOrganisation : `organisation-${index - hotFactor + 1}`;
}

function computeOthersShare(result: ExperimentResult): number {
	return computeAnsweredShare(result.records, record => record.organisation !== hotOrganisation);
}

export const hotOrganisationScenario: Scenario = {
	name,
	run(seed: number): ScenarioReport {
		const load = (baseLoadFraction * (organisationCount - 1 + hotFactor)) / organisationCount;
		const hotKinds = [createQuestions(load, { pickOrganisation })];
		const ordinary = runLoad(ours, seed, [createQuestions(baseLoadFraction)]);
		const results = allContenders.map(contender => runLoad(contender, seed, hotKinds));
		const rows = results.map((result, index) => {
			const isOther = (record: { organisation: string }): boolean => record.organisation !== hotOrganisation;
			return {
				contender: allContenders[index]?.name ?? '',
				figures: [
					createFigure('others answered', computeOthersShare(result) * 100, '%'),
					createFigure(
						'hot answered',
						computeAnsweredShare(result.records, record => record.organisation === hotOrganisation) * 100,
						'%',
					),
					createFigure('others p99', computeQuantile(listLatencies(result.records, isOther), 0.99), 'ms'),
				],
			};
		});
		const [own] = results;
		const value = own === undefined ? 0 : computeOthersShare(own) / computeOthersShare(ordinary);
		return {
			name,
			pattern: 'ten organisations at 0.8x together, one of them then at ten times its share',
			seed,
			rows,
			goals: [
				{
					text: "others' goodput beside that without the hot one",
					value,
					bound: minOthersAnsweredRatio,
					isLeast: true,
				},
			],
		};
	},
};

/**
 * One organisation of ten sends ten times its share while the others send theirs.
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
const hot = 'organisation-0';
const ordinaryLoad = 0.8;
const factor = 10;
const organisations = 10;
const othersGoal = 0.95;

/** Draws the hot organisation ten times as often as each other one. */
function pickOrganisation(random: IRandom): string {
	const place = random.pickBelow(organisations - 1 + factor);
	return place < factor ? hot : `organisation-${place - factor + 1}`;
}

function computeOthersShare(result: ExperimentResult): number {
	return computeAnsweredShare(result.records, record => record.organisation !== hot);
}

export const hotCaller: Scenario = {
	name,
	run(seed: number): ScenarioReport {
		const load = (ordinaryLoad * (organisations - 1 + factor)) / organisations;
		const hotKinds = [createQuestions(load, { pickOrganisation })];
		const ordinary = runLoad(ours, seed, [createQuestions(ordinaryLoad)]);
		const results = allContenders.map(contender => runLoad(contender, seed, hotKinds));
		const rows = results.map((result, index) => {
			const isOther = (record: { organisation: string }): boolean => record.organisation !== hot;
			return {
				contender: allContenders[index]?.name ?? '',
				figures: [
					createFigure('others answered', computeOthersShare(result) * 100, '%'),
					createFigure(
						'hot answered',
						computeAnsweredShare(result.records, record => record.organisation === hot) * 100,
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
				{ text: "others' goodput beside that without the hot one", value, bound: othersGoal, isLeast: true },
			],
		};
	},
};

/**
 * Short requests among long ones: drafts of 30 to 60 s arrive at 1.2 times the capacity of the service, and
 * questions of 0.3 s at 0.3 times.
 */

import { RequestClass } from '../../../core/requests/common/requestClass';
import { allContenders, ours } from '../contenders';
import type { Scenario, ScenarioReport } from '../scenario';
import { computeLatency, computeSummary } from '../summary';
import { createDrafts, createQuestions } from './loads';
import { listFigures, runLoad } from './runs';

const questionLoad = 0.3;
const draftLoad = 1.2;
const maxP99Ratio = 1.3;
/** Counting starts after the queues have filled for longer than the deadline of a draft (180 s). */
const runOptions = { durationMs: 570_000, countFromMs: 300_000, countUntilMs: 390_000 };

function createLongAmongShort(name: string, entryCount: number): Scenario {
	return { name, run: seed => runLongAmongShort(name, entryCount, seed) };
}

function runLongAmongShort(name: string, entryCount: number, seed: number): ScenarioReport {
	const kinds = [createQuestions(questionLoad), createDrafts(draftLoad)];
	const options = { ...runOptions, entryCount };
	const unloaded = runLoad(ours, seed, [createQuestions(questionLoad)], options);
	const results = allContenders.map(contender => runLoad(contender, seed, kinds, options));
	const [own] = results;
	const ownP99 = computeLatency(own?.records ?? [], RequestClass.Urgent, 0.99);
	const goodputs = results.map(result => computeSummary(result).goodput);
	return {
		name,
		pattern: `questions at 0.3x and drafts at 1.2x, entries: ${entryCount}`,
		seed,
		rows: results.map((result, index) => ({
			contender: allContenders[index]?.name ?? '',
			figures: listFigures(result),
		})),
		goals: [
			{
				text: 'p99 of questions beside that without drafts',
				value: ownP99 / computeLatency(unloaded.records, RequestClass.Urgent, 0.99),
				bound: maxP99Ratio,
				isLeast: false,
			},
			{
				text: 'goodput beside the best baseline',
				value: (goodputs[0] ?? 0) / Math.max(...goodputs.slice(1)),
				bound: 1,
				isLeast: true,
			},
		],
	};
}

export const longAmongShortScenarios: readonly Scenario[] = [
	createLongAmongShort('long among short', 1),
	createLongAmongShort('long among short, 6 entries', 6),
];

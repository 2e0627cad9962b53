/**
 * Six entry instances balance load over the same targets, based on load reports of the targets that are one or
 * five seconds old. Instances that act on the same old report may all pick the same target.
 */

import { RequestClass } from '../../../core/requests/common/requestClass';
import type { Contender } from '../contenders';
import { leastInFlight, leastReported, ours, randomChoice, roundRobin } from '../contenders';
import type { Scenario, ScenarioReport } from '../scenario';
import { createFigure } from '../scenario';
import { computeAnsweredShare, computeLatency } from '../summary';
import { createQuestions } from './loads';
import { runLoad } from './runs';

const loadFraction = 0.8;
const entryCount = 6;
const contenders: readonly Contender[] = [ours, leastReported, randomChoice, roundRobin, leastInFlight];

function createHerding(lagMs: number): Scenario {
	const name = `herding, reports ${lagMs / 1_000} s old`;
	return {
		name,
		run(seed: number): ScenarioReport {
			const results = contenders.map(contender =>
				runLoad(contender, seed, [createQuestions(loadFraction)], {
					entryCount,
					reportPeriodMs: 1_000,
					reportLagMs: lagMs,
				}),
			);
			const p99s = results.map(result => computeLatency(result.records, RequestClass.Urgent, 0.99));
			const answered = results.map(result => computeAnsweredShare(result.records));
			return {
				name,
				pattern: `questions at 0.8x through six entries, reports every second and ${lagMs} ms old`,
				seed,
				rows: results.map((result, index) => ({
					contender: contenders[index]?.name ?? '',
					figures: [
						createFigure('answered', (answered[index] ?? 0) * 100, '%'),
						createFigure('p50', computeLatency(result.records, RequestClass.Urgent, 0.5), 'ms'),
						createFigure('p99', p99s[index] ?? Number.NaN, 'ms'),
					],
				})),
				goals: [
					{
						text: 'p99 beside the best baseline',
						value: (p99s[0] ?? Number.NaN) / Math.min(...p99s.slice(1)),
						bound: 1.1,
						isLeast: false,
					},
					{
						text: 'answered beside the best baseline',
						value: (answered[0] ?? 0) / Math.max(...answered.slice(1)),
						bound: 0.995,
						isLeast: true,
					},
				],
			};
		},
	};
}

export const herdingScenarios: readonly Scenario[] = [createHerding(1_000), createHerding(5_000)];

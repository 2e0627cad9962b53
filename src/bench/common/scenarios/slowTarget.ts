/**
 * One target of eight is five times slower: all the time, and for half a minute.
 */

import type { IRandom } from '../../../base/common/random';
import { ServiceScheduler } from '../../../entry/common/scheduling/scheduler';
import type { ScheduleDecision } from '../../../entry/common/scheduling/serviceScheduler';
import { ScheduleDecisionKind } from '../../../entry/common/scheduling/serviceScheduler';
import { trialReason } from '../../../entry/common/scheduling/targetChooser';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { allContenders, ours } from '../contenders';
import type { ExperimentResult, ModelEvent } from '../experiment';
import type { Scenario, ScenarioGoal, ScenarioReport } from '../scenario';
import { createFigure } from '../scenario';
import { computeAnsweredShare, computeLatency } from '../summary';
import { createQuestions } from './loads';
import { runLoad } from './runs';

const slowSpeed = 0.2;
const load = 0.5;
const p99Goal = 1.2;
const returnGoal = 0.5;
const durationMs = 120_000;
const countFromMs = 10_000;
const recoveredMs = 50_000;
const healthyRuns = 1_000;
const healthyLoad = 0.7;
const healthyMs = 10_000;

function createSpeedEvent(atMs: number, speed: number): ModelEvent {
	return {
		atMs,
		apply: targets => {
			targets[0]?.setSpeed(speed);
		},
	};
}

function computeP99(result: ExperimentResult): number {
	return computeLatency(result.records, RequestClass.Urgent, 0.99);
}

/** Requests that the slow target started after its recovery, beside the mean of the others. */
function computeReturn(result: ExperimentResult, startedBefore: readonly number[]): number {
	const started = result.targets.map(({ totals }, index) => totals.startedJobs - (startedBefore[index] ?? 0));
	const [slow = 0, ...others] = started;
	return slow / (others.reduce((sum, count) => sum + count, 0) / others.length);
}

function createSlowScenario(
	name: string,
	pattern: string,
	events: readonly ModelEvent[],
	isRecovering: boolean,
): Scenario {
	return {
		name,
		run(seed: number): ScenarioReport {
			const kinds = [createQuestions(load)];
			const healthy = computeP99(runLoad(ours, seed, kinds, { durationMs, countFromMs }));
			const runs = allContenders.map(contender => {
				const startedBefore: number[] = [];
				const note: ModelEvent = {
					atMs: recoveredMs + countFromMs,
					apply: targets => {
						startedBefore.push(...targets.map(({ totals }) => totals.startedJobs));
					},
				};
				const more = { durationMs, countFromMs, events: [...events, note] };
				return { contender, result: runLoad(contender, seed, kinds, more), startedBefore };
			});
			const rows = runs.map(({ contender, result, startedBefore }) => ({
				contender: contender.name,
				figures: [
					createFigure('answered', computeAnsweredShare(result.records) * 100, '%'),
					createFigure('p50', computeLatency(result.records, RequestClass.Urgent, 0.5), 'ms'),
					createFigure('p99', computeP99(result), 'ms'),
					createFigure('p99 / healthy', computeP99(result) / healthy, ''),
					createFigure('late work on it / mean', computeReturn(result, startedBefore), ''),
				],
			}));
			const [own] = runs;
			const goals: ScenarioGoal[] = [];
			if (own !== undefined) {
				goals.push({
					text: 'p99 beside that with all healthy',
					value: computeP99(own.result) / healthy,
					bound: p99Goal,
					isLeast: false,
				});
			}
			if (own !== undefined && isRecovering) {
				goals.push({
					text: 'its work after recovery beside the mean',
					value: computeReturn(own.result, own.startedBefore),
					bound: returnGoal,
					isLeast: true,
				});
			}
			return { name, pattern, seed, rows, goals };
		},
	};
}

/** Counts the trials that it starts: there is one only where a target is avoided. */
class TrialCountingScheduler extends ServiceScheduler {
	trials = 0;

	override advance(nowMs: number): readonly ScheduleDecision[] {
		const decisions = super.advance(nowMs);
		for (const decision of decisions) {
			const isTrial = decision.kind === ScheduleDecisionKind.Start && decision.reason === trialReason;
			this.trials += isTrial ? 1 : 0;
		}
		return decisions;
	}
}

/** Whether a healthy target was avoided at any time of a run. */
function hasFalseEjection(seed: number): boolean {
	let scheduler: TrialCountingScheduler | undefined;
	const counting = {
		name: 'anvilroad',
		create: (random: IRandom) => {
			scheduler = new TrialCountingScheduler(random);
			return scheduler;
		},
	};
	runLoad(counting, seed, [createQuestions(healthyLoad)], { durationMs: healthyMs });
	return (scheduler?.trials ?? 0) > 0;
}

const allHealthy: Scenario = {
	name: 'slow target: none',
	run(seed: number): ScenarioReport {
		let ejections = 0;
		for (let run = 0; run < healthyRuns; run++) {
			ejections += hasFalseEjection(seed * healthyRuns + run) ? 1 : 0;
		}
		return {
			name: 'slow target: none',
			pattern: `questions at ${healthyLoad}x on healthy targets, ${healthyRuns} runs of ${healthyMs / 1_000} s`,
			seed,
			rows: [
				{ contender: 'anvilroad', figures: [createFigure('runs with a false ejection', ejections, '')] },
			],
			goals: [{ text: 'runs with a false ejection', value: ejections, bound: 0, isLeast: false }],
		};
	},
};

export const slowTargetScenarios: readonly Scenario[] = [
	createSlowScenario(
		'slow target',
		'questions at 0.5x, one target of eight five times slower from the start',
		[createSpeedEvent(0, slowSpeed)],
		false,
	),
	createSlowScenario(
		'slow target recovers',
		'the same, slow from the second 20 to 50',
		[createSpeedEvent(20_000, slowSpeed), createSpeedEvent(recoveredMs, 1)],
		true,
	),
	allHealthy,
];

/**
 * One target of eight is five times slower, for the whole run or for half a minute. A further pattern counts
 * how often a target is avoided as slow although all targets are healthy.
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
const loadFraction = 0.5;
const maxP99Ratio = 1.2;
const minRecoveredWorkRatio = 0.5;
const durationMs = 120_000;
const countFromMs = 10_000;
const recoveredAtMs = 50_000;
const healthyRunCount = 1_000;
const healthyLoadFraction = 0.7;
const healthyRunMs = 10_000;

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

/** Ratio of the requests that the slow target started after its recovery to the mean of the other targets. */
function computeRecoveredWorkRatio(result: ExperimentResult, startedBefore: readonly number[]): number {
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
			const kinds = [createQuestions(loadFraction)];
			const healthy = computeP99(runLoad(ours, seed, kinds, { durationMs, countFromMs }));
			const runs = allContenders.map(contender => {
				const startedBefore: number[] = [];
				const snapshotEvent: ModelEvent = {
					atMs: recoveredAtMs + countFromMs,
					apply: targets => {
						startedBefore.push(...targets.map(({ totals }) => totals.startedJobs));
					},
				};
				const options = { durationMs, countFromMs, events: [...events, snapshotEvent] };
				return { contender, result: runLoad(contender, seed, kinds, options), startedBefore };
			});
			const rows = runs.map(({ contender, result, startedBefore }) => ({
				contender: contender.name,
				figures: [
					createFigure('answered', computeAnsweredShare(result.records) * 100, '%'),
					createFigure('p50', computeLatency(result.records, RequestClass.Urgent, 0.5), 'ms'),
					createFigure('p99', computeP99(result), 'ms'),
					createFigure('p99 / healthy', computeP99(result) / healthy, ''),
					createFigure('late work on it / mean', computeRecoveredWorkRatio(result, startedBefore), ''),
				],
			}));
			const [own] = runs;
			const goals: ScenarioGoal[] = [];
			if (own !== undefined) {
				goals.push({
					text: 'p99 beside that with all healthy',
					value: computeP99(own.result) / healthy,
					bound: maxP99Ratio,
					isLeast: false,
				});
			}
			if (own !== undefined && isRecovering) {
				goals.push({
					text: 'its work after recovery beside the mean',
					value: computeRecoveredWorkRatio(own.result, own.startedBefore),
					bound: minRecoveredWorkRatio,
					isLeast: true,
				});
			}
			return { name, pattern, seed, rows, goals };
		},
	};
}

/**
 * Counts the trial requests that the scheduler starts. A trial is only sent to a target that is avoided as slow,
 * so the count is above 0 only after an ejection.
 */
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

/** Runs the load on healthy targets and returns whether any of them was avoided as slow. */
function hasFalseEjection(seed: number): boolean {
	let scheduler: TrialCountingScheduler | undefined;
	const counting = {
		name: 'anvilroad',
		create: (random: IRandom) => {
			scheduler = new TrialCountingScheduler(random);
			return scheduler;
		},
	};
	runLoad(counting, seed, [createQuestions(healthyLoadFraction)], { durationMs: healthyRunMs });
	return (scheduler?.trials ?? 0) > 0;
}

const allHealthy: Scenario = {
	name: 'slow target: none',
	run(seed: number): ScenarioReport {
		let ejections = 0;
		for (let run = 0; run < healthyRunCount; run++) {
			ejections += hasFalseEjection(seed * healthyRunCount + run) ? 1 : 0;
		}
		return {
			name: 'slow target: none',
			pattern: `questions at ${healthyLoadFraction}x on healthy targets, ${healthyRunCount} runs of ${healthyRunMs / 1_000} s`,
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
		[createSpeedEvent(20_000, slowSpeed), createSpeedEvent(recoveredAtMs, 1)],
		true,
	),
	allHealthy,
];

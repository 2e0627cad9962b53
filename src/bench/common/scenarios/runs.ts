/**
 * Helpers of the load patterns: running a contender, and the figures and the refusal goal that several patterns
 * report.
 */

import { RequestClass, requestClasses } from '../../../core/requests/common/requestClass';
import type { Contender } from '../contenders';
import type { ExperimentOptions, ExperimentResult } from '../experiment';
import { defaultExperiment, Experiment } from '../experiment';
import type { Figure, ScenarioGoal } from '../scenario';
import { createFigure } from '../scenario';
import {
	computeAnsweredShare,
	computeLatency,
	computeQuantile,
	computeSummary,
	listLatencies,
} from '../summary';
import type { RequestKind } from '../workload';

const maxRefusalP99Ms = 200;

/** Runs one contender with the load that `kinds` and the seed determine. */
export function runLoad(
	contender: Contender,
	seed: number,
	kinds: readonly RequestKind[],
	overrides: Partial<ExperimentOptions> = {},
): ExperimentResult {
	const options = { ...defaultExperiment, seed, kinds, createScheduler: contender.create, ...overrides };
	return new Experiment(options).run();
}

/** Lists the figures of a run as columns of a table. */
export function listFigures(result: ExperimentResult): Figure[] {
	const summary = computeSummary(result);
	return [
		createFigure('goodput', summary.goodput, '/s'),
		createFigure('work', summary.workGoodput * 100, '%'),
		createFigure('refused', summary.refusedShare * 100, '%'),
		createFigure('failed', summary.failedShare * 100, '%'),
		...requestClasses.map(requestClass =>
			createFigure(
				`${requestClass} answered`,
				computeAnsweredShare(result.records, record => record.requestClass === requestClass) * 100,
				'%',
			),
		),
		createFigure('urgent p50', computeLatency(result.records, RequestClass.Urgent, 0.5), 'ms'),
		createFigure('urgent p99', computeLatency(result.records, RequestClass.Urgent, 0.99), 'ms'),
		createFigure(
			'all p99',
			computeQuantile(
				listLatencies(result.records, () => true),
				0.99,
			),
			'ms',
		),
		createFigure('longest refusal', summary.longestRefusalMs, 'ms'),
		createFigure('slots used', summary.slotUse * 100, '%'),
		createFigure('fairness', summary.fairness, ''),
		createFigure('slot-s per answer', summary.slotSecondsPerAnswer, 's'),
	];
}

/**
 * Creates the goal for the p99 of the time to a refusal. Requests are expected to be refused on arrival or at the
 * next check of the queue.
 */
export function createRefusalGoal(result: ExperimentResult | undefined): ScenarioGoal {
	const refusals = (result?.records ?? []).filter(record => record.retryNotBeforeMs.length > 0);
	const value = computeQuantile(
		refusals.map(record => record.longestRefusalMs),
		0.99,
	);
	return { text: 'p99 of the time to a refusal', value, bound: maxRefusalP99Ms, isLeast: false };
}

/**
 * Every target is down for ten seconds. Callers resend: not at all, when they were told to, or after a
 * fifth of a second.
 */

import type { Contender } from '../contenders';
import { fifo, leastInFlight, ours, oursWithoutBudget, retryingAlways } from '../contenders';
import type { CallerRecord, ExperimentResult, ModelEvent } from '../experiment';
import { ResendRule } from '../experiment';
import type { Scenario, ScenarioGoal, ScenarioReport } from '../scenario';
import { createFigure } from '../scenario';
import { computeAnsweredShare, computeSummary } from '../summary';
import { createQuestions } from './loads';
import { createRefusalGoal, runLoad } from './runs';

const load = 0.7;
const downMs = 20_000;
const upMs = 30_000;
const durationMs = 90_000;
const retryGoal = 1.1;
const recoveryGoalMs = 5_000;
const spreadGoal = 3;
const binMs = 1_000;
const contenders: readonly Contender[] = [ours, oursWithoutBudget, retryingAlways, leastInFlight, fifo];

/** How the targets are out. */
enum Fault {
	/** They cannot be reached. */
	Down,
	/** They take every request and break it off. */
	Failing,
}

function createFaultEvent(fault: Fault, atMs: number, isOut: boolean): ModelEvent {
	return {
		atMs,
		apply: targets => {
			for (const target of targets) {
				if (fault === Fault.Down) {
					target.setDown(isOut);
				} else {
					target.setFailing(isOut);
				}
			}
		},
	};
}

/** From the end of the outage to the first second in which 95 in 100 first sends are answered, and stay so. */
function computeRecovery(records: readonly CallerRecord[]): number {
	for (let fromMs = upMs; fromMs < durationMs - 10_000; fromMs += binMs) {
		const share = computeAnsweredShare(
			records,
			record => record.plannedMs >= fromMs && record.plannedMs < fromMs + 5 * binMs,
		);
		if (share >= 0.95) {
			return fromMs - upMs;
		}
	}
	return Number.POSITIVE_INFINITY;
}

/** The fullest second of returning sends after the outage, beside the mean rate of first sends. */
function computeReturnPeak(result: ExperimentResult): number {
	const bins = new Map<number, number>();
	for (const { sentMs } of result.records) {
		for (const atMs of sentMs.slice(1)) {
			if (atMs >= upMs) {
				const bin = Math.floor(atMs / binMs);
				bins.set(bin, (bins.get(bin) ?? 0) + 1);
			}
		}
	}
	const firstSendsPerBin = (result.records.length * binMs) / result.countedMs;
	return Math.max(0, ...bins.values()) / firstSendsPerBin;
}

/** Attempts at targets for each send while every target is down, counted by a run that ends there. */
function computeAddedLoad(contender: Contender, fault: Fault, seed: number): number {
	const result = runLoad(contender, seed, [createQuestions(load)], {
		durationMs: 30_000,
		events: [createFaultEvent(fault, 0, true)],
	});
	const sends = result.records.reduce((sum, record) => sum + record.sends, 0);
	return result.attempts / sends;
}

function createOutage(name: string, pattern: string, fault: Fault, resend: ResendRule): Scenario {
	return {
		name,
		run(seed: number): ScenarioReport {
			const kinds = [createQuestions(load)];
			const events = [createFaultEvent(fault, downMs, true), createFaultEvent(fault, upMs, false)];
			const results = contenders.map(contender =>
				runLoad(contender, seed, kinds, { durationMs, events, resend }),
			);
			const rows = results.map((result, index) => ({
				contender: contenders[index]?.name ?? '',
				figures: [
					createFigure('answered', computeSummary(result).answeredShare * 100, '%'),
					createFigure('sends per caller', countSends(result) / result.records.length, ''),
					createFigure(
						'attempts per send, all down',
						computeAddedLoad(contenders[index] ?? ours, fault, seed),
						'',
					),
					createFigure('recovery', computeRecovery(result.records), 'ms'),
					createFigure('peak of returns / first sends', computeReturnPeak(result), ''),
				],
			}));
			const [own] = results;
			return {
				name,
				pattern,
				seed,
				rows,
				goals: own === undefined ? [] : createGoals(own, fault, seed, resend),
			};
		},
	};
}

function countSends(result: ExperimentResult): number {
	return result.records.reduce((sum, record) => sum + record.sends, 0);
}

function createGoals(own: ExperimentResult, fault: Fault, seed: number, resend: ResendRule): ScenarioGoal[] {
	const goals: ScenarioGoal[] = [
		{
			text: 'attempts per send while all are down',
			value: computeAddedLoad(ours, fault, seed),
			bound: retryGoal,
			isLeast: false,
		},
		{
			text: 'recovery in ms after the outage',
			value: computeRecovery(own.records),
			bound: recoveryGoalMs,
			isLeast: false,
		},
		createRefusalGoal(own),
	];
	if (resend === ResendRule.AfterRetryDelay) {
		goals.push({
			text: 'fullest second of returns beside first sends',
			value: computeReturnPeak(own),
			bound: spreadGoal,
			isLeast: false,
		});
	}
	return goals;
}

const outText = 'all targets down from the second 20 to 30';

export const outageScenarios: readonly Scenario[] = [
	createOutage('outage', `questions at 0.7x, ${outText}`, Fault.Down, ResendRule.Never),
	createOutage(
		'outage, targets break requests off',
		'the same, but failing',
		Fault.Failing,
		ResendRule.Never,
	),
	createOutage(
		'outage, callers return when told',
		`the same, ${outText}`,
		Fault.Down,
		ResendRule.AfterRetryDelay,
	),
	createOutage(
		'outage, callers resend at once',
		'the same after 0.2 s',
		Fault.Down,
		ResendRule.AfterFixedDelay,
	),
];

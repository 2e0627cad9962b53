/**
 * Every target is out of service for ten seconds. Refused callers don't resend, resend after the time given in
 * the refusal, or resend after 0.2 s.
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

const loadFraction = 0.7;
const outageStartMs = 20_000;
const outageEndMs = 30_000;
const durationMs = 90_000;
const maxAttemptsPerSend = 1.1;
const maxRecoveryMs = 5_000;
const maxResendPeak = 3;
const binMs = 1_000;
const contenders: readonly Contender[] = [ours, oursWithoutBudget, retryingAlways, leastInFlight, fifo];

/** How the targets fail during the outage. */
enum OutageKind {
	/** Targets are unreachable. */
	Down,
	/** Targets accept every request and abort it. */
	Failing,
}

function createOutageEvent(kind: OutageKind, atMs: number, isActive: boolean): ModelEvent {
	return {
		atMs,
		apply: targets => {
			for (const target of targets) {
				if (kind === OutageKind.Down) {
					target.setDown(isActive);
				} else {
					target.setFailing(isActive);
				}
			}
		},
	};
}

/**
 * Time from the end of the outage to the start of the first span of five seconds in which at least 95 % of the
 * callers that first send in it are answered, or infinity if there is none.
 */
function computeRecoveryMs(records: readonly CallerRecord[]): number {
	for (let fromMs = outageEndMs; fromMs < durationMs - 10_000; fromMs += binMs) {
		const share = computeAnsweredShare(
			records,
			record => record.plannedMs >= fromMs && record.plannedMs < fromMs + 5 * binMs,
		);
		if (share >= 0.95) {
			return fromMs - outageEndMs;
		}
	}
	return Number.POSITIVE_INFINITY;
}

/** Ratio of the largest number of resends in one second after the outage to the mean rate of first sends. */
function computeResendPeak(result: ExperimentResult): number {
	const bins = new Map<number, number>();
	for (const { sentMs } of result.records) {
		for (const atMs of sentMs.slice(1)) {
			if (atMs >= outageEndMs) {
				const bin = Math.floor(atMs / binMs);
				bins.set(bin, (bins.get(bin) ?? 0) + 1);
			}
		}
	}
	const firstSendsPerBin = (result.records.length * binMs) / result.countedMs;
	return Math.max(0, ...bins.values()) / firstSendsPerBin;
}

/**
 * Number of attempts at targets per send by a caller while all targets are out of service. It is measured in a
 * separate run of 30 s in which the targets never recover.
 */
function computeAttemptsPerSend(contender: Contender, kind: OutageKind, seed: number): number {
	const result = runLoad(contender, seed, [createQuestions(loadFraction)], {
		durationMs: 30_000,
		events: [createOutageEvent(kind, 0, true)],
	});
	const sends = result.records.reduce((sum, record) => sum + record.sends, 0);
	return result.attempts / sends;
}

function createOutage(name: string, pattern: string, kind: OutageKind, resend: ResendRule): Scenario {
	return {
		name,
		run(seed: number): ScenarioReport {
			const kinds = [createQuestions(loadFraction)];
			const events = [
				createOutageEvent(kind, outageStartMs, true),
				createOutageEvent(kind, outageEndMs, false),
			];
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
						computeAttemptsPerSend(contenders[index] ?? ours, kind, seed),
						'',
					),
					createFigure('recovery', computeRecoveryMs(result.records), 'ms'),
					createFigure('peak of returns / first sends', computeResendPeak(result), ''),
				],
			}));
			const [own] = results;
			return {
				name,
				pattern,
				seed,
				rows,
				goals: own === undefined ? [] : createGoals(own, kind, seed, resend),
			};
		},
	};
}

function countSends(result: ExperimentResult): number {
	return result.records.reduce((sum, record) => sum + record.sends, 0);
}

function createGoals(
	own: ExperimentResult,
	kind: OutageKind,
	seed: number,
	resend: ResendRule,
): ScenarioGoal[] {
	const goals: ScenarioGoal[] = [
		{
			text: 'attempts per send while all are down',
			value: computeAttemptsPerSend(ours, kind, seed),
			bound: maxAttemptsPerSend,
			isLeast: false,
		},
		{
			text: 'recovery in ms after the outage',
			value: computeRecoveryMs(own.records),
			bound: maxRecoveryMs,
			isLeast: false,
		},
		createRefusalGoal(own),
	];
	if (resend === ResendRule.AfterRetryDelay) {
		goals.push({
			text: 'fullest second of returns beside first sends',
			value: computeResendPeak(own),
			bound: maxResendPeak,
			isLeast: false,
		});
	}
	return goals;
}

const outageText = 'all targets down from the second 20 to 30';

export const outageScenarios: readonly Scenario[] = [
	createOutage('outage', `questions at 0.7x, ${outageText}`, OutageKind.Down, ResendRule.Never),
	createOutage(
		'outage, targets break requests off',
		'the same, but failing',
		OutageKind.Failing,
		ResendRule.Never,
	),
	createOutage(
		'outage, callers return when told',
		`the same, ${outageText}`,
		OutageKind.Down,
		ResendRule.AfterRetryDelay,
	),
	createOutage(
		'outage, callers resend at once',
		'the same after 0.2 s',
		OutageKind.Down,
		ResendRule.AfterFixedDelay,
	),
];

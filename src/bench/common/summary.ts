/**
 * Computes the summary figures of a run from the outcomes of its callers' requests.
 */

import type { RequestClass } from '../../core/requests/common/requestClass';
import type { CallerRecord, ExperimentResult } from './experiment';
import { ModelEnd } from './entryModel';
import type { TargetModel } from './targetModel';

/** The summary figures of a run. */
export interface RunSummary {
	readonly callers: number;
	/** Callers answered within their deadline, per second. */
	readonly goodput: number;
	/** Work of the answered requests as a share of the work that all slots together can do. */
	readonly workGoodput: number;
	/** Share of the callers that were answered. */
	readonly answeredShare: number;
	readonly refusedShare: number;
	/** Share of the callers whose request failed or reached its deadline without an answer. */
	readonly failedShare: number;
	/** Longest time from a send to its refusal. */
	readonly longestRefusalMs: number;
	/** Attempts at targets in the whole run, divided by the number of counted callers. */
	readonly attemptsPerCaller: number;
	/** Slot time per answer, in seconds. Includes slot time spent on failed and cancelled requests. */
	readonly slotSecondsPerAnswer: number;
	/** Share of the slot time of all targets that was used. */
	readonly slotUse: number;
	/** Jain's fairness index of the answered share of each organisation. 1 means that all shares are equal. */
	readonly fairness: number;
}

/** Returns the nearest-rank quantile of the values, or NaN if there are no values. */
export function computeQuantile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1);
	return sorted[Math.max(0, index)] ?? Number.NaN;
}

/** Returns the times from the planned send to the answer, in milliseconds, of the matching answered callers. */
export function listLatencies(
	records: readonly CallerRecord[],
	matches: (record: CallerRecord) => boolean,
): number[] {
	return records
		.filter(record => record.end === ModelEnd.Answered && matches(record))
		.map(record => record.endMs - record.plannedMs);
}

/** Returns a quantile of the latency of one request class. */
export function computeLatency(
	records: readonly CallerRecord[],
	requestClass: RequestClass,
	share: number,
): number {
	return computeQuantile(
		listLatencies(records, record => record.requestClass === requestClass),
		share,
	);
}

/** Returns the share of the matching callers that were answered. */
export function computeAnsweredShare(
	records: readonly CallerRecord[],
	matches: (record: CallerRecord) => boolean = () => true,
): number {
	const matching = records.filter(matches);
	return matching.filter(record => record.end === ModelEnd.Answered).length / Math.max(1, matching.length);
}

function computeFairness(records: readonly CallerRecord[]): number {
	const callers = new Map<string, { sent: number; answered: number }>();
	for (const { organisation, end } of records) {
		const counts = callers.get(organisation) ?? { sent: 0, answered: 0 };
		counts.sent++;
		counts.answered += end === ModelEnd.Answered ? 1 : 0;
		callers.set(organisation, counts);
	}
	const shares = [...callers.values()].map(({ sent, answered }) => answered / sent);
	const sum = shares.reduce((total, share) => total + share, 0);
	const squares = shares.reduce((total, share) => total + share * share, 0);
	return squares === 0 ? 1 : (sum * sum) / (shares.length * squares);
}

function sumAnsweredWork(records: readonly CallerRecord[]): number {
	return records.reduce((sum, record) => sum + (record.end === ModelEnd.Answered ? record.workMs : 0), 0);
}

/** Returns the work, in milliseconds, that the targets do per millisecond with all slots in use. */
function computeCapacity(targets: readonly TargetModel[]): number {
	return targets.reduce((sum, { options }) => sum + options.slots / (1 + options.batchSlowdown), 0);
}

export function computeSummary(result: ExperimentResult): RunSummary {
	const { records, targets, answers, attempts, countedMs, runMs } = result;
	const countEnd = (end: ModelEnd): number => records.filter(record => record.end === end).length;
	const answered = countEnd(ModelEnd.Answered);
	const slotMs = targets.reduce((sum, target) => sum + target.totals.slotMs, 0);
	return {
		callers: records.length,
		goodput: (answered * 1_000) / countedMs,
		workGoodput: sumAnsweredWork(records) / (countedMs * computeCapacity(targets)),
		answeredShare: answered / records.length,
		refusedShare: countEnd(ModelEnd.Refused) / records.length,
		failedShare: countEnd(ModelEnd.Failed) / records.length,
		longestRefusalMs: records.reduce((longest, record) => Math.max(longest, record.longestRefusalMs), 0),
		attemptsPerCaller: attempts / records.length,
		slotSecondsPerAnswer: slotMs / 1_000 / Math.max(1, answers),
		slotUse: slotMs / (targets.reduce((sum, target) => sum + target.options.slots, 0) * runMs),
		fairness: computeFairness(records),
	};
}

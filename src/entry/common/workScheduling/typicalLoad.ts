/**
 * Averages the load of the engines of a service from their reports and from what this entry (proxy process) sent.
 *
 * A report tells how many requests are pending at an engine, but not which. Callers are spread over entries, so the
 * pending requests of all entries are assumed to be of the same kinds and sizes as those of this one.
 */

import type { ReportedRequests, TypicalLoad } from './otherRequests';
import { computeMeanReport, noTypicalLoad } from './otherRequests';
import type { PendingPrefill } from './pendingPrefill';

/** The parts of a target's load model that are averaged. */
export interface ReportingTarget {
	readonly lastReport: ReportedRequests;
	/** Work that the target does in a time, relative to the usual. */
	readonly speed: number;
	readonly pendingPrefill: PendingPrefill;
}

/** Smaller averages are what is left of requests that were sent long ago. */
const minMean = 0.001;

/**
 * Returns the average as of the latest report; without any report, one that has no weight. Its pending requests are
 * those of a target of the usual speed.
 */
export function computeTypicalLoad(
	targets: readonly ReportingTarget[],
	timeConstantMs: number,
	nowMs: number,
): TypicalLoad {
	if (targets.length === 0) {
		return noTypicalLoad;
	}
	const report = computeMeanReport(
		targets.map(({ lastReport, speed }) => ({ ...lastReport, pending: lastReport.pending / speed })),
		timeConstantMs,
		nowMs,
	);
	return { report, prefillMsPerPending: computePrefillPerPending(targets, nowMs) };
}

function computePrefillPerPending(
	targets: readonly ReportingTarget[],
	nowMs: number,
): ReadonlyMap<number, number> {
	let pending = 0;
	const sums = new Map<number, number>();
	for (const { pendingPrefill } of targets) {
		pending += pendingPrefill.computeMeanCount(nowMs);
		for (const { urgency, prefillMs } of pendingPrefill.listMeans(nowMs)) {
			sums.set(urgency, (sums.get(urgency) ?? 0) + prefillMs);
		}
	}
	if (pending < minMean) {
		return new Map();
	}
	const recent = [...sums].filter(([, prefillMs]) => prefillMs >= minMean);
	return new Map(recent.map(([urgency, prefillMs]) => [urgency, prefillMs / pending]));
}

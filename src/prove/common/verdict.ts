/**
 * Formats the result of a campaign: tables for people and a verdict that is written as JSON.
 */

import type { TableRenderer } from '../../demo/common/report';
import type { FaultKind } from './faultSchedule';
import type { Violation } from './invariants';
import { Invariant } from './invariants';
import type { SendRecord } from './sendRecord';
import { CallKind, SendOutcome } from './sendRecord';

/** The result of a campaign. */
export interface CampaignResult {
	readonly seed: number;
	readonly isShort: boolean;
	readonly tookMs: number;
	readonly sends: readonly SendRecord[];
	/** Number of runs, summed over all calls and all services that count their runs. */
	readonly runs: number;
	readonly injected: readonly FaultKind[];
	/** Time that each published manifest took to be in force at all reachable entries, in milliseconds. */
	readonly spreadMs: readonly number[];
	/** Violations recorded during the campaign and those found in the records at its end. */
	readonly violations: readonly Violation[];
}

/** The summary that is printed as one line of JSON. */
export interface Verdict {
	readonly holds: boolean;
	readonly seed: number;
	readonly isShort: boolean;
	readonly tookMs: number;
	readonly sends: number;
	readonly runs: number;
	readonly faults: readonly FaultKind[];
	readonly spreadMs: readonly number[];
	readonly violations: readonly Violation[];
}

export function createVerdict(result: CampaignResult): Verdict {
	return {
		holds: result.violations.length === 0,
		seed: result.seed,
		isShort: result.isShort,
		tookMs: Math.round(result.tookMs),
		sends: result.sends.length,
		runs: result.runs,
		faults: result.injected,
		spreadMs: result.spreadMs.map(ms => Math.round(ms)),
		violations: result.violations,
	};
}

/**
 * Renders the number of sends by kind and reported outcome, the state of each invariant, and every violation.
 */
export function renderResult(result: CampaignResult, renderTable: TableRenderer): string {
	const outcomes = Object.values(SendOutcome);
	const callRows = Object.values(CallKind).map(kind => [
		kind,
		...outcomes.map(outcome => String(countSends(result.sends, kind, outcome))),
	]);
	const invariantRows = Object.values(Invariant).map(invariant => {
		const count = result.violations.filter(violation => violation.invariant === invariant).length;
		return [count === 0 ? 'holds' : 'BROKEN', String(count), invariant];
	});
	return [
		renderTable(['call', ...outcomes], callRows),
		renderTable(['', 'breaches', 'invariant'], invariantRows),
		...result.violations.map(({ invariant, detail }) => `BROKEN: ${invariant}: ${detail}`),
	].join('\n');
}

function countSends(sends: readonly SendRecord[], kind: CallKind, outcome: SendOutcome): number {
	return sends.filter(send => send.kind === kind && send.told === outcome).length;
}

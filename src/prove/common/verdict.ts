/**
 * What a campaign found: a table for people and a verdict for programs.
 */

import type { TableRenderer } from '../../demo/common/report';
import type { FaultKind } from './faultSchedule';
import type { Violation } from './invariants';
import { Invariant } from './invariants';
import type { SendRecord } from './sendRecord';
import { CallKind, Told } from './sendRecord';

/** Everything that a campaign hands over to be judged and shown. */
export interface CampaignResult {
	readonly seed: number;
	readonly isShort: boolean;
	readonly tookMs: number;
	readonly sends: readonly SendRecord[];
	/** Runs counted by the plain services. */
	readonly runs: number;
	readonly injected: readonly FaultKind[];
	/** Time until each published manifest was in force at all reachable entries, in milliseconds. */
	readonly spreadMs: readonly number[];
	/** How often each invariant was put to the test beyond the ledgers' comparison. */
	readonly violations: readonly Violation[];
}

/** The verdict as one line of JSON tells it. */
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

/** Two tables: what callers were told by kind of call, and how each invariant fared. */
export function renderResult(result: CampaignResult, renderTable: TableRenderer): string {
	const told = Object.values(Told);
	const callRows = Object.values(CallKind).map(kind => [
		kind,
		...told.map(what => String(countSends(result.sends, kind, what))),
	]);
	const invariantRows = Object.values(Invariant).map(invariant => {
		const count = result.violations.filter(violation => violation.invariant === invariant).length;
		return [count === 0 ? 'holds' : 'BROKEN', String(count), invariant];
	});
	return [
		renderTable(['call', ...told], callRows),
		renderTable(['', 'breaches', 'invariant'], invariantRows),
		...result.violations.map(({ invariant, detail }) => `BROKEN: ${invariant}: ${detail}`),
	].join('\n');
}

function countSends(sends: readonly SendRecord[], kind: CallKind, told: Told): number {
	return sends.filter(send => send.kind === kind && send.told === told).length;
}

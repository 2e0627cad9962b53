/**
 * Collects what a campaign records while it runs: every send, every injected fault, and the violations that
 * are found during the run.
 */

import type { FaultKind } from './faultSchedule';
import type { Invariant, Violation } from './invariants';
import type { SendRecord } from './sendRecord';

export class CampaignLog {
	readonly sends: SendRecord[] = [];
	readonly injected: FaultKind[] = [];
	readonly violations: Violation[] = [];
	/** Time that each published manifest took to be in force at all reachable entries, in milliseconds. */
	readonly spreadMs: number[] = [];

	/** @param reportLine Called with one line for each fault and violation when it is recorded. */
	constructor(private readonly reportLine: (line: string) => void) {}

	recordFault(kind: FaultKind, place: string): void {
		this.injected.push(kind);
		this.reportLine(`${kind}: ${place}`);
	}

	recordViolation(invariant: Invariant, detail: string): void {
		this.violations.push({ invariant, detail });
		this.reportLine(`BROKEN: ${invariant}: ${detail}`);
	}
}

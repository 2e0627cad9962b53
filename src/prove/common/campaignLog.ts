/**
 * What a campaign writes down while it runs: every send, every fault and what was seen to be wrong at once.
 */

import type { FaultKind } from './faultSchedule';
import type { Invariant, Violation } from './invariants';
import type { SendRecord } from './sendRecord';

export class CampaignLog {
	readonly sends: SendRecord[] = [];
	readonly injected: FaultKind[] = [];
	readonly violations: Violation[] = [];
	/** Time until each published manifest was in force at all reachable entries, in milliseconds. */
	readonly spreadMs: number[] = [];

	/** @param report Called with each fault and breach as it happens. */
	constructor(private readonly report: (line: string) => void) {}

	noteFault(kind: FaultKind, place: string): void {
		this.injected.push(kind);
		this.report(`${kind}: ${place}`);
	}

	noteViolation(invariant: Invariant, detail: string): void {
		this.violations.push({ invariant, detail });
		this.report(`BROKEN: ${invariant}: ${detail}`);
	}
}

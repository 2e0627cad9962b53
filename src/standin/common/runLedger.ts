/**
 * What a plain service ran: one record for each run, kept by the caller's own id of the call, so that a
 * test can see a call that ran twice whatever the system sent along with it.
 */

/** One run of a call. */
export interface CallRun {
	/** The attempt under which the system sent it. */
	readonly attempt: string | undefined;
	readonly requestId: string | undefined;
}

/** All runs of one call. */
export interface CallRecord {
	readonly callId: string;
	readonly runs: readonly CallRun[];
}

/** Counts runs; a run counts from its start, whatever becomes of its answer. */
export class RunLedger {
	private readonly runsByCall = new Map<string, CallRun[]>();
	private runs = 0;

	/** Notes the start of a run and gives how often the call has been run with it. */
	note(callId: string, run: CallRun): number {
		const runs = this.runsByCall.get(callId) ?? [];
		runs.push(run);
		this.runsByCall.set(callId, runs);
		this.runs++;
		return runs.length;
	}

	list(): CallRecord[] {
		return [...this.runsByCall].map(([callId, runs]) => ({ callId, runs }));
	}

	countRuns(): number {
		return this.runs;
	}

	/** Calls that ran more than once. */
	countRepeated(): number {
		return [...this.runsByCall.values()].filter(runs => runs.length > 1).length;
	}
}

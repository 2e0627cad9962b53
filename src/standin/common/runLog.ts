/**
 * Records each run of a call by a plain service. The key is the call ID that the caller chose, so that tests detect
 * a call that ran twice even if the gateway sent it under different attempt or request IDs.
 */

/** A run of a call. */
export interface CallRun {
	/** The attempt ID that the gateway sent with the call. */
	readonly attempt: string | undefined;
	readonly requestId: string | undefined;
}

/** All runs of a call. */
export interface CallRecord {
	readonly callId: string;
	readonly runs: readonly CallRun[];
}

/** Counts runs by call. A run counts from its start, whether or not its answer is delivered. */
export class RunLog {
	private readonly runsByCall = new Map<string, CallRun[]>();
	private runs = 0;

	/** Records the start of a run. Returns the number of runs of this call so far. */
	record(callId: string, run: CallRun): number {
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

	/** Counts the calls that ran more than once. */
	countRepeatedCalls(): number {
		return [...this.runsByCall.values()].filter(runs => runs.length > 1).length;
	}
}

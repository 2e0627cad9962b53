/**
 * The single run of a ticketed call, and the observers that wait for its result.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import { toDisposable } from '../../../base/common/lifecycle';
import type { RequestError } from '../../../core/errors/common/errorKinds';

/** A complete answer, cached for resends of the same call. */
export interface CachedAnswer {
	readonly status: number;
	/** Names and values in the order in which the target sent them. */
	readonly headers: readonly (readonly [string, string])[];
	readonly body: Uint8Array;
	/** Whether the target sent neither a length nor chunks, so that a resend must not receive either. */
	readonly endsWithConnection: boolean;
}

export enum RunResultKind {
	Answered = 'answered',
	Failed = 'failed',
}

/** How the run ended. The answer is undefined where it was too large to cache. */
export type RunResult =
	| { readonly kind: RunResultKind.Answered; readonly answer: CachedAnswer | undefined }
	| { readonly kind: RunResultKind.Failed; readonly error: RequestError };

/**
 * Shared by the request that runs the call, which ends the run exactly once, and by the repeated requests
 * that wait for its result.
 */
export class TicketRun {
	private readonly observers = new Set<(result: RunResult) => void>();
	private outcome: RunResult | undefined;

	/** `recordResult` updates the ledger. It is called before any observer. */
	constructor(private readonly recordResult: (result: RunResult) => void) {}

	/** Ends the run. Later calls are ignored, so that overlapping error paths may each end it. */
	end(result: RunResult): void {
		if (this.outcome !== undefined) {
			return;
		}
		this.outcome = result;
		this.recordResult(result);
		for (const observe of [...this.observers]) {
			observe(result);
		}
		this.observers.clear();
	}

	/**
	 * Calls back once with the result, at once if the run has ended. Dispose the returned object when the
	 * waiting caller disconnects.
	 */
	waitForEnd(observe: (result: RunResult) => void): IDisposable {
		if (this.outcome !== undefined) {
			observe(this.outcome);
			return toDisposable(() => undefined);
		}
		this.observers.add(observe);
		return toDisposable(() => {
			this.observers.delete(observe);
		});
	}

	/**
	 * The number of requests that wait for the result. A run with waiting requests continues after the caller
	 * that started it has disconnected.
	 */
	countWaiters(): number {
		return this.observers.size;
	}
}

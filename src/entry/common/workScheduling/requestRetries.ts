/**
 * Applies the budget of retries to the requests of a scheduler: each send of a request after the first, wherever it was
 * made, uses a retry. One is set aside while the request waits for a target, and given back if it is not sent.
 */

import type { FleetPosition } from '../fleetView/fleetRoster';
import { FleetRetryBudget } from './fleetRetryBudget';
import type { TrackedRequest } from './trackedRequest';
import type { WorkRetryParameters } from './workPolicy';

/** Retries of the requests of one service at one entry (proxy process). */
export class RequestRetries {
	private readonly budget: FleetRetryBudget;

	constructor(
		parameters: WorkRetryParameters,
		/** Returns the place of this entry among those that share the fleet's budget. */
		private readonly getFleetPosition: () => FleetPosition,
	) {
		this.budget = new FleetRetryBudget(parameters);
	}

	/** Records a request that no entry has counted before. */
	noteRequest(nowMs: number): void {
		this.budget.noteRequest(nowMs);
	}

	/** Whether the next send of the request is its first, or the budget allows or has allowed it. */
	isSendAllowed({ sends, hasReservedRetry }: TrackedRequest, nowMs: number): boolean {
		if (sends === 0 || hasReservedRetry) {
			return true;
		}
		this.budget.setPosition(this.getFleetPosition(), nowMs);
		return this.budget.isRetryAllowed(nowMs);
	}

	/** Sets a retry aside for a request that was sent before. */
	reserve(tracked: TrackedRequest): void {
		if (tracked.sends > 0 && !tracked.hasReservedRetry) {
			tracked.hasReservedRetry = true;
			this.budget.reserve();
		}
	}

	/** Gives the retry back that is set aside for a request, if any. */
	release(tracked: TrackedRequest): void {
		if (tracked.hasReservedRetry) {
			tracked.hasReservedRetry = false;
			this.budget.release();
		}
	}

	/** Records that the request is sent to a target. */
	noteSent(tracked: TrackedRequest, nowMs: number): void {
		tracked.sends++;
		if (tracked.hasReservedRetry) {
			tracked.hasReservedRetry = false;
			this.budget.noteSent(nowMs);
		}
	}

	/** Describes the use of the budget for the log. */
	describe(nowMs: number): string {
		return this.budget.describe(nowMs);
	}
}

/**
 * Determines after which wait a request is late, from how long prompts of its urgency usually take at an idle engine.
 *
 * A request is late once a usual request of its kind would miss its due time. If the time for its own prompt counted
 * instead, the largest prompts would be late on arrival, and under overload they would wait behind all smaller ones
 * until their deadline. Overload is to be borne by prompts of all sizes.
 */

import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import { getDueMs, getUrgency } from './requestOrder';

/** Weight of one request in the average. */
const updateWeight = 0.1;

/** Margin for prompts that take longer than the usual one. */
const marginFactor = 1.3;

/** Largest share of the time from arrival to the due time that counts as work; the rest is for waiting. */
const maxWorkShare = 2 / 3;

/** Averages the time to the first byte at an idle target, for each urgency of one service. */
export class UsualWork {
	private readonly meanMsByUrgency = new Map<number, number>();

	note(request: SchedulableRequest, idleFirstByteMs: number): void {
		const urgency = getUrgency(request);
		const meanMs = this.meanMsByUrgency.get(urgency) ?? idleFirstByteMs;
		this.meanMsByUrgency.set(urgency, meanMs + (idleFirstByteMs - meanMs) * updateWeight);
	}

	/** Returns how long before its due time the request has to be started in order not to be late, in milliseconds. */
	computeCountedWorkMs(request: SchedulableRequest): number {
		const usualMs = (this.meanMsByUrgency.get(getUrgency(request)) ?? 0) * marginFactor;
		return Math.min(usualMs, (getDueMs(request) - request.arrivedMs) * maxWorkShare);
	}
}

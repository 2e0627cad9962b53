/**
 * The attributes of a request by which requests are ordered, and when they are late.
 */

import type { SchedulableRequest } from '../scheduling/serviceScheduler';

/**
 * Largest share of the time from arrival to the due time that counts as a request's own work; the rest is for waiting.
 * Without it the largest prompts would be late on arrival, and under overload they would wait behind all smaller ones
 * until their deadline.
 */
const maxOwnWorkShare = 2 / 3;

/** Returns the time by which the first byte should arrive: the due time, or the deadline if there is none. */
export function getDueMs({ work, deadlineMs }: SchedulableRequest): number {
	return work?.dueMs ?? deadlineMs;
}

/** Returns the urgency of a request; 0 is the most urgent. */
export function getUrgency({ work }: SchedulableRequest): number {
	return work?.urgency ?? 0;
}

/** Returns how long before its due time a request has to be started in order not to be late, in milliseconds. */
export function computeCountedWorkMs(request: SchedulableRequest, idleFirstByteMs: number): number {
	return Math.min(idleFirstByteMs, (getDueMs(request) - request.arrivedMs) * maxOwnWorkShare);
}

/** Whether a request that takes the given time at an idle target has waited too long to meet its due time. */
export function isDueTimeMissed(
	request: SchedulableRequest,
	idleFirstByteMs: number,
	nowMs: number,
): boolean {
	return nowMs + computeCountedWorkMs(request, idleFirstByteMs) > getDueMs(request);
}

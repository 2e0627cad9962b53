/**
 * Describes which bound a refused request misses, with the values that were compared, and the size of its prompt. The
 * texts are part of the error's detail, so that the log alone shows why a request was refused.
 */

import type { SchedulableRequest } from '../scheduling/serviceScheduler';

export const noUsableTargetReason = 'no usable target';

export function describeFullQueue(waiting: number, maxWaiting: number): string {
	return `${waiting} requests waiting, ${maxWaiting} allowed`;
}

/** @param firstByteMs least time to the first byte from now; infinite if no target will accept the request */
export function describeMissedDeadline(firstByteMs: number, leftMs: number): string {
	return `first byte in at least ${Math.round(firstByteMs)} ms, ${Math.round(leftMs)} ms left`;
}

export function describeLongQueue(waitMs: number, maxWaitMs: number, isLate: boolean): string {
	return `${Math.round(waitMs)} ms predicted wait${isLate ? ' of a late request' : ''}, ${Math.round(maxWaitMs)} ms allowed`;
}

export function describeLongWait(waitedMs: number, maxWaitMs: number): string {
	return `waited ${Math.round(waitedMs)} ms, ${Math.round(maxWaitMs)} ms allowed`;
}

/** @param leftMs time to the latest start of a request of another region; negative if that has passed */
export function describeMissedStart(waitMs: number, leftMs: number): string {
	return `start in at least ${Math.round(waitMs)} ms, ${Math.round(leftMs)} ms left to start`;
}

/** Returns the size of the prompt to be appended to a text, or an empty text for a request without a prompt. */
export function describePromptSize({ work }: SchedulableRequest): string {
	return work?.prompt === undefined ? '' : `, ${work.prompt.promptTokens} prompt tokens`;
}

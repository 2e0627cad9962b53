/** The attributes of a request by which requests are ordered. */

import type { SchedulableRequest } from '../scheduling/serviceScheduler';

/** Returns the time by which the first byte should arrive: the due time, or the deadline if there is none. */
export function getDueMs({ work, deadlineMs }: SchedulableRequest): number {
	return work?.dueMs ?? deadlineMs;
}

/** Returns the urgency of a request; 0 is the most urgent. */
export function getUrgency({ work }: SchedulableRequest): number {
	return work?.urgency ?? 0;
}

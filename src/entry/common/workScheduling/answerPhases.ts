/**
 * Estimates how many of the requests that an engine reports as running still wait for their prefill.
 *
 * An engine that has a free slot admits a request at once, and counts it as running although its prompt is processed
 * after all that came before. A report without waiting requests can therefore hide a long backlog. By Little's law the
 * number of answers in progress is the share of a run that follows the prefill, times the mean number of requests. That
 * number is about the same at fast and at slow engines, since a slow one gets fewer requests and takes longer for each.
 * What an engine has beyond it is taken for backlog.
 */

/** Weight of one answer, and of one report, in the averages. */
const updateWeight = 0.02;

/** The phases of answers of one service, as seen by this entry. */
export class AnswerPhases {
	private pendingMs = 0;
	private totalMs = 0;
	private meanRequests: number | undefined;

	/** Records an answer: the time until its prefill ended, and the time until its end. */
	noteAnswer(pendingMs: number, totalMs: number): void {
		this.pendingMs += (Math.max(0, pendingMs) - this.pendingMs) * updateWeight;
		this.totalMs += (Math.max(1, totalMs) - this.totalMs) * updateWeight;
	}

	/** Records the number of requests that an engine reports. */
	noteRequests(requests: number): void {
		this.meanRequests ??= requests;
		this.meanRequests += (requests - this.meanRequests) * updateWeight;
	}

	/** Returns the deviation of a number of requests from the mean of the engines, as a share of the mean. */
	computeDeviation(requests: number): number {
		return requests / Math.max(1, this.meanRequests ?? requests) - 1;
	}

	/** Estimates how many of an engine's requests wait for their prefill. */
	estimatePending(requests: number): number {
		if (this.totalMs === 0 || this.meanRequests === undefined) {
			return 0;
		}
		const answeringShare = 1 - Math.min(1, this.pendingMs / this.totalMs);
		return Math.max(0, requests - answeringShare * this.meanRequests);
	}
}

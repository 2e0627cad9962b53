/**
 * Queue of the requests of one service that wait at this entry (proxy process), in the order in which they are
 * served.
 *
 * The load it is designed for is more work than can be done in time, with long prompts among short ones. In order
 * of arrival, every request would be late by the same amount once the queue is as long as the time until their due
 * times, and no answer would be in time. Instead the more urgent requests go first and, among equally urgent ones,
 * the one with the earliest due time. A request that has waited too long to meet its due time moves behind all others,
 * and is served with spare capacity.
 *
 * Only waiting makes a request late. That its prompt takes longer than the time to its due time decides where it runs
 * and whether it can be answered by its deadline, but not its place in the queue: otherwise the largest prompts alone
 * would bear overload.
 */

import type { RequestId } from '../../../core/ids/common/ids';
import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import { getDueMs, getUrgency, isDueTimeMissed } from './requestOrder';

/** A request to be queued, with its work at the target that would answer it first. */
export interface WorkItem {
	readonly request: SchedulableRequest;
	/** Time to the first byte if that target were idle, in milliseconds. */
	readonly idleFirstByteMs: number;
	/** Time for which the request delays others on that target, in milliseconds. */
	readonly workMs: number;
	/** Least time to the first byte with the load of the targets, without the queue. */
	readonly minFirstByteMs: number;
}

/** A queued request. */
export interface WaitingRequest extends WorkItem {
	/** When the request was last added to the queue, in monotonic milliseconds. */
	readonly enqueuedMs: number;
	/** Whether the request has waited too long to meet its due time. */
	isLate: boolean;
}

/** Keeps requests in time and late ones in two sorted lists. */
export class WorkQueue {
	private readonly onTime = new SortedRequests();
	private readonly late = new SortedRequests();

	get size(): number {
		return this.onTime.items.length + this.late.items.length;
	}

	/** Returns the requests in queue order, as a copy so that requests may be removed during iteration. */
	list(): readonly WaitingRequest[] {
		return [...this.onTime.items, ...this.late.items];
	}

	/** Returns the request at a zero-based index in queue order, or undefined past the end. */
	find(index: number): WaitingRequest | undefined {
		return this.onTime.items[index] ?? this.late.items[index - this.onTime.items.length];
	}

	add(item: WorkItem, nowMs: number): void {
		const isLate = isDueTimeMissed(item.request, item.idleFirstByteMs, nowMs);
		(isLate ? this.late : this.onTime).add({ ...item, enqueuedMs: nowMs, isLate });
	}

	remove(id: RequestId): boolean {
		return this.onTime.remove(id) || this.late.remove(id);
	}

	/** Moves requests that have waited too long to meet their due time behind the others. */
	markLate(nowMs: number): void {
		const missed = this.onTime.items.filter(({ request, idleFirstByteMs }) =>
			isDueTimeMissed(request, idleFirstByteMs, nowMs),
		);
		for (const item of missed) {
			this.onTime.remove(item.request.id);
			item.isLate = true;
			this.late.add(item);
		}
	}

	/** Returns the longest wait so far of a request in time that is at least as urgent as given, in milliseconds. */
	computeLongestWaitMs(urgency: number, nowMs: number): number {
		let longestMs = 0;
		for (const { request, enqueuedMs } of this.onTime.items) {
			if (getUrgency(request) <= urgency) {
				longestMs = Math.max(longestMs, nowMs - enqueuedMs);
			}
		}
		return longestMs;
	}

	/** Sums the work served before a request of the given urgency, in milliseconds of one target. */
	sumWorkAheadMs(urgency: number, isLate: boolean): number {
		return this.onTime.sumWorkUpTo(urgency) + (isLate ? this.late.sumWorkUpTo(urgency) : 0);
	}
}

/** Sorted list of requests, with the sum of their work for each urgency. */
class SortedRequests {
	readonly items: WaitingRequest[] = [];
	private readonly workByUrgency = new Map<number, number>();

	add(item: WaitingRequest): void {
		this.items.splice(findInsertIndex(this.items, item), 0, item);
		this.addWork(item, 1);
	}

	remove(id: RequestId): boolean {
		const index = this.items.findIndex(({ request }) => request.id === id);
		const [item] = index < 0 ? [] : this.items.splice(index, 1);
		if (item === undefined) {
			return false;
		}
		this.addWork(item, -1);
		return true;
	}

	sumWorkUpTo(urgency: number): number {
		let total = 0;
		for (const [other, workMs] of this.workByUrgency) {
			total += other <= urgency ? workMs : 0;
		}
		return total;
	}

	private addWork({ request, workMs }: WaitingRequest, sign: 1 | -1): void {
		const urgency = getUrgency(request);
		this.workByUrgency.set(urgency, (this.workByUrgency.get(urgency) ?? 0) + sign * workMs);
	}
}

/** Returns the index at which to insert a request: after all that go before it or rank equally. */
function findInsertIndex(sorted: readonly WaitingRequest[], item: WaitingRequest): number {
	let low = 0;
	let high = sorted.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		const other = sorted[middle];
		if (other !== undefined && isBefore(item, other)) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}
	return low;
}

function isBefore({ request: left, isLate }: WaitingRequest, { request: right }: WaitingRequest): boolean {
	const urgency = getUrgency(left) - getUrgency(right);
	if (urgency !== 0) {
		return urgency < 0;
	}
	return isLate ? left.deadlineMs < right.deadlineMs : getDueMs(left) < getDueMs(right);
}

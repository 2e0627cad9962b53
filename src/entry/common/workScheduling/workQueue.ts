/**
 * The requests of one service that wait at this entry, in the order in which they are to be served.
 *
 * Load pattern: more work than can be in time, long prompts among short ones. First come, first served makes
 * every request late by the same amount once the line is as long as their aim, and none is worth its price.
 * Here the more urgent go first, and among equals the one whose aim is missed soonest; a request that can no
 * longer meet its aim steps back behind all that can, and is served when there is room to spare.
 */

import type { RequestId } from '../../../core/ids/common/ids';
import type { SchedulableRequest } from '../scheduling/serviceScheduler';

/** A request to wait, with its work at the target that would answer it soonest. */
export interface WorkItem {
	readonly request: SchedulableRequest;
	/** Time to its first byte if nothing else ran there, in milliseconds. */
	readonly unloadedMs: number;
	/** How long it keeps others waiting there, in milliseconds. */
	readonly workMs: number;
}

/** A waiting request. */
export interface WaitingRequest extends WorkItem {
	/** When it joined the line, first or again; monotonic milliseconds. */
	readonly joinedMs: number;
	/** Its aim can no longer be met. */
	isLate: boolean;
}

/** Keeps two lines, each in order. */
export class WorkQueue {
	private readonly timely = new WorkLine();
	private readonly late = new WorkLine();

	get size(): number {
		return this.timely.items.length + this.late.items.length;
	}

	/** Those that can be in time first; a copy, so that it may be walked while requests leave. */
	list(): readonly WaitingRequest[] {
		return [...this.timely.items, ...this.late.items];
	}

	/** The request at a place in order, from 0, or undefined behind the last one. */
	find(place: number): WaitingRequest | undefined {
		return this.timely.items[place] ?? this.late.items[place - this.timely.items.length];
	}

	add(item: WorkItem, nowMs: number): void {
		const isLate = isAimMissed(item, nowMs);
		(isLate ? this.late : this.timely).add({ ...item, joinedMs: nowMs, isLate });
	}

	remove(id: RequestId): boolean {
		return this.timely.remove(id) || this.late.remove(id);
	}

	/** Moves those back that can no longer meet their aim. */
	markLate(nowMs: number): void {
		for (const item of this.timely.items.filter(waiting => isAimMissed(waiting, nowMs))) {
			this.timely.remove(item.request.id);
			item.isLate = true;
			this.late.add(item);
		}
	}

	/** Work that is served before a request of an urgency, in milliseconds of one target. */
	sumAhead(urgency: number, isLate: boolean): number {
		return this.timely.sumUpTo(urgency) + (isLate ? this.late.sumUpTo(urgency) : 0);
	}
}

/** Whether a request would miss its aim even if it were sent now to an idle target. */
export function isAimMissed({ request, unloadedMs }: WorkItem, nowMs: number): boolean {
	return nowMs + unloadedMs > getDueMs(request);
}

/** One line in order, with the sums of its work. */
class WorkLine {
	readonly items: WaitingRequest[] = [];
	private readonly workOfUrgencies = new Map<number, number>();

	add(item: WaitingRequest): void {
		this.items.splice(findPlace(this.items, item), 0, item);
		this.addWork(item, 1);
	}

	remove(id: RequestId): boolean {
		const place = this.items.findIndex(({ request }) => request.id === id);
		const [item] = place < 0 ? [] : this.items.splice(place, 1);
		if (item === undefined) {
			return false;
		}
		this.addWork(item, -1);
		return true;
	}

	sumUpTo(urgency: number): number {
		let total = 0;
		for (const [other, workMs] of this.workOfUrgencies) {
			total += other <= urgency ? workMs : 0;
		}
		return total;
	}

	private addWork({ request, workMs }: WaitingRequest, sign: 1 | -1): void {
		const urgency = getUrgency(request);
		this.workOfUrgencies.set(urgency, (this.workOfUrgencies.get(urgency) ?? 0) + sign * workMs);
	}
}

/** Later ones go behind equal ones. */
function findPlace(line: readonly WaitingRequest[], item: WaitingRequest): number {
	let low = 0;
	let high = line.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		const other = line[middle];
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

/** When the request's aim is missed; its deadline where it has no aim. */
export function getDueMs({ work, deadlineMs }: SchedulableRequest): number {
	return work?.dueMs ?? deadlineMs;
}

/** 0 is the most urgent. */
export function getUrgency({ work }: SchedulableRequest): number {
	return work?.urgency ?? 0;
}

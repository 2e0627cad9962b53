/**
 * Weighted fair queueing of requests by organisation and estimated work (start-time fair queueing). When one
 * organisation sends ten times its share, a plain queue fills with its requests and all other organisations
 * wait behind them. Counting requests instead of work would let a few long requests have the same effect.
 *
 * Each organisation has its own queue and a start tag: the work served to it divided by its weight. The
 * organisation with the smallest tag is served next. The tag of an organisation that was idle starts at the
 * current virtual time, so idle time earns no credit and earlier work is not charged again. Work is charged
 * as estimated when a request leaves the queue, and corrected when its run ends.
 */

import { Heap } from 'heap-js';
import type { OrganisationName } from '../../../core/ids/common/ids';
import type { SchedulableRequest } from './serviceScheduler';

/** A queued request. */
export interface QueuedRequest {
	readonly request: SchedulableRequest;
	/** Estimated work, in milliseconds of slot time. */
	readonly workMs: number;
	/** Removed from the queue without being taken. `take` skips the item. */
	isRemoved: boolean;
}

/** The queued requests of one organisation. */
interface Flow {
	readonly organisation: OrganisationName;
	weight: number;
	items: QueuedRequest[];
	/** Index of the first item that hasn't been taken. */
	head: number;
	queuedWorkMs: number;
	queuedCount: number;
	/** Virtual time at which the next request of the flow is served. */
	startTag: number;
	/** Charges that are added to `startTag` at the next take. The tag of a flow in the heap must not change. */
	pendingChargeMs: number;
	isInHeap: boolean;
}

/** Number of taken items before the array is compacted, so that most takes don't copy the array. */
const compactionThreshold = 64;

/** Fair queue of one request class. */
export class FairQueue {
	private readonly flows = new Map<OrganisationName, Flow>();
	private readonly flowsByStartTag = new Heap<Flow>((left, right) => left.startTag - right.startTag);
	private virtualTime = 0;
	private activeWeight = 0;
	private workMs = 0;
	private count = 0;

	/** Number of waiting requests. */
	get size(): number {
		return this.count;
	}

	/** Estimated work of all waiting requests, in milliseconds of slot time. */
	get queuedWorkMs(): number {
		return this.workMs;
	}

	/** Sum of the weights of all organisations with waiting requests. */
	get waitingWeight(): number {
		return this.activeWeight;
	}

	push(item: QueuedRequest, weight: number): void {
		const flow = this.getFlow(item.request.organisation, weight);
		if (flow.queuedCount === 0) {
			flow.weight = weight;
			this.activeWeight += weight;
		}
		flow.items.push(item);
		flow.queuedCount++;
		flow.queuedWorkMs += item.workMs;
		this.workMs += item.workMs;
		this.count++;
		if (!flow.isInHeap) {
			flow.startTag = Math.max(flow.startTag, this.virtualTime);
			flow.isInHeap = true;
			this.flowsByStartTag.push(flow);
		}
	}

	/** Takes the next request of the organisation with the smallest start tag. */
	take(): QueuedRequest | undefined {
		for (;;) {
			const flow = this.flowsByStartTag.pop();
			if (flow === undefined) {
				return undefined;
			}
			flow.isInHeap = false;
			const item = this.takeHead(flow);
			if (item === undefined) {
				continue;
			}
			this.virtualTime = Math.max(this.virtualTime, flow.startTag);
			flow.pendingChargeMs += item.workMs;
			this.applyCharge(flow);
			this.noteRemoval(flow, item);
			if (flow.queuedCount > 0) {
				flow.isInHeap = true;
				this.flowsByStartTag.push(flow);
			}
			return item;
		}
	}

	/** Removes a waiting request without charging its organisation. */
	remove(item: QueuedRequest): void {
		const flow = this.flows.get(item.request.organisation);
		if (flow === undefined || item.isRemoved) {
			return;
		}
		item.isRemoved = true;
		this.noteRemoval(flow, item);
	}

	/** Corrects the charge of an organisation after a wrong estimate. A negative amount is a refund. */
	addCharge(organisation: OrganisationName, workMs: number): void {
		const flow = this.flows.get(organisation);
		if (flow === undefined) {
			return;
		}
		flow.pendingChargeMs += workMs;
		if (!flow.isInHeap) {
			this.applyCharge(flow);
		}
	}

	/**
	 * Returns the work that is served before a further request of the organisation, in milliseconds of slot
	 * time: the organisation's own queued work and the work of other organisations that is served first, at
	 * most all queued work.
	 */
	computeWorkAhead(organisation: OrganisationName, weight: number): number {
		const flow = this.flows.get(organisation);
		if (flow === undefined || flow.queuedCount === 0) {
			const delay = flow === undefined ? 0 : this.computeVirtualDelay(flow);
			return Math.min(this.workMs, delay * (this.activeWeight + weight));
		}
		const turns = this.computeVirtualDelay(flow) + flow.queuedWorkMs / flow.weight;
		return Math.min(this.workMs, turns * this.activeWeight);
	}

	/** Number of waiting requests of one organisation. */
	countQueued(organisation: OrganisationName): number {
		return this.flows.get(organisation)?.queuedCount ?? 0;
	}

	/** Whether an organisation's part of the queued work exceeds its part by weight. */
	isOverShare(organisation: OrganisationName): boolean {
		const flow = this.flows.get(organisation);
		if (flow === undefined || flow.queuedCount === 0) {
			return false;
		}
		const isAlone = flow.weight >= this.activeWeight;
		return !isAlone && flow.queuedWorkMs / flow.weight > this.workMs / this.activeWeight;
	}

	/**
	 * Calls `isRemovable` for each waiting request, in order within an organisation, with the work that is
	 * served before the request, and removes the requests for which it returns true.
	 */
	removeWhere(isRemovable: (item: QueuedRequest, workAheadMs: number) => boolean): void {
		for (const flow of this.flows.values()) {
			if (flow.queuedCount > 0) {
				this.removeFromFlow(flow, isRemovable);
			}
		}
	}

	private removeFromFlow(
		flow: Flow,
		isRemovable: (item: QueuedRequest, workAheadMs: number) => boolean,
	): void {
		let ownMs = 0;
		const delay = this.computeVirtualDelay(flow);
		const kept: QueuedRequest[] = [];
		for (const item of flow.items.slice(flow.head)) {
			if (item.isRemoved) {
				continue;
			}
			const othersMs = this.workMs - item.workMs;
			const aheadMs = Math.min(othersMs, (delay + ownMs / flow.weight) * this.activeWeight);
			if (isRemovable(item, aheadMs)) {
				this.remove(item);
				continue;
			}
			ownMs += item.workMs;
			kept.push(item);
		}
		flow.items = kept;
		flow.head = 0;
	}

	private applyCharge(flow: Flow): void {
		flow.startTag = Math.max(this.virtualTime, flow.startTag + flow.pendingChargeMs / flow.weight);
		flow.pendingChargeMs = 0;
	}

	/** Returns the virtual time until an organisation is served next, pending charges included. */
	private computeVirtualDelay(flow: Flow): number {
		return Math.max(0, flow.startTag + flow.pendingChargeMs / flow.weight - this.virtualTime);
	}

	private takeHead(flow: Flow): QueuedRequest | undefined {
		while (flow.head < flow.items.length) {
			const item = flow.items[flow.head++];
			if (flow.head >= compactionThreshold) {
				flow.items.splice(0, flow.head);
				flow.head = 0;
			}
			if (item !== undefined && !item.isRemoved) {
				return item;
			}
		}
		return undefined;
	}

	private noteRemoval(flow: Flow, item: QueuedRequest): void {
		flow.queuedCount--;
		flow.queuedWorkMs -= item.workMs;
		this.workMs -= item.workMs;
		this.count--;
		if (flow.queuedCount === 0) {
			flow.queuedWorkMs = 0;
			flow.items = [];
			flow.head = 0;
			this.activeWeight -= flow.weight;
		}
		if (this.count === 0) {
			this.workMs = 0;
			this.activeWeight = 0;
		}
	}

	private getFlow(organisation: OrganisationName, weight: number): Flow {
		let flow = this.flows.get(organisation);
		if (flow === undefined) {
			flow = {
				organisation,
				weight,
				items: [],
				head: 0,
				queuedWorkMs: 0,
				queuedCount: 0,
				startTag: 0,
				pendingChargeMs: 0,
				isInHeap: false,
			};
			this.flows.set(organisation, flow);
		}
		return flow;
	}
}

/**
 * Weighted fair queueing over organisations by work (start-time fair queueing). Load pattern: one
 * organisation sends ten times its share. Without it the queue fills with that organisation's requests and
 * all others wait behind them; counting requests instead of work would let few long ones do the same.
 *
 * Each organisation has a queue of its own and a tag: the work it has been served, divided by its weight.
 * The organisation with the smallest tag is served next. One that was idle starts at the present virtual
 * time, so that it neither saves up a claim nor pays for the past. The work is charged as estimated when a
 * request leaves the queue and corrected when its run ends.
 */

import { Heap } from 'heap-js';
import type { OrganisationName } from '../../../core/ids/common/ids';
import type { SchedulableRequest } from './serviceScheduler';

/** A request in the queue. */
export interface QueuedRequest {
	readonly request: SchedulableRequest;
	/** Estimated milliseconds of a slot. */
	readonly workMs: number;
	/** Left the queue without being taken; it is passed over when its turn comes. */
	isRemoved: boolean;
}

interface Flow {
	readonly organisation: OrganisationName;
	weight: number;
	items: QueuedRequest[];
	/** Index of the first item that has not been taken. */
	head: number;
	queuedWorkMs: number;
	queuedCount: number;
	startTag: number;
	/** Corrections that join the tag at the next take: the tag of a flow in the heap must stand still. */
	pendingChargeMs: number;
	isInHeap: boolean;
}

/** Taken items stay in the array until this many lie before the head, so that a take costs no copy. */
const compactionThreshold = 64;

/** The queue of one class. */
export class FairQueue {
	private readonly flows = new Map<OrganisationName, Flow>();
	private readonly flowsByStartTag = new Heap<Flow>((left, right) => left.startTag - right.startTag);
	private virtualTime = 0;
	private activeWeight = 0;
	private workMs = 0;
	private count = 0;

	/** Number of requests that wait. */
	get size(): number {
		return this.count;
	}

	/** Estimated work of all that wait, in milliseconds of a slot. */
	get queuedWorkMs(): number {
		return this.workMs;
	}

	/** Weights of the organisations that have requests waiting, added up. */
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

	/** Takes the next request of the organisation that has been served least. */
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

	/** Removes a request that waits; costs nothing to the organisation. */
	remove(item: QueuedRequest): void {
		const flow = this.flows.get(item.request.organisation);
		if (flow === undefined || item.isRemoved) {
			return;
		}
		item.isRemoved = true;
		this.noteRemoval(flow, item);
	}

	/** Charges an organisation for work that was estimated wrongly; a negative amount gives it back. */
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
	 * The work served before a further request of the organisation would be, in milliseconds of a slot: the
	 * organisation's own, and what the others are served until its turn, but no more than all that waits.
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

	/** Requests of one organisation that wait here. */
	countQueued(organisation: OrganisationName): number {
		return this.flows.get(organisation)?.queuedCount ?? 0;
	}

	/** Whether more of an organisation's work waits here than its weight gives it of all that waits. */
	isOverShare(organisation: OrganisationName): boolean {
		const flow = this.flows.get(organisation);
		if (flow === undefined || flow.queuedCount === 0) {
			return false;
		}
		const isAlone = flow.weight >= this.activeWeight;
		return !isAlone && flow.queuedWorkMs / flow.weight > this.workMs / this.activeWeight;
	}

	/**
	 * Walks what waits, each organisation's in its order, with the work served before each; requests that
	 * the callback wants out are removed.
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

	/** How far an organisation's turn lies ahead, its open charges included. */
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

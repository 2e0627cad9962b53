/**
 * The fair queues of the request classes and the order in which they are served. With strict priority, long
 * requests of the draft class would starve for as long as short questions of the urgent class fill the service.
 * Without priority, a question would wait for long drafts. Classes therefore share the service by work and weight, as organisations do within a class. A class
 * that uses less than its part is served immediately, which is normal for questions. A class that requests
 * more is limited to its part while other classes wait.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import { RequestClass, requestClasses } from '../../../core/requests/common/requestClass';
import { FairQueue } from './fairQueue';
import type { QueuedRequest } from './fairQueue';
import type { ClassPolicy } from './policy';

/** Time constants of the means, in milliseconds: after this time a mean has followed 63% of a change. */
const shortWindowMs = 1_000;
const longWindowMs = 20_000;
/**
 * Slots kept free beyond the mean demand of more urgent classes, in multiples of its square root. With a
 * factor of 2, drafts are refused at 0.8 of the capacity. With a factor of 1, questions wait 5% longer when
 * drafts run.
 */
const demandReserveFactor = 1.5;

/** The queue and the running attempts of one request class. */
export class ClassLane {
	readonly queue = new FairQueue();
	/** Number of running attempts. */
	running = 0;
	/** Means of `running` over 1 second and over 20 seconds. */
	private shortRunning = 0;
	private longRunning = 0;
	/** Means of running and waiting requests over the same times. */
	private shortDemand = 0;
	private longDemand = 0;
	/** Virtual start time of the lane: work served, divided by the weight of the class. */
	startTag = 0;

	constructor(
		readonly requestClass: RequestClass,
		readonly policy: ClassPolicy,
	) {}

	/** Mean number of running requests. The larger of both means, so that a short lull doesn't lower it. */
	get meanRunning(): number {
		return Math.max(this.shortRunning, this.longRunning);
	}

	/** Mean number of running and waiting requests, the larger of both means. */
	get meanDemand(): number {
		return Math.max(this.shortDemand, this.longDemand);
	}

	/** Updates the means with the current counts. */
	updateMeans(shortWeight: number, longWeight: number): void {
		const demand = this.running + this.queue.size;
		this.shortRunning += shortWeight * (this.running - this.shortRunning);
		this.longRunning += longWeight * (this.running - this.longRunning);
		this.shortDemand += shortWeight * (demand - this.shortDemand);
		this.longDemand += longWeight * (demand - this.longDemand);
	}
}

/** The lanes of one service, most urgent class first. */
export class ClassLanes {
	readonly lanes: readonly ClassLane[];
	private readonly byClass: ReadonlyMap<RequestClass, ClassLane>;
	private virtualTime = 0;

	constructor(classes: Readonly<Record<RequestClass, ClassPolicy>>) {
		this.lanes = requestClasses.map(requestClass => new ClassLane(requestClass, classes[requestClass]));
		this.byClass = new Map(this.lanes.map(lane => [lane.requestClass, lane]));
	}

	/** Number of waiting requests in all lanes. */
	get size(): number {
		return this.lanes.reduce((sum, lane) => sum + lane.queue.size, 0);
	}

	/** Number of running requests of all lanes. */
	get running(): number {
		return this.lanes.reduce((sum, lane) => sum + lane.running, 0);
	}

	getLane(requestClass: RequestClass): ClassLane {
		const lane = this.byClass.get(requestClass);
		if (lane === undefined) {
			throw new Error(`unknown request class ${requestClass}`);
		}
		return lane;
	}

	push(item: QueuedRequest): void {
		const lane = this.getLane(item.request.requestClass);
		if (lane.queue.size === 0) {
			lane.startTag = Math.max(lane.startTag, this.virtualTime);
		}
		lane.queue.push(item, item.request.organisationWeight ?? 1);
	}

	/** Returns the lane to serve next among those for which `canServe` returns true. */
	pickLane(canServe: (lane: ClassLane) => boolean): ClassLane | undefined {
		let best: ClassLane | undefined;
		for (const lane of this.lanes) {
			if (lane.queue.size > 0 && (best === undefined || lane.startTag < best.startTag) && canServe(lane)) {
				best = lane;
			}
		}
		return best;
	}

	/**
	 * Returns how many of `totalSlots` a lane may use at a time. A lane with a reserve leaves slots free for
	 * more urgent lanes: their mean demand plus a margin for fluctuations, at least the reserve, but never so
	 * many that the lane falls below its part by weight. The demand of independent callers fluctuates by its
	 * square root. Fluctuations at several entries partly cancel out, so the margin also depends on the square
	 * root of `meanShare`, this entry's part of the targets. A lane without a reserve is limited only by the
	 * targets.
	 */
	computeSlotLimit(lane: ClassLane, totalSlots: number, meanShare: number): number {
		const { weight, reservedShare } = lane.policy;
		if (reservedShare === 0) {
			return Number.POSITIVE_INFINITY;
		}
		let needed = 0;
		let weights = weight;
		for (const other of this.lanes) {
			if (other.policy.weight > weight) {
				needed += other.meanDemand;
				weights += other.policy.weight;
			}
		}
		const spare = demandReserveFactor * Math.sqrt(needed * Math.sqrt(meanShare));
		const reserve = Math.max(totalSlots * reservedShare, needed + spare);
		return Math.max(1, (totalSlots * weight) / weights, totalSlots - reserve);
	}

	/**
	 * Returns the work of other lanes with waiting requests that is served before this lane. After a long
	 * request of this lane, other lanes are served first until they have received their part.
	 */
	computeWorkAhead(lane: ClassLane): number {
		let weights = 0;
		for (const other of this.lanes) {
			weights += other !== lane && other.queue.size > 0 ? other.policy.weight : 0;
		}
		return Math.max(0, lane.startTag - this.virtualTime) * weights;
	}

	/** Charges a lane for a started request. */
	recordServed(lane: ClassLane, workMs: number): void {
		this.virtualTime = Math.max(this.virtualTime, lane.startTag);
		lane.startTag += workMs / lane.policy.weight;
	}

	/** Corrects the charges for a request whose run took `differenceMs` longer than estimated. */
	addCharge(requestClass: RequestClass, organisation: OrganisationName, differenceMs: number): void {
		const lane = this.getLane(requestClass);
		lane.startTag = Math.max(0, lane.startTag + differenceMs / lane.policy.weight);
		lane.queue.addCharge(organisation, differenceMs);
	}

	/** Updates the means of all lanes. */
	updateMeans(elapsedMs: number): void {
		const shortWeight = 1 - Math.exp(-elapsedMs / shortWindowMs);
		const longWeight = 1 - Math.exp(-elapsedMs / longWindowMs);
		for (const lane of this.lanes) {
			lane.updateMeans(shortWeight, longWeight);
		}
	}
}

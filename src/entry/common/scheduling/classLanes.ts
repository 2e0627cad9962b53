/**
 * One fair queue for each class, and the order between them. Load pattern: long drafts among short
 * questions. A strict order would starve drafts for as long as questions alone fill the service; no order
 * would let a question wait for drafts. The classes share by work as the organisations do: a class that
 * takes less than its part is served as soon as it asks, which is the ordinary state of questions, and one
 * that asks for more keeps to its part while others wait.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import { RequestClass, requestClasses } from '../../../core/requests/common/requestClass';
import { FairQueue } from './fairQueue';
import type { QueuedRequest } from './fairQueue';
import type { ClassPolicy } from './policy';

/** Times in which the means of running requests follow 63% of a change, in milliseconds. */
const shortWindowMs = 1_000;
const longWindowMs = 20_000;
/**
 * Square roots of the mean demand of the more urgent classes that are kept free beside it. Measured: with 2
 * drafts are refused at 0.8 of the capacity, with 1 questions wait 5% longer among drafts.
 */
const demandReserveFactor = 1.5;

/** The queue of one class and what of the class runs. */
export class ClassLane {
	readonly queue = new FairQueue();
	/** Attempts that run now. */
	running = 0;
	/** Means of `running` over the last second and the last twenty. */
	private shortRunning = 0;
	private longRunning = 0;
	/** The same of all that runs or waits. */
	private shortDemand = 0;
	private longDemand = 0;
	/** Work served, divided by the weight of the class. */
	startTag = 0;

	constructor(
		readonly requestClass: RequestClass,
		readonly policy: ClassPolicy,
	) {}

	/** Requests of the class that run at a time; the greater mean, so that a lull is not taken for the rule. */
	get meanRunning(): number {
		return Math.max(this.shortRunning, this.longRunning);
	}

	/** Requests that run or wait, likewise. */
	get meanDemand(): number {
		return Math.max(this.shortDemand, this.longDemand);
	}

	/** Follows the means. */
	updateMeans(shortWeight: number, longWeight: number): void {
		const demand = this.running + this.queue.size;
		this.shortRunning += shortWeight * (this.running - this.shortRunning);
		this.longRunning += longWeight * (this.running - this.longRunning);
		this.shortDemand += shortWeight * (demand - this.shortDemand);
		this.longDemand += longWeight * (demand - this.longDemand);
	}
}

/** The lanes of one service, the most urgent first. */
export class ClassLanes {
	readonly lanes: readonly ClassLane[];
	private readonly byClass: ReadonlyMap<RequestClass, ClassLane>;
	private virtualTime = 0;

	constructor(classes: Readonly<Record<RequestClass, ClassPolicy>>) {
		this.lanes = requestClasses.map(requestClass => new ClassLane(requestClass, classes[requestClass]));
		this.byClass = new Map(this.lanes.map(lane => [lane.requestClass, lane]));
	}

	/** Requests that wait in all lanes. */
	get size(): number {
		return this.lanes.reduce((sum, lane) => sum + lane.queue.size, 0);
	}

	/** Requests that run, of all lanes. */
	get running(): number {
		return this.lanes.reduce((sum, lane) => sum + lane.running, 0);
	}

	getLane(requestClass: RequestClass): ClassLane {
		const lane = this.byClass.get(requestClass);
		if (lane === undefined) {
			throw new Error(`no class ${requestClass}`);
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

	/** The lane to serve next among those that `canServe` lets through, or undefined. */
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
	 * Slots of `totalSlots` that a lane may hold at a time. A lane with a reserve leaves free what the more
	 * urgent ones need: their mean demand and a part for its swings, no less than the reserve, and no more
	 * than the weights leave over. Demand of independent callers swings by its square root; the swings of
	 * several entries make up for each other in part, so `meanShare`, this entry's part of the targets, counts
	 * by its own root. A lane without a reserve is bounded by the targets alone.
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
	 * Work that the other lanes are served before the turn of this one, while they have requests waiting: a
	 * lane that was just served a long request waits until the others have had their part.
	 */
	computeWorkAhead(lane: ClassLane): number {
		let weights = 0;
		for (const other of this.lanes) {
			weights += other !== lane && other.queue.size > 0 ? other.policy.weight : 0;
		}
		return Math.max(0, lane.startTag - this.virtualTime) * weights;
	}

	/** Charges a lane for work that it has been served. */
	recordServed(lane: ClassLane, workMs: number): void {
		this.virtualTime = Math.max(this.virtualTime, lane.startTag);
		lane.startTag += workMs / lane.policy.weight;
	}

	/** Corrects the charges of a request whose run took `differenceMs` more than estimated. */
	addCharge(requestClass: RequestClass, organisation: OrganisationName, differenceMs: number): void {
		const lane = this.getLane(requestClass);
		lane.startTag = Math.max(0, lane.startTag + differenceMs / lane.policy.weight);
		lane.queue.addCharge(organisation, differenceMs);
	}

	/** Follows the mean number of running requests. */
	updateMeans(elapsedMs: number): void {
		const shortWeight = 1 - Math.exp(-elapsedMs / shortWindowMs);
		const longWeight = 1 - Math.exp(-elapsedMs / longWindowMs);
		for (const lane of this.lanes) {
			lane.updateMeans(shortWeight, longWeight);
		}
	}
}

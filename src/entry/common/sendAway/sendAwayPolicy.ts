/**
 * The interface of policies that decide whether a request that any region may answer is sent to another
 * region. Policies do no I/O: what is known of other regions is passed in, together with its age.
 */

import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { SchedulableRequest, ServiceRoom } from '../scheduling/serviceScheduler';

/** An offer of capacity for the service by an entry of another region. */
export interface RemoteOffer {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly room: ServiceRoom;
	/** Age of the offer, in milliseconds. */
	readonly ageMs: number;
	/** One-way latency of the link, in milliseconds. */
	readonly oneWayMs: number;
	/** Link bandwidth available to requests that this entry sends to the region, in bytes per millisecond. */
	readonly linkBytesPerMs: number;
}

/** The region whose targets should cache a prompt part shared by several requests. */
export interface OwnerRegion {
	readonly region: RegionName;
	/** Whether this is the region of the deciding entry. */
	readonly isLocal: boolean;
	/** Length of the shared part in tokens. */
	readonly tokens: number;
}

/** The input of one decision. */
export interface SendAwayContext {
	readonly request: SchedulableRequest;
	readonly localRoom: ServiceRoom;
	readonly offers: readonly RemoteOffer[];
	/** Whether no target of this region may serve the request, so that it would be refused if it were kept. */
	readonly isUnservedHere: boolean;
	/** Owner of the shared part of the request's prompt, or undefined if no shared part is large enough to matter. */
	readonly owner?: OwnerRegion;
}

/** The result of one decision. */
export interface SendAwayDecision {
	/** The entry to send the request to, or undefined to keep it here. */
	readonly sendTo: InstanceId | undefined;
	/** Human-readable explanation of the decision. */
	readonly reason: string;
}

/** How a request that was sent to another region ended. */
export enum RemoteEnd {
	Answered = 'answered',
	/** The entry reported that a target there failed, or that none may go on with the stream. It serves other requests. */
	TargetFailed = 'target-failed',
	/** The entry refused the request, failed itself or could not be reached. */
	Failed = 'failed',
}

/** Decides for one service at one entry. */
export interface ISendAwayPolicy {
	decide(context: SendAwayContext, nowMs: number): SendAwayDecision;
	/** Updates the policy with the result of a request that was sent to another region. */
	recordEnd(instance: InstanceId, end: RemoteEnd, durationMs: number, bytes: number, nowMs: number): void;
}

/** Keeps every request in its region. Serves as the baseline in comparisons. */
export class NeverSendAwayPolicy implements ISendAwayPolicy {
	decide(): SendAwayDecision {
		return { sendTo: undefined, reason: 'sending to other regions is disabled' };
	}

	recordEnd(): void {
		return;
	}
}

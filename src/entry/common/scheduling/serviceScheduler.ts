/**
 * What stands between a request that has been read and the target that runs it. One scheduler decides for
 * one service at one entry: whom it serves, who waits how long, who is refused, which target is used and
 * whether a failed attempt is made again. It is pure: the entry and the virtual-time target model of the
 * tests drive the same interface, hand the clock in and carry the decisions out.
 */

import type { OrganisationName, RequestId, TargetId, ZoneName } from '../../../core/ids/common/ids';
import type { RequestClass } from '../../../core/requests/common/requestClass';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { PromptShape } from '../prompts/promptShape';

/** A request as the scheduler sees it. Times are monotonic milliseconds of this process. */
export interface SchedulableRequest {
	readonly id: RequestId;
	readonly organisation: OrganisationName;
	readonly requestClass: RequestClass;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	/** Names the prompt prefix shared with other requests, if the caller gave one. */
	readonly prefixKey: string | undefined;
	readonly bodyBytes: number;
	/** Whether a second attempt is allowed after the first may have run. */
	readonly isRepeatable: boolean;
	/** The organisation's share of a full service relative to others; 1 where left out. */
	readonly organisationWeight?: number;
	/**
	 * Whether it was in flight when a target died. At most one such request runs at a target, so that the
	 * next death is seen by one of them alone; asked each time a target is chosen. Never where left out.
	 */
	readonly isKeptApart?: () => boolean;
	/** What is known of its work and its aims; schedulers that count requests do without. */
	readonly work?: RequestWork;
}

/** What a routed request asks of a target, and by when. */
export interface RequestWork {
	/** When the answer, or its first event, is still worth its whole price; monotonic milliseconds. */
	readonly dueMs: number;
	/** 0 is the most urgent. */
	readonly urgency: number;
	readonly prompt: PromptShape | undefined;
	/** Targets that it may be sent to. */
	readonly maxAttempts: number;
	/** Whether a stream that broke may go on at another target. */
	readonly isResumable: boolean;
}

/** A target as the manifest and the signs of its life describe it. */
export interface SchedulableTarget {
	readonly id: TargetId;
	readonly zone: ZoneName;
	/** Whether it stands in this entry's own availability zone. */
	readonly isSameZone: boolean;
	/** Requests that the target runs at a time, for all entries together. */
	readonly slots: number;
	/** The share of its slots that this entry may use, in (0, 1]; entries in view divide a target. */
	readonly share: number;
	/** Takes no new work; what runs there ends there. */
	readonly isLeaving: boolean;
	/** What holds of a target that registered itself. */
	readonly registered?: RegisteredState;
}

/** What a registered target said of its life. */
export interface RegisteredState {
	/** Counts up with each start of the target; what was held of an earlier one is void. */
	readonly generation: number;
	/** Until when it must be spared, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/** Requests a second that it bears until then from all entries; infinite where it bears any. */
	readonly coldRequestsPerSecond: number;
	/** Entries that share it, and the place of this one among them, from 0: they take turns while it is cold. */
	readonly entries: number;
	readonly place: number;
	/** When it will be taken away, in monotonic milliseconds; infinite where nobody has said so. */
	readonly endsMs: number;
	/** Tokens of prompts that its memory holds; 0 where it caches none. */
	readonly cacheTokens: number;
}

/** What a target last said of itself. */
export interface ReportedLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How old the report was when it arrived, in milliseconds. */
	readonly ageMs: number;
}

/** How an attempt ended. */
export enum AttemptEnd {
	/** The whole answer was delivered. */
	Answered = 'answered',
	/** The target said that it did not run the request. */
	TargetRefused = 'target-refused',
	/** No connection could be opened, so no byte reached the target. */
	NotConnected = 'not-connected',
	/** The connection broke, or the answer was not of this attempt. */
	Failed = 'failed',
	/** The target answered, with a failure of its own. */
	Erred = 'erred',
	/** The target was silent for longer than the class allows. */
	Silent = 'silent',
	/** The caller went away or the deadline passed. */
	Cancelled = 'cancelled',
}

export enum ScheduleDecisionKind {
	Start = 'start',
	Refuse = 'refuse',
}

/** Send the request to this target now. */
export interface StartDecision {
	readonly kind: ScheduleDecisionKind.Start;
	readonly requestId: RequestId;
	readonly target: TargetId;
	/** For `anvilroadctl explain`: why this target. */
	readonly reason: string;
	/** Its aim is missed already, so it gives way at the target to those that can be in time. */
	readonly isDeferred?: boolean;
	/** A target that holds the shared part of the prompt, which this one should fetch from it. */
	readonly fetchFrom?: TargetId;
}

/** Answer the request now with this fault; the scheduler has forgotten it. */
export interface RefuseDecision {
	readonly kind: ScheduleDecisionKind.Refuse;
	readonly requestId: RequestId;
	readonly error: RequestError;
}

export type ScheduleDecision = StartDecision | RefuseDecision;

/** What this entry could do for a further request of the service. */
export interface ServiceRoom {
	/**
	 * Predicted wait of a normal request that arrives now, or of the request that was asked for. One that
	 * would be refused waits for all the time it has: it is never served here.
	 */
	readonly waitMs: number;
	readonly freeSlots: number;
	readonly running: number;
	readonly queued: number;
	/** Requests of all entries that run at one target on average, where that is known. */
	readonly runningPerTarget?: number;
	/** Reading of the request's prompt at the target that would be chosen for it, in milliseconds. */
	readonly readingMs?: number;
	/** Time to the first byte at an idle target that holds none of the request's prompt, where that is known. */
	readonly unloadedMs?: number;
	/** Whether a target here is believed to hold the part of the request's prompt that others share. */
	readonly holdsSharedPart?: boolean;
}

/** What this entry uses of one target. */
export interface TargetRoom {
	/** Attempts of this entry that run there. */
	readonly running: number;
	/** How many may run there at present. */
	readonly limit: number;
}

/** Decides for one service; every method takes the present time and none blocks. */
export interface IServiceScheduler {
	/** Replaces the targets; requests running on a target that is gone keep running. */
	setTargets(targets: readonly SchedulableTarget[], nowMs: number): void;
	/** Takes a request in; whether it waits, starts or is refused is told by the next `advance`. */
	submit(request: SchedulableRequest, nowMs: number): void;
	/** Decides what can be decided now. Call after every other method, and at `getNextDueMs`. */
	advance(nowMs: number): readonly ScheduleDecision[];
	/** When `advance` must be called though nothing happens, or undefined. */
	getNextDueMs(): number | undefined;
	/** The first byte of the running attempt's answer arrived. */
	noteFirstByte(requestId: RequestId, nowMs: number): void;
	/**
	 * The running attempt ended. Gives true where the request was taken back for another attempt, which the
	 * next `advance` starts or refuses; false where the scheduler has forgotten the request.
	 */
	noteEnd(requestId: RequestId, end: AttemptEnd, nowMs: number): boolean;
	/** Whether the running attempt's request would be taken back if the target's answer were a failure. */
	isRetriable(requestId: RequestId, nowMs: number): boolean;
	noteLoad(target: TargetId, load: ReportedLoad, nowMs: number): void;
	/** Forgets a waiting request. A running one is ended by `noteEnd`. */
	cancel(requestId: RequestId, nowMs: number): void;
	/** Room for a normal request, or for the one given. */
	measureRoom(nowMs: number, request?: SchedulableRequest): ServiceRoom;
	/** A target that the scheduler does not know has no room. */
	measureTarget(target: TargetId): TargetRoom;
}

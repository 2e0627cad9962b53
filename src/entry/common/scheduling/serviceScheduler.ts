/**
 * The interface between the entry and the scheduler of one service. The scheduler decides which requests are
 * admitted, how long they wait, which requests are refused, which target is used and whether a failed attempt
 * is retried. It has no side effects: the entry, and the model with virtual time in the tests, pass in the
 * current time and carry out the decisions.
 */

import type {
	OrganisationName,
	RequestId,
	SoftwareVersion,
	TargetId,
	ZoneName,
} from '../../../core/ids/common/ids';
import type { RequestClass } from '../../../core/requests/common/requestClass';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { AttemptHistory } from '../requests/attemptHistory';
import type { VersionRequirement } from './versionMatch';
import type { PromptShape } from '../prompts/promptShape';

/** A request as given to the scheduler. Times are monotonic milliseconds of this process. */
export interface SchedulableRequest {
	readonly id: RequestId;
	readonly organisation: OrganisationName;
	readonly requestClass: RequestClass;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	/** When a request of another region has to be refused unless it has started. */
	readonly startByMs?: number;
	/** Identifies the prompt prefix shared with other requests, if the caller gave one. */
	readonly prefixKey: string | undefined;
	readonly bodyBytes: number;
	/** Whether a second attempt is allowed after the first may have run. */
	readonly isRepeatable: boolean;
	/** Weight of the organisation relative to other organisations when the service is full. Defaults to 1. */
	readonly organisationWeight?: number;
	/**
	 * Whether the request was in flight when a target crashed. Such requests run on separate targets, so that
	 * the next crash implicates only one of them. Called each time a target is chosen. Defaults to false.
	 */
	readonly isKeptApart?: () => boolean;
	/**
	 * Returns the software version that a stream requires which has events, and undefined for a request that may run
	 * at any. Called each time a target is chosen, because a stream gets its first event while the request runs.
	 */
	readonly findRequiredVersion?: () => VersionRequirement | undefined;
	/**
	 * Whether a target is expected to show if the answer so far is whole, where that is in doubt. Others get the request
	 * only if none of these can take it. Called each time a target is chosen. Defaults to true.
	 */
	readonly isEndProvedBy?: (target: TargetId) => boolean;
	/** Whether another target can go on with the answer as far as it has come. Defaults to true. */
	readonly isContinuable?: () => boolean;
	/** What was done for the request before it was submitted here, by this entry or others. Defaults to nothing. */
	readonly history?: AttemptHistory;
	/** Work and time aim of the request, for schedulers that use them. */
	readonly work?: RequestWork;
}

/** The work that a routed request causes at a target, and its time aim. */
export interface RequestWork {
	/** Time until which the answer, or its first event, has its full value, in monotonic milliseconds. */
	readonly dueMs: number;
	/** 0 is the most urgent. */
	readonly urgency: number;
	readonly prompt: PromptShape | undefined;
	/** Maximum number of targets that the request may be sent to, by all entries together. */
	readonly maxAttempts: number;
	/** The possible runs after which this entry gives the request back to the one that forwarded it. */
	readonly maxRuns?: number;
	/** Whether an interrupted stream may be resumed at another target. */
	readonly isResumable: boolean;
}

/** A target as described by the manifest and by its own registration. */
export interface SchedulableTarget {
	readonly id: TargetId;
	readonly zone: ZoneName;
	/** Whether the target is in the availability zone of this entry. */
	readonly isSameZone: boolean;
	/** Number of requests that the target runs at a time, for all entries together. */
	readonly slots: number;
	/**
	 * Part of the slots that this entry may use, in (0, 1]. The entries known to each other divide a target.
	 */
	readonly share: number;
	/** Whether the target is draining: it gets no new requests, and running requests end there. */
	readonly isLeaving: boolean;
	/** Present if the target registered itself. */
	readonly registered?: RegisteredState;
}

/** State that a target reported in its registration. */
export interface RegisteredState {
	/** Increases with each start of the target. State of an earlier generation is invalid. */
	readonly generation: number;
	/** End of the warm-up, during which the request rate is limited, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/**
	 * Maximum request rate during the warm-up from all entries together, in requests per second. Infinite if
	 * unlimited.
	 */
	readonly coldRequestsPerSecond: number;
	/** Number of entries that may send to the target, whether they are live or not, including this one. */
	readonly entries: number;
	/** Index of this entry in the order in which entries send during the warm-up; infinite if it is not known. */
	readonly senderRank: number;
	/** Announced time of removal, in monotonic milliseconds. Infinite if none was announced. */
	readonly endsMs: number;
	/** Capacity of the prompt cache in tokens, or 0 without a cache. */
	readonly cacheTokens: number;
	/** The version of the target's software, if the registration includes it. */
	readonly version?: SoftwareVersion | undefined;
	/** Returns the version of the process that runs at the target now, or undefined if that is not certain. */
	readonly findCertainVersion?: () => SoftwareVersion | undefined;
}

/** The load that a target reported. */
export interface ReportedLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Age of the report when it arrived, in milliseconds. */
	readonly ageMs: number;
	/** How long work takes at the target now, as a multiple of the usual time; undefined if the target does not say. */
	readonly slowness?: number | undefined;
}

/** Where the estimates of a target's slowness come from. */
export enum SlownessSource {
	/** The target reports its slowness. */
	Reports = 'reports',
	/** The target reports none, and its answer times are compared with their estimates. */
	AnswerTimes = 'answer-times',
	/** Nothing is known of the target yet, so it counts as the others of its service. */
	OtherTargets = 'other-targets',
}

/** The estimated slowness of a target: how long work takes there, as a multiple of the usual time. */
export interface TargetSlowness {
	readonly target: TargetId;
	/** Mean over seconds, corrected by answer times. */
	readonly lasting: number;
	/** Estimate for now, corrected by answer times. */
	readonly recent: number;
	/** Factor by which answer times correct the reports, or the whole slowness without reports. */
	readonly correction: number;
	readonly source: SlownessSource;
	/** Age of the last report of the slowness, in milliseconds; undefined without one. */
	readonly reportAgeMs: number | undefined;
}

/** How an attempt ended. */
export enum AttemptEnd {
	/** The whole answer was delivered. */
	Answered = 'answered',
	/** The target answered that it did not run the request. */
	TargetRefused = 'target-refused',
	/** No connection could be opened, so no byte reached the target. */
	NotConnected = 'not-connected',
	/** The connection broke, or the answer belonged to another attempt. */
	Failed = 'failed',
	/** The target answered with an error of its own. */
	Erred = 'erred',
	/** The target sent nothing for longer than the class allows. */
	Silent = 'silent',
	/** The answer ended with its connection, so that it may be incomplete, and another target is to confirm its end. */
	Unconfirmed = 'unconfirmed',
	/** The caller disconnected or the deadline passed. */
	Cancelled = 'cancelled',
}

export enum ScheduleDecisionKind {
	Start = 'start',
	Refuse = 'refuse',
}

/** Decision to send the request to a target now. */
export interface StartDecision {
	readonly kind: ScheduleDecisionKind.Start;
	readonly requestId: RequestId;
	readonly target: TargetId;
	/** Reason for the choice of the target, shown by `anvilroadctl explain`. */
	readonly reason: string;
	/** Estimated time to the first byte, in milliseconds, if known. */
	readonly expectedFirstByteMs?: number;
	/**
	 * Another target that caches the shared part of the prompt, from which the chosen target should fetch it.
	 */
	readonly fetchFrom?: TargetId;
}

/** Decision to answer the request with an error now. The scheduler has removed the request. */
export interface RefuseDecision {
	readonly kind: ScheduleDecisionKind.Refuse;
	readonly requestId: RequestId;
	readonly error: RequestError;
}

export type ScheduleDecision = StartDecision | RefuseDecision;

/** Capacity of this entry for a further request of the service. */
export interface ServiceRoom {
	/**
	 * Predicted wait of the given request, or of a normal request that arrives now. If the request would be
	 * refused, the wait is its whole remaining time.
	 */
	readonly waitMs: number;
	readonly freeSlots: number;
	readonly running: number;
	readonly queued: number;
	/** Mean number of running requests per target, of all entries, if known. */
	readonly runningPerTarget?: number;
	/** Estimated prefill time of the request's prompt at the target that would be chosen, in milliseconds. */
	readonly readingMs?: number;
	/**
	 * Time to the first byte at an idle target that caches no part of the prompt, in milliseconds, if known.
	 */
	readonly unloadedMs?: number;
	/** Whether a target is expected to cache the part of the prompt that is shared with other requests. */
	readonly holdsSharedPart?: boolean;
}

/** Use of one target by this entry. */
export interface TargetRoom {
	/** Number of running attempts of this entry. */
	readonly running: number;
	/** Number of attempts that may run at present. */
	readonly limit: number;
}

/** Scheduler of one service. Methods take the current time as a parameter and never block. */
export interface IServiceScheduler {
	/** Replaces the list of targets. Requests that run on a removed target keep running. */
	setTargets(targets: readonly SchedulableTarget[], nowMs: number): void;
	/** Adds a request. The next `advance` starts, queues or refuses it. */
	submit(request: SchedulableRequest, nowMs: number): void;
	/**
	 * Returns the decisions that can be made now. Call after every other method and at the time of
	 * `getNextDueMs`.
	 */
	advance(nowMs: number): readonly ScheduleDecision[];
	/**
	 * Returns the time at which `advance` must be called even without other events, or undefined if not
	 * needed.
	 */
	getNextDueMs(): number | undefined;
	/** Records that the bytes of the running attempt are written to a connection from now on. */
	noteHandedOver(requestId: RequestId, nowMs: number): void;
	/** Ends the pauses of all targets, after the paths to them were lost and are whole again. */
	resumeTargets(): void;
	/** Records the first byte of the answer to the running attempt. */
	noteFirstByte(requestId: RequestId, nowMs: number): void;
	/**
	 * Records the end of the running attempt. Returns true if the request is queued for another attempt, which
	 * a later `advance` starts or refuses, and false if the scheduler removed the request.
	 */
	noteEnd(requestId: RequestId, end: AttemptEnd, nowMs: number): boolean;
	/**
	 * Returns why the budget of retries refuses another attempt if the running one ends so, or undefined if it does not, or if there
	 * would be no other attempt anyway. Schedulers without a budget need not implement it.
	 */
	findBudgetRefusal?(requestId: RequestId, end: AttemptEnd, nowMs: number): string | undefined;
	/** Whether the request of the running attempt would be retried if the target answered with an error. */
	isRetriable(requestId: RequestId, nowMs: number): boolean;
	/**
	 * Records that the target of the running attempt has sent nothing for too long, and returns whether the attempt
	 * should end. It should not if no other target could take the request now: the target may only be busy, and the
	 * answer would be lost.
	 *
	 * @param isTakenOver Whether another entry takes the request, so that the targets here need no capacity for it.
	 */
	noteSilence(requestId: RequestId, nowMs: number, isTakenOver?: boolean): boolean;
	/** Records that a target has ended an earlier answer before its last byte, as if it were whole. */
	noteEarlyEnd?(target: TargetId, nowMs: number): void;
	/** Records a load report of a target. */
	noteLoad(target: TargetId, load: ReportedLoad, nowMs: number): void;
	/**
	 * Records how many refusals for want of room the target bears in a second, as its answer says; undefined if the
	 * answer names no limit. Schedulers that keep their requests well below the capacity of targets need not observe
	 * it.
	 */
	noteRefusalLimit?(target: TargetId, refusalLimit: number | undefined): void;
	/** Removes a waiting request. Running requests are removed by `noteEnd`. */
	cancel(requestId: RequestId, nowMs: number): void;
	/** Returns the capacity for the given request, or for a normal request. */
	measureRoom(nowMs: number, request?: SchedulableRequest): ServiceRoom;
	/** Lists how slow the targets are by estimate, for schedulers that estimate it. */
	listSlowness?(nowMs: number): readonly TargetSlowness[];
	/** Returns the use of a target, with a limit of 0 for an unknown target. */
	measureTarget(target: TargetId): TargetRoom;
}

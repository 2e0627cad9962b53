/**
 * All parameters of the scheduling decisions. The head of each module describes the load pattern that its
 * parameters address. The values follow from typical request sizes (questions of 0.3 s in the urgent class, drafts
 * of 30-60 s, eight slots per target) or from runs of `npm run bench`, whose results are in docs/MEASUREMENTS.md.
 */

import { RequestClass } from '../../../core/requests/common/requestClass';

/** Parameters of a request class when the service is full. */
export interface ClassPolicy {
	/** Weight of the class relative to other classes when the service is full. */
	readonly weight: number;
	/** Assumed run time before the first run was observed, in milliseconds. */
	readonly initialRunMs: number;
	/** Part of all slots, in [0, 1), that this class leaves free for more urgent classes. */
	readonly reservedShare: number;
	/**
	 * Part of the time left after the predicted run that may be spent waiting. Smaller for less urgent classes:
	 * later, more urgent requests are served before them, so their predicted wait has a larger error.
	 */
	readonly waitShare: number;
}

/** Parameters of admission control and of the queue. */
export interface AdmissionPolicy {
	/** Number of mean deviations added to the mean run time when it is compared with a deadline. */
	readonly runDeviations: number;
	/**
	 * Maximum number of requests that wait at one entry for one service. Bounds memory. Requests are
	 * normally refused earlier because of their predicted wait.
	 */
	readonly maxQueued: number;
	/** Time between two checks of all queued requests against their deadlines, in milliseconds. */
	readonly recheckIntervalMs: number;
}

/** Parameters of the retry delay (retry-after) of refused callers. */
export interface RetryAfterPolicy {
	/** Minimum and maximum delay, including jitter, in milliseconds. */
	readonly minMs: number;
	readonly maxMs: number;
	/** Width of the random jitter, as a share of the delay. */
	readonly jitterShare: number;
	/** Part of the capacity that is planned for retries. The rest is for first attempts. */
	readonly capacityShare: number;
}

/** Parameters of the concurrency limit of a target. */
export interface LimitPolicy {
	/** Minimum of the limit, as a part of the nominal limit. */
	readonly minShare: number;
	/** Factor on the limit when the target refuses a request because it is full. */
	readonly decreaseFactor: number;
	/** Minimum time between two decreases, in milliseconds, since one overload causes several refusals. */
	readonly minDecreaseIntervalMs: number;
	/** Part of the nominal limit by which a lowered limit rises per second. */
	readonly increasePerSecond: number;
	/**
	 * Slots that short requests may borrow beyond this entry's share of a target, in multiples of the square
	 * root of the share.
	 */
	readonly borrowFactor: number;
	/**
	 * Mean reported fill of a target (running and waiting requests as a part of its slots) up to which all of
	 * this may be borrowed, and from which nothing may be borrowed.
	 */
	readonly fullBorrowMaxFill: number;
	readonly noBorrowMinFill: number;
}

/** Parameters of the choice between targets. */
export interface ChoicePolicy {
	/**
	 * Multiple of the mean load up to which a target gets requests by prefix affinity. Lower than the 1.25 that
	 * no target should exceed, because the load is estimated and each entry counts only its own requests.
	 */
	readonly maxLoadFactor: number;
	/** Number of ranked targets of a prefix that are considered before the choice depends on load only. */
	readonly maxAffinityTargets: number;
	/** Time in which work sent to a target loses 63% of its weight in that load, in milliseconds. */
	readonly loadDecayMs: number;
	/**
	 * Number of requests that a target gets beyond that multiple, since the first requests after an idle
	 * period are no overload.
	 */
	readonly loadAllowanceRequests: number;
	/** Cost of a target in another availability zone, as a part of the load of a full target. */
	readonly crossZoneCost: number;
	/**
	 * Number of mean run times in which a load report loses 63% of its weight. The requests in a report have
	 * ended after about one run time: for independent callers, the correlation of the reported and the current
	 * load is e^(-age / run).
	 */
	readonly reportDecayRuns: number;
}

/** Parameters of the detection of slow targets. */
export interface OutlierPolicy {
	/** Weight of one observation in the running mean of the logarithm of a target's slowness. */
	readonly observationWeight: number;
	/** Weight of an observation from a trial request. Higher, because trial requests are rare. */
	readonly trialWeight: number;
	/** Minimum number of observations before a target is compared. */
	readonly minObservations: number;
	/** Slowness relative to the median up to which a target is treated as normal. */
	readonly toleratedSlowness: number;
	/** Slowness relative to the median at which a target is ejected and gets only trial requests. */
	readonly ejectionSlowness: number;
	/** Slowness relative to the median at which an ejected target returns to normal use. */
	readonly recoverySlowness: number;
	/** Maximum part of the targets that is ejected at a time. */
	readonly maxEjectedShare: number;
	/** Time between two trial requests to an ejected target, in milliseconds. */
	readonly trialIntervalMs: number;
	/** Time between two comparisons, in milliseconds. */
	readonly compareIntervalMs: number;
	/** Multiple of the expected run time after which a running request is recorded as slow. */
	readonly overdueFactor: number;
}

/** Parameters of the pauses of targets after failed attempts. */
export interface PausePolicy {
	/** Pause after the first failed attempt, in milliseconds. Doubles with each consecutive failure, up to `maxMs`. */
	readonly initialMs: number;
	readonly maxMs: number;
	/**
	 * Number of consecutive failures from which a paused target counts as down, so that callers don't wait
	 * for it.
	 */
	readonly downAfterFailures: number;
}

/** Parameters of retries. */
export interface RetryPolicy {
	/** Retries added to the budget by one successful first attempt. */
	readonly retriesPerSuccess: number;
	/** Maximum number of retries in the budget. */
	readonly maxSavedRetries: number;
	/** Maximum number of attempts of one request, including the first. */
	readonly maxAttempts: number;
}

/** All parameters of one service's scheduler. */
export interface SchedulingPolicy {
	readonly classes: Readonly<Record<RequestClass, ClassPolicy>>;
	readonly admission: AdmissionPolicy;
	readonly retryAfter: RetryAfterPolicy;
	readonly limit: LimitPolicy;
	readonly choice: ChoicePolicy;
	readonly outlierDetection: OutlierPolicy;
	readonly pause: PausePolicy;
	readonly retry: RetryPolicy;
}

export const defaultSchedulingPolicy: SchedulingPolicy = {
	classes: {
		[RequestClass.Urgent]: { weight: 32, initialRunMs: 500, reservedShare: 0, waitShare: 0.3 },
		[RequestClass.Normal]: { weight: 4, initialRunMs: 2_000, reservedShare: 0, waitShare: 0.15 },
		[RequestClass.Draft]: { weight: 1, initialRunMs: 30_000, reservedShare: 0.25, waitShare: 0.2 },
	},
	admission: { runDeviations: 1.3, maxQueued: 10_000, recheckIntervalMs: 250 },
	retryAfter: { minMs: 500, maxMs: 60_000, jitterShare: 0.5, capacityShare: 0.5 },
	limit: {
		minShare: 0.25,
		decreaseFactor: 0.8,
		minDecreaseIntervalMs: 1_000,
		increasePerSecond: 0.05,
		borrowFactor: 2,
		fullBorrowMaxFill: 0.9,
		noBorrowMinFill: 1.1,
	},
	choice: {
		maxLoadFactor: 1.1,
		maxAffinityTargets: 3,
		loadDecayMs: 10_000,
		loadAllowanceRequests: 2,
		crossZoneCost: 0.1,
		reportDecayRuns: 1,
	},
	outlierDetection: {
		observationWeight: 0.1,
		trialWeight: 0.4,
		minObservations: 10,
		toleratedSlowness: 1.3,
		ejectionSlowness: 2.5,
		recoverySlowness: 1.6,
		maxEjectedShare: 0.34,
		trialIntervalMs: 4_000,
		compareIntervalMs: 1_000,
		overdueFactor: 4,
	},
	pause: { initialMs: 250, maxMs: 2_000, downAfterFailures: 2 },
	retry: { retriesPerSuccess: 0.1, maxSavedRetries: 10, maxAttempts: 3 },
};

/** Parameters of sending requests to other regions. */
export interface SendAwayParameters {
	/** Maximum age of a usable capacity offer of another region, in milliseconds. */
	readonly maxOfferAgeMs: number;
	/** The local wait must exceed the total cost of sending by this factor and by this time in milliseconds. */
	readonly marginFactor: number;
	readonly marginMs: number;
	/**
	 * Saved time beyond the margin at which the share of requests sent away changes at its full rate, in
	 * milliseconds.
	 */
	readonly fullRateSavingMs: number;
	/** Maximum change per second of the share sent away. Limits oscillation, since offers lag. */
	readonly shareChangePerSecond: number;
	/** Cost of sending to a region whose caches are cold, in milliseconds. */
	readonly coldStartMs: number;
	/**
	 * Number of answered requests that reduce that cost by 63%, and the time in milliseconds in which the
	 * effect of an answer decays by 63%.
	 */
	readonly warmAfterAnswers: number;
	readonly cacheDecayMs: number;
	/**
	 * Part of the free slots at an entry, including those that this sender already uses, that one sender may
	 * use. Other senders see the same offer, which is a second old.
	 */
	readonly maxRoomShare: number;
	/**
	 * Slow start: maximum number of requests in flight to a region that has just become available. Each step
	 * doubles it.
	 */
	readonly firstStep: number;
	/** Minimum time between two steps of the slow start, in milliseconds. */
	readonly slowStartStepMs: number;
	/** Time without an offer after which a region starts at the first step again, in milliseconds. */
	readonly slowStartAfterSilenceMs: number;
	/** Part of the link's rate that is used. With the burst below, the rate isn't exceeded in any second. */
	readonly linkUtilization: number;
	/** Additional burst, as the time in milliseconds that it takes at the link's rate. */
	readonly linkBurstMs: number;
	/** Assumed size of an answer in bytes before the first answer was observed. */
	readonly initialAnswerBytes: number;
}

export const defaultSendAwayParameters: SendAwayParameters = {
	maxOfferAgeMs: 5_000,
	marginFactor: 1.25,
	marginMs: 100,
	fullRateSavingMs: 2_000,
	shareChangePerSecond: 0.1,
	coldStartMs: 500,
	warmAfterAnswers: 20,
	cacheDecayMs: 120_000,
	maxRoomShare: 0.85,
	firstStep: 4,
	slowStartStepMs: 2_000,
	slowStartAfterSilenceMs: 15_000,
	linkUtilization: 0.9,
	linkBurstMs: 100,
	initialAnswerBytes: 4_000,
};

/** Parameters of the ranking of entries that callers receive from a lookup. */
export interface LookupParameters {
	/**
	 * Time in which the reported capacity of an entry loses 63% of its weight against the mean, in
	 * milliseconds.
	 */
	readonly roomDecayMs: number;
	/** Predicted wait that halves the weight of an entry, in milliseconds. */
	readonly halvingWaitMs: number;
	/** A caller may be moved from its entry if the weight of the entry is below this part of the mean. */
	readonly moveBelowShare: number;
	/** Part of the callers that are moved at one lookup. Moving all at once would overload the new entry. */
	readonly moveShare: number;
	/** Maximum number of entries in an answer. */
	readonly maxEntries: number;
}

export const defaultLookupParameters: LookupParameters = {
	roomDecayMs: 10_000,
	halvingWaitMs: 500,
	moveBelowShare: 0.5,
	moveShare: 0.25,
	maxEntries: 8,
};

/** Parameters of the exchange of state between entries. */
export interface FleetViewParameters {
	/** Bytes per second that a node may use for the exchange, in both directions and both roles together. */
	readonly bytesPerSecond: number;
	/** Time between two exchanges that a node starts, in milliseconds. */
	readonly periodMs: number;
	/** Parts of the exchanges with the node's own availability zone and with other zones of its region. */
	readonly zoneShare: number;
	readonly regionShare: number;
	/**
	 * An instance is suspected after this time without news in milliseconds, but not before this number of
	 * expected renewals.
	 */
	readonly suspectAfterMs: number;
	readonly suspectAfterRenewals: number;
	/**
	 * Consecutive failed exchanges after which an instance is suspected regardless of the reports of other
	 * entries.
	 */
	readonly suspectAfterFailures: number;
	/** Multiple of the suspicion time after which an instance is removed. */
	readonly forgetFactor: number;
	/** Time in which a reported capacity loses 63% of its weight against the mean, in milliseconds. */
	readonly roomDecayMs: number;
}

export const defaultFleetViewParameters: FleetViewParameters = {
	bytesPerSecond: 1_600,
	periodMs: 1_000,
	zoneShare: 0.75,
	regionShare: 0.15,
	suspectAfterMs: 5_000,
	suspectAfterRenewals: 4,
	suspectAfterFailures: 2,
	forgetFactor: 6,
	roomDecayMs: 10_000,
};

/**
 * Every figure of the scheduling decisions, named and in one place. Each module says at its head which load
 * pattern its figures answer; the unit and the ground of a single figure stand beside it here. Grounds are
 * either the firms' sizes (questions of 0.3 s, drafts of 30-60 s, eight slots a target) or a run of
 * `npm run bench`, whose table stands in docs/MEASUREMENTS.md.
 */

import { RequestClass } from '../../../core/requests/common/requestClass';

/** What a class of requests is given when the service is full. */
export interface ClassPolicy {
	/** Share of a full service relative to the other classes. */
	readonly weight: number;
	/** How long a request is taken to run before the first one has been seen, in milliseconds. */
	readonly initialRunMs: number;
	/** Part of all slots, in [0, 1), that requests of this class leave free for more urgent ones. */
	readonly reservedShare: number;
	/**
	 * The part of the time left beside the predicted run that may be spent waiting. Smaller for the less
	 * urgent: work that comes in later goes before them, so that their prediction errs further.
	 */
	readonly waitShare: number;
}

/** Figures of the queue and of what is let into it. */
export interface AdmissionPolicy {
	/** Deviations above the mean that a run is taken to last when it is held against a deadline. */
	readonly runDeviations: number;
	/** Most requests that wait at one entry for one service; bounds memory, the predicted wait comes first. */
	readonly maxQueued: number;
	/** Time between two checks of the whole queue against its deadlines, in milliseconds. */
	readonly recheckIntervalMs: number;
}

/** Figures of the time at which a refused caller is asked to return. */
export interface RetryAfterPolicy {
	readonly minMs: number;
	readonly maxMs: number;
	/** Random part of the time, as a share of it. */
	readonly jitterShare: number;
	/** Part of the capacity that returning callers are spread over; the rest is for first sends. */
	readonly capacityShare: number;
}

/** Figures of the number of requests that run on one target. */
export interface LimitPolicy {
	/** The part of the nominal limit that a target keeps however it behaves. */
	readonly minShare: number;
	/** Factor on the limit for a sign that the target is over its capacity. */
	readonly decreaseFactor: number;
	/** Least time between two decreases, in milliseconds: signs of one overload come in bunches. */
	readonly minDecreaseIntervalMs: number;
	/** Share of the nominal limit given back a second. */
	readonly increasePerSecond: number;
	/** Square roots of this entry's share of a target that short requests may use beyond it. */
	readonly borrowFactor: number;
	/**
	 * Mean fill of a target by its reports, running and waiting as a part of its slots, up to which this is
	 * allowed whole, and from which it is not at all.
	 */
	readonly fullBorrowMaxFill: number;
	readonly noBorrowMinFill: number;
}

/** Figures of the choice between targets. */
export interface ChoicePolicy {
	/**
	 * A target takes requests for their prefix up to this multiple of the mean load. Below the 1.25 that no
	 * target should exceed, since work is counted as estimated and each entry sees only its own.
	 */
	readonly maxLoadFactor: number;
	/** How many targets of a prefix's ranking are asked before load alone decides. */
	readonly maxAffinityTargets: number;
	/** Time in which work that was sent to a target loses 63% of its weight in that load, in milliseconds. */
	readonly loadDecayMs: number;
	/** Requests beyond the bound that a target takes: the first ones after a lull are no load. */
	readonly loadAllowanceRequests: number;
	/** Cost of another availability zone, as a share of a full target. */
	readonly crossZoneCost: number;
	/**
	 * Mean runs in which a report of load loses 63% of its weight. What ran when the report was made has
	 * ended after about one: for independent callers the correlation of the two loads is e^(-age / run).
	 */
	readonly reportDecayRuns: number;
}

/** Figures of the comparison of targets with their peers. */
export interface OutlierPolicy {
	/** Weight of one observation in a target's running mean of the logarithm of its slowness. */
	readonly observationWeight: number;
	/** The same for an observation of a trial request; few come, so that each counts for more. */
	readonly trialWeight: number;
	/** Observations before a target is compared. */
	readonly minObservations: number;
	/** Slowness beside the median of the peers below which nothing is done. */
	readonly toleratedSlowness: number;
	/** Slowness beside the median at which a target gets trial requests only. */
	readonly ejectionSlowness: number;
	/** Slowness at which an avoided target is used again. */
	readonly recoverySlowness: number;
	/** Largest part of the targets that is avoided at a time. */
	readonly maxEjectedShare: number;
	/** Time between two trial requests to an avoided target, in milliseconds. */
	readonly trialIntervalMs: number;
	/** Time between two comparisons, in milliseconds. */
	readonly compareIntervalMs: number;
	/** A running request counts as slow once it has run this multiple of its expected time. */
	readonly overdueFactor: number;
}

/** Figures of the pauses of targets that refuse or cannot be reached. */
export interface PausePolicy {
	/** Pause after the first failed attempt, in milliseconds; doubles with each in a row. */
	readonly initialMs: number;
	readonly maxMs: number;
	/** Failed attempts in a row after which waiting for the target's return is no use to a caller. */
	readonly downAfterFailures: number;
}

/** Figures of repeated attempts. */
export interface RetryPolicy {
	/** Retries earned by one fresh success. */
	readonly retriesPerSuccess: number;
	/** Most retries that can be saved up. */
	readonly maxSavedRetries: number;
	/** Attempts of one request, the first included. */
	readonly maxAttempts: number;
}

/** All figures of one service's scheduler. */
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

/** Figures of sending requests to other regions. */
export interface SendAwayParameters {
	/** Offers older than this are not used, in milliseconds. */
	readonly maxOfferAgeMs: number;
	/** The local wait must exceed the whole cost of sending by this factor and by this time. */
	readonly marginFactor: number;
	readonly marginMs: number;
	/** Saving beyond the margin at which the share changes at its full rate, in milliseconds. */
	readonly fullRateSavingMs: number;
	/** Largest change of the share sent away, a second: a cycle of lagging offers then moves little. */
	readonly shareChangePerSecond: number;
	/** Cost of a region whose caches are cold, in milliseconds. */
	readonly coldStartMs: number;
	/** Answered requests after which 63% of that cost is gone, and the time in which it returns. */
	readonly warmAfterAnswers: number;
	readonly cacheDecayMs: number;
	/**
	 * Part of the room at an entry, what this sender uses there included, that one sender may use: others
	 * see the same offer, and it is a second old.
	 */
	readonly maxRoomShare: number;
	/** Requests in flight to a region at the first step after it was away; each step doubles them. */
	readonly firstStep: number;
	readonly slowStartStepMs: number;
	/** A region that has sent no offer for so long starts at the first step again, in milliseconds. */
	readonly slowStartAfterSilenceMs: number;
	/** Part of the link's rate that is used; with the burst below no second exceeds the rate. */
	readonly linkUtilization: number;
	/** Bytes that may be sent at once beyond that, as a time at the link's rate in milliseconds. */
	readonly linkBurstMs: number;
	/** Bytes of an answer before the first one has been seen. */
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

/** Figures of the ranking that callers are given. */
export interface LookupParameters {
	/** Time in which an entry's room loses 63% of its weight against the mean, in milliseconds. */
	readonly roomDecayMs: number;
	/** Wait that halves an entry's weight, in milliseconds. */
	readonly halvingWaitMs: number;
	/** A caller may leave its entry once the weight of that one is below this part of the mean. */
	readonly moveBelowShare: number;
	/** Part of the callers that move at one lookup: all at once would overrun the entry they move to. */
	readonly moveShare: number;
	/** Entries named in an answer. */
	readonly maxEntries: number;
}

export const defaultLookupParameters: LookupParameters = {
	roomDecayMs: 10_000,
	halvingWaitMs: 500,
	moveBelowShare: 0.5,
	moveShare: 0.25,
	maxEntries: 8,
};

/** Figures of what entries tell each other. */
export interface FleetViewParameters {
	/** Bytes a second that a node may spend on views, both directions and both roles together. */
	readonly bytesPerSecond: number;
	/** Time between two exchanges that a node begins, in milliseconds. */
	readonly periodMs: number;
	/** Parts of the exchanges that go to the own zone and to other zones of the own region. */
	readonly zoneShare: number;
	readonly regionShare: number;
	/** An instance is suspected after this silence, and no sooner than so many of its expected renewals. */
	readonly suspectAfterMs: number;
	readonly suspectAfterRenewals: number;
	/** Failed exchanges in a row after which an instance is suspected whatever others say. */
	readonly suspectAfterFailures: number;
	/** Multiple of the suspicion time after which an instance is forgotten. */
	readonly forgetFactor: number;
	/** Time in which a room loses 63% of its weight against the mean, in milliseconds. */
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

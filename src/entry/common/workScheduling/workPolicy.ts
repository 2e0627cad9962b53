/**
 * Parameters of scheduling by estimated work, with their units and reasons. Speeds are initial values that
 * observed answers correct. Shares and bounds are used by the other modules of this folder.
 */

import type { PaceMemoryParameters } from './paceMemory';
import type { PaceParameters } from './targetPace';
import type { SubsetParameters } from './targetSubset';

/** Parameters of the load estimate of a target. */
export interface WorkEstimateParameters extends PaceParameters, PaceMemoryParameters {
	/** Whether the slowness in the load reports of targets is used. */
	readonly usesReportedSlowness: boolean;
	/** Prompt tokens that an engine processes in a millisecond; within a factor of two for engines in use. */
	readonly prefillTokensPerMs: number;
	/** Tokens of a cached part that one engine fetches from another in a millisecond. */
	readonly fetchedTokensPerMs: number;
	/** Time to the first event of an idle engine without prefill: some steps of 6 ms and the network round trip. */
	readonly idleFirstEventMs: number;
	/** Assumed run time of a plain request, in milliseconds. */
	readonly plainRunMs: number;
	/** Run time of a streamed answer, in milliseconds; used for the wait at an engine without free slots. */
	readonly streamRunMs: number;
	/** Weight of one observation in the measured slowness of a target; some ten answers change it. */
	readonly slownessUpdateWeight: number;
	/** Ratio to the median slowness of the service above which a target is treated as slow. */
	readonly slowTargetRatio: number;
	/** Bounds of a single observation of slowness, as a ratio of observed to estimated time. */
	readonly minSlowness: number;
	readonly maxSlowness: number;
	/** Time constant of the average of pending prefill, in milliseconds: the prefill of a few prompts. */
	readonly pendingPrefillTimeConstantMs: number;
	/** Time in which a load report loses 63% of its weight, in milliseconds: about the run time of one request. */
	readonly reportTimeConstantMs: number;
	/** The same for the average of the reports of all engines, in milliseconds. */
	readonly typicalReportTimeConstantMs: number;
	/** The same for the assumption that an engine without a recent report has the average load, in milliseconds. */
	readonly unreportedTimeConstantMs: number;
}

/** Parameters of the choice of a target. */
export interface WorkChoiceParameters extends SubsetParameters {
	/** Extra cost of a target that this entry does not prefer, as a share of its cost: its load is not known well. */
	readonly unpreferredCost: number;
	/** Smaller shared parts do not affect the choice of a target: processing them again takes some 10 ms. */
	readonly minSharedTokens: number;
	/**
	 * Extra cost of another copy of a shared part, as a share of the time to process or fetch it: the copy evicts
	 * another part, which must later be processed again.
	 */
	readonly copyCost: number;
	/**
	 * Weight of a millisecond of delay to the answers running on a target, relative to a millisecond of the
	 * request's own time to the first byte. Most answers tolerate some delay. Compared with 0.3, the total value of
	 * answers was lower by 0.02 with 0, and by 0.01 with 0.6 and with 1.
	 */
	readonly delayCost: number;
	/** Weight of the failure rate of a target: its cost is multiplied by 1 plus this weight times the rate. */
	readonly failureCost: number;
	/** Maximum random increase of a cost, as a share, so that entries with equal estimates choose different targets. */
	readonly jitter: number;
}

/** Parameters of the queue, and of the capacity of targets. */
export interface WorkQueueParameters {
	/**
	 * Maximum prefill work of all entries that may be pending at an engine, in milliseconds. Requests that wait in the
	 * engine can no longer be reordered or sent elsewhere, but an engine without a backlog is idle for a round trip.
	 */
	readonly maxPrefillAheadMs: number;
	/** Share of `maxPrefillAheadMs` up to which late requests may start. */
	readonly latePrefillShare: number;
	/** Requests sent beyond the slots of a plain target, as a share of the slots, to cover the network round trip. */
	readonly slotOvercommitShare: number;
	/** Most urgent requests that may wait at an engine, as a share of its slots. */
	readonly urgentOvercommitShare: number;
	/** Share of the slots that late requests leave free for others. */
	readonly lateSlotReserveShare: number;
	/** Share of the time to the deadline that a request may wait in the queue; the rest is for its run and retries. */
	readonly maxWaitShare: number;
	/**
	 * Share of an estimated time to the first byte that an answer takes at least. Requests are refused before their
	 * deadline only if even this time is longer than the time that they have left.
	 */
	readonly minFirstByteShare: number;
	/** Interval at which queued requests are checked for missed due times and deadlines, in milliseconds. */
	readonly recheckIntervalMs: number;
	/** Maximum number of queued requests of one service at one entry; bounds memory. */
	readonly maxWaitingRequests: number;
}

/** Parameters of retries. */
export interface WorkRetryParameters {
	/** Maximum retries in a window, as a share of its requests. */
	readonly ratio: number;
	/** Additional retries that the whole fleet may send in a window. */
	readonly slack: number;
	readonly windowMs: number;
	/**
	 * Share of the budget that entries use. The rest is a margin for sends that are on their way, and for entries
	 * that come and go.
	 */
	readonly budgetUseShare: number;
	/** First pause of a target that refused, failed or could not be reached, in milliseconds; doubles each time. */
	readonly initialPauseMs: number;
	readonly maxPauseMs: number;
	/** Minimum time to the deadline for another attempt, in milliseconds. */
	readonly minRemainingMs: number;
}

/** All parameters of scheduling by estimated work. */
export interface WorkPolicy {
	readonly estimate: WorkEstimateParameters;
	readonly choice: WorkChoiceParameters;
	readonly queue: WorkQueueParameters;
	readonly retry: WorkRetryParameters;
}

/** Creates the default policy with the retry limits of a deployment and its choice about reported slowness. */
export function createWorkPolicy(
	retries: Pick<WorkRetryParameters, 'ratio' | 'slack' | 'windowMs'>,
	usesReportedSlowness = defaultWorkPolicy.estimate.usesReportedSlowness,
): WorkPolicy {
	const { estimate, retry } = defaultWorkPolicy;
	return {
		...defaultWorkPolicy,
		estimate: { ...estimate, usesReportedSlowness },
		retry: { ...retry, ...retries },
	};
}

export const defaultWorkPolicy: WorkPolicy = {
	estimate: {
		usesReportedSlowness: true,
		prefillTokensPerMs: 35,
		fetchedTokensPerMs: 180,
		idleFirstEventMs: 45,
		plainRunMs: 80,
		streamRunMs: 500,
		slownessUpdateWeight: 0.1,
		slowTargetRatio: 1.6,
		minSlowness: 0.4,
		maxSlowness: 12,
		pendingPrefillTimeConstantMs: 400,
		reportTimeConstantMs: 300,
		typicalReportTimeConstantMs: 1_000,
		unreportedTimeConstantMs: 10_000,
		averagedPaceReports: 10,
		typicalPaceReports: 1,
		minReportedPace: 0.05,
		maxReportedPace: 50,
		initialPaceTimeConstantMs: 300,
		initialPacePairs: 10,
		rememberedPacePairs: 200,
	},
	choice: {
		minSharedTokens: 256,
		copyCost: 0.6,
		delayCost: 0.3,
		failureCost: 4,
		jitter: 0.05,
		unpreferredCost: 2,
		reportIntervalMs: 200,
		minPreferredTargets: 3,
	},
	queue: {
		maxPrefillAheadMs: 400,
		latePrefillShare: 0.25,
		slotOvercommitShare: 0.34,
		urgentOvercommitShare: 1,
		lateSlotReserveShare: 0.25,
		maxWaitShare: 0.4,
		minFirstByteShare: 0.5,
		recheckIntervalMs: 20,
		maxWaitingRequests: 2_000,
	},
	retry: {
		ratio: 0.2,
		slack: 50,
		windowMs: 10_000,
		budgetUseShare: 0.9,
		initialPauseMs: 100,
		maxPauseMs: 2_000,
		minRemainingMs: 30,
	},
};

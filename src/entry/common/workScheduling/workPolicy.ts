/**
 * The figures of scheduling by work, each with its unit and ground. Speeds are first guesses that the answers
 * of targets correct; shares and bounds are what the modules named beside them decide by.
 */

/** Figures of the estimate of a target's work. */
export interface WorkEstimateFigures {
	/** Prompt tokens that an engine reads in a millisecond; within a factor of two of engines in use. */
	readonly tokensPerMs: number;
	/** Tokens of a held part that one engine fetches from another in a millisecond. */
	readonly fetchedTokensPerMs: number;
	/** First event of an idle engine beside the reading of the prompt: some steps of 6 ms and the way. */
	readonly firstEventMs: number;
	/** Run of a plain request before one was seen, in milliseconds. */
	readonly plainRunMs: number;
	/** Run of a stream, for the wait at an engine whose slots are full, in milliseconds. */
	readonly streamRunMs: number;
	/** Weight of one observation in a target's speed; ten or so answers change it. */
	readonly speedWeight: number;
	/** A target this many times as slow as is usual for the service is taken to be slow. */
	readonly clearlySlow: number;
	/** Bounds of a target's measured slowness relative to the guess. */
	readonly leastSlowness: number;
	readonly mostSlowness: number;
	/** Time in which what others send to a target is averaged, in milliseconds: a few prompts' reading. */
	readonly othersFadeMs: number;
	/** Time in which a target's report of its load loses 63% of its weight: about one run of a request. */
	readonly reportFadeMs: number;
}

/** Figures of the choice of a target. */
export interface WorkChoiceFigures {
	/** Shared parts below this do not bind a request to a target: reading them again takes some 10 ms. */
	readonly leastSharedTokens: number;
	/**
	 * What a further copy of a shared part costs, as a share of the time of reading it: it takes the memory of
	 * another part, which is then read again in its turn.
	 */
	readonly copyCost: number;
	/**
	 * What a millisecond taken from an answer that runs at a target counts against one of the request's own
	 * time to the first byte. Most answers bear some delay. On five replayed days 0 gave
	 * 0.02 less of the worth than 0.3, 0.6 and 1 gave 0.01 less (one run a day).
	 */
	readonly delayCost: number;
	/** Weight of a target's share of failed answers against its speed. */
	readonly failureCost: number;
	/** Random part of a cost, so that entries that see the same do not all choose the same. */
	readonly jitter: number;
}

/** Figures of what waits, and where. */
export interface WorkQueueFigures {
	/**
	 * Prompt reading that all entries together put before an engine, in milliseconds. What waits in the engine
	 * can no longer be sent elsewhere or overtaken; what does not wait there leaves it idle for a round trip.
	 */
	readonly mostAheadMs: number;
	/** The part of that up to which a request that is late already may start. */
	readonly lateShare: number;
	/** Requests beyond the slots of a plain target, as a share of these: they cover the way to and fro. */
	readonly beyondSlots: number;
	/** Slots that requests that are late already leave to others, as a share. */
	readonly lateReserve: number;
	/** The part of the time left that a request may wait in line; the rest is for its run and for errors. */
	readonly waitShare: number;
	/** Time between two checks of what waits, in milliseconds. */
	readonly recheckMs: number;
	/** Most requests that wait for one service at one entry; bounds memory. */
	readonly mostWaiting: number;
}

/** Figures of repeated sends. */
export interface WorkRetryFigures {
	/** Sends beyond the first, as a share of the requests of a window. */
	readonly ratio: number;
	/** Sends beyond that which the fleet may make in a window. */
	readonly slack: number;
	readonly windowMs: number;
	/** The part of the bound that entries use: each counts for itself, and they do not see the same. */
	readonly usedShare: number;
	/** First pause of a target that refused, or could not be reached, in milliseconds; doubles. */
	readonly firstPauseMs: number;
	readonly mostPauseMs: number;
	/** Time left below which no further attempt is made, in milliseconds. */
	readonly leastLeftMs: number;
}

export interface WorkPolicy {
	readonly estimate: WorkEstimateFigures;
	readonly choice: WorkChoiceFigures;
	readonly queue: WorkQueueFigures;
	readonly retry: WorkRetryFigures;
}

/** The policy with a deployment's own bounds of repeated sends. */
export function createWorkPolicy(
	retries: Pick<WorkRetryFigures, 'ratio' | 'slack' | 'windowMs'>,
): WorkPolicy {
	return { ...defaultWorkPolicy, retry: { ...defaultWorkPolicy.retry, ...retries } };
}

export const defaultWorkPolicy: WorkPolicy = {
	estimate: {
		tokensPerMs: 35,
		fetchedTokensPerMs: 180,
		firstEventMs: 45,
		plainRunMs: 80,
		streamRunMs: 500,
		speedWeight: 0.1,
		clearlySlow: 1.6,
		leastSlowness: 0.4,
		mostSlowness: 12,
		othersFadeMs: 400,
		reportFadeMs: 300,
	},
	choice: {
		leastSharedTokens: 256,
		copyCost: 0.6,
		delayCost: 0.3,
		failureCost: 4,
		jitter: 0.05,
	},
	queue: {
		mostAheadMs: 400,
		lateShare: 0.25,
		beyondSlots: 0.34,
		lateReserve: 0.25,
		waitShare: 0.4,
		recheckMs: 20,
		mostWaiting: 2_000,
	},
	retry: {
		ratio: 0.2,
		slack: 50,
		windowMs: 10_000,
		usedShare: 0.6,
		firstPauseMs: 100,
		mostPauseMs: 2_000,
		leastLeftMs: 30,
	},
};

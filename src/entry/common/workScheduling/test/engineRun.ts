/**
 * Requests in a modelled engine, and how far they are.
 */

/** What an engine did for one attempt. */
export interface EngineWork {
	/** Total time in the engine's queue, in milliseconds. */
	waitMs: number;
	preemptions: number;
	readTokens: number;
	/** Tokens processed although an engine had processed them before, for this attempt or for another request. */
	readAgainTokens: number;
}

/** An attempt at an engine. */
export interface EngineRequest {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly sharedPart: string;
	readonly sharedTokens: number;
	readonly ownTokens: number;
	readonly outputTokens: number;
	readonly work: EngineWork;
	readonly handleEvent: () => void;
	readonly handleEnd: () => void;
}

/** A request that waits in an engine or runs there. */
export interface EngineRun {
	readonly request: EngineRequest;
	/** Order of arrival at the engine. */
	readonly sequence: number;
	waitingSinceMs: number;
	/** Prompt tokens, and output tokens made before a preemption, that are cached or processed. */
	readyTokens: number;
	/** Largest value of `readyTokens` before a preemption. */
	readBeforeTokens: number;
	outputTokens: number;
	isSharedPartInUse: boolean;
	hasBegunReading: boolean;
}

/** Creates the run of a request that has just arrived. */
export function createRun(request: EngineRequest, sequence: number, nowMs: number): EngineRun {
	return {
		request,
		sequence,
		waitingSinceMs: nowMs,
		readyTokens: 0,
		readBeforeTokens: 0,
		outputTokens: 0,
		isSharedPartInUse: false,
		hasBegunReading: false,
	};
}

/** Sorts the most urgent runs first, and equally urgent ones by their arrival. */
export function compareRuns(left: EngineRun, right: EngineRun): number {
	return left.request.priority - right.request.priority || left.sequence - right.sequence;
}

/** Counts the tokens that must be processed before the next token of the answer. */
export function countUnread({ request, outputTokens, readyTokens }: EngineRun): number {
	return request.sharedTokens + request.ownTokens + outputTokens - readyTokens;
}

/** Returns the memory of a request at the end of its answer, in tokens. */
export function computeMaxTokens({ sharedTokens, ownTokens, outputTokens }: EngineRequest): number {
	return sharedTokens + ownTokens + outputTokens;
}

/**
 * Callers of a simulated fleet: when each arrives, which prompt it sends, and what became of it.
 */

import type { IRandom } from '../../../../base/common/random';
import type { EngineWork } from './engineRun';

/** A lognormal distribution that is cut off at a maximum. */
export interface TokenDistribution {
	readonly mean: number;
	/** Standard deviation of the logarithm. */
	readonly spread: number;
	readonly max: number;
}

/** A kind of request: its arrival rate, prompts, answers and time limits. */
export interface PromptKind {
	readonly name: string;
	readonly perSecond: number;
	readonly own: TokenDistribution;
	readonly shared: TokenDistribution | undefined;
	readonly sharedParts: number;
	readonly minOutputTokens: number;
	readonly maxOutputTokens: number;
	/** 0 is the most urgent. */
	readonly urgency: number;
	readonly dueAfterMs: number;
	readonly deadlineMs: number;
	/** Share of the callers that leave earlier, and the time without an event after which they do. */
	readonly leavingShare: number;
	readonly leaveAfterMs: number;
	readonly maxAttempts: number;
	readonly maxReturns: number;
}

/** How the last request of a caller ended. */
export enum CallerEnd {
	Open = 'open',
	Served = 'served',
	Left = 'left',
	DeadlinePassed = 'deadline',
	Refused = 'refused',
	Failed = 'failed',
}

/** What became of a caller, over all of its requests. */
export interface CallerResult {
	readonly kind: PromptKind;
	readonly promptTokens: number;
	readonly work: EngineWork;
	end: CallerEnd;
	/** The last refusal, with the bound that the request missed. */
	refusal: string | undefined;
	isFirstByteLate: boolean;
	hasFirstByte: boolean;
	returns: number;
	starts: number;
	silences: number;
	/** Silences of which the scheduler said that the request should stay. */
	keptSilences: number;
	engineRefusals: number;
}

/** One caller with its prompt. */
export interface Caller {
	readonly kind: PromptKind;
	readonly arrivedMs: number;
	readonly sharedPart: string;
	readonly sharedTokens: number;
	readonly ownTokens: number;
	readonly outputTokens: number;
	/** Time without an event after which this caller leaves. */
	readonly leaveAfterMs: number;
	readonly result: CallerResult;
}

/** Creates the callers of all kinds, each kind with exponential times between arrivals. */
export function createCallers(
	kinds: readonly PromptKind[],
	seconds: number,
	random: IRandom,
): readonly Caller[] {
	return kinds.flatMap(kind => {
		const sharedSizes = Array.from({ length: kind.sharedParts }, () =>
			kind.shared === undefined ? 0 : pickTokens(kind.shared, random),
		);
		const callers: Caller[] = [];
		const pickPauseMs = (): number => (-Math.log(1 - random.pickFraction()) * 1_000) / kind.perSecond;
		for (let atMs = pickPauseMs(); atMs < seconds * 1_000; atMs += pickPauseMs()) {
			callers.push(createCaller(kind, atMs, sharedSizes, random));
		}
		return callers;
	});
}

function createCaller(
	kind: PromptKind,
	arrivedMs: number,
	sharedSizes: readonly number[],
	random: IRandom,
): Caller {
	const part = random.pickBelow(sharedSizes.length);
	const sharedTokens = sharedSizes[part] ?? 0;
	const ownTokens = pickTokens(kind.own, random);
	const outputSpan = kind.maxOutputTokens - kind.minOutputTokens + 1;
	const isLeaving = random.pickFraction() < kind.leavingShare;
	return {
		kind,
		arrivedMs,
		sharedPart: `${kind.name}-${part}`,
		sharedTokens,
		ownTokens,
		outputTokens: kind.minOutputTokens + random.pickBelow(outputSpan),
		leaveAfterMs: isLeaving ? kind.leaveAfterMs : Infinity,
		result: createResult(kind, sharedTokens + ownTokens),
	};
}

function createResult(kind: PromptKind, promptTokens: number): CallerResult {
	return {
		kind,
		promptTokens,
		work: { waitMs: 0, preemptions: 0, readTokens: 0, readAgainTokens: 0 },
		end: CallerEnd.Open,
		refusal: undefined,
		isFirstByteLate: false,
		hasFirstByte: false,
		returns: 0,
		starts: 0,
		silences: 0,
		keptSilences: 0,
		engineRefusals: 0,
	};
}

function pickTokens({ mean, spread, max }: TokenDistribution, random: IRandom): number {
	const normal =
		Math.sqrt(-2 * Math.log(1 - random.pickFraction())) * Math.cos(2 * Math.PI * random.pickFraction());
	const median = mean / Math.exp((spread * spread) / 2);
	return Math.min(max, Math.max(1, Math.round(median * Math.exp(spread * normal))));
}

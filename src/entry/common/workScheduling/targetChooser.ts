/**
 * Which target a request goes to: the one whose answer is expected to begin first.
 *
 * Load pattern: prompts that share long parts, on engines whose memory holds only some of them. The expected
 * time counts the reading of what a target does not hold, so a held part draws its requests, and a target
 * with much to read pushes them away, both in the same unit. A part that the chosen target does not hold
 * yet costs more than its reading: it drives another part out. All entries rank the targets for a part by
 * the same hash, and only the first of the ranking is free of that cost; so without telling each other they
 * build up one copy of each part, and a further copy only where the first target is behind by more than the
 * copy costs. A copy is fetched from an engine that holds the part, which takes a quarter of the time of
 * reading it. Where this entry knows of none, the others will have sent the part to the first of the ranking,
 * so it is fetched from there; an engine that finds nothing there reads it, some milliseconds later. Without
 * that, only parts that the same entry had sent elsewhere were fetched, and 18% more tokens of shared parts
 * were read again (five replayed days with offset peaks and faults, one run a day).
 */

import type { IRandom } from '../../../base/common/random';
import type { TargetId } from '../../../core/ids/common/ids';
import type { PromptPart } from '../prompts/promptShape';
import { findSharedPart } from '../prompts/promptShape';
import { findBestRanked } from '../scheduling/prefixRanking';
import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import type { TargetWork } from './targetLoadModel';
import type { WorkChoiceFigures, WorkEstimateFigures } from './workPolicy';
import { getDueMs, getUrgency } from './workQueue';

/** What is asked. */
export interface ChoiceQuestion {
	readonly request: SchedulableRequest;
	/** Targets that have been sent it already. */
	readonly tried: readonly TargetId[];
	readonly isLate: boolean;
	/** It was in flight when a target died, and runs apart from others of that kind. */
	readonly isKeptApart: boolean;
}

/** A target, and why it was chosen. */
export interface WorkChoice {
	readonly target: TargetWork;
	/** The target from which this one should fetch the shared part of the prompt. */
	readonly fetchFrom: TargetId | undefined;
	/** Tokens of it that are known to be there. */
	readonly fetchedTokens: number;
	readonly reason: string;
}

/** Chooses for one service. */
export class WorkTargetChooser {
	constructor(
		private readonly figures: WorkChoiceFigures,
		private readonly estimate: WorkEstimateFigures,
		private readonly random: IRandom,
	) {}

	/**
	 * The best target, or undefined where none has room. A target without room that would still be sooner than
	 * all others is waited for, as long as the request can be in time there: sent to another one in the
	 * meantime, it would read its prompt anew and drive another one out.
	 */
	choose(targets: readonly TargetWork[], question: ChoiceQuestion, nowMs: number): WorkChoice | undefined {
		const priced = this.listPriced(targets, question, nowMs);
		const best = findCheapest(priced);
		const bestNow = findCheapest(priced.filter(({ hasRoom }) => hasRoom));
		if (best === undefined || bestNow === undefined) {
			return undefined;
		}
		const isWorthWaiting =
			!best.hasRoom && nowMs + best.firstMs <= getDueMs(question.request) && best.costMs < bestNow.costMs;
		if (isWorthWaiting) {
			return undefined;
		}
		const { target, holder, fetchedTokens } = bestNow;
		return { target, fetchFrom: holder?.id, fetchedTokens, reason: describe(bestNow, nowMs) };
	}

	private listPriced(
		targets: readonly TargetWork[],
		question: ChoiceQuestion,
		nowMs: number,
	): PricedTarget[] {
		const { request, tried, isKeptApart } = question;
		const urgency = getUrgency(request);
		const shared = this.findShared(request);
		const open = targets.filter(target => target.isOpen(nowMs));
		const [owner, second] = shared === undefined ? [] : findBestRanked(open, shared.id, 2);
		const holder = shared && open.find(target => target.hasPart(shared.id));
		return open
			.filter(target => target.isColdOpen(nowMs) && !tried.includes(target.id))
			.filter(target => !(isKeptApart && target.hasKeptApart()))
			.map(target => {
				const isHeld = shared !== undefined && target.hasPart(shared.id);
				const fetchedTokens = isHeld || holder === undefined ? 0 : (shared?.tokens ?? 0);
				const likelyHolder = holder ?? (target === owner ? second : owner);
				const source = isHeld ? undefined : likelyHolder;
				const firstMs = target.estimateFirstMs(request, nowMs, fetchedTokens);
				const delayMs = target.estimateDelayMs(request, nowMs, fetchedTokens);
				const isCopy = shared !== undefined && target !== owner && !target.hasPart(shared.id);
				const copyMs = isCopy ? this.computeCopyCost(shared, fetchedTokens > 0) : 0;
				const { failureCost, jitter, delayCost } = this.figures;
				const factor = (1 + failureCost * target.failureShare) * (1 + jitter * this.random.pickFraction());
				const hasRoom = target.hasRoom({ ...question, urgency }, nowMs);
				return {
					target,
					firstMs,
					readingMs: target.estimateReadingMs(request, fetchedTokens),
					fetchedTokens,
					costMs: (firstMs + copyMs + delayCost * delayMs) * factor,
					hasRoom,
					holder: source,
					owner,
					shared,
				};
			});
	}

	private findShared({ work }: SchedulableRequest): PromptPart | undefined {
		return work?.prompt && findSharedPart(work.prompt, this.figures.leastSharedTokens);
	}

	/** A copy drives out another part, which must be read or fetched again in its turn. */
	private computeCopyCost({ tokens }: PromptPart, isFetched: boolean): number {
		const { tokensPerMs, fetchedTokensPerMs } = this.estimate;
		return (this.figures.copyCost * tokens) / (isFetched ? fetchedTokensPerMs : tokensPerMs);
	}
}

/** A target with what sending there costs. */
interface PricedTarget {
	readonly target: TargetWork;
	readonly firstMs: number;
	readonly readingMs: number;
	readonly fetchedTokens: number;
	readonly costMs: number;
	readonly hasRoom: boolean;
	/** Which other target the shared part can be fetched from. */
	readonly holder: TargetWork | undefined;
	/** The target that should hold the shared part. */
	readonly owner: TargetWork | undefined;
	readonly shared: PromptPart | undefined;
}

function findCheapest(priced: readonly PricedTarget[]): PricedTarget | undefined {
	return priced.reduce<PricedTarget | undefined>(
		(best, item) => (best === undefined || item.costMs < best.costMs ? item : best),
		undefined,
	);
}

function describe(
	{ target, owner, shared, firstMs, readingMs, holder }: PricedTarget,
	nowMs: number,
): string {
	const waitMs = Math.round(target.estimateWaitMs(nowMs));
	const load =
		`${target.running} of ${Math.round(target.estimateRunning(nowMs))} running, ${waitMs} ms ahead, ` +
		`${Math.round(readingMs)} ms to read, first byte in ${Math.round(firstMs)} ms`;
	if (shared === undefined) {
		return `nothing shared, ${load}`;
	}
	const place = target === owner ? 'first for' : 'not first for';
	const source = target.hasPart(shared.id) ? 'held' : `from ${holder?.id ?? 'anew'}`;
	return `${place} part ${shared.id}, ${source}, ${load}`;
}

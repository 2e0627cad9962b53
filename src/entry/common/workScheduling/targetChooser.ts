/**
 * Chooses the target for a request: the one whose answer is expected to begin first.
 *
 * The load it is designed for is prompts that share long parts, sent to inference engines whose prefix caches hold
 * only some of the parts. The cost of a target is the expected time to the first byte, including the prefill
 * (processing of prompt tokens) of everything that its cache does not hold. Cached parts therefore attract
 * requests to a target and its pending work repels them, both in the same unit.
 *
 * A part that the chosen target does not hold costs more than its prefill, because it evicts another part. All
 * entries (proxy processes) rank the targets of a part by the same hash, and only the first of the ranking, the
 * owner, is free of this extra cost. So entries converge on one copy of each part without coordination, and create
 * another copy only if the owner is slower by more than the copy costs.
 *
 * Where targets report how slow they are, a fast one owns more parts than a slow one (weighted rendezvous hashing).
 * Otherwise a third of the parts would be kept where a request that needs them takes more than twice as long.
 *
 * A copy is fetched from an engine that holds the part, which takes a quarter of the time of its prefill. If this
 * entry knows no such engine, the copy is fetched from the owner, where other entries will have sent the part. An
 * engine that finds nothing there processes the part itself, some milliseconds later. Fetching only the parts that
 * the same entry had sent elsewhere caused 18% more repeated prefill of shared parts.
 *
 * A copy is fetched only from an engine of the same software version. What an engine of another version has cached
 * may not fit, and an engine that runs an unknown version counts as one of another version.
 */

import type { IRandom } from '../../../base/common/random';
import type { SoftwareVersion, TargetId } from '../../../core/ids/common/ids';
import type { PromptPart } from '../prompts/promptShape';
import { findSharedPart } from '../prompts/promptShape';
import { findBestRanked } from '../scheduling/prefixRanking';
import type { SchedulableRequest } from '../scheduling/serviceScheduler';
import type { TargetLoadModel } from './targetLoadModel';
import { describeMissedDeadline, describePromptSize } from './refusalReasons';
import type { WorkPolicy } from './workPolicy';
import { getDueMs, getUrgency } from './requestOrder';

/** A request for which a target is to be chosen. */
export interface TargetQuery {
	readonly request: SchedulableRequest;
	/** Targets to which the request was already sent. */
	readonly triedTargets: readonly TargetId[];
	/** Whether the request can no longer meet its due time. */
	readonly isLate: boolean;
	/** Whether the request was in flight when a target crashed and must not share a target with another such request. */
	readonly isIsolated: boolean;
}

/** The chosen target, and a description of the reasons for the choice. */
export interface TargetChoice {
	readonly target: TargetLoadModel;
	/** The target from which the chosen target should fetch the shared prompt part. */
	readonly fetchFrom: TargetId | undefined;
	/** Tokens that `fetchFrom` is known to hold; 0 if it is only assumed to hold them. */
	readonly fetchedTokens: number;
	/** Estimated time to the first byte, in milliseconds. */
	readonly firstByteMs: number;
	readonly reason: string;
}

/** Chooses targets for the requests of one service. */
export class WorkTargetChooser {
	constructor(
		private readonly policy: WorkPolicy,
		private readonly random: IRandom,
		/** Whether an entry among many should know the target better than others. */
		private readonly isPreferred: (target: TargetLoadModel) => boolean = () => true,
	) {}

	/**
	 * Returns the target with the lowest cost, or undefined if the request should wait. A request waits for a target
	 * without capacity that is cheaper than all targets with capacity and can still meet the due time: another target
	 * would have to process the whole prompt and evict a cached part. Targets that cannot begin the answer by its
	 * deadline are left out, because the run would be cancelled.
	 */
	choose(targets: readonly TargetLoadModel[], query: TargetQuery, nowMs: number): TargetChoice | undefined {
		const available = targets.filter(target => target.isAvailable(nowMs));
		const allowed = listAllowed(available, query, nowMs);
		// A saturated entry asks after each answer and each new request, and the costs take far longer than this check.
		if (!allowed.some(target => hasCapacityFor(target, query, nowMs))) {
			return undefined;
		}
		const possible = this.listCandidates(available, allowed, query, nowMs).filter(({ target, firstByteMs }) =>
			this.isAnswerPossible(target, query.request, firstByteMs, nowMs),
		);
		const candidates = listSuited(possible, query);
		const best = findCheapest(candidates);
		const bestNow = findCheapest(candidates.filter(({ hasCapacity }) => hasCapacity));
		if (best === undefined || bestNow === undefined) {
			return undefined;
		}
		const isWorthWaiting =
			!best.hasCapacity &&
			nowMs + best.firstByteMs <= getDueMs(query.request) &&
			best.costMs < bestNow.costMs / bestNow.unpreferredFactor;
		if (isWorthWaiting) {
			return undefined;
		}
		const { target, fetchSource, fetchedTokens, firstByteMs } = bestNow;
		const reason = describeChoice(bestNow, query, nowMs);
		return { target, fetchFrom: fetchSource?.id, fetchedTokens, firstByteMs, reason };
	}

	/**
	 * Returns why no target can begin the answer by the deadline, now or at the end of its current pause, or undefined if
	 * one can.
	 */
	findMissedDeadline(
		targets: readonly TargetLoadModel[],
		{ request, triedTargets }: TargetQuery,
		nowMs: number,
	): string | undefined {
		const shared = this.findSharedPart(request);
		let soonestMs = Number.POSITIVE_INFINITY;
		for (const target of targets) {
			if (target.description.isLeaving || triedTargets.includes(target.id)) {
				continue;
			}
			const firstByteMs = target.estimateFirstByteMs(request, nowMs, shared?.tokens);
			const minMs = this.computeMinFirstByteMs(target, request, firstByteMs, nowMs);
			if (nowMs + minMs <= request.deadlineMs) {
				return undefined;
			}
			soonestMs = Math.min(soonestMs, minMs);
		}
		return describeMissedDeadline(soonestMs, request.deadlineMs - nowMs);
	}

	/** Whether the answer could begin by the deadline if the target took the least time that its estimate allows. */
	private isAnswerPossible(
		target: TargetLoadModel,
		request: SchedulableRequest,
		firstByteMs: number,
		nowMs: number,
	): boolean {
		return nowMs + this.computeMinFirstByteMs(target, request, firstByteMs, nowMs) <= request.deadlineMs;
	}

	private computeMinFirstByteMs(
		target: TargetLoadModel,
		request: SchedulableRequest,
		firstByteMs: number,
		nowMs: number,
	): number {
		const { minFirstByteShare } = this.policy.queue;
		return target.computeMinFirstByteMs(request, firstByteMs, minFirstByteShare, nowMs);
	}

	private listCandidates(
		available: readonly TargetLoadModel[],
		allowed: readonly TargetLoadModel[],
		query: TargetQuery,
		nowMs: number,
	): TargetCandidate[] {
		const { request } = query;
		const shared = this.findSharedPart(request);
		const [owner] = shared === undefined ? [] : findBestRanked(available, shared.id, 1, getPlacementWeight);
		const sources = shared === undefined ? noSources : findSources(available, shared);
		return allowed.map(target => {
			const isCached = shared !== undefined && target.hasPart(shared.id);
			const { knownHolder, bestRanked = [] } = sources.get(target) ?? {};
			const fetchedTokens = isCached || knownHolder === undefined ? 0 : (shared?.tokens ?? 0);
			const likelyHolder = knownHolder ?? bestRanked.find(engine => engine !== target);
			// A target that has just started holds only what this entry sent to it.
			const isHolderUnlikely = knownHolder === undefined && likelyHolder?.isCold(nowMs) === true;
			const fetchSource = isCached || isHolderUnlikely ? undefined : likelyHolder;
			const firstByteMs = target.estimateFirstByteMs(request, nowMs, fetchedTokens);
			const delayMs = target.estimateAddedDelayMs(request, nowMs, fetchedTokens);
			const isCopy = shared !== undefined && target !== owner && !target.hasPart(shared.id);
			const copyMs = isCopy ? this.computeCopyCostMs(shared, fetchedTokens > 0) : 0;
			const { failureCost, jitter, delayCost, unpreferredCost } = this.policy.choice;
			const factor = (1 + failureCost * target.failureRate) * (1 + jitter * this.random.pickFraction());
			const isHolder = shared !== undefined && (target === owner || isCached);
			const unpreferredFactor = isHolder || this.isPreferred(target) ? 1 : 1 + unpreferredCost;
			const hasCapacity = hasCapacityFor(target, query, nowMs);
			return {
				target,
				firstByteMs,
				prefillMs: target.estimatePrefillMs(request, fetchedTokens),
				fetchedTokens,
				costMs: (firstByteMs + copyMs + delayCost * delayMs) * factor * unpreferredFactor,
				unpreferredFactor,
				hasCapacity,
				fetchSource,
				owner,
				shared,
			};
		});
	}

	private findSharedPart({ work }: SchedulableRequest): PromptPart | undefined {
		return work?.prompt && findSharedPart(work.prompt, this.policy.choice.minSharedTokens);
	}

	/** A copy evicts another part, which must later be processed or fetched again. */
	private computeCopyCostMs({ tokens }: PromptPart, isFetched: boolean): number {
		const { prefillTokensPerMs, fetchedTokensPerMs } = this.policy.estimate;
		return (this.policy.choice.copyCost * tokens) / (isFetched ? fetchedTokensPerMs : prefillTokensPerMs);
	}
}

function getPlacementWeight({ pace }: TargetLoadModel): number {
	return pace.placementWeight;
}

/** The engines of one version from which a shared part can be fetched. */
interface FetchSources {
	readonly knownHolder: TargetLoadModel | undefined;
	/** The two that rank highest for the part. */
	readonly bestRanked: readonly TargetLoadModel[];
}

const noSources: ReadonlyMap<TargetLoadModel, FetchSources> = new Map();

/** Finds from which engines each one can fetch a shared part: those of its version, if that is certain. */
function findSources(
	targets: readonly TargetLoadModel[],
	{ id }: PromptPart,
): ReadonlyMap<TargetLoadModel, FetchSources> {
	const groups = new Map<SoftwareVersion, TargetLoadModel[]>();
	for (const target of targets) {
		const version = target.findSoftwareVersion();
		if (version !== undefined) {
			const group = groups.get(version) ?? [];
			groups.set(version, group);
			group.push(target);
		}
	}
	const sources = new Map<TargetLoadModel, FetchSources>();
	for (const engines of groups.values()) {
		const found = {
			knownHolder: engines.find(target => target.hasPart(id)),
			bestRanked: findBestRanked(engines, id, 2, getPlacementWeight),
		};
		for (const engine of engines) {
			sources.set(engine, found);
		}
	}
	return sources;
}

/** Lists the targets to which the request may be sent, whether they have capacity or not. */
function listAllowed(
	available: readonly TargetLoadModel[],
	{ triedTargets, isIsolated }: TargetQuery,
	nowMs: number,
): readonly TargetLoadModel[] {
	return available
		.filter(target => target.isSendAllowed(nowMs) && !triedTargets.includes(target.id))
		.filter(target => !(isIsolated && target.hasIsolatedRequest()));
}

function hasCapacityFor(target: TargetLoadModel, { request, isLate }: TargetQuery, nowMs: number): boolean {
	return target.hasCapacity({ isLate, urgency: getUrgency(request) }, nowMs);
}

/** A target with the estimated cost of sending the request there. */
interface TargetCandidate {
	readonly target: TargetLoadModel;
	readonly firstByteMs: number;
	readonly prefillMs: number;
	readonly fetchedTokens: number;
	readonly costMs: number;
	/** Factor in the cost of a target that this entry does not prefer. */
	readonly unpreferredFactor: number;
	readonly hasCapacity: boolean;
	/** Another target from which the shared part can be fetched. */
	readonly fetchSource: TargetLoadModel | undefined;
	/** The first target in the hash ranking of the shared part. */
	readonly owner: TargetLoadModel | undefined;
	readonly shared: PromptPart | undefined;
}

/** Lists the targets that are expected to show whether an answer in doubt is whole, or all if none of these has capacity. */
function listSuited(
	candidates: readonly TargetCandidate[],
	{ request }: TargetQuery,
): readonly TargetCandidate[] {
	const suited = candidates.filter(({ target }) => request.isEndProvedBy?.(target.id) !== false);
	return suited.some(({ hasCapacity }) => hasCapacity) ? suited : candidates;
}

function findCheapest(candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
	return candidates.reduce<TargetCandidate | undefined>(
		(best, item) => (best === undefined || item.costMs < best.costMs ? item : best),
		undefined,
	);
}

function describeChoice(
	{ target, owner, shared, firstByteMs, prefillMs, fetchSource }: TargetCandidate,
	{ request, isLate }: TargetQuery,
	nowMs: number,
): string {
	const waitMs = Math.round(target.estimateWaitMs(nowMs));
	const limits = target.describeLimits(nowMs);
	const pace = describePace(target, nowMs);
	const load =
		`${target.running} own of ${Math.round(target.estimateRunningRequests(nowMs))} running, ${waitMs} ms queued ahead, ` +
		`${Math.round(prefillMs)} ms prefill${pace}, first byte in ${Math.round(firstByteMs)} ms, ` +
		`${Math.round(request.deadlineMs - nowMs)} ms left${describePromptSize(request)}${isLate ? ', late' : ''}` +
		(limits === undefined ? '' : `, ${limits}`);
	if (shared === undefined) {
		return `no shared prompt part, ${load}`;
	}
	const rank = target === owner ? 'owner of' : 'not owner of';
	const source = target.hasPart(shared.id)
		? 'cached'
		: `not cached, fetch source ${fetchSource?.id ?? 'none'}`;
	return `${rank} part ${shared.id}, ${source}, ${load}`;
}

/** Describes the slowness that the target reports; empty if it reports none. */
function describePace(target: TargetLoadModel, nowMs: number): string {
	const { lasting, recent, reportAgeMs } = target.describeSlowness(nowMs);
	return reportAgeMs === undefined
		? ''
		: `, slowness ${recent.toFixed(2)} now and ${lasting.toFixed(2)} lasting, reported ${Math.round(reportAgeMs)} ms ago`;
}

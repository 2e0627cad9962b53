/**
 * Sends a request to another region when that costs callers less than serving it here.
 *
 * This covers daily peaks that are offset between regions, a region whose targets are gone or are to receive no
 * requests, and callers whose requests must be answered in a region other than the one that they reached.
 * Without it one region answers late, or refuses, while another is idle.
 *
 * The cost of a request is the time to its first byte, including the round trip, plus two effects on other
 * requests. First, reading its prompt slows down the answers that are running at the same target. A region that
 * keeps its long prompts until they would be late answers these in time, while the answers running beside them
 * slow down. Second, a region that reads a shared prompt part owned by another region stores a further copy,
 * which evicts another part. A request that can be answered in time here at little cost to others is kept.
 *
 * A request is sent only if it does not wait too long for its due time there. As in the queue, only a part of the time
 * for its own prompt counts: otherwise the largest prompts would stay in a region that is full while smaller ones are
 * sent to an idle one.
 *
 * Offers are some seconds old. The work sent to a peer since its offer is added to the peer's wait. Otherwise
 * all entries would send everything to the peer that looked emptiest.
 */

import { LRUCache } from 'lru-cache';
import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { PromptPart } from '../prompts/promptShape';
import { findSharedPart } from '../prompts/promptShape';
import type { SchedulableRequest, ServiceRoom } from '../scheduling/serviceScheduler';
import { describePromptSize } from '../workScheduling/refusalReasons';
import { computeCountedWorkMs, getDueMs } from '../workScheduling/requestOrder';
import { defaultWorkPolicy } from '../workScheduling/workPolicy';
import type { ISendAwayPolicy, RemoteOffer, SendAwayContext, SendAwayDecision } from './sendAwayPolicy';
import { RemoteEnd } from './sendAwayPolicy';

/** Options of the decision. */
export interface FirstByteSendAwayOptions {
	/** A request counts as in time here if its wait is at most this share of the time left until it is due. */
	readonly maxLocalTimeShare: number;
	/**
	 * The same share for a request without a prompt. It is lower because a region that keeps plain requests until their
	 * time is nearly used fills its targets up to that time, and each slow period of a target then makes answers late.
	 */
	readonly maxPlainLocalTimeShare: number;
	/** The same share for the time to the first byte in the other region, whose state is known less precisely. */
	readonly maxRemoteTimeShare: number;
	/** Minimum saving that justifies sending, in milliseconds. Twice the prediction error of a lightly loaded target. */
	readonly minSavingMs: number;
	/** Offers older than this are ignored, in milliseconds. Long enough for several exchanges of views. */
	readonly maxOfferAgeMs: number;
	/** Work assumed for a request when no estimate is available, in milliseconds. */
	readonly defaultWorkMs: number;
	/** Share of a sent request's work that later requests wait for. Below 1 because a region has several targets. */
	readonly pendingWorkShare: number;
	/** Cost of a further copy of a shared prompt part, as a share of the time to read that part. */
	readonly copyCostShare: number;
	/** Prompt tokens that an engine reads per millisecond, as used to estimate the work of requests. */
	readonly promptTokensPerMs: number;
	/** Weight of a millisecond of delay to a running answer, relative to a millisecond of the request's own time. */
	readonly delayWeight: number;
	/** How long a peer that could not be reached is excluded, and one whose target failed comes last, in milliseconds. */
	readonly unreachablePauseMs: number;
	/** Upper bound of the random increase of a cost, as a share of the cost. */
	readonly maxJitterShare: number;
}

export const defaultFirstByteSendAwayOptions: FirstByteSendAwayOptions = {
	maxLocalTimeShare: 0.7,
	maxPlainLocalTimeShare: 0.5,
	maxRemoteTimeShare: 0.9,
	minSavingMs: 60,
	maxOfferAgeMs: 6_000,
	defaultWorkMs: 100,
	pendingWorkShare: 0.3,
	copyCostShare: defaultWorkPolicy.choice.copyCost,
	promptTokensPerMs: defaultWorkPolicy.estimate.prefillTokensPerMs,
	delayWeight: defaultWorkPolicy.choice.delayCost,
	unreachablePauseMs: 2_000,
	maxJitterShare: 0.1,
};

/** The work sent to a peer since its latest offer. */
interface PendingWork {
	offeredMs: number;
	workMs: number;
	pausedUntilMs: number;
	/** Until when the peer gets only requests that nobody else can serve, since a target there failed. */
	lastResortUntilMs: number;
	/** The part of `workMs` that is of requests with a prompt. */
	promptWorkMs: number;
	/** The wait for the plain requests, as of a time. */
	plainWaitMs: number;
	plainWaitAsOfMs: number;
}

/** An offer with the estimated cost of sending the request there. */
interface OfferWithCost {
	readonly offer: RemoteOffer;
	/** Estimated time to the first byte of the answer. */
	readonly firstByteMs: number;
	/** The part of that time which counts against the time left until the request is due. */
	readonly countedMs: number;
	/** The time to the first byte plus the cost to other requests in that region. */
	readonly costMs: number;
}

/** Times computed for the same offer differ by rounding only. Up to this difference an offer is not a new one. */
const sameOfferToleranceMs = 150;

/** Maximum number of remembered pairs of shared part and region that it was sent to. Bounds memory. */
const maxSentParts = 4_000;

function createPartKey(region: RegionName, partId: string): string {
	return `${region}/${partId}`;
}

/**
 * Returns what is left of the wait for plain requests sent since the offer. Slots work while the offer ages. If the wait
 * stayed until the next offer, a sender would use a few requests' worth of an idle region in the seconds between offers.
 */
function computePlainWaitMs({ plainWaitMs, plainWaitAsOfMs }: PendingWork, nowMs: number): number {
	return Math.max(0, plainWaitMs - (nowMs - plainWaitAsOfMs));
}

/** Decides for one service at one entry, by the time to the first byte and the cost to other requests. */
export class FirstByteSendAwayPolicy implements ISendAwayPolicy {
	private readonly pendingWork = new Map<InstanceId, PendingWork>();
	private readonly sentPromptParts = new LRUCache<string, true>({ max: maxSentParts });

	constructor(
		private readonly random: IRandom,
		private readonly options: FirstByteSendAwayOptions = defaultFirstByteSendAwayOptions,
	) {}

	decide(context: SendAwayContext, nowMs: number): SendAwayDecision {
		const { request, localRoom, isUnservedHere } = context;
		const timeLeftMs = getDueMs(request) - nowMs;
		const localMs = isUnservedHere ? Number.POSITIVE_INFINITY : localRoom.waitMs;
		const localExtraMs = this.computeLocalExtraCost(context);
		if (this.isKeptUnasked(context, localMs, localExtraMs, timeLeftMs)) {
			return {
				sendTo: undefined,
				reason: `local wait ${Math.round(localMs)} ms of ${Math.round(timeLeftMs)} ms left`,
			};
		}
		const best = this.findBestOffer(context, nowMs);
		if (best === undefined) {
			return { sendTo: undefined, reason: 'no other region offers capacity' };
		}
		const costSummary =
			`local ${Math.round(localMs)} + ${Math.round(localExtraMs)} ms, ` +
			`remote ${Math.round(best.firstByteMs)} + ${Math.round(best.costMs - best.firstByteMs)} ms, ` +
			`due in ${Math.round(timeLeftMs)} ms${describePromptSize(request)}`;
		const isInTime =
			best.countedMs <= timeLeftMs * this.options.maxRemoteTimeShare &&
			nowMs + best.firstByteMs <= request.deadlineMs;
		const isBetter = isInTime && best.costMs + this.options.minSavingMs < localMs + localExtraMs;
		if (!isUnservedHere && !isBetter) {
			return { sendTo: undefined, reason: costSummary };
		}
		this.recordSent(context, best.offer, nowMs);
		return { sendTo: best.offer.instance, reason: costSummary };
	}

	/** Whether the request is kept whatever other regions offer. */
	private isKeptUnasked(
		context: SendAwayContext,
		localMs: number,
		localExtraMs: number,
		timeLeftMs: number,
	): boolean {
		const { maxLocalTimeShare, maxPlainLocalTimeShare, minSavingMs } = this.options;
		const maxShare = this.hasPrompt(context) ? maxLocalTimeShare : maxPlainLocalTimeShare;
		return localMs <= timeLeftMs * maxShare && localExtraMs <= minSavingMs;
	}

	recordEnd(instance: InstanceId, end: RemoteEnd, _durationMs: number, bytes: number, nowMs: number): void {
		const pending = this.pendingWork.get(instance);
		if (pending === undefined || end === RemoteEnd.Answered || bytes > 0) {
			return;
		}
		const untilMs = nowMs + this.options.unreachablePauseMs;
		if (end === RemoteEnd.TargetFailed) {
			pending.lastResortUntilMs = untilMs;
		} else {
			pending.pausedUntilMs = untilMs;
		}
	}

	/** Cost to other requests of serving the request here, in milliseconds. */
	private computeLocalExtraCost(context: SendAwayContext): number {
		const { localRoom, owner } = context;
		const isCopy = owner?.isLocal !== true && localRoom.holdsSharedPart !== true;
		const delayMs = this.computeDelayCost(localRoom, localRoom.readingMs ?? 0);
		return delayMs + (isCopy ? this.computeCopyCost(context) : 0);
	}

	private findBestOffer(context: SendAwayContext, nowMs: number): OfferWithCost | undefined {
		const usable = context.offers.filter(offer => this.isUsable(offer, nowMs));
		const preferred = usable.filter(offer => nowMs >= this.getPendingWork(offer, nowMs).lastResortUntilMs);
		const offers = preferred.length === 0 && context.isUnservedHere ? usable : preferred;
		let best: OfferWithCost | undefined;
		for (const offer of offers) {
			const pending = this.getPendingWork(offer, nowMs);
			const waitMs = offer.room.waitMs + this.computePendingWaitMs(context, pending, nowMs);
			const isCached = this.isSharedPartCachedAt(context, offer);
			const cachedMs = isCached ? this.computeSharedReadingMs(context) : 0;
			const workMs = Math.max(0, this.computeWorkMs(context) - cachedMs);
			const factor = 1 + this.options.maxJitterShare * this.random.pickFraction();
			const startMs = waitMs + 2 * offer.oneWayMs;
			const firstByteMs = (startMs + workMs) * factor;
			const countedMs = (startMs + computeCountedWorkMs(context.request, workMs)) * factor;
			const delayMs = this.computeDelayCost(offer.room, this.hasPrompt(context) ? workMs : 0);
			const copyMs = isCached ? 0 : this.computeCopyCost(context);
			const costMs = firstByteMs + (delayMs + copyMs) * factor;
			if (best === undefined || costMs < best.costMs) {
				best = { offer, firstByteMs, countedMs, costMs };
			}
		}
		return best;
	}

	private isUsable(offer: RemoteOffer, nowMs: number): boolean {
		return (
			offer.ageMs <= this.options.maxOfferAgeMs && nowMs >= this.getPendingWork(offer, nowMs).pausedUntilMs
		);
	}

	/** Weighted delay that reading the prompt causes to the answers running at the target, in milliseconds. */
	private computeDelayCost({ runningPerTarget }: ServiceRoom, readingMs: number): number {
		return this.options.delayWeight * readingMs * (runningPerTarget ?? 0);
	}

	private hasPrompt({ request }: SendAwayContext): boolean {
		return request.work?.prompt !== undefined;
	}

	/** Whether the offering region owns the shared prompt part, or this entry has sent the part there before. */
	private isSharedPartCachedAt({ request, owner }: SendAwayContext, { region }: RemoteOffer): boolean {
		const shared = this.findSharedPromptPart(request);
		return (
			owner?.region === region ||
			(shared !== undefined && this.sentPromptParts.has(createPartKey(region, shared.id)))
		);
	}

	private computeSharedReadingMs({ owner }: SendAwayContext): number {
		return (owner?.tokens ?? 0) / this.options.promptTokensPerMs;
	}

	/** Cost of a further copy of the shared part, which takes cache memory from other parts, in milliseconds. */
	private computeCopyCost(context: SendAwayContext): number {
		return this.options.copyCostShare * this.computeSharedReadingMs(context);
	}

	private findSharedPromptPart({ work }: SchedulableRequest): PromptPart | undefined {
		return work?.prompt && findSharedPart(work.prompt, defaultWorkPolicy.choice.minSharedTokens);
	}

	private recordSent(context: SendAwayContext, offer: RemoteOffer, nowMs: number): void {
		const pending = this.getPendingWork(offer, nowMs);
		const workMs = this.computeWorkMs(context);
		const pendingMs = workMs * this.options.pendingWorkShare;
		pending.workMs += pendingMs;
		if (this.hasPrompt(context)) {
			pending.promptWorkMs += pendingMs;
		} else {
			pending.plainWaitMs = computePlainWaitMs(pending, nowMs) + workMs / Math.max(1, offer.room.freeSlots);
			pending.plainWaitAsOfMs = nowMs;
		}
		const shared = this.findSharedPromptPart(context.request);
		if (shared !== undefined) {
			this.sentPromptParts.set(createPartKey(offer.region, shared.id), true);
		}
	}

	/** Estimates how long the work sent since the offer delays the request, in milliseconds. */
	private computePendingWaitMs(context: SendAwayContext, pending: PendingWork, nowMs: number): number {
		const plainMs = computePlainWaitMs(pending, nowMs);
		return this.hasPrompt(context) ? pending.workMs : pending.promptWorkMs + plainMs;
	}

	private computeWorkMs({ localRoom }: SendAwayContext): number {
		return localRoom.unloadedMs ?? this.options.defaultWorkMs;
	}

	private getPendingWork({ instance, ageMs }: RemoteOffer, nowMs: number): PendingWork {
		const offeredMs = nowMs - ageMs;
		const known = this.pendingWork.get(instance);
		if (known === undefined) {
			const created = {
				offeredMs,
				workMs: 0,
				pausedUntilMs: 0,
				lastResortUntilMs: 0,
				plainWaitMs: 0,
				plainWaitAsOfMs: nowMs,
				promptWorkMs: 0,
			};
			this.pendingWork.set(instance, created);
			return created;
		}
		if (offeredMs - known.offeredMs > sameOfferToleranceMs) {
			known.offeredMs = offeredMs;
			known.workMs = 0;
			known.promptWorkMs = 0;
			known.plainWaitMs = 0;
		}
		return known;
	}
}

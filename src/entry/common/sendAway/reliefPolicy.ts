/**
 * Sends a request to another region when that costs callers less than serving it here.
 *
 * Load patterns: daily peaks that are offset between regions, a region whose targets are gone or to get
 * nothing, and callers whose requests must be answered in a region other than the one that they reached.
 * Without it one region answers late, or refuses, while another idles.
 *
 * A request costs the time to its first byte, the way there and back included, and two things beside it. Its
 * prompt holds up the answers that run where it is read: a region that keeps its long prompts until they
 * would be late is in time itself, while the answers beside them crawl. And a region that reads a shared part
 * which belongs to another keeps a further copy in place of another part. Counting what reading takes from
 * others brought 0.02 of the worth of five replayed days with offset peaks and faults, and counting copies of
 * parts of any size 0.005 more (one run a day). A request that can be in time here, and costs others little, stays.
 *
 * What a peer offered is some seconds old. What was sent to it since is added to its wait, or all entries
 * would send everything to the one that looked emptiest.
 */

import { LRUCache } from 'lru-cache';
import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { PromptPart } from '../prompts/promptShape';
import { findSharedPart } from '../prompts/promptShape';
import type { SchedulableRequest, ServiceRoom } from '../scheduling/serviceScheduler';
import { defaultWorkPolicy } from '../workScheduling/workPolicy';
import type { ISendAwayPolicy, RemoteOffer, SendAwayAnswer, SendAwayQuestion } from './sendAwayPolicy';

/** Figures of the decision. */
export interface ReliefFigures {
	/** The part of the time left until the aim up to which a request is taken to be in time here. */
	readonly staysBelow: number;
	/** The same for the other region, whose state is known less well. */
	readonly goesBelow: number;
	/** What sending must save at the least, in milliseconds: twice the error of a prediction of a calm target. */
	readonly marginMs: number;
	/** Offers older than this are not believed, in milliseconds: some exchanges of views. */
	readonly longestOfferAgeMs: number;
	/** Work of a request before anything is known of it, in milliseconds. */
	readonly usualWorkMs: number;
	/** The part of a sent request's work that later ones wait for: a region has a few targets. */
	readonly claimShare: number;
	/** What a further copy of a shared part costs, as a share of the time of reading it. */
	readonly copyCost: number;
	/** Prompt tokens that an engine reads in a millisecond, as the work of requests is estimated. */
	readonly tokensPerMs: number;
	/** What a millisecond taken from an answer that runs there counts against one of the request's own. */
	readonly delayCost: number;
	/** How long a peer that could not be reached is left out, in milliseconds. */
	readonly avoidMs: number;
	/** Random part of a cost. */
	readonly jitter: number;
}

export const defaultReliefFigures: ReliefFigures = {
	staysBelow: 0.7,
	goesBelow: 0.9,
	marginMs: 60,
	longestOfferAgeMs: 6_000,
	usualWorkMs: 100,
	claimShare: 0.3,
	copyCost: defaultWorkPolicy.choice.copyCost,
	tokensPerMs: defaultWorkPolicy.estimate.prefillTokensPerMs,
	delayCost: defaultWorkPolicy.choice.delayCost,
	avoidMs: 2_000,
	jitter: 0.1,
};

/** What was sent to a peer since it spoke. */
interface Claims {
	spokenMs: number;
	workMs: number;
	avoidedUntilMs: number;
}

interface PricedOffer {
	readonly offer: RemoteOffer;
	/** Until the first byte of the answer. */
	readonly firstMs: number;
	/** The same, and what the request takes from others there. */
	readonly costMs: number;
}

/** Two readings of one offer's time differ by rounding only. */
const sameOfferMs = 150;

/** Shared parts that are remembered with the regions they were sent to; bounds memory. */
const mostSentParts = 4_000;

function createPartKey(region: RegionName, partId: string): string {
	return `${region}/${partId}`;
}

/** Decides for one service at one entry. */
export class ReliefPolicy implements ISendAwayPolicy {
	private readonly claims = new Map<InstanceId, Claims>();
	private readonly sentParts = new LRUCache<string, true>({ max: mostSentParts });

	constructor(
		private readonly random: IRandom,
		private readonly figures: ReliefFigures = defaultReliefFigures,
	) {}

	decide(question: SendAwayQuestion, nowMs: number): SendAwayAnswer {
		const { request, localRoom, isUnservedHere } = question;
		const leftMs = (request.work?.dueMs ?? request.deadlineMs) - nowMs;
		const localMs = isUnservedHere ? Number.POSITIVE_INFINITY : localRoom.waitMs;
		const localExtraMs = this.computeLocalExtra(question);
		if (localMs <= leftMs * this.figures.staysBelow && localExtraMs <= this.figures.marginMs) {
			return { sendTo: undefined, reason: `${Math.round(localMs)} ms here of ${Math.round(leftMs)} ms` };
		}
		const best = this.findBest(question, nowMs);
		if (best === undefined) {
			return { sendTo: undefined, reason: 'no other region offers room' };
		}
		const costs =
			`${Math.round(localMs)} + ${Math.round(localExtraMs)} ms here, ` +
			`${Math.round(best.firstMs)} + ${Math.round(best.costMs - best.firstMs)} ms there`;
		const isInTime = best.firstMs <= leftMs * this.figures.goesBelow;
		const isBetter = isInTime && best.costMs + this.figures.marginMs < localMs + localExtraMs;
		if (!isUnservedHere && !isBetter) {
			return { sendTo: undefined, reason: costs };
		}
		this.noteSent(question, best.offer, nowMs);
		return { sendTo: best.offer.instance, reason: costs };
	}

	noteEnd(instance: InstanceId, isAnswered: boolean, _tookMs: number, bytes: number, nowMs: number): void {
		const claims = this.claims.get(instance);
		if (claims !== undefined && !isAnswered && bytes === 0) {
			claims.avoidedUntilMs = nowMs + this.figures.avoidMs;
		}
	}

	/** What serving the request here costs beside its own time, in milliseconds. */
	private computeLocalExtra(question: SendAwayQuestion): number {
		const { localRoom, owner } = question;
		const isCopy = owner?.isOwn !== true && localRoom.holdsSharedPart !== true;
		const delayMs = this.computeDelay(localRoom, localRoom.readingMs ?? 0);
		return delayMs + (isCopy ? this.computeCopyCost(question) : 0);
	}

	private findBest(question: SendAwayQuestion, nowMs: number): PricedOffer | undefined {
		let best: PricedOffer | undefined;
		for (const offer of question.offers) {
			const claims = this.getClaims(offer, nowMs);
			if (offer.ageMs > this.figures.longestOfferAgeMs || nowMs < claims.avoidedUntilMs) {
				continue;
			}
			const waitMs = offer.room.waitMs + claims.workMs;
			const isHeld = this.isHeldThere(question, offer);
			const heldMs = isHeld ? this.computeSharedReading(question) : 0;
			const workMs = Math.max(0, this.computeWork(question) - heldMs);
			const factor = 1 + this.figures.jitter * this.random.pickFraction();
			const firstMs = (waitMs + 2 * offer.oneWayMs + workMs) * factor;
			const delayMs = this.computeDelay(offer.room, this.isPrompted(question) ? workMs : 0);
			const copyMs = isHeld ? 0 : this.computeCopyCost(question);
			const costMs = firstMs + (delayMs + copyMs) * factor;
			if (best === undefined || costMs < best.costMs) {
				best = { offer, firstMs, costMs };
			}
		}
		return best;
	}

	/** What reading takes from the answers that run at a region's targets, as far as it counts. */
	private computeDelay({ runningPerTarget }: ServiceRoom, readingMs: number): number {
		return this.figures.delayCost * readingMs * (runningPerTarget ?? 0);
	}

	private isPrompted({ request }: SendAwayQuestion): boolean {
		return request.work?.prompt !== undefined;
	}

	/** Whether the shared part of the prompt belongs to a region, or this entry has sent it there. */
	private isHeldThere({ request, owner }: SendAwayQuestion, { region }: RemoteOffer): boolean {
		const shared = this.findShared(request);
		return (
			owner?.region === region ||
			(shared !== undefined && this.sentParts.has(createPartKey(region, shared.id)))
		);
	}

	private computeSharedReading({ owner }: SendAwayQuestion): number {
		return (owner?.tokens ?? 0) / this.figures.tokensPerMs;
	}

	/** A region that reads a part for itself keeps a further copy in place of another part. */
	private computeCopyCost(question: SendAwayQuestion): number {
		return this.figures.copyCost * this.computeSharedReading(question);
	}

	private findShared({ work }: SchedulableRequest): PromptPart | undefined {
		return work?.prompt && findSharedPart(work.prompt, defaultWorkPolicy.choice.minSharedTokens);
	}

	private noteSent(question: SendAwayQuestion, offer: RemoteOffer, nowMs: number): void {
		const claims = this.getClaims(offer, nowMs);
		const workMs = this.computeWork(question);
		claims.workMs += workMs * this.figures.claimShare;
		const shared = this.findShared(question.request);
		if (shared !== undefined) {
			this.sentParts.set(createPartKey(offer.region, shared.id), true);
		}
	}

	private computeWork({ localRoom }: SendAwayQuestion): number {
		return localRoom.unloadedMs ?? this.figures.usualWorkMs;
	}

	private getClaims({ instance, ageMs }: RemoteOffer, nowMs: number): Claims {
		const spokenMs = nowMs - ageMs;
		const known = this.claims.get(instance);
		if (known === undefined) {
			const opened = { spokenMs, workMs: 0, avoidedUntilMs: 0 };
			this.claims.set(instance, opened);
			return opened;
		}
		if (spokenMs - known.spokenMs > sameOfferMs) {
			known.spokenMs = spokenMs;
			known.workMs = 0;
		}
		return known;
	}
}

/**
 * Sends a request to another region when that costs its caller less than waiting here. Load patterns:
 * daily peaks that are offset between regions, and regions whose capacity differs tenfold. Without it one
 * region refuses while another idles; with a greedy rule (send whatever can be sent) thin links fill up,
 * caches stay cold everywhere and answers come later than if the request had stayed.
 *
 * The cost of sending is the remote wait, the round trip, the transfer on the link and the cold start. It
 * must be beaten by a margin, only entries that have offered room are asked, and the share of requests sent
 * changes slowly. A request that cannot go for want of link or room stays, which is always allowed.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName } from '../../../platform/ids/common/ids';
import type { SendAwayFigures } from '../scheduling/policy';
import { defaultSendAwayFigures } from '../scheduling/policy';
import { RemoteRegion } from './remoteRegion';
import type { ISendAwayPolicy, RemoteOffer, SendAwayAnswer, SendAwayQuestion } from './sendAwayPolicy';
import { SendAwayShare } from './sendAwayShare';

/** Weight of one answer in the mean size of answers. */
const sizeWeight = 0.1;

interface PricedOffer {
	readonly offer: RemoteOffer;
	readonly costMs: number;
}

/** Decides for one service at one entry. */
export class SendAwayPolicy implements ISendAwayPolicy {
	private readonly share: SendAwayShare;
	private readonly regions = new Map<RegionName, RemoteRegion>();
	private readonly regionOf = new Map<InstanceId, RegionName>();
	private readonly inFlight = new Map<InstanceId, number>();
	private answerBytes: number;

	constructor(
		private readonly random: IRandom,
		private readonly figures: SendAwayFigures = defaultSendAwayFigures,
	) {
		this.share = new SendAwayShare(figures);
		this.answerBytes = figures.initialAnswerBytes;
	}

	decide(question: SendAwayQuestion, nowMs: number): SendAwayAnswer {
		const best = this.findCheapest(question, nowMs);
		const localMs = question.localRoom.waitMs;
		const savingMs =
			best === undefined
				? -this.figures.fullRateSavingMs
				: localMs - best.costMs * this.figures.marginFactor - this.figures.marginMs;
		const share = this.share.update(savingMs, nowMs);
		if (best === undefined) {
			return { sendTo: undefined, reason: 'no other region offers room' };
		}
		const costs = `wait ${Math.round(localMs)} ms here, ${Math.round(best.costMs)} ms there`;
		if (savingMs <= 0 || this.random.pickFraction() >= share) {
			return { sendTo: undefined, reason: `${costs}, share ${share.toFixed(2)}` };
		}
		return this.send(question, best.offer, costs, nowMs);
	}

	noteEnd(instance: InstanceId, isAnswered: boolean, tookMs: number, bytes: number, nowMs: number): void {
		this.inFlight.set(instance, Math.max(0, (this.inFlight.get(instance) ?? 0) - 1));
		const name = this.regionOf.get(instance);
		const region = name === undefined ? undefined : this.regions.get(name);
		if (region === undefined) {
			return;
		}
		region.noteEnd(isAnswered, tookMs, nowMs);
		region.link.addBytes(bytes - this.answerBytes);
		if (isAnswered) {
			this.answerBytes += sizeWeight * (bytes - this.answerBytes);
		}
	}

	private send(
		{ request }: SendAwayQuestion,
		{ instance, region: name, linkBytesPerMs }: RemoteOffer,
		costs: string,
		nowMs: number,
	): SendAwayAnswer {
		const region = this.getRegion(name);
		if (!region.link.take(request.bodyBytes + this.answerBytes, linkBytesPerMs, nowMs)) {
			return { sendTo: undefined, reason: `${costs}, but the link is at its cap` };
		}
		region.noteSent();
		this.regionOf.set(instance, name);
		this.inFlight.set(instance, (this.inFlight.get(instance) ?? 0) + 1);
		return { sendTo: instance, reason: costs };
	}

	private findCheapest(question: SendAwayQuestion, nowMs: number): PricedOffer | undefined {
		let best: PricedOffer | undefined;
		for (const offer of question.offers) {
			if (offer.ageMs <= this.figures.longestOfferAgeMs) {
				this.getRegion(offer.region).noteOffer(nowMs - offer.ageMs);
			}
			if (!this.isUsable(offer, question, nowMs)) {
				continue;
			}
			const costMs = this.computeCost(offer, question, nowMs);
			if (nowMs + costMs < question.request.deadlineMs && (best === undefined || costMs < best.costMs)) {
				best = { offer, costMs };
			}
		}
		return best;
	}

	private isUsable(offer: RemoteOffer, { request }: SendAwayQuestion, nowMs: number): boolean {
		const region = this.getRegion(offer.region);
		const claimable = Math.ceil(offer.room.freeSlots * this.figures.claimShare);
		return (
			offer.ageMs <= this.figures.longestOfferAgeMs &&
			(this.inFlight.get(offer.instance) ?? 0) < claimable &&
			region.hasRoom() &&
			region.link.hasRoomFor(request.bodyBytes + this.answerBytes, offer.linkBytesPerMs, nowMs)
		);
	}

	/** What sending costs the caller beside the run itself, in milliseconds. */
	private computeCost(offer: RemoteOffer, { request }: SendAwayQuestion, nowMs: number): number {
		const transferMs = (request.bodyBytes + this.answerBytes) / offer.linkBytesPerMs;
		const coldMs = this.getRegion(offer.region).computeColdMs(nowMs);
		return offer.room.waitMs + 2 * offer.oneWayMs + transferMs + coldMs;
	}

	private getRegion(name: RegionName): RemoteRegion {
		let region = this.regions.get(name);
		if (region === undefined) {
			region = new RemoteRegion(this.figures);
			this.regions.set(name, region);
		}
		return region;
	}
}

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
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { SendAwayParameters } from '../scheduling/policy';
import { defaultSendAwayParameters } from '../scheduling/policy';
import { RemotePeer } from './remotePeer';
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
	private readonly peers = new Map<InstanceId, RemotePeer>();
	private answerBytes: number;

	constructor(
		private readonly random: IRandom,
		private readonly figures: SendAwayParameters = defaultSendAwayParameters,
	) {
		this.share = new SendAwayShare(figures);
		this.answerBytes = figures.initialAnswerBytes;
	}

	decide(question: SendAwayQuestion, nowMs: number): SendAwayAnswer {
		const priced = this.listPriced(question, nowMs);
		const [best] = priced;
		const localMs = question.localRoom.waitMs;
		const savingMs = best === undefined ? -this.figures.fullRateSavingMs : this.computeSaving(localMs, best);
		const share = this.share.update(savingMs, nowMs);
		if (best === undefined) {
			return { sendTo: undefined, reason: 'no other region offers room' };
		}
		const costs = `wait ${Math.round(localMs)} ms here, ${Math.round(best.costMs)} ms there`;
		// The share rises slowly so that lagging offers do not swing a whole region's requests to and fro. Where
		// nothing is served here there is nothing to swing back to, and each request kept would be refused.
		const isKept = !question.isUnservedHere && this.random.pickFraction() >= share;
		if (savingMs <= 0 || isKept) {
			return { sendTo: undefined, reason: `${costs}, share ${share.toFixed(2)}` };
		}
		const usable = priced.find(
			item => this.computeSaving(localMs, item) > 0 && this.isUsable(item.offer, question, nowMs),
		);
		return usable === undefined
			? { sendTo: undefined, reason: `${costs}, but room, step or link is at its cap` }
			: this.send(question, usable.offer, costs, nowMs);
	}

	noteEnd(instance: InstanceId, isAnswered: boolean, tookMs: number, bytes: number, nowMs: number): void {
		const peer = this.peers.get(instance);
		if (peer === undefined) {
			return;
		}
		peer.noteEnd(nowMs);
		const region = this.getRegion(peer.region);
		region.noteEnd(isAnswered, tookMs, nowMs);
		region.link.addBytes(bytes - this.answerBytes);
		if (isAnswered) {
			this.answerBytes += sizeWeight * (bytes - this.answerBytes);
		}
	}

	private send(
		{ request }: SendAwayQuestion,
		{ instance, region: name }: RemoteOffer,
		costs: string,
		nowMs: number,
	): SendAwayAnswer {
		const region = this.getRegion(name);
		region.link.addBytes(request.bodyBytes + this.answerBytes);
		region.noteSent();
		this.getPeer(instance, name, nowMs).noteSent(nowMs);
		return { sendTo: instance, reason: costs };
	}

	/** What sending saves beyond the margin, in milliseconds. */
	private computeSaving(localMs: number, { costMs }: PricedOffer): number {
		return localMs - costMs * this.figures.marginFactor - this.figures.marginMs;
	}

	/** Offers of room that would be answered in time, the cheapest first. */
	private listPriced(question: SendAwayQuestion, nowMs: number): PricedOffer[] {
		const priced: PricedOffer[] = [];
		for (const offer of question.offers) {
			if (offer.ageMs > this.figures.maxOfferAgeMs || offer.linkBytesPerMs <= 0) {
				continue;
			}
			this.getRegion(offer.region).noteOffer(nowMs - offer.ageMs);
			const costMs = this.computeCost(offer, question, nowMs);
			if (nowMs + costMs < question.request.deadlineMs && this.countClaimable(offer, nowMs) > 0) {
				priced.push({ offer, costMs });
			}
		}
		return priced.sort((left, right) => left.costMs - right.costMs);
	}

	/** Requests that may be in flight to the entry: a part of what it had free and of what it ran for us. */
	private countClaimable(offer: RemoteOffer, nowMs: number): number {
		const peer = this.peers.get(offer.instance);
		const reflected = peer?.countAt(nowMs - offer.ageMs - offer.oneWayMs) ?? 0;
		return Math.ceil((offer.room.freeSlots + reflected) * this.figures.maxRoomShare);
	}

	private isUsable(offer: RemoteOffer, { request }: SendAwayQuestion, nowMs: number): boolean {
		const region = this.getRegion(offer.region);
		const inFlight = this.peers.get(offer.instance)?.inFlight ?? 0;
		return (
			inFlight < this.countClaimable(offer, nowMs) &&
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

	/** A new peer takes the place of those that nothing was sent to of late, so that gone ones don't pile up. */
	private getPeer(instance: InstanceId, region: RegionName, nowMs: number): RemotePeer {
		let peer = this.peers.get(instance);
		if (peer === undefined) {
			for (const [other, known] of this.peers) {
				if (known.isIdle(nowMs)) {
					this.peers.delete(other);
				}
			}
			peer = new RemotePeer(region, 2 * this.figures.maxOfferAgeMs);
			this.peers.set(instance, peer);
		}
		return peer;
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

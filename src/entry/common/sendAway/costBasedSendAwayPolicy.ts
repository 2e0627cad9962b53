/**
 * Sends a request to another region when that costs its caller less time than waiting here. This covers daily
 * peaks that are offset between regions, and regions whose capacities differ tenfold. Without it one region
 * refuses requests while another is idle. With a greedy rule (send whatever can be sent) thin links fill up,
 * caches stay cold everywhere, and answers arrive later than if the request had been kept.
 *
 * The cost of sending is the sum of the remote wait, the round trip, the transfer over the link and the cold
 * caches. The local wait must exceed it by a margin, only entries that have offered capacity are considered,
 * and the share of requests sent changes slowly. A request that cannot be sent for lack of link bandwidth or
 * remote capacity is kept, which is always allowed.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { SendAwayParameters } from '../scheduling/policy';
import { defaultSendAwayParameters } from '../scheduling/policy';
import { RemotePeer } from './remotePeer';
import { RemoteRegion } from './remoteRegion';
import type { ISendAwayPolicy, RemoteOffer, SendAwayContext, SendAwayDecision } from './sendAwayPolicy';
import { RemoteEnd } from './sendAwayPolicy';
import { SendAwayShare } from './sendAwayShare';

/** Weight of one answer in the moving average of answer sizes. */
const answerSizeSmoothing = 0.1;

/** An offer with the estimated time that sending a request there takes, apart from the run itself. */
interface OfferWithCost {
	readonly offer: RemoteOffer;
	readonly costMs: number;
}

/** Decides for one service at one entry, by estimated cost in time. */
export class CostBasedSendAwayPolicy implements ISendAwayPolicy {
	private readonly share: SendAwayShare;
	private readonly regions = new Map<RegionName, RemoteRegion>();
	private readonly peers = new Map<InstanceId, RemotePeer>();
	private meanAnswerBytes: number;

	constructor(
		private readonly random: IRandom,
		private readonly options: SendAwayParameters = defaultSendAwayParameters,
	) {
		this.share = new SendAwayShare(options);
		this.meanAnswerBytes = options.initialAnswerBytes;
	}

	decide(context: SendAwayContext, nowMs: number): SendAwayDecision {
		const offersByCost = this.listOffersByCost(context, nowMs);
		const [best] = offersByCost;
		const localMs = context.localRoom.waitMs;
		const savingMs = best === undefined ? -this.options.fullRateSavingMs : this.computeSaving(localMs, best);
		const share = this.share.update(savingMs, nowMs);
		if (best === undefined) {
			return { sendTo: undefined, reason: 'no other region offers capacity' };
		}
		const costSummary = `local wait ${Math.round(localMs)} ms, remote cost ${Math.round(best.costMs)} ms`;
		// The share rises slowly so that lagging offers do not move all requests of a region back and forth. If no
		// target here may serve the request, the share is ignored, because a kept request would be refused.
		const isKept = !context.isUnservedHere && this.random.pickFraction() >= share;
		if (savingMs <= 0 || isKept) {
			return { sendTo: undefined, reason: `${costSummary}, share ${share.toFixed(2)}` };
		}
		const usable = offersByCost.find(
			item => this.computeSaving(localMs, item) > 0 && this.isUsable(item.offer, context, nowMs),
		);
		return usable === undefined
			? {
					sendTo: undefined,
					reason: `${costSummary}, but remote capacity, in-flight limit or link budget is exhausted`,
				}
			: this.send(context, usable.offer, costSummary, nowMs);
	}

	recordEnd(instance: InstanceId, end: RemoteEnd, durationMs: number, bytes: number, nowMs: number): void {
		const peer = this.peers.get(instance);
		if (peer === undefined) {
			return;
		}
		const isAnswered = end === RemoteEnd.Answered;
		peer.recordEnd(nowMs);
		const region = this.getRegion(peer.region);
		region.recordEnd(isAnswered, durationMs, nowMs);
		region.link.addBytes(bytes - this.meanAnswerBytes);
		if (isAnswered) {
			this.meanAnswerBytes += answerSizeSmoothing * (bytes - this.meanAnswerBytes);
		}
	}

	private send(
		{ request }: SendAwayContext,
		{ instance, region: name }: RemoteOffer,
		costSummary: string,
		nowMs: number,
	): SendAwayDecision {
		const region = this.getRegion(name);
		region.link.addBytes(request.bodyBytes + this.meanAnswerBytes);
		region.recordSent();
		this.getPeer(instance, name, nowMs).recordSent(nowMs);
		return { sendTo: instance, reason: costSummary };
	}

	/** Time that sending saves beyond the margin, in milliseconds. */
	private computeSaving(localMs: number, { costMs }: OfferWithCost): number {
		return localMs - costMs * this.options.marginFactor - this.options.marginMs;
	}

	/** Usable offers whose answer would arrive before the deadline, the cheapest first. */
	private listOffersByCost(context: SendAwayContext, nowMs: number): OfferWithCost[] {
		const offersByCost: OfferWithCost[] = [];
		for (const offer of context.offers) {
			if (offer.ageMs > this.options.maxOfferAgeMs || offer.linkBytesPerMs <= 0) {
				continue;
			}
			this.getRegion(offer.region).recordOffer(nowMs - offer.ageMs);
			const costMs = this.computeCost(offer, context, nowMs);
			if (nowMs + costMs < context.request.deadlineMs && this.computeMaxInFlight(offer, nowMs) > 0) {
				offersByCost.push({ offer, costMs });
			}
		}
		return offersByCost.sort((left, right) => left.costMs - right.costMs);
	}

	/**
	 * Limit on the requests in flight to the offering entry: a share of the slots that were free and of those that
	 * this sender's own requests used when the offer was made.
	 */
	private computeMaxInFlight(offer: RemoteOffer, nowMs: number): number {
		const peer = this.peers.get(offer.instance);
		const inFlightAtOffer = peer?.countInFlightAt(nowMs - offer.ageMs - offer.oneWayMs) ?? 0;
		return Math.ceil((offer.room.freeSlots + inFlightAtOffer) * this.options.maxRoomShare);
	}

	private isUsable(offer: RemoteOffer, { request }: SendAwayContext, nowMs: number): boolean {
		const region = this.getRegion(offer.region);
		const inFlight = this.peers.get(offer.instance)?.inFlight ?? 0;
		return (
			inFlight < this.computeMaxInFlight(offer, nowMs) &&
			region.isBelowLimit() &&
			region.link.hasBudgetFor(request.bodyBytes + this.meanAnswerBytes, offer.linkBytesPerMs, nowMs)
		);
	}

	/** Time that sending costs the caller in addition to the run itself, in milliseconds. */
	private computeCost(offer: RemoteOffer, { request }: SendAwayContext, nowMs: number): number {
		const transferMs = (request.bodyBytes + this.meanAnswerBytes) / offer.linkBytesPerMs;
		const coldCacheMs = this.getRegion(offer.region).computeColdCacheCost(nowMs);
		return offer.room.waitMs + 2 * offer.oneWayMs + transferMs + coldCacheMs;
	}

	/** Returns the state of a peer. Creating one removes idle peers, so that stopped instances do not accumulate. */
	private getPeer(instance: InstanceId, region: RegionName, nowMs: number): RemotePeer {
		let peer = this.peers.get(instance);
		if (peer === undefined) {
			for (const [other, known] of this.peers) {
				if (known.isIdle(nowMs)) {
					this.peers.delete(other);
				}
			}
			peer = new RemotePeer(region, 2 * this.options.maxOfferAgeMs);
			this.peers.set(instance, peer);
		}
		return peer;
	}

	private getRegion(name: RegionName): RemoteRegion {
		let region = this.regions.get(name);
		if (region === undefined) {
			region = new RemoteRegion(this.options);
			this.regions.set(name, region);
		}
		return region;
	}
}

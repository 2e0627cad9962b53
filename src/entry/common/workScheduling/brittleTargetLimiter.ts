/**
 * Limits the requests that a brittle target may have to refuse. The load it is designed for is a burst at a service whose
 * targets fall over if they refuse more than a few requests in a second, and let fewer requests wait than before. Each fall
 * moves the load to the other targets, so without a limit they fall one after the other for as long as the burst lasts.
 *
 * A refusal comes too late to bound the refusals of its second: the requests that are on their way are refused as
 * well. What is bounded is therefore the number of requests that a target has not answered yet, together with those
 * that it refused lately. Each entry (proxy process) uses its part of the refusals that the target bears, so that the
 * sum holds without coordination, whatever the entries know of each other's requests.
 *
 * While a target has room for a request of each entry, its requests are not expected to be refused and need no part. Places
 * for waiting requests are not counted as room, because they may be withdrawn. Requests wait at the entry instead.
 */

import type { RequestId } from '../../../core/ids/common/ids';
import { computeWholeShare } from '../fleetView/entryRoster';

/** How the entries share what the target bears. */
export interface BrittleTargetShare {
	/** Number of entries that may send to the target, including this one. */
	readonly entries: number;
	/** Zero-based index of this entry in their order; infinite if it is not known. */
	readonly senderRank: number;
}

/** Time for which a refusal counts: a second, and the difference of the times that requests take to the target. */
const refusalWindowMs = 1_200;

/** Share of the slots that have to be free for an entry that does not know the others to send a request. */
const minFreeShareOfUnknown = 0.5;

/** Increase of the known places with each answer that begins. */
const placesPerAnswer = 1;

/** The limit of one entry for one target. */
export class BrittleTargetLimiter {
	private readonly unanswered = new Set<RequestId>();
	private refusalsMs: number[] = [];
	private places = Number.POSITIVE_INFINITY;
	/** What the process of the target says of itself; undefined until it has answered. */
	private own: { readonly refusalLimit: number | undefined } | undefined;
	private serviceLimit: number | undefined;

	/** The refusals that the target bears in a second; undefined if it is not brittle. */
	get refusalLimit(): number | undefined {
		return this.own === undefined ? this.serviceLimit : this.own.refusalLimit;
	}

	setRefusalLimit(refusalLimit: number | undefined): void {
		this.own = { refusalLimit };
	}

	/** Sets what another target of the service said last, which applies until this one has answered. */
	setServiceLimit(refusalLimit: number | undefined): void {
		this.serviceLimit = refusalLimit;
	}

	/** Forgets what an earlier process of the target said. */
	clear(): void {
		this.own = undefined;
		this.places = Number.POSITIVE_INFINITY;
		this.refusalsMs = [];
	}

	/** Returns how many requests may be at the target, running or waiting. */
	computePlaces(slots: number): number {
		return Math.max(1, Math.min(slots, Math.floor(this.places)));
	}

	/** @param atTarget The estimated number of requests of all entries at the target. */
	isSendAllowed(share: BrittleTargetShare, slots: number, atTarget: number, nowMs: number): boolean {
		const { refusalLimit } = this;
		if (refusalLimit === undefined) {
			return true;
		}
		const unanswered = this.unanswered.size;
		const free = this.computePlaces(slots) - (atTarget - unanswered);
		if (!Number.isFinite(share.senderRank)) {
			return unanswered === 0 && free >= slots * minFreeShareOfUnknown;
		}
		const hasRoom = (unanswered + 1) * share.entries <= free;
		const exposed = unanswered + this.countRefusals(nowMs);
		return hasRoom || exposed + 1 <= computeWholeShare(refusalLimit, share.entries, share.senderRank);
	}

	noteSent(requestId: RequestId): void {
		this.unanswered.add(requestId);
	}

	/** Records that the answer to a request begins. */
	noteAnswered(requestId: RequestId): void {
		if (this.unanswered.delete(requestId)) {
			this.places += placesPerAnswer;
		}
	}

	/** Records that an attempt ended. */
	noteEnd(requestId: RequestId): void {
		this.unanswered.delete(requestId);
	}

	/**
	 * Records that the target refused a request.
	 *
	 * @param running The requests that ran at the target, if it reported them. Fewer than its slots run if its memory
	 * is full.
	 */
	noteRefusal(running: number | undefined, nowMs: number): void {
		this.countRefusals(nowMs);
		this.refusalsMs.push(nowMs);
		this.places = Math.min(this.places, running ?? Number.POSITIVE_INFINITY);
	}

	/** Describes the limit for the log; undefined if the target is not brittle. */
	describe({ entries, senderRank }: BrittleTargetShare, nowMs: number): string | undefined {
		if (this.refusalLimit === undefined) {
			return undefined;
		}
		return (
			`brittle: bears ${this.refusalLimit} refusals a second, ${this.unanswered.size} unanswered, ` +
			`${this.countRefusals(nowMs)} refused lately, sender ${senderRank} of ${entries} entries`
		);
	}

	private countRefusals(nowMs: number): number {
		this.refusalsMs = this.refusalsMs.filter(atMs => nowMs - atMs < refusalWindowMs);
		return this.refusalsMs.length;
	}
}

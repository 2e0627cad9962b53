/**
 * Requests in flight to one entry of another region. An offer tells the slots that were free a second or
 * two ago: requests that had arrived by then are in it, later ones are not. Without telling them apart a
 * sender either counts its requests twice and leaves half of the room unused, or not at all and overruns it.
 */

import type { RegionName } from '../../../platform/ids/common/ids';

/** One entry as another one sends to it. */
export class RemotePeer {
	inFlight = 0;
	/** When the latest requests were sent, the oldest first; no more than are in flight. */
	private readonly sentMs: number[] = [];

	constructor(readonly region: RegionName) {}

	noteSent(nowMs: number): void {
		this.inFlight++;
		this.sentMs.push(nowMs);
	}

	/** Some request ended: the oldest, as far as this count needs to know. */
	noteEnd(): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.sentMs.splice(0, this.sentMs.length - this.inFlight);
	}

	/** Requests in flight that an offer counts which left out what was sent after `sentBeforeMs`. */
	countReflected(sentBeforeMs: number): number {
		const later = this.sentMs.findIndex(atMs => atMs > sentBeforeMs);
		return later < 0 ? this.sentMs.length : later;
	}
}

/**
 * Tracks the requests in flight to one entry of another region, now and in the recent past. An offer reports
 * the slots that were free a second or two ago, when some of this sender's requests were running there. To
 * interpret it, the sender needs its in-flight count of that time. Compared with the current count, the offer
 * leaves half of the capacity unused. Used without any count, it lets the sender overload the peer.
 */

import type { RegionName } from '../../../core/ids/common/ids';

interface InFlightSample {
	readonly atMs: number;
	readonly inFlight: number;
}

/** Samples closer together than this are merged. */
const minSampleIntervalMs = 50;

/** The in-flight requests from this entry to one peer entry. */
export class RemotePeer {
	private inFlightCount = 0;
	/** In order of time, the oldest first. */
	private samples: InFlightSample[] = [];

	constructor(
		readonly region: RegionName,
		/** How far back `countInFlightAt` can look, in milliseconds. */
		private readonly historyMs: number,
	) {}

	/** Requests in flight now. */
	get inFlight(): number {
		return this.inFlightCount;
	}

	recordSent(nowMs: number): void {
		this.inFlightCount++;
		this.addSample(nowMs);
	}

	recordEnd(nowMs: number): void {
		this.inFlightCount = Math.max(0, this.inFlightCount - 1);
		this.addSample(nowMs);
	}

	/** Whether no request is in flight and the count has not changed within the kept history. */
	isIdle(nowMs: number): boolean {
		const last = this.samples.at(-1);
		return this.inFlightCount === 0 && (last === undefined || nowMs - last.atMs > this.historyMs);
	}

	/** Number of requests that were in flight at the given time. */
	countInFlightAt(atMs: number): number {
		for (let index = this.samples.length - 1; index >= 0; index--) {
			const sample = this.samples[index];
			if (sample !== undefined && sample.atMs <= atMs) {
				return sample.inFlight;
			}
		}
		return 0;
	}

	private addSample(nowMs: number): void {
		const last = this.samples.at(-1);
		if (last !== undefined && nowMs - last.atMs < minSampleIntervalMs) {
			this.samples[this.samples.length - 1] = { atMs: last.atMs, inFlight: this.inFlightCount };
			return;
		}
		this.samples.push({ atMs: nowMs, inFlight: this.inFlightCount });
		// Old samples are removed in batches. One sample older than the history is kept: it holds the count at
		// the start of the history.
		if (this.samples.length > (2 * this.historyMs) / minSampleIntervalMs) {
			const first = this.samples.findIndex(sample => sample.atMs > nowMs - this.historyMs);
			this.samples = this.samples.slice(Math.max(0, first - 1));
		}
	}
}

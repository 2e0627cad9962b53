/**
 * The configuration service's limit on reads: each call counts, a waiting watch as one.
 */

const windowMs = 1_000;

/** Counts the reads of each second and refuses those over the limit. */
export class ReadBudget {
	private windowStartMs = Number.NEGATIVE_INFINITY;
	private readsInWindow = 0;
	private peakReads = 0;
	private refused = 0;

	constructor(private readonly readsPerSecond: number) {}

	/** Counts one read; undefined lets it pass, else it is the milliseconds until the next second begins. */
	take(nowMs: number): number | undefined {
		if (nowMs - this.windowStartMs >= windowMs) {
			this.windowStartMs = nowMs;
			this.readsInWindow = 0;
		}
		this.readsInWindow++;
		this.peakReads = Math.max(this.peakReads, this.readsInWindow);
		if (this.readsInWindow <= this.readsPerSecond) {
			return undefined;
		}
		this.refused++;
		return this.windowStartMs + windowMs - nowMs;
	}

	/** The most reads that arrived in one second, refused ones included. */
	getPeakReads(): number {
		return this.peakReads;
	}

	countRefused(): number {
		return this.refused;
	}
}

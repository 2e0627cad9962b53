/**
 * The limit on reads from the simulated configuration service. Each request counts as one read, also a long poll.
 */

const windowMs = 1_000;

/** Counts reads in windows of one second and refuses those over the limit. */
export class ReadRateLimiter {
	private windowStartMs = Number.NEGATIVE_INFINITY;
	private readsInWindow = 0;
	private peakReads = 0;
	private refused = 0;

	constructor(private readonly readsPerSecond: number) {}

	/** Counts a read. Returns undefined if it is admitted, otherwise the milliseconds until the window ends. */
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

	/** Returns the highest number of reads in one window, including refused reads. */
	getPeakReadsPerSecond(): number {
		return this.peakReads;
	}

	countRefused(): number {
		return this.refused;
	}
}

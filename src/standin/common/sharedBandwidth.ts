/**
 * Bandwidth that several streams share, such as that of a link or of the weight store. Each chunk is scheduled after
 * those reserved before it, so the total never exceeds the bandwidth and no stream starves.
 */

const millisecondsPerSecond = 1_000;

/** Schedules chunks on a shared bandwidth. */
export class SharedBandwidth {
	private freeAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly bytesPerSecond: number) {}

	/** Reserves the transfer of a chunk. Returns the milliseconds from now until its last byte is transferred. */
	reserve(bytes: number, nowMs: number): number {
		const startMs = Math.max(nowMs, this.freeAtMs);
		this.freeAtMs = startMs + (bytes / this.bytesPerSecond) * millisecondsPerSecond;
		return this.freeAtMs - nowMs;
	}
}

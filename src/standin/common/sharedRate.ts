/**
 * Bytes per second that several streams share: a link's bandwidth, the weight store's output. Each piece
 * takes its turn behind those reserved before it, so the total never exceeds the rate and no stream starves.
 */

const millisecondsPerSecond = 1_000;

/** Hands out the time at which a piece of bytes has passed. */
export class SharedRate {
	private freeAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly bytesPerSecond: number) {}

	/** Reserves room for a piece and gives the milliseconds from now until its last byte has passed. */
	reserve(bytes: number, nowMs: number): number {
		const startMs = Math.max(nowMs, this.freeAtMs);
		this.freeAtMs = startMs + (bytes / this.bytesPerSecond) * millisecondsPerSecond;
		return this.freeAtMs - nowMs;
	}
}

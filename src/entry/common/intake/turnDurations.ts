/**
 * Measures turns of the event loop while requests wait for their start, and estimates how long one start takes.
 *
 * A turn that starts a request may also accept and read a connection. The duration of turns that only do that is
 * subtracted, so that the estimate holds for the time after a burst of new connections too.
 */

/** Number of latest turns whose durations are kept, and the least number of starts for an estimate. */
const measuredTurns = 15;
const minMeasuredStarts = 5;

/** Durations of the latest turns, in milliseconds. */
export class TurnDurations {
	private startsMs: number[] = [];
	private acceptsMs: number[] = [];
	private turnStartedMs: number | undefined;
	private hasStartedRequest = false;
	private measuredSinceMs = 0;
	private startCount = 0;

	/** Discards the measurements, which may not apply to a later load, and begins new ones. */
	clear(nowMs: number): void {
		this.startsMs = [];
		this.acceptsMs = [];
		this.turnStartedMs = undefined;
		this.hasStartedRequest = false;
		this.measuredSinceMs = nowMs;
		this.startCount = 0;
	}

	/** Records that a turn begins, and whether the previous one accepted a connection at its end. */
	noteTurn(nowMs: number, hasAcceptedConnection: boolean): void {
		if (this.turnStartedMs !== undefined) {
			this.addTurn(nowMs - this.turnStartedMs, hasAcceptedConnection);
		}
		this.turnStartedMs = nowMs;
		this.hasStartedRequest = false;
	}

	noteStart(): void {
		this.hasStartedRequest = true;
		this.startCount++;
	}

	/** Returns the time that the start of one request takes, in milliseconds, or 0 before enough starts. */
	estimateStartMs(): number {
		return this.startsMs.length < minMeasuredStarts ? 0 : computeMedian(this.startsMs);
	}

	/** Returns the mean time between two starts, in milliseconds, including turns that only accept connections. */
	computeStartIntervalMs(nowMs: number): number {
		return this.startCount === 0 ? 0 : (nowMs - this.measuredSinceMs) / this.startCount;
	}

	private addTurn(durationMs: number, hasAcceptedConnection: boolean): void {
		if (this.hasStartedRequest) {
			const acceptMs = hasAcceptedConnection ? computeMedian(this.acceptsMs) : 0;
			this.startsMs = [...this.startsMs, Math.max(0, durationMs - acceptMs)].slice(-measuredTurns);
		} else if (hasAcceptedConnection) {
			this.acceptsMs = [...this.acceptsMs, durationMs].slice(-measuredTurns);
		}
	}
}

/** Returns the median, which a single long pause of the process does not change, or 0 without values. */
function computeMedian(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/**
 * The largest of the values added within a time window. Keeps only the values that can still become the largest, so the
 * cost of a value does not depend on the length of the window.
 */

interface TimedValue {
	readonly value: number;
	readonly atMs: number;
}

/** Times are monotonic milliseconds and do not decrease from call to call. */
export class RecentMaximum {
	/** In the order of their times, each larger than those after it. */
	private values: TimedValue[] = [];

	constructor(private readonly windowMs: number) {}

	add(value: number, nowMs: number): void {
		const larger = this.values.findLastIndex(kept => kept.value > value);
		this.values.length = larger + 1;
		this.values.push({ value, atMs: nowMs });
	}

	/** Returns undefined if no value was added within the window. */
	get(nowMs: number): number | undefined {
		this.values = this.values.filter(({ atMs }) => nowMs - atMs <= this.windowMs);
		return this.values[0]?.value;
	}
}

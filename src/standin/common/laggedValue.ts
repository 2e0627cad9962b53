/**
 * A value that its readers see some time after it changed, as with load reports and instance lists.
 */

interface TimedValue<TValue> {
	readonly atMs: number;
	readonly value: TValue;
}

const mostKept = 4_096;

/** Keeps the changes of a value long enough to show what it was a while ago. */
export class LaggedValue<TValue> {
	/** The newest value that every reader sees, and the changes after it, oldest first. */
	private oldest: TValue;
	private readonly changes: TimedValue<TValue>[] = [];

	constructor(
		initial: TValue,
		/** How old the oldest change is that a reader may still ask for, in milliseconds. */
		private readonly largestLagMs: number,
	) {
		this.oldest = initial;
	}

	set(value: TValue, nowMs: number): void {
		this.changes.push({ atMs: nowMs, value });
		this.removeUnreachable(nowMs);
	}

	/** The value as it was `lagMs` before `nowMs`. */
	get(nowMs: number, lagMs: number): TValue {
		const sinceMs = nowMs - lagMs;
		return this.changes.findLast(change => change.atMs <= sinceMs)?.value ?? this.oldest;
	}

	private removeUnreachable(nowMs: number): void {
		for (let next = this.changes[0]; next !== undefined; next = this.changes[0]) {
			if (next.atMs > nowMs - this.largestLagMs && this.changes.length <= mostKept) {
				break;
			}
			this.oldest = next.value;
			this.changes.shift();
		}
	}
}

/**
 * A value whose changes become visible to readers after a delay. It simulates late load reports.
 */

interface TimedValue<TValue> {
	readonly changedAtMs: number;
	readonly value: TValue;
}

const maxChanges = 4_096;

/** Keeps recent changes of a value, so that its value at an earlier time can be read. */
export class LaggedValue<TValue> {
	/** The value before the first of `changes`. */
	private baseValue: TValue;
	/** Oldest first. */
	private readonly changes: TimedValue<TValue>[] = [];

	constructor(
		initial: TValue,
		/** The longest lag that readers can request, in milliseconds. */
		private readonly maxLagMs: number,
	) {
		this.baseValue = initial;
	}

	set(value: TValue, nowMs: number): void {
		this.changes.push({ changedAtMs: nowMs, value });
		this.removeExpiredChanges(nowMs);
	}

	/** Returns the value that was current `lagMs` before `nowMs`. */
	get(nowMs: number, lagMs: number): TValue {
		const readAtMs = nowMs - lagMs;
		return this.changes.findLast(change => change.changedAtMs <= readAtMs)?.value ?? this.baseValue;
	}

	private removeExpiredChanges(nowMs: number): void {
		for (let next = this.changes[0]; next !== undefined; next = this.changes[0]) {
			if (next.changedAtMs > nowMs - this.maxLagMs && this.changes.length <= maxChanges) {
				break;
			}
			this.baseValue = next.value;
			this.changes.shift();
		}
	}
}

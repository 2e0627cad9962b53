/**
 * A sum whose parts lose weight as they age, so that it tells the load of late without keeping a history.
 */

export class DecayingSum {
	private sum = 0;
	private updatedMs = 0;

	constructor(
		/** Time in which a part loses 63% of its weight, in milliseconds. */
		private readonly decayMs: number,
	) {}

	add(amount: number, nowMs: number): void {
		this.sum = this.getValue(nowMs) + amount;
		this.updatedMs = nowMs;
	}

	getValue(nowMs: number): number {
		return this.sum * Math.exp((this.updatedMs - nowMs) / this.decayMs);
	}
}

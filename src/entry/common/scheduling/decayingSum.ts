/**
 * A sum whose amounts decay exponentially with age, used to measure recent load without keeping a history.
 */

export class DecayingSum {
	private sum = 0;
	private updatedMs = 0;

	constructor(
		/**
		 * Time constant of the decay, in milliseconds: after this time an amount has lost 63% of its weight.
		 */
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

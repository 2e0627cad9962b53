/**
 * A moving average of a rate, in units per second. Amounts are reported for whole intervals; adding them as if they had
 * occurred at the end of their interval would raise a short average to several times the rate at each report.
 */

const msPerSecond = 1_000;

export class DecayingRate {
	private sum = 0;
	private updatedMs = 0;

	/** @param timeConstantMs Time after which an amount has lost 63% of its weight. */
	constructor(private readonly timeConstantMs: number) {}

	/** Adds an amount that occurred evenly over the last `overMs`. */
	add(amount: number, nowMs: number, overMs: number): void {
		const ratio = Math.max(0, overMs) / this.timeConstantMs;
		const weight = ratio > 0 ? (1 - Math.exp(-ratio)) / ratio : 1;
		this.sum = this.getSum(nowMs) + amount * weight;
		this.updatedMs = nowMs;
	}

	/** Returns units per second. */
	get(nowMs: number): number {
		return (this.getSum(nowMs) * msPerSecond) / this.timeConstantMs;
	}

	private getSum(nowMs: number): number {
		return this.sum * Math.exp(Math.min(0, this.updatedMs - nowMs) / this.timeConstantMs);
	}
}

/**
 * Limits the bytes that requests sent to another region put on the network link between the regions. During a
 * long load peak in a region behind a thin link (100 Mb/s), an unlimited sender makes each new request wait
 * for the transfer of all earlier ones and delays the other traffic of the link.
 */

/** A token bucket for the bytes sent over one link. */
export class LinkBudget {
	/** Bytes that may be sent now. Below 0 while more bytes were sent than the rate has allowed so far. */
	private availableBytes: number | undefined;
	private updatedMs = 0;

	constructor(
		/** Size of the burst allowed beyond the rate, as its transfer time at the full rate in milliseconds. */
		private readonly burstMs: number,
		/** Share of the link rate that may be used. */
		private readonly usableShare: number,
	) {}

	/** Subtracts sent bytes from the budget. A negative count corrects an estimate that was too high. */
	addBytes(bytes: number): void {
		this.availableBytes = (this.availableBytes ?? 0) - bytes;
	}

	/**
	 * Whether the bytes may be sent now. A request larger than the burst is allowed once the budget is full again.
	 */
	hasBudgetFor(bytes: number, bytesPerMs: number, nowMs: number): boolean {
		const burstBytes = bytesPerMs * this.burstMs;
		const refillBytes = (nowMs - this.updatedMs) * bytesPerMs * this.usableShare;
		this.availableBytes = Math.min(burstBytes, (this.availableBytes ?? burstBytes) + refillBytes);
		this.updatedMs = nowMs;
		return this.availableBytes >= Math.min(bytes, burstBytes);
	}
}

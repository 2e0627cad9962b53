/**
 * Counts the bytes that requests sent away put on a link and caps them. Load pattern: a long peak in a
 * region behind a thin link (100 Mb/s). Without it requests queue for the link, each new one waits for all
 * before it, and the link's other traffic waits as well.
 */

/** A token bucket over the bytes of one link. */
export class LinkBudget {
	/** Bytes that may be sent now; below 0 while the link has more to carry than its rate. */
	private balance: number | undefined;
	private updatedMs = 0;

	constructor(
		/** Bytes that may go beyond the rate at once, as a time at that rate in milliseconds. */
		private readonly burstMs: number,
		/** Part of the rate that is used. */
		private readonly use: number,
	) {}

	/** Counts bytes that are sent, or corrects for bytes that were estimated wrongly. */
	addBytes(bytes: number): void {
		this.balance = (this.balance ?? 0) - bytes;
	}

	/** Whether the bytes may be sent now. A request larger than the burst may go when the link has rested. */
	hasRoomFor(bytes: number, bytesPerMs: number, nowMs: number): boolean {
		const most = bytesPerMs * this.burstMs;
		const earned = (nowMs - this.updatedMs) * bytesPerMs * this.use;
		this.balance = Math.min(most, (this.balance ?? most) + earned);
		this.updatedMs = nowMs;
		return this.balance >= Math.min(bytes, most);
	}
}

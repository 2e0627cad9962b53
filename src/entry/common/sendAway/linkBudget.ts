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
	) {}

	/** Takes the bytes where the link has room for them. */
	take(bytes: number, bytesPerMs: number, nowMs: number): boolean {
		this.update(bytesPerMs, nowMs);
		if ((this.balance ?? 0) < bytes) {
			return false;
		}
		this.balance = (this.balance ?? 0) - bytes;
		return true;
	}

	/** Corrects for bytes that were estimated wrongly. */
	addBytes(bytes: number): void {
		this.balance = (this.balance ?? 0) - bytes;
	}

	/** Whether the bytes could be taken now. */
	hasRoomFor(bytes: number, bytesPerMs: number, nowMs: number): boolean {
		this.update(bytesPerMs, nowMs);
		return (this.balance ?? 0) >= bytes;
	}

	private update(bytesPerMs: number, nowMs: number): void {
		const most = bytesPerMs * this.burstMs;
		const earned = (nowMs - this.updatedMs) * bytesPerMs;
		this.balance = Math.min(most, (this.balance ?? most) + earned);
		this.updatedMs = nowMs;
	}
}

/**
 * Determines whether the process that answers at a target's address is still the one that its registration describes.
 *
 * A target can start again under its id and address with another software version, and the registration that tells so arrives late
 * or, while the store is away, not at all. A connection ends with its process. So as long as connections to a target follow each other
 * without a gap in which a process could have started again, they lead to the same process, and what the store says of it once
 * the process has had the time to register holds for all of them.
 */

import type { RegistrationConfirmation } from '../../../core/discovery/common/discovery';

/** A process takes longer than this to start again, in milliseconds. */
const minRestartMs = 500;

/** Time in which a target that has started writes its registration, in milliseconds: one heartbeat and the way to the store. */
const registrationMs = 1_500;

/** Follows the connections of this entry to one target. */
export class ProcessContinuity {
	private openConnections = 0;
	private unbrokenSinceMs: number | undefined;
	private lastClosedMs = Number.NEGATIVE_INFINITY;
	/** Whether the target ended the last connection or refused one, and has not been confirmed since. */
	private isLost = false;
	private lostMs = Number.NEGATIVE_INFINITY;
	private acceptedMs = Number.NEGATIVE_INFINITY;
	/** When the target last ended a connection, which need not be the one that is closed last here. */
	private endedMs = Number.NEGATIVE_INFINITY;

	noteOpened(nowMs: number): void {
		if (this.openConnections === 0 && nowMs - this.lastClosedMs > minRestartMs) {
			this.unbrokenSinceMs = nowMs;
		}
		this.openConnections++;
	}

	/**
	 * @param isByTarget Whether the target or the network ended the connection, and not this entry.
	 * @param endedMs When it ended. The target may have accepted another one before this one is closed here.
	 */
	noteClosed(isByTarget: boolean, nowMs: number, endedMs = nowMs): void {
		this.openConnections--;
		if (isByTarget) {
			this.endedMs = Math.max(this.endedMs, endedMs);
		}
		if (this.openConnections === 0) {
			this.lastClosedMs = nowMs;
			if (isByTarget && !this.isLost && this.acceptedMs <= this.endedMs) {
				this.isLost = true;
				this.lostMs = this.endedMs;
			}
		}
	}

	/** Records that the target accepts connections: if it has just ended the last one, its process has not ended with it. */
	noteAccepted(nowMs: number): void {
		this.acceptedMs = nowMs;
		if (nowMs - this.lostMs <= minRestartMs) {
			this.isLost = false;
		}
	}

	/** Records that no connection could be opened. */
	noteRefused(): void {
		this.acceptedMs = Number.NEGATIVE_INFINITY;
		if (this.openConnections === 0) {
			this.lastClosedMs = Number.NEGATIVE_INFINITY;
			this.unbrokenSinceMs = undefined;
			this.isLost = true;
			this.lostMs = Number.NEGATIVE_INFINITY;
		}
	}

	/**
	 * Whether the process that answers now, and has answered since `sinceMs`, is the registered one. The store need not be reached if
	 * it has confirmed the registration since the first of the connections that follow each other.
	 */
	isConfirmed({ asOfMs, isReached }: RegistrationConfirmation, nowMs: number, sinceMs = nowMs): boolean {
		const startMs = this.findUnbrokenStart(nowMs);
		if (startMs !== undefined && startMs > sinceMs) {
			return false;
		}
		if (startMs !== undefined && startMs + registrationMs <= asOfMs) {
			this.isLost = false;
			return true;
		}
		return isReached && !this.isLost;
	}

	private findUnbrokenStart(nowMs: number): number | undefined {
		const isUnbroken = this.openConnections > 0 || nowMs - this.lastClosedMs <= minRestartMs;
		return isUnbroken ? this.unbrokenSinceMs : undefined;
	}
}

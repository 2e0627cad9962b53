/**
 * Decides what to make of the ends of streams that have neither a length nor chunks. Such a stream ends with its
 * connection, whether it is whole or its target ended early.
 *
 * Another target can confirm the end: asked to resume after the last event, it sends what is missing, or ends with framing
 * at once. This costs a second run. Where all targets omit framing, confirming each end would double the work of the
 * service and confirm nothing; where none is confirmed, callers take broken-off streams for whole ones. So ends are confirmed
 * while they are rare or turn out to be wrong, and sampled once they have been right several times in a row.
 */

/** Heads of streams to see before their framing counts as known. */
const minHeads = 10;
/** Weight of the latest head in the share of unframed streams. */
const headWeight = 1 / 20;
/** Share of unframed streams up to which each of their ends can be confirmed within the budget of retries. */
const maxRareShare = 0.1;
/** Ends that have to prove right in a row before only some are confirmed. */
const minConfirmedInRow = 3;
/** How long ends are doubtful after one was wrong, in milliseconds: longer than targets take to start again. */
const doubtMs = 5_000;
/** One in this many ends is confirmed afterwards. */
const sampledEnds = 16;

/** Follows the streams of one service at this entry (proxy process). */
export class UnframedEnds {
	private heads = 0;
	private unframedShare = 0;
	private confirmedInRow = 0;
	private unconfirmedEnds = 0;
	private refutedMs = Number.NEGATIVE_INFINITY;

	/** Records the head of a stream. */
	noteHead(isFramed: boolean): void {
		this.heads++;
		this.unframedShare += ((isFramed ? 0 : 1) - this.unframedShare) * headWeight;
	}

	/** Records that another target had nothing to add after an unframed end. */
	noteConfirmed(): void {
		this.confirmedInRow++;
	}

	/** Records that an unframed stream was broken off. */
	noteRefuted(nowMs: number): void {
		this.confirmedInRow = 0;
		this.refutedMs = nowMs;
	}

	/** Whether the last end that another target was asked about was wrong, a short while ago. */
	isDoubtful(nowMs: number): boolean {
		return this.confirmedInRow === 0 && nowMs - this.refutedMs <= doubtMs;
	}

	/** Whether an end is to be confirmed. Called once for each end. */
	takeConfirmation(): boolean {
		if (this.isRare() || this.confirmedInRow < minConfirmedInRow) {
			return true;
		}
		this.unconfirmedEnds++;
		return this.unconfirmedEnds % sampledEnds === 0;
	}

	private isRare(): boolean {
		return this.heads >= minHeads && this.unframedShare <= maxRareShare;
	}
}

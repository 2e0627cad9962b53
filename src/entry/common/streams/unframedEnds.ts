/**
 * Decides what to make of the ends of streams that have neither a length nor chunks. Such a stream ends with its
 * connection, whether it is whole or its target ended early.
 *
 * Another target can confirm the end: asked to resume after the last event, it sends what is missing, or ends with framing
 * at once. This costs a second run. Where all targets omit framing, confirming each end would double the work of the
 * service and confirm nothing; where none is confirmed, callers take broken-off streams for whole ones. So ends are confirmed
 * while they are rare or turn out to be wrong, and sampled once they have been right several times in a row.
 *
 * The caller of a stream that is cut can resume it and loses time; that of a stream that ends too early loses events and
 * never knows. So an end that nobody confirms is passed on only where nothing speaks against it, and where a caller that
 * resumes the stream would hardly get a certain end either: most streams of the service have no framing, and most
 * of its targets send none.
 */

/** Heads of streams to see before their framing counts as known. */
const minHeads = 10;
/** Weight of the latest head in the share of unframed streams. */
const recentHeadWeight = 1 / 20;
/** The same while targets may be failing: those that fail at the same time don't make ends without framing usual. */
const longHeadWeight = 1 / 100;
/** Framed heads that are assumed before the first one, so that no few heads make streams without framing usual. */
const assumedFramedHeads = 2;
/** Share of unframed streams up to which each of their ends can be confirmed within the budget of retries. */
const maxRareShare = 0.1;
/** Share of unframed streams above which a resumed stream is not likely to end with framing. */
const minUsualShare = 0.55;
/** Ends that have to prove right in a row before only some are confirmed. */
const minConfirmedInRow = 3;
/** Weight of the latest end in the share of wrong ones. One wrong end is made up for by three right ones. */
const verdictWeight = 1 / 8;
/** Share of wrong ends up to which only some are confirmed. */
const maxTrustedWrongShare = 0.1;
/** How long ends are doubtful after one was wrong, in milliseconds: longer than targets take to start again. */
const doubtMs = 5_000;
/** One in this many ends is confirmed afterwards. */
const sampledEnds = 16;
/** Targets that have to end a stream after the same event in place of a certain end. */
const minAgreeingTargets = 2;
/** The same while ends are doubtful, since targets that fail at the same time may end at the same event. */
const minAgreeingInDoubt = 3;

/** What is known of the end of one stream. */
export interface EndEvidence {
	/** Number of targets that ended the stream after its last event, none with framing. */
	readonly endedTargets: number;
	/** Whether a target that was to go on failed before it showed whether there are more events. */
	readonly hasConfirmationFailed: boolean;
	/** Whether a target broke the stream off visibly before, so that targets are failing now. */
	readonly isInterrupted: boolean;
	/** Whether the version that began the stream is not known, since its target ended its connections: no other one can be asked. */
	readonly isVersionUnknown: boolean;
	/** Whether another entry ran the stream and accepts its end. It knows more of its targets than this one. */
	readonly isAcceptedElsewhere: boolean;
	/** Whether a stream that is resumed is likely to get a target that sends framing, which proves its end. */
	readonly isProofLikely: boolean;
}

/** A moving share of unframed streams, in which the first heads all weigh the same. */
class UnframedShare {
	private heads = 0;
	private share = 0;

	constructor(private readonly headWeight: number) {}

	noteHead(isFramed: boolean): void {
		this.heads++;
		const weight = Math.max(this.headWeight, 1 / (this.heads + assumedFramedHeads));
		this.share += ((isFramed ? 0 : 1) - this.share) * weight;
	}

	isAbove(share: number): boolean {
		return this.share > share;
	}
}

/** Follows the streams of one service at this entry (proxy process). */
export class UnframedEnds {
	private heads = 0;
	private readonly recentShare = new UnframedShare(recentHeadWeight);
	private readonly longShare = new UnframedShare(longHeadWeight);
	private confirmedInRow = 0;
	private wrongShare = 0;
	private unconfirmedEnds = 0;
	private refutedMs = Number.NEGATIVE_INFINITY;

	/** Records the head of a stream. */
	noteHead(isFramed: boolean): void {
		this.heads++;
		this.recentShare.noteHead(isFramed);
		this.longShare.noteHead(isFramed);
	}

	/** Records that another target had nothing to add after an unframed end. */
	noteConfirmed(): void {
		this.confirmedInRow++;
		this.wrongShare -= this.wrongShare * verdictWeight;
	}

	/** Records that an unframed stream was broken off. */
	noteRefuted(nowMs: number): void {
		this.confirmedInRow = 0;
		this.wrongShare += (1 - this.wrongShare) * verdictWeight;
		this.refutedMs = nowMs;
	}

	/** Records that a target that was to confirm an end failed: others may fail as well, so no end is trusted for now. */
	noteConfirmationFailed(): void {
		this.confirmedInRow = 0;
	}

	/** Whether the last end that another target was asked about was wrong, a short while ago. */
	isDoubtful(nowMs: number): boolean {
		return this.confirmedInRow === 0 && nowMs - this.refutedMs <= doubtMs;
	}

	/** Whether an end is to be confirmed. Called once for each end. */
	takeConfirmation(): boolean {
		if (this.isRare() || !this.isTrusted()) {
			return true;
		}
		this.unconfirmedEnds++;
		return this.unconfirmedEnds % sampledEnds === 0;
	}

	/** Whether the targets that ended a stream after the same event prove that it is whole. */
	isProved({ endedTargets, isInterrupted }: EndEvidence, nowMs: number): boolean {
		const minTargets = this.isDoubtful(nowMs) ? minAgreeingInDoubt : minAgreeingTargets;
		const isExpected = isInterrupted ? this.isLongUsual() : !this.isRare();
		return isExpected && endedTargets >= minTargets;
	}

	/** Whether the caller of a stream that can be resumed may get its end though no other target confirms it now. */
	isAcceptable(evidence: EndEvidence, nowMs: number): boolean {
		if (this.isProved(evidence, nowMs)) {
			return true;
		}
		const isSuspect = evidence.hasConfirmationFailed || this.isRare() || this.isDoubtful(nowMs);
		const mayTargetsFail = evidence.isInterrupted || evidence.isVersionUnknown;
		const isUsual = mayTargetsFail ? this.isLongUsual() : this.isUsual();
		const isHabit = isUsual && !evidence.isProofLikely;
		return !isSuspect && (evidence.isAcceptedElsewhere || isHabit || this.isTrusted());
	}

	private isTrusted(): boolean {
		return this.confirmedInRow >= minConfirmedInRow && this.wrongShare <= maxTrustedWrongShare;
	}

	private isUsual(): boolean {
		return this.recentShare.isAbove(minUsualShare);
	}

	private isLongUsual(): boolean {
		return this.longShare.isAbove(minUsualShare);
	}

	private isRare(): boolean {
		return this.heads >= minHeads && !this.recentShare.isAbove(maxRareShare);
	}
}

/**
 * The closed lists of label values that have no enum of their own elsewhere.
 */

export enum TicketResult {
	Issued = 'issued',
	/** Spent on a call that was dispatched. */
	Spent = 'spent',
	/** Spent by telling the caller `not-run`. */
	Refused = 'refused',
	/** Sent again while its call ran; the answer is shared. */
	Joined = 'joined',
	/** Sent again after its call; the kept answer, or the refusal that the call ended with, was given. */
	Replayed = 'replayed',
	/** Carried to its issuer in the same region. */
	Forwarded = 'forwarded',
	/** Not taken: answered with a `ticket-…` error kind, or with `unknown` before its body was read. */
	Rejected = 'rejected',
}

export enum ManifestResult {
	Accepted = 'accepted',
	/** Does not pass the check; the one in force stays. */
	Refused = 'refused',
	/** Lower than or equal to the one in force. */
	Old = 'old',
	/** The version in force with another digest. */
	Conflict = 'conflict',
}

export enum PlatformReadKind {
	Manifest = 'manifest',
	Instances = 'instances',
	Directory = 'directory',
}

export enum ReadResult {
	Fresh = 'fresh',
	/** A watch that ended without news. */
	Unchanged = 'unchanged',
	/** Refused by the platform's rate limit. */
	Refused = 'refused',
	Failed = 'failed',
	/** The answer showed that the store was restored from an older copy. */
	Restored = 'restored',
}

export enum ExchangeResult {
	Done = 'done',
	Failed = 'failed',
	TimedOut = 'timed-out',
}

export enum ByteDirection {
	Sent = 'sent',
	Received = 'received',
}

export enum SentAwayResult {
	Answered = 'answered',
	/** Refused there unrun; decided again here. */
	Refused = 'refused',
	Failed = 'failed',
}

/** The label of a service that the manifest does not name. */
export const otherService = 'other';

/** The value of `error` for a request that was answered by its target. */
export const noError = 'none';

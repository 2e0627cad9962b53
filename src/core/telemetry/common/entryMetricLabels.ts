/**
 * Closed lists of metric label values that are not defined by an enum elsewhere.
 */

export enum TicketResult {
	Issued = 'issued',
	/** Used for a call that was dispatched. */
	Spent = 'spent',
	/** Used up by answering the caller with `not-run`. */
	Refused = 'refused',
	/** Sent again while its call was running; both requests get the same answer. */
	Joined = 'joined',
	/** Sent again after its call ended; answered with the stored answer or refusal of that call. */
	Replayed = 'replayed',
	/** Forwarded to the entry of the same region that issued the ticket. */
	Forwarded = 'forwarded',
	/** Answered with an error kind `ticket-…`, or with the outcome `unknown` before the request body was read. */
	Rejected = 'rejected',
}

export enum ManifestResult {
	Accepted = 'accepted',
	/** Failed validation; the current manifest stays in force. */
	Refused = 'refused',
	/** The version is lower than or equal to the version in force. */
	Old = 'old',
	/** The version equals the version in force, but the digest differs. */
	Conflict = 'conflict',
}

export enum PlatformReadKind {
	Manifest = 'manifest',
	Instances = 'instances',
	Directory = 'directory',
}

export enum ReadResult {
	Fresh = 'fresh',
	/** A watch that ended without a change. */
	Unchanged = 'unchanged',
	/** Rejected by the rate limit of the platform. */
	Refused = 'refused',
	/** Answered by an entry that watches the platform for this one. */
	Relayed = 'relayed',
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

/** What became of requests of organisations with a limit. */
export enum LimitResult {
	Admitted = 'admitted',
	Refused = 'refused',
	/** Admitted and then not run. */
	Credited = 'credited',
}

export enum LimitMessageKind {
	/** From an entry to the coordinator of its zone. */
	Report = 'report',
	/** From one coordinator to another. */
	Sums = 'sums',
}

export enum LimitMessageResult {
	Done = 'done',
	Failed = 'failed',
	/** The receiver is of a release without shared limits. */
	Unsupported = 'unsupported',
}

export enum SentAwayResult {
	Answered = 'answered',
	/** Refused by the other region without running; this entry decides again how to run the request. */
	Refused = 'refused',
	Failed = 'failed',
}

/** The value of `service` for services that are not in the manifest. */
export const otherServiceLabel = 'other';

/** The value of `error` for requests that were answered by their target. */
export const noErrorLabel = 'none';

/**
 * The closed list of error kinds, with the answer for each kind. Code that refuses or fails a request only selects a
 * kind. Its HTTP status, outcome and message are defined here, so that the same error is always answered in the same
 * way.
 */

import { Outcome } from './outcome';

/** All reasons for which a request can end without a complete answer. */
export enum ErrorKind {
	UnknownRoute = 'unknown-route',
	UnknownService = 'unknown-service',
	OrganisationMissing = 'organisation-missing',
	OrganisationUnknown = 'organisation-unknown',
	KeyUnknown = 'key-unknown',
	KeyUnconfirmed = 'key-unconfirmed',
	LimitReached = 'limit-reached',
	MalformedDeadline = 'malformed-deadline',
	MalformedClass = 'malformed-class',
	MalformedHeader = 'malformed-header',
	HeadTooLarge = 'head-too-large',
	BodyTooLarge = 'body-too-large',
	BodyIncomplete = 'body-incomplete',
	WrongRegion = 'wrong-region',
	TicketMissing = 'ticket-missing',
	TicketForged = 'ticket-forged',
	TicketExpired = 'ticket-expired',
	TicketReused = 'ticket-reused',
	TicketAnswerGone = 'ticket-answer-gone',
	TicketIssuerGone = 'ticket-issuer-gone',
	NoManifest = 'no-manifest',
	NoTarget = 'no-target',
	StreamUnknown = 'stream-unknown',
	VersionNotServed = 'version-not-served',
	Leaving = 'leaving',
	EntryFull = 'entry-full',
	OrganisationOverShare = 'organisation-over-share',
	Overloaded = 'overloaded',
	DeadlineUnreachable = 'deadline-unreachable',
	Quarantined = 'quarantined',
	TargetRefused = 'target-refused',
	TargetFailed = 'target-failed',
	TargetSilent = 'target-silent',
	AnswerCrossed = 'answer-crossed',
	DeadlineExceeded = 'deadline-exceeded',
	PeerUnreachable = 'peer-unreachable',
	PeerFailed = 'peer-failed',
	CallerGone = 'caller-gone',
	Internal = 'internal',
}

/** The answer to a request that ended with an error kind. */
export interface ErrorAnswer {
	/** HTTP status of the answer. */
	readonly status: number;
	/** Whether the request may have run. No answer with this kind makes a stronger claim. */
	readonly outcome: Outcome;
	/** Whether the same request can succeed later; such answers have a `Retry-After` header. */
	readonly isTemporary: boolean;
	/** One sentence for the caller. */
	readonly message: string;
}

function createAnswer(status: number, outcome: Outcome, isTemporary: boolean, message: string): ErrorAnswer {
	return { status, outcome, isTemporary, message };
}

const { NotRun, Unknown } = Outcome;

/** The answer for each kind; the only place that defines the status and the outcome of an error. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
	[ErrorKind.UnknownRoute]: createAnswer(
		404,
		NotRun,
		false,
		'No such route; see /v1/entries and /v1/services.',
	),
	[ErrorKind.UnknownService]: createAnswer(404, NotRun, false, 'The manifest names no such service.'),
	[ErrorKind.OrganisationMissing]: createAnswer(
		400,
		NotRun,
		false,
		'The anvilroad-organisation header is missing.',
	),
	[ErrorKind.OrganisationUnknown]: createAnswer(
		403,
		NotRun,
		false,
		'The manifest names no such organisation.',
	),
	[ErrorKind.KeyUnknown]: createAnswer(
		401,
		NotRun,
		false,
		'The request has no key, or one that belongs to no organisation.',
	),
	[ErrorKind.KeyUnconfirmed]: createAnswer(
		503,
		NotRun,
		true,
		'This entry cannot confirm at present that the key is still valid.',
	),
	[ErrorKind.LimitReached]: createAnswer(429, NotRun, true, "The organisation's limit is reached."),
	[ErrorKind.MalformedDeadline]: createAnswer(
		400,
		NotRun,
		false,
		'The anvilroad-deadline-ms header is not a whole number of milliseconds in the allowed range.',
	),
	[ErrorKind.MalformedClass]: createAnswer(
		400,
		NotRun,
		false,
		'The anvilroad-class header is none of urgent, normal, draft.',
	),
	[ErrorKind.MalformedHeader]: createAnswer(400, NotRun, false, 'A request header cannot be read.'),
	[ErrorKind.HeadTooLarge]: createAnswer(431, NotRun, false, 'The request head is larger than allowed.'),
	[ErrorKind.BodyTooLarge]: createAnswer(413, NotRun, false, 'The request body is larger than allowed.'),
	[ErrorKind.BodyIncomplete]: createAnswer(
		400,
		NotRun,
		false,
		'The request body ended before it was complete.',
	),
	[ErrorKind.WrongRegion]: createAnswer(
		421,
		NotRun,
		false,
		'This request belongs to another region; send it to one of the named entries.',
	),
	[ErrorKind.TicketMissing]: createAnswer(
		428,
		NotRun,
		false,
		'This call runs at most once and needs a ticket; GET /v1/entries gives some.',
	),
	[ErrorKind.TicketForged]: createAnswer(400, NotRun, false, 'The ticket was not issued by this system.'),
	[ErrorKind.TicketExpired]: createAnswer(
		410,
		Unknown,
		false,
		'The ticket has expired; an earlier send may have run.',
	),
	[ErrorKind.TicketReused]: createAnswer(409, Unknown, false, 'The ticket was spent on a different request.'),
	[ErrorKind.TicketAnswerGone]: createAnswer(
		409,
		Unknown,
		false,
		'The ticket was spent before and its answer is no longer kept.',
	),
	[ErrorKind.TicketIssuerGone]: createAnswer(
		409,
		Unknown,
		false,
		'The instance that issued the ticket is gone; an earlier send may have run.',
	),
	[ErrorKind.NoManifest]: createAnswer(503, NotRun, true, 'This entry has no manifest yet.'),
	[ErrorKind.NoTarget]: createAnswer(503, NotRun, true, 'No target of the service is in use.'),
	[ErrorKind.StreamUnknown]: createAnswer(
		503,
		NotRun,
		true,
		'The software version that began this stream is not known; send the request again from its start.',
	),
	[ErrorKind.VersionNotServed]: createAnswer(
		503,
		NotRun,
		true,
		'No target in use runs the software version that began this stream.',
	),
	[ErrorKind.Leaving]: createAnswer(
		503,
		NotRun,
		true,
		'This entry is leaving; send to one of the named entries.',
	),
	[ErrorKind.EntryFull]: createAnswer(503, NotRun, true, 'This entry holds as many request bytes as it may.'),
	[ErrorKind.OrganisationOverShare]: createAnswer(429, NotRun, true, 'The organisation is over its share.'),
	[ErrorKind.Overloaded]: createAnswer(503, NotRun, true, 'The queue of the service is full.'),
	[ErrorKind.DeadlineUnreachable]: createAnswer(
		503,
		NotRun,
		true,
		'The answer could not be there by the deadline.',
	),
	[ErrorKind.Quarantined]: createAnswer(
		422,
		NotRun,
		true,
		'Targets died while running this request; it is refused for some minutes.',
	),
	[ErrorKind.TargetRefused]: createAnswer(
		503,
		NotRun,
		true,
		'Every target that was asked refused the request without running it.',
	),
	[ErrorKind.TargetFailed]: createAnswer(
		502,
		Unknown,
		false,
		'The target failed before its answer was complete.',
	),
	[ErrorKind.TargetSilent]: createAnswer(
		504,
		Unknown,
		false,
		'The target stopped sending before its answer was complete.',
	),
	[ErrorKind.AnswerCrossed]: createAnswer(
		502,
		Unknown,
		false,
		"The target's answer belonged to another attempt.",
	),
	[ErrorKind.DeadlineExceeded]: createAnswer(
		504,
		Unknown,
		false,
		'The deadline passed while the request ran.',
	),
	[ErrorKind.PeerUnreachable]: createAnswer(
		503,
		NotRun,
		true,
		'The entry that must take this request is unreachable.',
	),
	[ErrorKind.PeerFailed]: createAnswer(502, Unknown, false, 'The entry that took this request over failed.'),
	[ErrorKind.CallerGone]: createAnswer(
		499,
		Unknown,
		false,
		'The caller disconnected before its answer was complete.',
	),
	[ErrorKind.Internal]: createAnswer(500, Unknown, false, 'A fault of the entry itself.'),
};

/** An entry that callers can send requests to, as listed in lookups and refusals. */
export interface AdvertisedEntry {
	readonly instance: string;
	readonly region: string;
	readonly zone: string;
	/** The base URL for callers. */
	readonly url: string;
}

/** An error with details for operators; the answer to the caller is determined by the kind. */
export interface RequestError {
	readonly kind: ErrorKind;
	/** The details as text: which header, which target, which limit. Contains no part of a body. */
	readonly detail: string;
	/** Milliseconds after which the caller should retry, for temporary errors. */
	readonly retryAfterMs?: number;
	/**
	 * Replaces the outcome of the kind by `unknown`, never by a stronger claim. Used, for example, if an entry cannot
	 * confirm that the issuer of a ticket did not run the request.
	 */
	readonly isOutcomeUnknown?: boolean;
	/** The entries to which the caller should send the request instead. */
	readonly entries?: readonly AdvertisedEntry[];
}

/** Creates an error; `options` are the optional properties. */
export function createRequestError(
	kind: ErrorKind,
	detail: string,
	options: Omit<RequestError, 'kind' | 'detail'> = {},
): RequestError {
	return { kind, detail, ...options };
}

/** Returns the outcome in the answer to the caller. */
export function getOutcomeOf(error: RequestError): Outcome {
	return error.isOutcomeUnknown === true ? Outcome.Unknown : errorAnswers[error.kind].outcome;
}

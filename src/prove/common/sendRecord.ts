/**
 * The callers' records of a campaign: one for each send, with the outcome that the answer reported.
 */

import type { CallAnswer } from '../../demo/common/caller';
import { getErrorKind, getOutcome, getText } from '../../demo/common/caller';

/** The kinds of calls that a campaign sends. */
export enum CallKind {
	/** Runs at most once and carries a ticket. */
	Payment = 'payment',
	/** May be run repeatedly. The service counts its runs. */
	Check = 'check',
	/** Its body must be returned byte for byte. */
	Echo = 'echo',
	/** Answered by a stream of tokens that are known in advance. */
	Draft = 'draft',
	/** A check that must run in its home region, sent to an entry of another region. */
	Misdirected = 'misdirected',
	/** Its body crashes the target that runs it. */
	Crash = 'crash',
	/** Carries a key that the manifest in force no longer has. */
	Withdrawn = 'withdrawn',
	/** Of an organisation that sends more than its limit. */
	Overloading = 'overloading',
}

/** The phases of a campaign. No call of the campaign's callers is in progress between two phases. */
export enum Phase {
	/** No fault is injected. */
	Calm = 'calm',
	/** Faults of all kinds are injected, several at the same time. */
	Faults = 'faults',
	/** Entries are stopped and started again. No other fault is injected. */
	Replacement = 'replacement',
}

/** The outcome of one send as reported to its caller. */
export enum SendOutcome {
	Answered = 'answered',
	NotRun = 'not-run',
	Unknown = 'unknown',
	/** The head of an answer arrived, and an error occurred before the end of the body. */
	Incomplete = 'cut',
	/** No head arrived: the connection was refused or failed, or the call timed out. */
	NoResponse = 'nothing',
	/** A head arrived that reports no outcome. Entries must never send one. */
	MissingOutcome = 'untold',
}

/** The part of a send's record that is known before the answer. */
export interface PlannedSend {
	/** Id that the caller gives to the call. All sends of the call share it. */
	readonly callId: string;
	readonly kind: CallKind;
	/** Region in which the call must run, or undefined if it may run in any region. */
	readonly home: string | undefined;
	/** Instance and region of the entry that the call is sent to. */
	readonly entry: string;
	readonly region: string;
	readonly isTicketed: boolean;
	readonly phase: Phase;
}

/** One send and its result. */
export interface SendRecord extends PlannedSend {
	readonly told: SendOutcome;
	readonly status: number;
	readonly errorKind: string;
	/** Whether the answer is the one that the call must get. Meaningful only if `told` is `answered`. */
	readonly isExpected: boolean;
	/** The answer's text, used to compare the answers to several sends of a call. Empty for long bodies. */
	readonly text: string;
	readonly fault: string;
	/** Start and duration of the send, in milliseconds on the campaign's clock. */
	readonly startMs: number;
	readonly tookMs: number;
}

/** The `fault` of a send that got no answer until long after its deadline. */
export const callerGaveUpFault = 'the caller gave up';

const maxTextBytes = 1_024;

const outcomesByHeader: ReadonlyMap<string, SendOutcome> = new Map([
	['answered', SendOutcome.Answered],
	['not-run', SendOutcome.NotRun],
	['unknown', SendOutcome.Unknown],
]);

/** Determines the outcome that an answer reports. */
export function parseSendOutcome(answer: CallAnswer): SendOutcome {
	if (answer.status === 0) {
		return SendOutcome.NoResponse;
	}
	if (answer.fault !== '') {
		return SendOutcome.Incomplete;
	}
	return outcomesByHeader.get(getOutcome(answer)) ?? SendOutcome.MissingOutcome;
}

/** Creates the record of a send that was answered or has failed. */
export function createSendRecord(
	planned: PlannedSend,
	answer: CallAnswer,
	isExpected: boolean,
	startMs: number,
): SendRecord {
	return {
		...planned,
		told: parseSendOutcome(answer),
		status: answer.status,
		errorKind: getErrorKind(answer),
		isExpected,
		text: answer.body.length > maxTextBytes ? '' : getText(answer),
		fault: answer.fault,
		startMs,
		tookMs: answer.tookMs,
	};
}

/**
 * The caller's view of a campaign: one record for each send, with what the caller was told.
 */

import type { CallAnswer } from '../../demo/common/caller';
import { getErrorKind, getOutcome, getText } from '../../demo/common/caller';

/** What kind of call a send belongs to. */
export enum CallKind {
	/** Runs at most once and carries a ticket. */
	Payment = 'payment',
	/** May be repeated; the service counts its runs. */
	Check = 'check',
	/** A body that comes back byte for byte. */
	Echo = 'echo',
	/** A stream of tokens that are known beforehand. */
	Draft = 'draft',
	/** A bound check that is sent to an entry of another region. */
	Misdirected = 'misdirected',
	/** A body that kills the target that runs it. */
	Crash = 'crash',
}

/** The parts of a campaign; no call is in progress when one gives way to the next. */
export enum Phase {
	/** No fault is injected. */
	Calm = 'calm',
	/** Faults of all kinds, several at once. */
	Faults = 'faults',
	/** Every entry is stopped and started again; nothing else goes wrong. */
	Replacement = 'replacement',
}

/** What a caller was told about one send. */
export enum Told {
	Answered = 'answered',
	NotRun = 'not-run',
	Unknown = 'unknown',
	/** The head of an answer came, and an error before the end of the body. */
	Cut = 'cut',
	/** No head came: the connection was refused or broke, or the caller waited in vain. */
	Nothing = 'nothing',
	/** A head came that tells no outcome; entries never send one. */
	Untold = 'untold',
}

/** What is known of a send before it is answered. */
export interface PlannedSend {
	/** The caller's own id of the call; resends share it. */
	readonly callId: string;
	readonly kind: CallKind;
	/** Region that the call is bound to, undefined where any may answer. */
	readonly home: string | undefined;
	/** Instance and region of the entry that it is sent to. */
	readonly entry: string;
	readonly region: string;
	readonly isTicketed: boolean;
	readonly phase: Phase;
}

/** One send and what came of it. */
export interface SendRecord extends PlannedSend {
	readonly told: Told;
	readonly status: number;
	readonly errorKind: string;
	/** Whether the body is the one that the call must get; means nothing unless `told` is `answered`. */
	readonly isExpected: boolean;
	/** The answer's text, for comparing the answers to resends; empty for long bodies. */
	readonly text: string;
	readonly fault: string;
	/** Start of the send and its length, in milliseconds on the campaign's clock. */
	readonly startMs: number;
	readonly tookMs: number;
}

/** The fault of a send whose caller gave up, long after its deadline. */
export const gaveUp = 'the caller gave up';

const longestTextBytes = 1_024;

const toldByOutcome: ReadonlyMap<string, Told> = new Map([
	['answered', Told.Answered],
	['not-run', Told.NotRun],
	['unknown', Told.Unknown],
]);

/** What an answer tells its caller. */
export function parseTold(answer: CallAnswer): Told {
	if (answer.status === 0) {
		return Told.Nothing;
	}
	if (answer.fault !== '') {
		return Told.Cut;
	}
	return toldByOutcome.get(getOutcome(answer)) ?? Told.Untold;
}

/** Makes the record of an answered send. */
export function createSendRecord(
	planned: PlannedSend,
	answer: CallAnswer,
	isExpected: boolean,
	startMs: number,
): SendRecord {
	return {
		...planned,
		told: parseTold(answer),
		status: answer.status,
		errorKind: getErrorKind(answer),
		isExpected,
		text: answer.body.length > longestTextBytes ? '' : getText(answer),
		fault: answer.fault,
		startMs,
		tookMs: answer.tookMs,
	};
}

/**
 * The request journal: every decision on the newest requests, kept in a ring buffer. `anvilroadctl explain REQUEST_ID`
 * shows an operator what happened to a request and why.
 */

import type { RequestId } from '../../ids/common/ids';

/** The steps of processing a request. */
export enum JournalStep {
	Received = 'received',
	Refused = 'refused',
	Queued = 'queued',
	SentAway = 'sent-away',
	Started = 'started',
	HandedOver = 'handed-over',
	FirstByte = 'first-byte',
	/** The head of an answer that goes on with one that has begun. */
	Continued = 'continued',
	ForwardEnded = 'forward-ended',
	AttemptEnded = 'attempt-ended',
	Retried = 'retried',
	Ended = 'ended',
}

/** One step of one request. */
export interface RecordedStep {
	/** Milliseconds since the request arrived. */
	readonly sinceArrivalMs: number;
	readonly step: JournalStep;
	/** The reason for the step, as text. Contains no part of a request or answer body. */
	readonly detail: string;
}

/** The recorded steps of one request. */
export interface RequestRecord {
	readonly id: RequestId;
	readonly at: Date;
	readonly service: string;
	readonly organisation: string;
	readonly requestClass: string;
	readonly entries: readonly RecordedStep[];
}

/** Creates, extends and finds request records. */
export interface IRequestJournal {
	open(
		id: RequestId,
		request: Pick<RequestRecord, 'service' | 'organisation' | 'requestClass'>,
		nowMs: number,
	): void;
	addStep(id: RequestId, step: JournalStep, detail: string, nowMs: number): void;
	find(id: RequestId): RequestRecord | undefined;
	/** The arrival time that was passed to `open` as `nowMs`; undefined if the record no longer exists. */
	getArrivedMs(id: RequestId): number | undefined;
}

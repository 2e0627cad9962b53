/**
 * The lifecycle of one request at one entry, as a state machine, and the outcome that its caller may be
 * given when it ends. The most important rule is in the transitions: once the head of an attempt was handed
 * to a socket, the request may have run, and only an explicit refusal by the target or peer that received it
 * leads back to a state in which `not-run` is true.
 *
 * A request can have several attempts in sequence. If one of them failed and a later one was refused, the
 * refusal applies to the later attempt only. The earlier one may still have run, and a caller that was told
 * `not-run` would send a payment again. The chart therefore has these states twice: plain, and with the
 * suffix `InDoubt` after an attempt that failed without an explicit refusal. No transition leads from an
 * `InDoubt` state to a plain one or to `notRun`, so no separate flag has to be kept consistent with the
 * chart.
 */

import chartFile from '../../../../charts/request.json';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { TypedChart, TypedStateMachine } from '../../../core/charts/common/typedChart';

/** The states of the request chart. */
export enum RequestState {
	/** The head has arrived and is not checked yet. */
	Received = 'received',
	/** The head is valid, and the body is being read. */
	Reading = 'reading',
	Queued = 'queued',
	/** A target is chosen, and nothing has been written to it. */
	Connecting = 'connecting',
	/** The attempt's head was handed to a socket, so the target may run it. */
	HandedOver = 'handedOver',
	/** Another entry is chosen, and nothing has been written to it. */
	ConnectingPeer = 'connectingPeer',
	/** The head was handed to the connection to another entry. */
	HandedToPeer = 'handedToPeer',
	/** Waits for the answer to an earlier request with the same ticket. */
	Joined = 'joined',
	QueuedInDoubt = 'queuedInDoubt',
	ConnectingInDoubt = 'connectingInDoubt',
	HandedOverInDoubt = 'handedOverInDoubt',
	ConnectingPeerInDoubt = 'connectingPeerInDoubt',
	HandedToPeerInDoubt = 'handedToPeerInDoubt',
	/** The first byte of an answer was sent to the caller. */
	Answering = 'answering',
	Answered = 'answered',
	NotRun = 'notRun',
	Unknown = 'unknown',
}

/** The events that cause transitions of the request chart. */
export enum RequestEvent {
	AcceptHead = 'AcceptHead',
	/** The body is complete, and the request is in the scheduler's queue. */
	Enqueue = 'Enqueue',
	/** The scheduler chose a target. */
	Start = 'Start',
	/** The request is forwarded to another entry, either in another region or the issuer of its ticket. */
	SendAway = 'SendAway',
	/** An earlier request with the same ticket is still running. */
	Join = 'Join',
	/** The cached answer to an earlier request with the same ticket is sent. */
	Replay = 'Replay',
	/** No connection could be opened, so nothing was sent. */
	NotConnected = 'NotConnected',
	/** Raised just before the first byte of the head is written, never after. */
	HandOver = 'HandOver',
	/** The target reported that it did not run the attempt. */
	TargetRefused = 'TargetRefused',
	/** The peer reported `not-run`. If it reports `unknown`, the event is `Fail` or `Retry`. */
	PeerRefused = 'PeerRefused',
	/** The joined run ended `not-run`. */
	RunRefused = 'RunRefused',
	/** The attempt failed without an explicit refusal, and another attempt follows. */
	Retry = 'Retry',
	/** The attempt failed without an explicit refusal, or the deadline passed during it. The request ends. */
	Fail = 'Fail',
	FirstByte = 'FirstByte',
	LastByte = 'LastByte',
	/** The answer has ended with its connection, and no other target has shown that it is incomplete. */
	AcceptEnd = 'AcceptEnd',
	/** The answer was interrupted, and another target will continue it. */
	Interrupt = 'Interrupt',
	/** This entry gives up the request while no attempt is in progress. */
	Refuse = 'Refuse',
	CallerGone = 'CallerGone',
}

/** The state machine that every request follows. */
export const requestChart = new TypedChart(chartFile, RequestState, RequestEvent);

const outcomesByState: Readonly<Record<RequestState, Outcome>> = {
	[RequestState.Received]: Outcome.NotRun,
	[RequestState.Reading]: Outcome.NotRun,
	[RequestState.Queued]: Outcome.NotRun,
	[RequestState.Connecting]: Outcome.NotRun,
	[RequestState.HandedOver]: Outcome.Unknown,
	[RequestState.ConnectingPeer]: Outcome.NotRun,
	[RequestState.HandedToPeer]: Outcome.Unknown,
	[RequestState.Joined]: Outcome.Unknown,
	[RequestState.QueuedInDoubt]: Outcome.Unknown,
	[RequestState.ConnectingInDoubt]: Outcome.Unknown,
	[RequestState.HandedOverInDoubt]: Outcome.Unknown,
	[RequestState.ConnectingPeerInDoubt]: Outcome.Unknown,
	[RequestState.HandedToPeerInDoubt]: Outcome.Unknown,
	[RequestState.Answering]: Outcome.Unknown,
	[RequestState.Answered]: Outcome.Answered,
	[RequestState.NotRun]: Outcome.NotRun,
	[RequestState.Unknown]: Outcome.Unknown,
};

/** The outcome of a request that ends, or would end, in this state. */
export function getOutcomeOfState(state: RequestState): Outcome {
	return outcomesByState[state];
}

/** The current state of one request on the chart. */
export class RequestLifecycle {
	private readonly walk = new TypedStateMachine(requestChart);

	getState(): RequestState {
		return this.walk.getState();
	}

	isEnded(): boolean {
		return this.walk.isEnded();
	}

	/** Applies an event. Throws a ChartError if the current state has no transition for it. */
	send(event: RequestEvent): RequestState {
		return this.walk.send(event);
	}

	/** The outcome that the caller may be given if the request ended now. */
	getOutcome(): Outcome {
		return getOutcomeOfState(this.walk.getState());
	}

	/**
	 * Ends the request without a complete answer and returns the error to send to the caller. The table of
	 * error kinds does not depend on the request's history, but the outcome does: `Overloaded` is `not-run`
	 * for a request that just arrived and `unknown` for one whose first attempt failed. The weaker outcome is
	 * used.
	 */
	refuse(error: RequestError): RequestError {
		this.end();
		const mayHaveRun = this.getOutcome() !== Outcome.NotRun;
		return mayHaveRun && getOutcomeOf(error) === Outcome.NotRun
			? { ...error, isOutcomeUnknown: true }
			: error;
	}

	private end(): void {
		if (this.walk.isEnded()) {
			return;
		}
		if (!this.walk.accept(RequestEvent.Refuse)) {
			this.walk.send(RequestEvent.Fail);
		}
	}
}

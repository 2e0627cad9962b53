/**
 * The life of one request at one entry, and what its caller may be told when it ends. The chart carries
 * the rule that matters most: once the head of an attempt was handed to a socket, the request may have
 * run, and only the word of the target or the peer that got it leads back to where `not-run` is honest.
 *
 * A request can have several attempts, one after the other. If one of them failed and a later one was
 * refused, the refusal clears the later attempt only; the earlier one may still have run, and a caller told
 * `not-run` would send a payment again. The chart therefore has each state twice: plain, and `InDoubt`
 * after an attempt that failed without a word. No edge leads from the second set back to the first, and
 * none from it to `notRun`, so no flag beside the chart has to be kept in step with it.
 */

import chartFile from '../../../../charts/request.json';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { TypedChart, TypedStateMachine } from '../../../core/charts/common/typedChart';

export enum RequestState {
	/** The head is there and not yet checked. */
	Received = 'received',
	/** The head is good; the body is being read. */
	Reading = 'reading',
	Queued = 'queued',
	/** A target was chosen; nothing was written to it. */
	Connecting = 'connecting',
	/** The attempt's head was given to a socket: the target may run it. */
	HandedOver = 'handedOver',
	/** Another entry was chosen; nothing was written to it. */
	ConnectingPeer = 'connectingPeer',
	/** The head was given to the connection to another entry. */
	HandedToPeer = 'handedToPeer',
	/** Waits for the answer of an earlier send with the same ticket. */
	Joined = 'joined',
	QueuedInDoubt = 'queuedInDoubt',
	ConnectingInDoubt = 'connectingInDoubt',
	HandedOverInDoubt = 'handedOverInDoubt',
	ConnectingPeerInDoubt = 'connectingPeerInDoubt',
	HandedToPeerInDoubt = 'handedToPeerInDoubt',
	/** The first byte of an answer was given to the caller. */
	Answering = 'answering',
	Answered = 'answered',
	NotRun = 'notRun',
	Unknown = 'unknown',
}

export enum RequestEvent {
	AcceptHead = 'AcceptHead',
	/** The body is whole and the scheduler has the request. */
	Enqueue = 'Enqueue',
	/** The scheduler chose a target. */
	Start = 'Start',
	/** The request goes to another entry: another region's, or its ticket's issuer. */
	SendAway = 'SendAway',
	/** An earlier send with the same ticket is still running. */
	Join = 'Join',
	/** The kept answer of an earlier send with the same ticket is delivered. */
	Replay = 'Replay',
	/** No connection could be opened, so no byte left. */
	NotConnected = 'NotConnected',
	/** Sent just before the first byte of the head is written, never after. */
	HandOver = 'HandOver',
	/** The target said that it did not run the attempt. */
	TargetRefused = 'TargetRefused',
	/** The peer said `not-run` itself; a peer's `unknown` is `Fail` or `Retry`. */
	PeerRefused = 'PeerRefused',
	/** The joined run ended `not-run`. */
	RunRefused = 'RunRefused',
	/** The attempt failed without a word from the other end, and another one will be made. */
	Retry = 'Retry',
	/** The attempt failed without a word from the other end, or the deadline passed during it; the end. */
	Fail = 'Fail',
	FirstByte = 'FirstByte',
	LastByte = 'LastByte',
	/** The answer broke off, and another target will go on with it. */
	Interrupt = 'Interrupt',
	/** This entry gives the request up while no attempt is under way. */
	Refuse = 'Refuse',
	CallerGone = 'CallerGone',
}

/** The chart that every request follows. */
export const requestChart = new TypedChart(chartFile, RequestState, RequestEvent);

const outcomesOfStates: Readonly<Record<RequestState, Outcome>> = {
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

/** What may be said of a request that ends in this state, or that would end now. */
export function getOutcomeOfState(state: RequestState): Outcome {
	return outcomesOfStates[state];
}

/** One request's walk on the chart. */
export class RequestLife {
	private readonly walk = new TypedStateMachine(requestChart);

	getState(): RequestState {
		return this.walk.getState();
	}

	isEnded(): boolean {
		return this.walk.isEnded();
	}

	/** Follows an event's edge; an event that the state has no edge for is a ChartError. */
	send(event: RequestEvent): RequestState {
		return this.walk.send(event);
	}

	/** What the caller may be told if the request ended now. */
	getOutcome(): Outcome {
		return getOutcomeOfState(this.walk.getState());
	}

	/**
	 * Ends the request without its whole answer and gives the fault as the caller may be told it. The table
	 * of kinds knows the kind only, not what went before: `Overloaded` is `not-run` for a request that just
	 * arrived and `unknown` for one whose first attempt broke. The weaker of the two claims is made.
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

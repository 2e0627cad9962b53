/**
 * Maps the end of an attempt to events of its request's state machine.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { ErrorKind } from '../../../core/errors/common/errorKinds';
import { RequestEvent, RequestState } from '../../common/requests/requestLifecycle';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { RequestRun } from './requestRun';

const retryEvents: Readonly<Partial<Record<AttemptEnd, RequestEvent>>> = {
	[AttemptEnd.TargetRefused]: RequestEvent.TargetRefused,
	[AttemptEnd.NotConnected]: RequestEvent.NotConnected,
	[AttemptEnd.Failed]: RequestEvent.Retry,
	[AttemptEnd.Erred]: RequestEvent.Retry,
	[AttemptEnd.Silent]: RequestEvent.Retry,
	[AttemptEnd.Unconfirmed]: RequestEvent.Retry,
};

/** Sends the event for a request that the scheduler will retry after this end of an attempt. */
export function sendRetryEvent(run: RequestRun, end: AttemptEnd): void {
	const event = isAnswering(run) ? RequestEvent.Interrupt : retryEvents[end];
	if (event !== undefined) {
		run.lifecycle.send(event);
	}
}

/** Whether the current attempt has started to answer; only the failure of such an attempt interrupts an answer. */
export function isAnswering(run: RequestRun): boolean {
	return run.lifecycle.getState() === RequestState.Answering;
}

/** Ends a request whose last attempt gave no complete answer. Does nothing if the request has already ended. */
export function endUnanswered(run: RequestRun, error: RequestError | undefined): void {
	if (error === undefined || run.hasEnded()) {
		return;
	}
	if (error.kind === ErrorKind.CallerGone) {
		run.abandon();
		return;
	}
	markNotRun(run, error);
	run.fail(error);
}

/** Records that the last attempt was not run, even without a retry: the caller may then receive `not-run`. */
function markNotRun(run: RequestRun, error: RequestError): void {
	if (error.kind === ErrorKind.TargetRefused) {
		run.lifecycle.send(RequestEvent.TargetRefused);
	}
	if (error.kind === ErrorKind.NoTarget) {
		run.lifecycle.send(RequestEvent.NotConnected);
	}
}

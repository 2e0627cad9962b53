/**
 * What the end of an attempt means on its request's chart.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { ErrorKind } from '../../../core/errors/common/errorKinds';
import { RequestEvent, RequestState } from '../../common/requests/requestLifecycle';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { RequestRun } from './requestRun';

const eventsOfRetry: Readonly<Partial<Record<AttemptEnd, RequestEvent>>> = {
	[AttemptEnd.TargetRefused]: RequestEvent.TargetRefused,
	[AttemptEnd.NotConnected]: RequestEvent.NotConnected,
	[AttemptEnd.Failed]: RequestEvent.Retry,
	[AttemptEnd.Erred]: RequestEvent.Retry,
	[AttemptEnd.Silent]: RequestEvent.Retry,
};

/** The scheduler took the request back for another attempt. */
export function sendRetryEvent(run: RequestRun, end: AttemptEnd): void {
	const event = isAnswering(run) ? RequestEvent.Interrupt : eventsOfRetry[end];
	if (event !== undefined) {
		run.life.send(event);
	}
}

/** Only the attempt that gave the caller its last byte interrupts the answer; one that never began does not. */
export function isAnswering(run: RequestRun): boolean {
	return run.life.getState() === RequestState.Answering;
}

/** Ends a request whose last attempt gave no whole answer; nothing is done where it has ended already. */
export function endUnanswered(run: RequestRun, error: RequestError | undefined): void {
	if (error === undefined || run.hasEnded()) {
		return;
	}
	if (error.kind === ErrorKind.CallerGone) {
		run.abandon();
		return;
	}
	noteUnrun(run, error);
	run.fail(error);
}

/** A refusal that was not taken back still clears the attempt: the caller may be told `not-run`. */
function noteUnrun(run: RequestRun, error: RequestError): void {
	if (error.kind === ErrorKind.TargetRefused) {
		run.life.send(RequestEvent.TargetRefused);
	}
	if (error.kind === ErrorKind.NoTarget) {
		run.life.send(RequestEvent.NotConnected);
	}
}

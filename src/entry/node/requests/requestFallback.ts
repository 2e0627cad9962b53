/**
 * What becomes of requests whose service has no target that this entry (proxy process) reaches. A runner keeps none of them: nothing
 * would start, reject or time out a request in its queue until the paths are whole again.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { RequestRun } from './requestRun';

/** Takes the requests that a runner can't serve. */
export interface IRequestFallback {
	/** Whether another entry can get the request now. */
	isAvailable(run: RequestRun): boolean;
	/** Forwards a request that has no attempt in progress to another entry, or rejects it. */
	takeOver(run: RequestRun): void;
}

/** Rejects every request. */
export const rejectingFallback: IRequestFallback = {
	isAvailable: () => false,
	takeOver: run => {
		run.fail(createUnreachedError());
	},
};

/** Suggested to callers as the retry delay while no target is reached: the time in which the paths are probed twice. */
const unreachedRetryAfterMs = 1_000;

/** Creates the error of a request that can't be served because this entry reaches no target. */
export function createUnreachedError(): RequestError {
	return createRequestError(ErrorKind.NoTarget, 'this entry reaches no target of the service', {
		retryAfterMs: unreachedRetryAfterMs,
	});
}

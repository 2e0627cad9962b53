/**
 * The names of the HTTP headers exchanged with callers and with targets.
 */

export const headers = {
	/** Request: the organisation on whose behalf the request is made; required. */
	organisation: 'anvilroad-organisation',
	/** Request: the deadline, in milliseconds after the arrival of the request head. */
	deadlineMs: 'anvilroad-deadline-ms',
	/** Request: `urgent`, `normal` or `draft`. */
	requestClass: 'anvilroad-class',
	/** Request: identifies a prompt prefix that several requests share, for cache affinity. */
	prefixKey: 'anvilroad-prefix-key',
	/** Request: a ticket issued by a lookup, for calls that run at most once. */
	ticket: 'anvilroad-ticket',
	/** Answer: the id that the entry assigned to the request. */
	requestId: 'anvilroad-request-id',
	/** Answer: `answered`, `not-run` or `unknown`. */
	outcome: 'anvilroad-outcome',
	/** Answer: the error kind, if the answer was not created by a target. */
	error: 'anvilroad-error',
	/** To and from targets: the attempt id; a target returns it to show which attempt its answer belongs to. */
	attempt: 'anvilroad-attempt',
	/** To targets: the request class, so that the inference engine can prioritize the request. */
	priority: 'anvilroad-priority',
	/** From targets: `1` on a refusal that guarantees that the request was not run. */
	targetNotRun: 'anvilroad-not-run',
	/** From targets: `1` when the target is leaving and should get no new requests. */
	targetLeaving: 'anvilroad-leaving',
	/** From targets: the number of running requests, waiting requests and slots, as `running/waiting/slots`. */
	targetLoad: 'anvilroad-load',
} as const;

/**
 * Whether a request ran, as reported to its caller. The list is closed.
 */

/** The values of the `anvilroad-outcome` header. */
export enum Outcome {
	/** The complete answer of one run was delivered or is being delivered. */
	Answered = 'answered',
	/** No attempt has run or will run. */
	NotRun = 'not-run',
	/** An attempt may have run; only the service can determine whether one did. */
	Unknown = 'unknown',
}

/**
 * The exit codes of `anvilroadctl`, documented for script authors in docs/OPERATIONS.md.
 */

export enum ExitCode {
	Success = 0,
	/** A check failed, or an entry is unreachable, not ready or without the requested record. */
	Failure = 1,
	/** Invalid command line, such as an unknown option or a missing entry, or an unreadable file. */
	BadUsage = 2,
}

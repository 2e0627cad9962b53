/**
 * Ends a program that measures child processes when it is interrupted. By default, Node runs no exit handlers on these
 * signals, and the measured processes would keep running.
 */

/** By convention, 128 plus the signal number of SIGINT. */
const exitCodeInterrupted = 130;

/** Exits on SIGINT and SIGTERM with the handlers that run at the end of the process. */
export function endOnSignals(): void {
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			process.exit(exitCodeInterrupted);
		});
	}
}

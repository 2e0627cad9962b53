/**
 * Parses the CPU time of a process from the text of a Linux `/proc/PID/stat` file (see proc(5)).
 */

/** Clock ticks per second in `/proc`. User space sees 100 on all architectures that Node supports. */
export const clockTicksPerSecond = 100;

/** Indexes of `utime` and `stime`, counted from the field after the command name. */
const userTimeFieldIndex = 11;
const systemTimeFieldIndex = 12;

/** Returns the user and system CPU time in seconds, or undefined if the text cannot be parsed. */
export function parseProcessorSeconds(statText: string): number | undefined {
	// The command name is in parentheses and may itself contain spaces and parentheses. Fields are therefore
	// counted from the last closing parenthesis, otherwise such a name would shift them.
	const fields = statText
		.slice(statText.lastIndexOf(')') + 1)
		.trim()
		.split(/\s+/);
	const ticks = Number(fields[userTimeFieldIndex]) + Number(fields[systemTimeFieldIndex]);
	return Number.isFinite(ticks) ? ticks / clockTicksPerSecond : undefined;
}

/**
 * Reads the processor time out of the text of a Linux `/proc/PID/stat` file (proc(5)).
 */

/** Clock ticks a second in `/proc`; fixed at 100 for user space on the architectures that Node runs on. */
export const clockTicksPerSecond = 100;

const userTimeField = 11;
const systemTimeField = 12;

/** Processor seconds, user and system together, or undefined for a text of another form. */
export function parseProcessorSeconds(statText: string): number | undefined {
	// The command's name stands in parentheses and may itself hold spaces and parentheses; the fields that
	// follow are counted from the last one, or a process with such a name would show another field's value.
	const fields = statText
		.slice(statText.lastIndexOf(')') + 1)
		.trim()
		.split(/\s+/);
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return Number.isFinite(ticks) ? ticks / clockTicksPerSecond : undefined;
}

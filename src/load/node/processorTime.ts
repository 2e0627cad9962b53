/**
 * Reads the CPU time of another process on this machine.
 */

import { readFile } from 'node:fs/promises';
import { parseProcessorSeconds } from '../common/processStat';

/** Returns the CPU seconds used by a process so far, or undefined if the process no longer exists. */
export async function readProcessorSeconds(pid: number): Promise<number | undefined> {
	try {
		return parseProcessorSeconds(await readFile(`/proc/${pid}/stat`, 'utf8'));
	} catch {
		return undefined;
	}
}

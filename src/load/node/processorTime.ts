/**
 * The processor time of another process on this machine.
 */

import { readFile } from 'node:fs/promises';
import { parseProcessorSeconds } from '../common/processStat';

/** Processor seconds that a process has spent so far, or undefined where it is gone. */
export async function readProcessorSeconds(pid: number): Promise<number | undefined> {
	try {
		return parseProcessorSeconds(await readFile(`/proc/${pid}/stat`, 'utf8'));
	} catch {
		return undefined;
	}
}

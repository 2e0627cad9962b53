/**
 * Reads the text files named on the command line.
 */

import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

const standardInput = '-';
const standardInputDescriptor = 0;

/** Returns the text of a file, or an error message. The name `-` reads standard input. */
export function readTextFile(file: string): Result<string, string> {
	try {
		return ok(readFileSync(file === standardInput ? standardInputDescriptor : file, 'utf8'));
	} catch (error) {
		return err(`${file}: ${error instanceof Error ? error.message : String(error)}`);
	}
}

/**
 * Reads the files that commands are given.
 */

import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

const standardInput = '-';
const standardInputDescriptor = 0;

/** The text of a file, `-` for standard input, or a line that says why it cannot be read. */
export function readTextFile(file: string): Result<string, string> {
	try {
		return ok(readFileSync(file === standardInput ? standardInputDescriptor : file, 'utf8'));
	} catch (error) {
		return err(`${file}: ${error instanceof Error ? error.message : String(error)}`);
	}
}

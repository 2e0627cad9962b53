/**
 * Loads the settings file of a program. If the file is unreadable or invalid, the program prints one line for each
 * error and exits with code 2.
 */

import { readFileSync } from 'node:fs';
import type { z } from 'zod';
import { formatSettingsError, parseSettings } from '../common/settings';

/** Exit code for invalid arguments or settings; docs/OPERATIONS.md lists all exit codes. */
export const exitCodeBadUsage = 2;

/** Returns the validated settings, or prints the errors and exits with code 2. */
export function loadSettingsOrExit<TSchema extends z.ZodType>(
	schema: TSchema,
	file: string,
): z.output<TSchema> {
	const parsed = parseSettings(schema, readTextOrExit(file));
	if (parsed.isOk()) {
		return parsed.value;
	}
	for (const error of parsed.error) {
		process.stderr.write(`${file}: ${formatSettingsError(error)}\n`);
	}
	return process.exit(exitCodeBadUsage);
}

function readTextOrExit(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
		return process.exit(exitCodeBadUsage);
	}
}

/**
 * Schemas of values that are used in several parts of the manifest.
 */

import { z } from 'zod';

/** A name that other parts of the manifest refer to. */
export function createNameSchema<TName extends string>(): z.ZodType<TName, string> {
	const pattern = /^[a-z0-9][a-z0-9.-]{0,62}$/;
	return z
		.string()
		.regex(pattern, 'is not a name: lower-case letters, digits, dots and hyphens, 63 characters at most')
		.transform(value => value as TName);
}

const maxDurationMs = 86_400_000;

/** A duration of at most one day, since a longer one is probably in the wrong unit. */
export const milliseconds = z.number().int().positive().max(maxDurationMs);

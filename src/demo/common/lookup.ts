/**
 * Asking an entry which entries to use.
 */

import { z } from 'zod';
import { parseJson } from './caller';
import type { Stage } from './scene';

const namedEntriesSchema = z.array(
	z.object({ instance: z.string(), region: z.string(), zone: z.string(), url: z.string() }),
);

const lookupSchema = z.object({
	service: z.string(),
	validForMs: z.number().positive(),
	entries: namedEntriesSchema,
	tickets: z.array(z.string()),
});

const refusalSchema = z.object({ entries: namedEntriesSchema });

export type Lookup = z.output<typeof lookupSchema>;
export type NamedEntries = z.output<typeof namedEntriesSchema>;

/** Looks a service up at an entry; undefined where the answer is not one of a lookup. */
export async function fetchLookup(
	stage: Stage,
	entryUrl: string,
	service: string,
): Promise<Lookup | undefined> {
	const answer = await stage.caller.send({ method: 'GET', url: `${entryUrl}/v1/entries?service=${service}` });
	return lookupSchema.safeParse(parseJson(answer)).data;
}

/** The entries that a refusal names. */
export function parseNamedEntries(document: unknown): NamedEntries {
	return refusalSchema.safeParse(document).data?.entries ?? [];
}

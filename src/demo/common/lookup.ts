/**
 * Fetches and parses the lists of entries that an entry recommends to callers of a service.
 */

import { z } from 'zod';
import { parseJson } from './caller';
import type { DeploymentContext } from './scenario';

const advertisedEntriesSchema = z.array(
	z.object({ instance: z.string(), region: z.string(), zone: z.string(), url: z.string() }),
);

const lookupSchema = z.object({
	service: z.string(),
	validForMs: z.number().positive(),
	entries: advertisedEntriesSchema,
	tickets: z.array(z.string()),
});

const refusalSchema = z.object({ entries: advertisedEntriesSchema });

export type Lookup = z.output<typeof lookupSchema>;
export type AdvertisedEntries = z.output<typeof advertisedEntriesSchema>;

/** Looks a service up at an entry. Returns undefined when the answer is not a valid lookup document. */
export async function fetchLookup(
	context: DeploymentContext,
	entryUrl: string,
	service: string,
): Promise<Lookup | undefined> {
	const answer = await context.caller.send({
		method: 'GET',
		url: `${entryUrl}/v1/entries?service=${service}`,
	});
	return lookupSchema.safeParse(parseJson(answer)).data;
}

/** Parses the entries that the body of a refusal recommends instead. */
export function parseAdvertisedEntries(document: unknown): AdvertisedEntries {
	return refusalSchema.safeParse(document).data?.entries ?? [];
}

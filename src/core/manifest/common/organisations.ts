/**
 * Organisations: who sends requests, with which keys, from which regions and how much. The manifest contains digests of
 * the keys only, so that a key does not appear in any document, message, log or view.
 */

import { z } from 'zod';
import type { KeyDigest, OrganisationName, RegionName } from '../../ids/common/ids';
import { createNameSchema } from './schemas';

/** What a limit counts. */
export enum LimitUnit {
	Requests = 'requests',
	/** The tokens of prompts and the maximum tokens of answers. */
	Tokens = 'tokens',
}

const keyDigestSchema = z
	.string()
	.regex(/^[0-9a-f]{64}$/, 'is not a SHA-256 digest in lower-case hexadecimal')
	.transform(value => value as KeyDigest);

/** Names of organisations are sent to targets in a header. Unlike other names, they may contain underscores. */
export const organisationNamePattern = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const organisationNameSchema = z
	.string()
	.regex(
		organisationNamePattern,
		'is not a name: lower-case letters, digits, dots, hyphens and underscores, 63 characters at most',
	)
	.transform(value => value as OrganisationName);

const limitSchema = z.strictObject({
	unit: z.enum(LimitUnit).default(LimitUnit.Requests),
	/** Sustained rate over all entries together, in units per second. */
	perSecond: z.number().positive(),
	/** Units that may be used at once after a time of less use. */
	burst: z.number().nonnegative().default(0),
	/** Tokens that a request counts as if it does not describe its prompt. */
	plainTokens: z.number().nonnegative().default(0),
});

export const organisationSchema = z.strictObject({
	name: organisationNameSchema,
	home: createNameSchema<RegionName>(),
	/** Share of a fully loaded service relative to other organisations. */
	weight: z.number().positive().default(1),
	/** Digests of the keys that identify the organisation's requests. */
	keys: z.array(keyDigestSchema).default([]),
	/** The regions that may receive and answer routed requests; empty if all may. */
	homes: z.array(createNameSchema<RegionName>()).default([]),
	/** Replaces the priority of the routes; 0 is the most urgent. */
	priority: z.number().int().nonnegative().optional(),
	/** Limit over all entries together; unlimited if absent. */
	limit: limitSchema.optional(),
});

export type OrganisationLimit = z.output<typeof limitSchema>;

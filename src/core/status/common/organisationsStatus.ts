/**
 * The answers of the operators' port that describe organisations and the slowness of targets. Keys are counted only: an
 * answer contains neither a key nor the digest of one. Properties that are not in the schema are ignored, as in the status.
 */

import { z } from 'zod';

const limitStatusSchema = z.object({
	/** What the limit counts: `requests` or `tokens`. */
	unit: z.string(),
	perSecond: z.number(),
	burst: z.number(),
});

/** The use of a limit, as known to this entry. */
const limitUseSchema = z.object({
	/** Units per second that callers asked of this entry. */
	ownDemand: z.number(),
	/** Units per second over all entries; null while the organisation is inside its limit. */
	fleetDemand: z.number().nullable(),
	/** The part of the demand that the coordinator's last answer admits. */
	fraction: z.number(),
	/** Milliseconds since the coordinator's last answer; null if there was none. */
	answerAgeMs: z.number().nullable(),
});

export const organisationStatusSchema = z.object({
	organisation: z.string(),
	/** Regions that may receive and answer routed requests; empty if all may. */
	homes: z.array(z.string()),
	/** Replaces the priority of the routes; null if it does not. */
	priority: z.number().nullable(),
	/** Number of keys. */
	keys: z.number(),
	/** Null without a limit. */
	limit: limitStatusSchema.nullable(),
	/** Null without a limit. */
	use: limitUseSchema.nullable(),
});

/** How old the knowledge of keys is, and up to which age keys are accepted. */
export const keyKnowledgeStatusSchema = z.object({
	/** Null before the first answer of the store. */
	ageMs: z.number().nullable(),
	maxAgeMs: z.number(),
});

/** The organisations of the manifest in force, as served by `/v1/organisations`. */
export const organisationsAnswerSchema = z.object({
	instance: z.string(),
	/** Null before the first manifest. */
	manifestVersion: z.number().nullable(),
	requiresKeys: z.boolean(),
	/** Null if the settings set no bound for withdrawn keys. */
	keyKnowledge: keyKnowledgeStatusSchema.nullable(),
	organisations: z.array(organisationStatusSchema),
});

/** The slowness of a target: how long work takes there, as a multiple of the usual time. */
export const targetSlownessSchema = z.object({
	id: z.string(),
	service: z.string(),
	/** Estimate over seconds. */
	lasting: z.number(),
	/** Estimate for now. */
	recent: z.number(),
	/** `reports`, `answer-times`, or `other-targets` while nothing is known of the target. */
	source: z.string(),
	/** Factor by which answer times correct the reports, or the whole slowness without reports. */
	correction: z.number(),
	/** Milliseconds since the last report; null without one. */
	reportAgeMs: z.number().nullable(),
});

/** The slowness of all targets, as served by `/v1/slowness`. */
export const slownessAnswerSchema = z.object({
	instance: z.string(),
	targets: z.array(targetSlownessSchema),
});

export type OrganisationStatus = z.output<typeof organisationStatusSchema>;
export type OrganisationsAnswer = z.output<typeof organisationsAnswerSchema>;
export type TargetSlownessStatus = z.output<typeof targetSlownessSchema>;
export type SlownessAnswer = z.output<typeof slownessAnswerSchema>;

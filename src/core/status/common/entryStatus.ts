/**
 * The status of an entry, served on the operators' port under `/v1/status`. The types are defined by schemas, since
 * `anvilroadctl` may be older or newer than the entry: properties that are not in the schema are ignored. Ages and
 * durations are in milliseconds at the time of the answer. Ids are plain strings, since they are only displayed.
 */

import { z } from 'zod';

/** Whether the entry accepts requests, and if not, why. */
export const readinessSchema = z.object({
	isReady: z.boolean(),
	/** One reason for each missing precondition; empty if the entry is ready. */
	reasons: z.array(z.string()),
});

/** The manifest in force. */
export const manifestStatusSchema = z.object({
	version: z.number(),
	digest: z.string(),
	/** Milliseconds since this entry put the manifest in force. */
	ageMs: z.number(),
});

/** The status of another entry, as known to this entry. */
export const peerStatusSchema = z.object({
	instance: z.string(),
	region: z.string(),
	zone: z.string(),
	/** The state of the peer's state machine. */
	state: z.string(),
	/** The age of the newest view received of the peer, or null if there is none. */
	viewAgeMs: z.number().nullable(),
	manifestVersion: z.number().nullable(),
});

/** The status of a target, as known to this entry. */
export const targetStatusSchema = z.object({
	id: z.string(),
	service: z.string(),
	zone: z.string(),
	/** The state of the target's state machine. */
	state: z.string(),
	/** Requests of this entry that are running at the target. */
	running: z.number(),
	/** The maximum number of requests that this entry may currently run at the target. */
	limit: z.number(),
	/** The event that led to the state. */
	lastSign: z.string(),
});

/** The queue of a service at this entry. */
export const serviceStatusSchema = z.object({
	service: z.string(),
	queued: z.number(),
	running: z.number(),
	/** The predicted wait of a request of class `normal` that arrives now. */
	waitMs: z.number(),
});

/** When the platform was last read successfully. */
export const platformStatusSchema = z.object({
	/** Null if there was no successful read since this entry started. */
	lastReadAgeMs: z.number().nullable(),
});

export const entryStatusSchema = z.object({
	instance: z.string(),
	boot: z.string(),
	region: z.string(),
	zone: z.string(),
	/** The version of the program. */
	version: z.string(),
	uptimeMs: z.number(),
	readiness: readinessSchema,
	isLeaving: z.boolean(),
	/** Null before the first manifest. */
	manifest: manifestStatusSchema.nullable(),
	platform: platformStatusSchema,
	peers: z.array(peerStatusSchema),
	targets: z.array(targetStatusSchema),
	services: z.array(serviceStatusSchema),
	/** Tickets that were used at this entry and are kept until they expire. */
	ticketsOutstanding: z.number(),
	/** Total bytes of request bodies in memory. */
	heldBytes: z.number(),
	/** The limit of `heldBytes`. */
	mostHeldBytes: z.number(),
});

export type Readiness = z.output<typeof readinessSchema>;
export type ManifestStatus = z.output<typeof manifestStatusSchema>;
export type PeerStatus = z.output<typeof peerStatusSchema>;
export type TargetStatus = z.output<typeof targetStatusSchema>;
export type ServiceStatus = z.output<typeof serviceStatusSchema>;
export type EntryStatus = z.output<typeof entryStatusSchema>;

/**
 * The fault switches of the simulated platform. docs/PLATFORM.md describes each of them.
 */

import { z } from 'zod';
import { durationMsSchema } from './targetFaults';

export const platformFaultsSchema = z.strictObject({
	/** Resets all open connections, and later connections at their first request. */
	down: z.boolean(),
	/** Accepts requests and never answers them. */
	silent: z.boolean(),
	/** Serves no manifest newer than this version. */
	staleVersion: z.number().int().min(0).nullable(),
	/** Delay before a published instance list is served, in milliseconds. */
	lagMs: durationMsSchema,
	/** Makes the weight store answer all downloads with status 503. */
	weightsDown: z.boolean(),
});

export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** No faults. The instance list has its configured lag. */
export function createPlatformFaults(lagMs: number): PlatformFaults {
	return { down: false, silent: false, staleVersion: null, lagMs, weightsDown: false };
}

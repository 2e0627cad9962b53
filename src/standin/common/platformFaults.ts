/**
 * The fault switches of the platform. docs/PLATFORM.md tells each.
 */

import { z } from 'zod';
import { switchMs } from './targetFaults';

export const platformFaultsSchema = z.strictObject({
	/** Resets every connection, open and new. */
	down: z.boolean(),
	/** Takes requests and never answers them. */
	silent: z.boolean(),
	/** Serves no manifest newer than this version. */
	staleVersion: z.number().int().min(0).nullable(),
	/** Age of the instance list that is served, in milliseconds. */
	lagMs: switchMs,
	/** Weight store: answers every load with 503. */
	weightsDown: z.boolean(),
});

export type PlatformFaults = z.output<typeof platformFaultsSchema>;

/** No fault; the instance list has its everyday lag. */
export function createPlatformFaults(lagMs: number): PlatformFaults {
	return { down: false, silent: false, staleVersion: null, lagMs, weightsDown: false };
}

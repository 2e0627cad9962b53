/**
 * The fault switches of a simulated plain service. docs/PLATFORM.md describes each of them.
 */

import { z } from 'zod';
import { noTargetFaults, durationMsSchema, targetFaultsSchema } from './targetFaults';

export const plainFaultsSchema = z.strictObject({
	...targetFaultsSchema.shape,
	/** Processing time of a call, in milliseconds. */
	workMs: durationMsSchema,
});

export type PlainFaults = z.output<typeof plainFaultsSchema>;

/** No faults. */
export function createPlainFaults(workMs: number): PlainFaults {
	return { ...noTargetFaults, workMs };
}

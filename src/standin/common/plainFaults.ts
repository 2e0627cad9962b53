/**
 * The fault switches of a plain service. docs/PLATFORM.md tells each.
 */

import { z } from 'zod';
import { noTargetFaults, switchMs, targetFaultsSchema } from './targetFaults';

export const plainFaultsSchema = z.strictObject({
	...targetFaultsSchema.shape,
	/** Time that a run takes, in milliseconds. */
	workMs: switchMs,
});

export type PlainFaults = z.output<typeof plainFaultsSchema>;

/** No fault. */
export function createPlainFaults(workMs: number): PlainFaults {
	return { ...noTargetFaults, workMs };
}

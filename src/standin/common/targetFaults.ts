/**
 * The fault switches that simulated model engines and plain services share. docs/PLATFORM.md describes each of them.
 */

import { z } from 'zod';

/** A duration in a fault switch, in milliseconds. */
export const durationMsSchema = z.number().int().min(0).max(3_600_000);

const maxSlowFactor = 1_000;

export const targetFaultsSchema = z.strictObject({
	/** Refuses new requests and announces that the target is leaving. */
	leaving: z.boolean(),
	/** Refuses new requests and marks them as not run. */
	refuseUnrun: z.boolean(),
	/** Multiplies all processing times. */
	slowFactor: z.number().min(0.01).max(maxSlowFactor),
	/** Runs requests and never sends any byte of the answer. */
	silentBeforeHead: z.boolean(),
	/** Sends the status line and headers of the answer, and no body. */
	silentAfterHead: z.boolean(),
	/** Resets the connection after this many bytes of the answer's body. */
	resetAfterBytes: z.number().int().min(0).nullable(),
	/** Answers with the attempt ID of a different request. */
	foreignAttempt: z.boolean(),
	/** How long the port stays closed after a simulated crash, in milliseconds. */
	crashDownMs: durationMsSchema,
	/** Delay before a change of load is reported, in milliseconds. */
	loadLagMs: durationMsSchema,
	/** Adds `slowFactor` in percent to the load header as its fourth figure. */
	reportSlowness: z.boolean(),
});

export type TargetFaults = z.output<typeof targetFaultsSchema>;

const defaultCrashDownMs = 2_000;

export const noTargetFaults: TargetFaults = {
	leaving: false,
	refuseUnrun: false,
	slowFactor: 1,
	silentBeforeHead: false,
	silentAfterHead: false,
	resetAfterBytes: null,
	foreignAttempt: false,
	crashDownMs: defaultCrashDownMs,
	loadLagMs: 0,
	reportSlowness: false,
};

/** A request body that contains this text makes the target simulate a crash. */
export const crashMarker = 'CRASH-MARK';

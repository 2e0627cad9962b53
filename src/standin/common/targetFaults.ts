/**
 * The fault switches that model engines and plain services have in common. docs/PLATFORM.md tells each.
 */

import { z } from 'zod';

/** A length of time in a switch, in milliseconds. */
export const switchMs = z.number().int().min(0).max(3_600_000);

const slowestFactor = 1_000;

export const targetFaultsSchema = z.strictObject({
	/** Refuses new work and says that it is leaving. */
	leaving: z.boolean(),
	/** Refuses new work and says that it was not run. */
	refuseUnrun: z.boolean(),
	/** Multiplies every working time. */
	slowFactor: z.number().min(0.01).max(slowestFactor),
	/** Runs the request and never sends a byte of the answer. */
	silentBeforeHead: z.boolean(),
	/** Sends the head of the answer and nothing after it. */
	silentAfterHead: z.boolean(),
	/** Resets the connection after this many bytes of the answer's body. */
	resetAfterBytes: z.number().int().min(0).nullable(),
	/** Answers with the attempt id of another request. */
	foreignAttempt: z.boolean(),
	/** How long a crash by a marked body keeps the port closed, in milliseconds. */
	crashDownMs: switchMs,
	/** Age of the load that is reported, in milliseconds. */
	loadLagMs: switchMs,
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
};

/** A body that contains this text crashes the target that runs it. */
export const crashMark = 'CRASH-MARK';

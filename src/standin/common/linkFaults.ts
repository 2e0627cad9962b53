/**
 * The fault switches of a link. docs/PLATFORM.md tells each.
 */

import { z } from 'zod';

const largestOneWayMs = 60_000;

/** How a link is cut. */
export enum LinkCut {
	None = 'none',
	/** Nothing passes and nobody is told; what waits passes once the link is whole again. */
	BlackHole = 'black-hole',
	/** Open connections are reset and new ones refused. */
	Reset = 'reset',
}

export const linkFaultsSchema = z.strictObject({
	cut: z.enum(LinkCut),
	/** Each patch that sets it silences, for good, the connections open at that moment; new ones work. */
	silenceOpen: z.boolean(),
	/** Delay each way, in milliseconds. */
	oneWayMs: z.number().min(0).max(largestOneWayMs),
});

export type LinkFaults = z.output<typeof linkFaultsSchema>;

export function createLinkFaults(oneWayMs: number): LinkFaults {
	return { cut: LinkCut.None, silenceOpen: false, oneWayMs };
}

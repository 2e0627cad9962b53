/**
 * The fault switches of a simulated network link. docs/PLATFORM.md describes each of them.
 */

import { z } from 'zod';

const maxOneWayMs = 60_000;

/** How a link is interrupted. */
export enum LinkCut {
	None = 'none',
	/** Data is held back without any error, and is delivered when the fault ends. */
	BlackHole = 'black-hole',
	/** Open connections are reset, and new ones are reset as soon as they are accepted. */
	Reset = 'reset',
}

export const linkFaultsSchema = z.strictObject({
	cut: z.enum(LinkCut),
	/**
	 * Each patch that sets this switch to true drops all later data of the connections that are open at that moment.
	 * Connections that are opened later work.
	 */
	silenceOpen: z.boolean(),
	/** Delay in each direction, in milliseconds. */
	oneWayMs: z.number().min(0).max(maxOneWayMs),
});

export type LinkFaults = z.output<typeof linkFaultsSchema>;

export function createLinkFaults(oneWayMs: number): LinkFaults {
	return { cut: LinkCut.None, silenceOpen: false, oneWayMs };
}

/**
 * The fault switches of a simulated model engine. docs/PLATFORM.md describes each of them.
 */

import { z } from 'zod';
import { noTargetFaults, durationMsSchema, targetFaultsSchema } from './targetFaults';

/** How an engine handles orders to change its model, version, adapters or role. */
export enum OrderHandling {
	/** Applies orders, subject to its check of fencing numbers. */
	Obey = 'obey',
	/** Answers with status 503 and does nothing. */
	Refuse = 'refuse',
	/** Answers with status 200 and does nothing. */
	Ignore = 'ignore',
}

const maxPercent = 100;

export const engineFaultsSchema = z.strictObject({
	...targetFaultsSchema.shape,
	orders: z.enum(OrderHandling),
	/** Delay before an order is handled and answered, in milliseconds. */
	orderDelayMs: durationMsSchema,
	/** Delay before cache events are published, in milliseconds. */
	cacheEventLagMs: durationMsSchema,
	/** Percentage of cache events that are lost. */
	cacheEventLossPercent: z.number().min(0).max(maxPercent),
});

export type EngineFaults = z.output<typeof engineFaultsSchema>;

const defaultEventLagMs = 500;
const defaultEventLossPercent = 1;
const defaultLoadLagMs = 200;

/** No faults. Load reports still lag, and cache events still lag and get lost, as in normal operation. */
export const noEngineFaults: EngineFaults = {
	...noTargetFaults,
	loadLagMs: defaultLoadLagMs,
	orders: OrderHandling.Obey,
	orderDelayMs: 0,
	cacheEventLagMs: defaultEventLagMs,
	cacheEventLossPercent: defaultEventLossPercent,
};

/**
 * The fault switches of a model engine. docs/PLATFORM.md tells each.
 */

import { z } from 'zod';
import { noTargetFaults, switchMs, targetFaultsSchema } from './targetFaults';

/** How an engine treats the orders it is given. */
export enum OrderManner {
	/** As its fencing says. */
	Obey = 'obey',
	/** Answers 503 and does nothing. */
	Refuse = 'refuse',
	/** Answers 200 and does nothing. */
	Ignore = 'ignore',
}

const wholePercent = 100;

export const engineFaultsSchema = z.strictObject({
	...targetFaultsSchema.shape,
	orders: z.enum(OrderManner),
	/** Time before an order is answered and obeyed, in milliseconds. */
	orderDelayMs: switchMs,
	/** Age at which cache events are published, in milliseconds. */
	cacheEventLagMs: switchMs,
	/** Share of cache events that are lost. */
	cacheEventLossPercent: z.number().min(0).max(wholePercent),
});

export type EngineFaults = z.output<typeof engineFaultsSchema>;

const everydayEventLagMs = 500;
const everydayLossPercent = 1;
const everydayLoadLagMs = 200;

/** No fault; load reports and cache events have their everyday lag and gaps. */
export const noEngineFaults: EngineFaults = {
	...noTargetFaults,
	loadLagMs: everydayLoadLagMs,
	orders: OrderManner.Obey,
	orderDelayMs: 0,
	cacheEventLagMs: everydayEventLagMs,
	cacheEventLossPercent: everydayLossPercent,
};

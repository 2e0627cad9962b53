/**
 * The counters of each kind of stand-in, as the admin port shows them. Numbers count since the start, but for
 * those that tell what is there now: running, waiting, slots, open and what is named so.
 */

import type { BatchLoad } from '../common/continuousBatch';
import type { OrderCounters } from '../common/engineOrders';
import type { PlatformRead } from '../common/platformReadCounts';
import type { PrefixCacheCounters } from '../common/prefixCache';
import type { TargetCounters } from './targetHost';
import type { WeightStoreCounters } from './weightStore';

export interface PlatformCounters {
	readonly reads: Readonly<Record<PlatformRead, number>>;
	/** The most reads in one second, refused ones included. */
	readonly peakReadsInOneSecond: number;
	readonly readsRefused: number;
	/** Watches that hang now. */
	readonly watchesWaiting: number;
	readonly weights: WeightStoreCounters;
}

export interface EngineCounters extends TargetCounters, BatchLoad {
	readonly cache: PrefixCacheCounters;
	readonly orders: OrderCounters;
}

export interface PlainCounters extends TargetCounters, BatchLoad {
	readonly runs: number;
	/** Calls that ran more than once. */
	readonly repeatedCalls: number;
}

export interface LinkCounters {
	readonly accepted: number;
	/** Connections refused while the link was cut by resets. */
	readonly refused: number;
	/** Connections silenced for good. */
	readonly silenced: number;
	/** Connections open now. */
	readonly open: number;
}

export type StandinCounters = PlatformCounters | EngineCounters | PlainCounters | LinkCounters;

/**
 * The counters of each kind of stand-in, as returned by the admin port. Most numbers count events since the start.
 * The others are current values, such as `running`, `waiting`, `slots`, `open` and `watchesWaiting`.
 */

import type { TargetLoad } from '../common/continuousBatch';
import type { OrderCounters } from '../common/engineOrders';
import type { PlatformReadKind } from '../common/platformReadCounts';
import type { PrefixCacheCounters } from '../common/prefixCache';
import type { TargetCounters } from './targetHost';
import type { WeightStoreCounters } from './weightStore';

export interface PlatformCounters {
	readonly reads: Readonly<Record<PlatformReadKind, number>>;
	/** The highest number of reads in one second, including refused reads. */
	readonly peakReadsInOneSecond: number;
	readonly readsRefused: number;
	/** Long polls that are currently waiting. */
	readonly watchesWaiting: number;
	readonly weights: WeightStoreCounters;
}

export interface EngineCounters extends TargetCounters, TargetLoad {
	readonly cache: PrefixCacheCounters;
	readonly orders: OrderCounters;
}

export interface PlainCounters extends TargetCounters, TargetLoad {
	readonly runs: number;
	/** Calls that ran more than once. */
	readonly repeatedCalls: number;
}

export interface LinkCounters {
	readonly accepted: number;
	/** Connections that were reset on arrival because of the fault switch `cut`. */
	readonly refused: number;
	/** Connections whose data was discarded because of the fault switch `silenceOpen`. */
	readonly silenced: number;
	/** Connections that are currently open. */
	readonly open: number;
}

export type StandinCounters = PlatformCounters | EngineCounters | PlainCounters | LinkCounters;

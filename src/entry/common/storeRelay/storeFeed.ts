/**
 * Defines the messages with which an entry that watches the platform's store passes its changes on to another entry.
 */

import type { Stream } from 'most';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { InstanceId } from '../../../core/ids/common/ids';
import type { StoreEra, StoreItem } from '../../../core/store/common/storeClient';
import type { FollowedChange, StoreReachability } from '../../../core/store/common/storeFollower';
import type { ProbeTimes } from './storePathMonitor';

/** What an entry has of the store when it asks for the changes. */
export interface FeedRequest {
	readonly prefix: string;
	/** The revision up to which it has all changes. */
	readonly revision: number;
	/** The era that the revision belongs to; undefined if the entry has nothing of the store yet. */
	readonly era: StoreEra | undefined;
}

/** Changes below a prefix; a heartbeat if there are none. */
export interface FeedMessage {
	/** The revision up to which the receiver has all changes with this message. */
	readonly revision: number;
	readonly era: StoreEra | undefined;
	/** Milliseconds since the state that the message leads to was current. */
	readonly ageMs: number;
	/** Milliseconds from the acceptance of the feed to this message; undefined from a watcher of an earlier release. */
	readonly elapsedMs?: number | undefined;
	/** Whether the written items are all items, in place of those that the receiver has. */
	readonly isListing: boolean;
	readonly written: readonly StoreItem[];
	readonly removed: readonly string[];
}

/** Receives the messages of a feed. */
export interface IFeedObserver {
	receive(message: FeedMessage): void;
	/** Called once when the feed ends by itself, also if it could not be opened. */
	end(reason: string): void;
}

/** Opens feeds of other entries. */
export interface IFeedOpener {
	/** @returns A disposable that ends the feed without a call of `end`. */
	open(watcher: InstanceId, request: FeedRequest, observer: IFeedObserver): IDisposable;
}

/** The state of one prefix of the store at this entry. */
export interface IFeedSource {
	readonly onDidChange: Stream<FollowedChange>;
	readonly onDidChangeReachability: Stream<StoreReachability>;
	/** The revision up to which all changes are applied; 0 while they are listed. */
	getRevision(): number;
	getEra(): StoreEra | undefined;
	getCurrentAsOfMs(): number | undefined;
	isReached(): boolean;
	listItems(): readonly StoreItem[];
}

/** Passes the changes of prefixes on to other entries. */
export interface IStoreRelay {
	addSource(prefix: string, source: IFeedSource): void;
}

/** Interval of the heartbeats of a feed, and the silence after which it is given up, as shares of the maximum delay of a change. */
const heartbeatShare = 0.2;
const silenceShare = 0.4;
const settleShare = 0.2;
/** Times of a watcher's probes. A silent cut is detected within the interval and the limit, so that readers have time to react. */
const probeIntervalShare = 0.15;
const probeLimitShare = 0.15;
const probeCancelShare = 0.3;
/** The state after an answer counts from the start of its call, which may wait, and so may the next one. */
const maxAgeShare = 1.6;
/**
 * Age beyond which a reader gives a feed up if ages are bounded. A watcher's state is at most 0.6 of the maximum delay old, or
 * 0.8 between two heartbeats; the rest is for the way.
 */
const maxReadAgeShare = 1;
/** The clocks of a reader and its watcher drift apart by at most 60 ms in this time (2,000 ppm). */
const maxFeedMs = 30_000;

/** Times of a feed in milliseconds. */
export interface FeedTimes {
	readonly heartbeatMs: number;
	/** Leaves enough of the maximum delay to read the store directly. */
	readonly silenceMs: number;
	/** Time after a start in which an entry comes to know the others. */
	readonly settleMs: number;
	/** Age beyond which a watcher's own state is not passed on as current. */
	readonly maxAgeMs: number;
	readonly probes: ProbeTimes;
	/** Limits of a reader; undefined if the age of what an entry knows has no bound. */
	readonly bounds?: FeedBounds;
}

/** Limits that keep what a reader knows young, in milliseconds. */
export interface FeedBounds {
	/** Age of the latest message beyond which a feed is given up. */
	readonly maxReadAgeMs: number;
	/** Time after which a feed is opened again, since its ages are measured with the clocks of two machines. */
	readonly maxFeedMs: number;
}

/**
 * @param maxDelayMs Maximum delay of a change in milliseconds while the store answers.
 * @param isAgeBounded Whether the age of what an entry knows has a bound.
 */
export function computeFeedTimes(maxDelayMs: number, isAgeBounded = false): FeedTimes {
	const bounds = { maxReadAgeMs: maxReadAgeShare * maxDelayMs, maxFeedMs };
	return {
		...(isAgeBounded ? { bounds } : {}),
		heartbeatMs: heartbeatShare * maxDelayMs,
		silenceMs: silenceShare * maxDelayMs,
		settleMs: settleShare * maxDelayMs,
		maxAgeMs: maxAgeShare * maxDelayMs,
		probes: {
			intervalMs: probeIntervalShare * maxDelayMs,
			limitMs: probeLimitShare * maxDelayMs,
			cancelMs: probeCancelShare * maxDelayMs,
		},
	};
}

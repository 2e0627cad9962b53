/**
 * Lets few entries of a region watch the platform's store and pass its changes on to the others. Composes the client that
 * reads the store directly or from a watcher, and the feeds of this entry.
 */

import type { Logger } from 'pino';
import type { IClock } from '../../../base/common/elapsedClock';
import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { IStoreClient, IStoreProbe } from '../../../core/store/common/storeClient';
import { RelayedStoreClient } from '../../common/storeRelay/relayedStoreClient';
import type { FeedRequest, IFeedObserver, IFeedSource, IStoreRelay } from '../../common/storeRelay/storeFeed';
import { computeFeedTimes } from '../../common/storeRelay/storeFeed';
import { StoreFeeds } from '../../common/storeRelay/storeFeeds';
import { pickOtherAnywhere, pickWatcher } from '../../common/storeRelay/watcherRanking';
import type { EntryFleet } from '../fleet/entryFleet';
import { PeerFeedOpener } from './peerFeeds';

/** The entry that reads the store, and what it needs for that. */
export interface StoreRelayParts {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly fleet: Pick<EntryFleet, 'findPeer' | 'listLiveIn' | 'listLiveRegions'>;
	/** Maximum delay of a change in milliseconds while the store answers. */
	readonly maxDelayMs: number;
	/** Given if the age of what an entry knows has a bound; also counts suspensions. */
	readonly ageClock?: IClock | undefined;
	readonly timers: ITimerService;
	readonly random: IRandom;
	readonly logger: Logger;
}

export class StoreRelay extends Disposable implements IStoreRelay {
	readonly client: RelayedStoreClient;
	private readonly feeds: StoreFeeds;

	constructor(
		store: IStoreClient & IStoreProbe,
		private readonly parts: StoreRelayParts,
	) {
		super();
		const { fleet, maxDelayMs, ageClock, timers, random, logger } = parts;
		const times = computeFeedTimes(maxDelayMs, ageClock !== undefined);
		this.feeds = this.register(new StoreFeeds(times, timers));
		this.client = new RelayedStoreClient(
			store,
			new PeerFeedOpener(instance => fleet.findPeer(instance)),
			{
				pick: (excluded, isOwnExcluded, isAnyRegion = false) =>
					this.pickWatcher(excluded, isOwnExcluded, isAnyRegion),
				isRead: prefix => this.feeds.isRead(prefix),
			},
			times,
			timers,
			random,
			{
				noteSource: (prefix, watcher, reason) => {
					logger.info({ dependency: 'store', prefix, watcher, reason }, 'source of the store changed');
				},
				noteUnanswered: (prefix, waitedMs) => {
					logger.warn(
						{ dependency: 'store', prefix, waitedMs: Math.round(waitedMs) },
						'store not answering, asked once more',
					);
				},
			},
			ageClock,
		);
	}

	addSource(prefix: string, source: IFeedSource): void {
		this.feeds.addSource(
			prefix,
			source,
			() => this.client.isDirect(prefix),
			() => this.client.isFailing(prefix),
		);
	}

	/** Begins a feed for another entry. */
	addReader(request: FeedRequest, observer: IFeedObserver): IDisposable {
		const reader = this.feeds.add(request, observer);
		this.client.noteReader(request.prefix);
		return reader;
	}

	/** Ends the feeds of other entries, which then read the store or another entry. */
	stopFeeding(): void {
		this.feeds.close();
	}

	private pickWatcher(
		excluded: ReadonlySet<InstanceId>,
		isOwnExcluded: boolean,
		isAnyRegion: boolean,
	): InstanceId | undefined {
		const { instance, region, fleet } = this.parts;
		const others = this.listRelaying(region, excluded);
		if (!isOwnExcluded) {
			return pickWatcher(instance, others);
		}
		const regions = isAnyRegion ? fleet.listLiveRegions().filter(other => other !== region) : [];
		const elsewhere = regions.map(other => this.listRelaying(other, excluded));
		return pickOtherAnywhere(instance, others, elsewhere, isAnyRegion);
	}

	private listRelaying(region: RegionName, excluded: ReadonlySet<InstanceId>): InstanceId[] {
		return this.parts.fleet
			.listLiveIn(region)
			.filter(({ view }) => view.relaysStore && !view.isLeaving && !excluded.has(view.instance))
			.map(({ view }) => view.instance);
	}
}

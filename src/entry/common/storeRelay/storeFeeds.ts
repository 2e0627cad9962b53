/**
 * Passes the changes of the platform's store on to entries that do not watch it themselves. A feed begins with all items
 * unless its reader has them, then carries each change, and heartbeats between changes. It ends as soon as the store does
 * not answer this entry or was restored from an older copy, so that its readers find out by themselves.
 *
 * Only answers of the store itself are passed on. Entries that read from each other would otherwise take each other's state
 * for current while none of them reaches the store.
 */

import { subscribeTo } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { StoreItem } from '../../../core/store/common/storeClient';
import type { FollowedChange } from '../../../core/store/common/storeFollower';
import type { FeedMessage, FeedRequest, FeedTimes, IFeedObserver, IFeedSource } from './storeFeed';

interface Reader {
	readonly request: FeedRequest;
	readonly observer: IFeedObserver;
	/** When the feed was accepted. */
	readonly acceptedMs: number;
	/** Whether the reader has all changes that this entry has. */
	isSynced: boolean;
}

interface Feed {
	readonly source: IFeedSource;
	/** Whether the last answer came from the store, and not from another entry. */
	readonly isDirect: () => boolean;
	/** Whether the store does not answer this entry, so that it reads another entry. */
	readonly isTurnedAway: () => boolean;
	readonly readers: Set<Reader>;
	/** When the last reader left. */
	leftMs: number;
}

/** Time for which an entry goes on watching the store after its last reader left, in milliseconds. */
const watchOnMs = 10_000;

/** Feeds the readers of all prefixes. */
export class StoreFeeds extends Disposable {
	private readonly feeds = new Map<string, Feed>();
	private isClosed = false;

	constructor(
		private readonly times: FeedTimes,
		private readonly timers: ITimerService,
	) {
		super();
		this.register(
			subscribeTo(timers.watchTicks(times.heartbeatMs), () => {
				for (const feed of this.feeds.values()) {
					this.sendHeartbeats(feed);
				}
			}),
		);
		this.register(
			toDisposable(() => {
				this.close();
			}),
		);
	}

	addSource(
		prefix: string,
		source: IFeedSource,
		isDirect: () => boolean,
		isTurnedAway: () => boolean = () => false,
	): void {
		const feed: Feed = {
			source,
			isDirect,
			isTurnedAway,
			readers: new Set(),
			leftMs: Number.NEGATIVE_INFINITY,
		};
		this.feeds.set(prefix, feed);
		this.register(
			subscribeTo(source.onDidChange, change => {
				this.sendChange(feed, change);
			}),
		);
		this.register(
			subscribeTo(source.onDidChangeReachability, () => {
				this.endIfLost(feed);
			}),
		);
	}

	/** Whether other entries read the changes here, or did a moment ago. */
	isRead(prefix: string): boolean {
		const feed = this.feeds.get(prefix);
		return feed !== undefined && (feed.readers.size > 0 || this.timers.getNow() - feed.leftMs < watchOnMs);
	}

	/** Begins a feed; its first message may come later. Disposing of the result ends it. */
	add(request: FeedRequest, observer: IFeedObserver): IDisposable {
		const feed = this.feeds.get(request.prefix);
		if (feed === undefined || this.isClosed) {
			observer.end('no feed of this prefix here');
			return toDisposable(() => undefined);
		}
		if (this.isStoreLost(feed)) {
			observer.end('the store does not answer here either');
			return toDisposable(() => undefined);
		}
		const reader: Reader = { request, observer, acceptedMs: this.timers.getNow(), isSynced: false };
		feed.readers.add(reader);
		this.startReader(feed, reader);
		return toDisposable(() => {
			this.remove(feed, reader);
		});
	}

	/** Ends all feeds, because this process is about to stop. */
	close(): void {
		this.isClosed = true;
		for (const feed of this.feeds.values()) {
			this.endAll(feed, 'the watcher stops');
		}
	}

	private sendChange(feed: Feed, { written, removed, isRestored }: FollowedChange): void {
		if (isRestored) {
			this.endAll(feed, 'the store was restored');
			return;
		}
		if (!this.isCurrent(feed)) {
			// Readers that miss a change get all items later.
			for (const reader of feed.readers) {
				reader.isSynced = false;
			}
			return;
		}
		this.sendToReaders(feed, written, removed);
	}

	private sendHeartbeats(feed: Feed): void {
		if (!this.endIfLost(feed) && this.isCurrent(feed)) {
			this.sendToReaders(feed, [], []);
		}
	}

	/** Ends the feeds of a store that does not answer this entry, so that its readers ask the store themselves. */
	private endIfLost(feed: Feed): boolean {
		const isLost = this.isStoreLost(feed);
		if (isLost) {
			this.endAll(feed, 'the store does not answer the watcher');
		}
		return isLost;
	}

	private sendToReaders(feed: Feed, written: readonly StoreItem[], removed: readonly string[]): void {
		for (const reader of [...feed.readers]) {
			if (reader.isSynced) {
				reader.observer.receive({ ...this.describe(feed, reader), isListing: false, written, removed });
			} else {
				this.startReader(feed, reader);
			}
		}
	}

	/** Sends all items, unless the reader has them. A reader that is ahead waits until this entry is there too. */
	private startReader(feed: Feed, reader: Reader): void {
		const { source } = feed;
		const { request, observer } = reader;
		if (!this.isCurrent(feed)) {
			return;
		}
		if (request.era !== undefined && request.era !== source.getEra()) {
			this.remove(feed, reader);
			observer.end('another era of the store');
			return;
		}
		if (request.revision > source.getRevision()) {
			return;
		}
		reader.isSynced = true;
		const isListing = request.revision < source.getRevision();
		const written = isListing ? source.listItems() : [];
		observer.receive({ ...this.describe(feed, reader), isListing, written, removed: [] });
	}

	private isStoreLost({ source, isTurnedAway }: Feed): boolean {
		return isTurnedAway() || (!source.isReached() && source.getCurrentAsOfMs() !== undefined);
	}

	/** Whether what this entry has may be passed on as the state of the store. */
	private isCurrent({ source, isDirect }: Feed): boolean {
		const asOfMs = source.getCurrentAsOfMs();
		const isYoung = asOfMs !== undefined && this.timers.getNow() - asOfMs <= this.times.maxAgeMs;
		return isDirect() && source.isReached() && isYoung && source.getRevision() > 0;
	}

	/** Rounds so that the state never appears fresher than it is. */
	private describe(
		{ source }: Feed,
		{ acceptedMs }: Reader,
	): Pick<FeedMessage, 'revision' | 'era' | 'ageMs' | 'elapsedMs'> {
		const asOfMs = source.getCurrentAsOfMs() ?? 0;
		const nowMs = this.timers.getNow();
		return {
			revision: source.getRevision(),
			era: source.getEra(),
			ageMs: Math.max(0, Math.ceil(nowMs - asOfMs)),
			elapsedMs: Math.floor(nowMs - acceptedMs),
		};
	}

	private endAll(feed: Feed, reason: string): void {
		for (const reader of [...feed.readers]) {
			this.remove(feed, reader);
			reader.observer.end(reason);
		}
	}

	private remove(feed: Feed, reader: Reader): void {
		if (feed.readers.delete(reader) && feed.readers.size === 0) {
			feed.leftMs = this.timers.getNow();
		}
	}
}

/**
 * A client of the platform's store that gets the changes from an entry that watches the store, where there is one.
 *
 * Failures and how they are handled:
 *
 * - The watcher is killed, frozen, cut off or loses the store. Its feed ends or falls silent, and the store is asked
 *   directly at once. The feed's silence limit leaves enough of the maximum delay of a change for that.
 * - Several watchers cannot be reached. The store is asked directly for a few seconds before the next feed is opened.
 * - The entry has just started. Its first watch waits until the other entries are known: all entries may start at once, and
 *   each change would wake all of them.
 * - After a failed call, a suspension of the process or a restore the present state is wanted, so the store is asked.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { waitFor } from '../../../base/common/waitFor';
import type { InstanceId } from '../../../core/ids/common/ids';
import type {
	IStoreClient,
	StoreError,
	StoreEra,
	StorePage,
	StoreWatchResult,
} from '../../../core/store/common/storeClient';
import { StoreChangeKind, StoreErrorKind } from '../../../core/store/common/storeClient';
import { FeedReader, FeedWaitEnd } from './feedReader';
import type { FeedMessage, FeedTimes, IFeedOpener } from './storeFeed';

/** Chooses the entry whose feed is read. */
export interface IWatcherChooser {
	/** @param excluded Entries whose feeds failed lately. Undefined if this entry has to watch the store itself. */
	pick(excluded: ReadonlySet<InstanceId>): InstanceId | undefined;
	/** Whether other entries read the changes of a prefix here. */
	isRead(prefix: string): boolean;
}

/** Receives each change of where the changes of a prefix come from. */
export type NoteSource = (prefix: string, watcher: InstanceId | undefined, reason: string) => void;

/** Two feeds lost within this time are not followed by another one at once. */
const repeatedLossMs = 10_000;
/** Time for which the store is asked directly after that, drawn between these bounds. */
const minDirectMs = 2_000;
const maxDirectMs = 5_000;
/** Time for which a watcher whose feed was lost is not chosen. */
const excludedMs = 30_000;

interface PrefixState {
	feed: FeedReader | undefined;
	directUntilMs: number;
	/** When the last feed was lost. */
	lostMs: number;
	/** Whether the last answer came from the store itself. */
	isDirect: boolean;
}

export class RelayedStoreClient implements IStoreClient {
	private readonly prefixes = new Map<string, PrefixState>();
	private readonly excludedUntilMs = new Map<InstanceId, number>();
	private readonly startedMs: number;
	private era: StoreEra | undefined;

	constructor(
		private readonly store: IStoreClient,
		private readonly opener: IFeedOpener,
		private readonly chooser: IWatcherChooser,
		private readonly times: FeedTimes,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		private readonly noteSource: NoteSource,
	) {
		this.startedMs = timers.getNow();
	}

	/** Whether the last answer for a prefix came from the store itself. */
	isDirect(prefix: string): boolean {
		return this.prefixes.get(prefix)?.isDirect ?? false;
	}

	async list(
		prefix: string,
		afterKey: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>> {
		const state = this.getState(prefix);
		const listing = state.feed?.getNext();
		if (afterKey === undefined && listing?.isListing === true) {
			state.feed?.take();
			const { written, revision, era, ageMs } = listing;
			return ok({ items: written, hasMore: false, revision, era, ageMs, isRelayed: true });
		}
		this.closeFeed(prefix, state, 'a listing is needed');
		state.isDirect = true;
		return this.noteEra(await this.store.list(prefix, afterKey, signal));
	}

	async watch(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		const state = this.getState(prefix);
		if (waitMs === 0) {
			this.closeFeed(prefix, state, 'the present state is needed');
			return this.watchStore(prefix, state, afterRevision, waitMs, signal);
		}
		const remainingMs = waitMs - (await this.waitUntilSettled(waitMs, signal));
		const feed = this.findFeed(prefix, state, afterRevision);
		if (feed === undefined) {
			return this.watchStore(prefix, state, afterRevision, remainingMs, signal);
		}
		switch (await feed.wait(remainingMs, signal)) {
			case FeedWaitEnd.Message:
				state.isDirect = false;
				return this.takeMessage(feed);
			case FeedWaitEnd.Unchanged:
				state.isDirect = false;
				return ok(createAnswer(feed.getLatest(), afterRevision));
			case FeedWaitEnd.Cancelled:
				return err({ kind: StoreErrorKind.Unreachable, detail: 'the call was cancelled' });
			case FeedWaitEnd.Lost:
				this.abandonFeed(prefix, state, feed);
				return this.watchStore(prefix, state, afterRevision, 0, signal);
		}
	}

	async close(): Promise<void> {
		for (const state of this.prefixes.values()) {
			state.feed?.dispose();
			state.feed = undefined;
		}
		await this.store.close();
	}

	private async watchStore(
		prefix: string,
		state: PrefixState,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		state.isDirect = true;
		return this.noteEra(await this.store.watch(prefix, afterRevision, waitMs, signal));
	}

	/** Waits after the start until the other entries are known; returns the time that passed, in milliseconds. */
	private async waitUntilSettled(waitMs: number, signal: AbortSignal): Promise<number> {
		const beganMs = this.timers.getNow();
		const settleMs = Math.min(waitMs, this.startedMs + this.times.settleMs - beganMs);
		if (settleMs <= 0) {
			return 0;
		}
		await waitFor(this.timers, settleMs, signal);
		return this.timers.getNow() - beganMs;
	}

	/** A listing is left for the call of `list` that follows the answer. */
	private takeMessage(feed: FeedReader): Result<StoreWatchResult, StoreError> {
		const message = feed.getNext();
		if (message?.isListing === true) {
			const { era } = message;
			return err({ kind: StoreErrorKind.ListingReady, detail: 'the feed has all items', era });
		}
		feed.take();
		return ok(createAnswer(message, 0));
	}

	private findFeed(prefix: string, state: PrefixState, revision: number): FeedReader | undefined {
		const nowMs = this.timers.getNow();
		if (this.chooser.isRead(prefix)) {
			this.closeFeed(prefix, state, 'others read the changes here');
			return undefined;
		}
		const watcher = this.chooser.pick(this.listExcluded(nowMs));
		if (watcher === undefined) {
			this.closeFeed(prefix, state, 'this entry is a watcher');
			return undefined;
		}
		if (state.feed !== undefined) {
			return state.feed;
		}
		if (nowMs < state.directUntilMs) {
			return undefined;
		}
		const request = { prefix, revision, era: this.era };
		state.feed = new FeedReader(watcher, request, this.opener, this.times, this.timers);
		this.noteSource(prefix, watcher, 'watches the store for this entry');
		return state.feed;
	}

	private abandonFeed(prefix: string, state: PrefixState, feed: FeedReader): void {
		const nowMs = this.timers.getNow();
		this.excludedUntilMs.set(feed.watcher, nowMs + excludedMs);
		if (nowMs - state.lostMs < repeatedLossMs) {
			state.directUntilMs = nowMs + minDirectMs + this.random.pickFraction() * (maxDirectMs - minDirectMs);
		}
		state.lostMs = nowMs;
		this.closeFeed(prefix, state, feed.lostReason);
	}

	private closeFeed(prefix: string, state: PrefixState, reason: string): void {
		if (state.feed === undefined) {
			return;
		}
		state.feed.dispose();
		state.feed = undefined;
		this.noteSource(prefix, undefined, reason);
	}

	private listExcluded(nowMs: number): ReadonlySet<InstanceId> {
		for (const [instance, untilMs] of this.excludedUntilMs) {
			if (nowMs >= untilMs) {
				this.excludedUntilMs.delete(instance);
			}
		}
		return new Set(this.excludedUntilMs.keys());
	}

	private noteEra<TValue extends { readonly era?: StoreEra | undefined }>(
		answer: Result<TValue, StoreError>,
	): Result<TValue, StoreError> {
		const era = answer.isOk() ? answer.value.era : answer.error.era;
		if (era !== undefined && era > (this.era ?? 0)) {
			this.era = era;
		}
		return answer;
	}

	private getState(prefix: string): PrefixState {
		const known = this.prefixes.get(prefix);
		if (known !== undefined) {
			return known;
		}
		const state: PrefixState = {
			feed: undefined,
			directUntilMs: 0,
			lostMs: Number.NEGATIVE_INFINITY,
			isDirect: false,
		};
		this.prefixes.set(prefix, state);
		return state;
	}
}

function createAnswer(message: FeedMessage | undefined, afterRevision: number): StoreWatchResult {
	if (message === undefined) {
		return { changes: [], revision: afterRevision, isRelayed: true };
	}
	const { written, removed, revision, era, ageMs } = message;
	return {
		changes: [
			...written.map(item => ({ kind: StoreChangeKind.Written as const, item })),
			...removed.map(key => ({ kind: StoreChangeKind.Removed as const, key, revision })),
		],
		revision: Math.max(revision, afterRevision),
		era,
		ageMs,
		isRelayed: true,
	};
}

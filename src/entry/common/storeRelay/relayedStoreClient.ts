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
 * - The store turns this entry away, or the path to it is cut. Another entry is asked for a feed for some seconds, also by an
 *   entry that would watch the store itself, and by one that has no listing yet. Each new read asks the store at the same time,
 *   and whoever answers first is read.
 * - After a suspension of the process or a restore the present state is wanted, so the store is asked.
 * - Others begin to read here. The store is read at once, so that they do not wait for the end of a feed's wait.
 *
 * If the age of what this entry knows has a bound, two more rules keep it known while any other entry in reach has the store:
 *
 * - The feed is lost and the store does not answer at once. Several other entries are asked meanwhile, one after the other, also
 *   those of other regions.
 * - The store did not answer some seconds ago. It is probed beside the feed, which is kept until the store answers.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { IClock } from '../../../base/common/elapsedClock';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { waitFor, waitForResult } from '../../../base/common/waitFor';
import type { InstanceId } from '../../../core/ids/common/ids';
import type {
	IStoreClient,
	IStoreProbe,
	StoreError,
	StoreEra,
	StorePage,
	StoreWatchResult,
} from '../../../core/store/common/storeClient';
import { StoreChangeKind, StoreErrorKind } from '../../../core/store/common/storeClient';
import { computeWatchAsOfMs } from '../../../core/store/common/watchAge';
import { DirectStoreReader, isStoreSilent, isUnanswered } from './directStoreReader';
import type { ReceivedMessage } from './feedReader';
import { FeedReader, FeedWaitEnd } from './feedReader';
import type { FeedTimes, IFeedOpener } from './storeFeed';

/** Chooses the entry whose feed is read. */
export interface IWatcherChooser {
	/**
	 * Returns undefined if this entry has to watch the store itself.
	 *
	 * @param excluded Entries whose feeds failed lately.
	 * @param isOwnExcluded Whether the store does not answer this entry.
	 * @param isAnyRegion Whether an entry of another region is preferred.
	 */
	pick(
		excluded: ReadonlySet<InstanceId>,
		isOwnExcluded: boolean,
		isAnyRegion?: boolean,
	): InstanceId | undefined;
	/** Whether other entries read the changes of a prefix here. */
	isRead(prefix: string): boolean;
}

/** Receives what the client decides, for the log. */
export interface IRelayObserver {
	/** The changes of a prefix come from another entry now, or from the store if there is none. */
	noteSource(prefix: string, watcher: InstanceId | undefined, reason: string): void;
	/** A read of the present state was not answered, and the store is asked once more. */
	noteUnanswered(prefix: string, waitedMs: number): void;
}

/** Two feeds lost within this time are not followed by another one at once. */
const repeatedLossMs = 10_000;
/** Time for which the store is asked directly after that, drawn between these bounds. */
const minDirectMs = 2_000;
const maxDirectMs = 5_000;
/** Time after a failed call for which other entries are asked. */
const turnedAwayMs = 8_000;
/** Time for which a watcher whose feed was lost is not chosen. */
const excludedMs = 30_000;

/** Shows that the store answered before another entry did. */
const storeAnswered = Symbol('the store answered');

interface PrefixState {
	feed: FeedReader | undefined;
	directUntilMs: number;
	/** When the last feed was lost. */
	lostMs: number;
	/** The store does not answer this entry, and others are asked until this time. */
	turnedAwayUntilMs: number;
	/** Whether the store has not answered since a call failed. */
	isFailing: boolean;
	isProbing: boolean;
	/** Number of entries that were asked since the store last answered. */
	askedCount: number;
	/** Whether the last answer came from the store itself. A call that is not answered yet does not count. */
	isDirect: boolean;
}

export class RelayedStoreClient implements IStoreClient {
	private readonly prefixes = new Map<string, PrefixState>();
	private readonly excludedUntilMs = new Map<InstanceId, number>();
	private readonly startedMs: number;
	private readonly reader: DirectStoreReader;
	private era: StoreEra | undefined;

	constructor(
		private readonly store: IStoreClient & IStoreProbe,
		private readonly opener: IFeedOpener,
		private readonly chooser: IWatcherChooser,
		private readonly times: FeedTimes,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		private readonly observer: IRelayObserver,
		/** Measures the ages of answers; also counts suspensions if ages are bounded. */
		private readonly ageClock: IClock = timers,
	) {
		this.startedMs = timers.getNow();
		this.reader = new DirectStoreReader(
			store,
			times,
			timers,
			prefix => chooser.isRead(prefix),
			(prefix, waitedMs) => {
				observer.noteUnanswered(prefix, waitedMs);
			},
		);
	}

	/** Whether the last answer for a prefix came from the store itself. */
	isDirect(prefix: string): boolean {
		return this.prefixes.get(prefix)?.isDirect ?? false;
	}

	/** Whether the store does not answer this entry at present, as far as it knows; only if ages are bounded. */
	isFailing(prefix: string): boolean {
		const state = this.prefixes.get(prefix);
		return state !== undefined && this.isAgeBounded() && this.isTurnedAway(state);
	}

	/** Called when another entry begins to read the changes here. */
	noteReader(prefix: string): void {
		this.prefixes.get(prefix)?.feed?.endWait();
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
			const { written, revision, era, asOfMs } = listing;
			return ok({ items: written, hasMore: false, revision, era, asOfMs, isRelayed: true });
		}
		this.closeFeed(prefix, state, 'a listing is needed');
		return afterKey === undefined && this.isTurnedAway(state)
			? this.listFromStoreOrOthers(prefix, state, signal)
			: this.listFromStore(prefix, state, afterKey, signal);
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
			return this.watchStoreOrOthers(prefix, state, afterRevision, signal);
		}
		const remainingMs = waitMs - (await this.waitUntilSettled(waitMs, signal));
		const hadFeed = state.feed !== undefined;
		const feed = this.findFeed(prefix, state, afterRevision);
		if (feed === undefined) {
			// The answer to a read that waits would come too late for others that read here.
			return hadFeed || !state.isDirect
				? this.watchStoreOrOthers(prefix, state, afterRevision, signal)
				: this.watchStore(prefix, state, afterRevision, remainingMs, signal);
		}
		this.probeStore(prefix, state, afterRevision);
		switch (await feed.wait(remainingMs, signal)) {
			case FeedWaitEnd.Message:
			case FeedWaitEnd.Unchanged:
				state.isDirect = false;
				return this.takeMessage(feed, afterRevision);
			case FeedWaitEnd.Cancelled:
				return err({ kind: StoreErrorKind.Unreachable, detail: 'the call was cancelled' });
			case FeedWaitEnd.Lost:
				this.abandonFeed(prefix, state, feed);
				return this.watchStoreOrOthers(prefix, state, afterRevision, signal);
		}
	}

	async close(): Promise<void> {
		this.reader.dispose();
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
		const sentMs = this.ageClock.getNow();
		const startedMs = this.timers.getNow();
		const answer = await this.reader.watch(prefix, afterRevision, waitMs, signal);
		const tookMs = this.timers.getNow() - startedMs;
		return this.noteStoreAnswer(state, answer, signal).map(result => ({
			...result,
			asOfMs: computeWatchAsOfMs({ sentMs, waitMs, tookMs, isEmpty: result.changes.length === 0 }),
		}));
	}

	private async listFromStore(
		prefix: string,
		state: PrefixState,
		afterKey: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>> {
		return this.noteStoreAnswer(state, await this.store.list(prefix, afterKey, signal), signal);
	}

	/** Asks a store that did not answer lately and another entry at the same time. */
	private async listFromStoreOrOthers(
		prefix: string,
		state: PrefixState,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>> {
		const storeCall = new AbortController();
		const callSignal = AbortSignal.any([signal, storeCall.signal]);
		const storeAnswer = this.listFromStore(prefix, state, undefined, callSignal);
		const feed = await this.findFeedUntilAnswer(prefix, state, 0, storeAnswer, signal);
		if (feed?.getNext()?.isListing !== true) {
			return storeAnswer;
		}
		storeCall.abort();
		state.isDirect = false;
		return this.list(prefix, undefined, signal);
	}

	/** Asks the store and, if it does not answer soon, also other entries. */
	private async watchStoreOrOthers(
		prefix: string,
		state: PrefixState,
		afterRevision: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		const storeCall = new AbortController();
		const storeAnswer = this.watchStore(
			prefix,
			state,
			afterRevision,
			0,
			AbortSignal.any([signal, storeCall.signal]),
		);
		const quickAnswer = state.isFailing
			? undefined
			: await waitForResult(this.timers, this.times.settleMs, storeAnswer);
		if (signal.aborted || (quickAnswer !== undefined && !isStoreSilent(quickAnswer))) {
			return quickAnswer ?? storeAnswer;
		}
		state.turnedAwayUntilMs = this.timers.getNow() + turnedAwayMs;
		const feed = await this.findFeedUntilAnswer(prefix, state, afterRevision, storeAnswer, signal);
		if (feed === undefined) {
			return storeAnswer;
		}
		storeCall.abort();
		state.isDirect = false;
		return this.takeMessage(feed, afterRevision);
	}

	/**
	 * Searches for a feed of another entry until the store answers, and returns undefined in that case or if there is none.
	 * That the store no longer has the changes is an answer, too: a listing has to follow at once.
	 */
	private async findFeedUntilAnswer(
		prefix: string,
		state: PrefixState,
		revision: number,
		storeAnswer: Promise<Result<unknown, StoreError>>,
		signal: AbortSignal,
	): Promise<FeedReader | undefined> {
		const search = new AbortController();
		const first = await Promise.race([
			this.openWhileTurnedAway(prefix, state, revision, AbortSignal.any([signal, search.signal])),
			storeAnswer.then(async answer =>
				isStoreSilent(answer) ? new Promise<never>(() => undefined) : storeAnswered,
			),
		]);
		if (first === undefined || first instanceof FeedReader) {
			return first;
		}
		search.abort();
		this.closeFeed(prefix, state, 'the store answers');
		return undefined;
	}

	/** Asks a store that has failed some seconds ago whether it answers again, while a feed is read. */
	private probeStore(prefix: string, state: PrefixState, afterRevision: number): void {
		if (!state.isFailing || state.isProbing || this.timers.getNow() < state.turnedAwayUntilMs) {
			return;
		}
		state.isProbing = true;
		const probe = new AbortController();
		const limit = this.timers.schedule(this.times.silenceMs, () => {
			probe.abort();
		});
		void this.store.watch(prefix, afterRevision, 0, probe.signal).then(answer => {
			limit.dispose();
			state.isProbing = false;
			this.noteAnswer(state, answer);
		});
	}

	private isAgeBounded(): boolean {
		return this.times.bounds !== undefined;
	}

	/** If ages are bounded, the store counts as failing until a probe is answered. */
	private isTurnedAway({ turnedAwayUntilMs, isFailing }: PrefixState): boolean {
		return this.timers.getNow() < turnedAwayUntilMs || (this.isAgeBounded() && isFailing);
	}

	/** Opens a feed of any other entry, and returns it if its first message comes soon. */
	private async openWhileTurnedAway(
		prefix: string,
		state: PrefixState,
		revision: number,
		signal: AbortSignal,
	): Promise<FeedReader | undefined> {
		const asked = new Set<InstanceId>();
		for (;;) {
			const watcher = this.pickWhileTurnedAway(state, asked);
			if (watcher === undefined || signal.aborted) {
				return undefined;
			}
			asked.add(watcher);
			const feed = await this.openOf(watcher, prefix, state, revision, signal);
			if (feed !== undefined || !this.isAgeBounded()) {
				return feed;
			}
		}
	}

	private async openOf(
		watcher: InstanceId,
		prefix: string,
		state: PrefixState,
		revision: number,
		signal: AbortSignal,
	): Promise<FeedReader | undefined> {
		const feed = this.openFeed(prefix, state, watcher, revision);
		const end = await feed.waitForFirst(this.times.settleMs, signal);
		if (end === FeedWaitEnd.Message && !feed.isTooOld()) {
			return feed;
		}
		if (end !== FeedWaitEnd.Cancelled) {
			this.abandonFeed(prefix, state, feed);
		}
		return undefined;
	}

	/**
	 * If ages are bounded, picks entries of this region and of others in turn, and those whose feeds failed lately after all
	 * others.
	 */
	private pickWhileTurnedAway(state: PrefixState, asked: ReadonlySet<InstanceId>): InstanceId | undefined {
		const excluded = this.listExcluded(this.timers.getNow());
		if (!this.isAgeBounded()) {
			return this.chooser.pick(excluded, true);
		}
		const isAnyRegion = state.askedCount % 2 === 1;
		state.askedCount++;
		return (
			this.chooser.pick(new Set([...excluded, ...asked]), true, isAnyRegion) ??
			this.chooser.pick(asked, true, isAnyRegion)
		);
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

	/** A listing is left for the call of `list` that follows the answer. Without a next message, nothing changed. */
	private takeMessage(feed: FeedReader, afterRevision: number): Result<StoreWatchResult, StoreError> {
		const message = feed.getNext() ?? feed.getLatest();
		if (message === undefined) {
			return err({ kind: StoreErrorKind.Unreachable, detail: 'the feed has sent nothing yet' });
		}
		if (message.isListing) {
			const { era } = message;
			return err({ kind: StoreErrorKind.ListingReady, detail: 'the feed has all items', era });
		}
		feed.take();
		return ok(createAnswer(message, afterRevision));
	}

	private findFeed(prefix: string, state: PrefixState, revision: number): FeedReader | undefined {
		const nowMs = this.timers.getNow();
		const isTurnedAway = this.isTurnedAway(state);
		if (this.chooser.isRead(prefix) && !isTurnedAway) {
			this.closeFeed(prefix, state, 'others read the changes here');
			return undefined;
		}
		const watcher = this.chooser.pick(this.listExcluded(nowMs), isTurnedAway);
		const isKept = state.feed !== undefined && this.isAgeBounded() && isTurnedAway;
		if (watcher === undefined && !isKept) {
			this.closeFeed(prefix, state, 'this entry is a watcher');
			return undefined;
		}
		if (state.feed?.isRenewalDue() === true) {
			return this.renewFeed(prefix, state, state.feed, revision);
		}
		if (state.feed !== undefined) {
			return state.feed;
		}
		if (watcher === undefined || nowMs < state.directUntilMs) {
			return undefined;
		}
		return this.openFeed(prefix, state, watcher, revision);
	}

	private openFeed(prefix: string, state: PrefixState, watcher: InstanceId, revision: number): FeedReader {
		const feed = this.createFeed(prefix, watcher, revision);
		state.feed = feed;
		this.observer.noteSource(prefix, watcher, 'watches the store for this entry');
		return feed;
	}

	/** Opens the feed of the same watcher again. */
	private renewFeed(prefix: string, state: PrefixState, old: FeedReader, revision: number): FeedReader {
		const feed = this.createFeed(prefix, old.watcher, revision);
		old.dispose();
		state.feed = feed;
		return feed;
	}

	private createFeed(prefix: string, watcher: InstanceId, revision: number): FeedReader {
		const request = { prefix, revision, era: this.era };
		return new FeedReader(watcher, request, this.opener, this.times, this.timers, this.ageClock);
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
		this.observer.noteSource(prefix, undefined, reason);
	}

	private listExcluded(nowMs: number): ReadonlySet<InstanceId> {
		for (const [instance, untilMs] of this.excludedUntilMs) {
			if (nowMs >= untilMs) {
				this.excludedUntilMs.delete(instance);
			}
		}
		return new Set(this.excludedUntilMs.keys());
	}

	/** Also notes that the state came from the store. An answer to a cancelled call is not used. */
	private noteStoreAnswer<TValue extends { readonly era?: StoreEra | undefined }>(
		state: PrefixState,
		answer: Result<TValue, StoreError>,
		signal: AbortSignal,
	): Result<TValue, StoreError> {
		state.isDirect = answer.isOk() && !signal.aborted;
		return this.noteAnswer(state, answer);
	}

	/** Keeps the era of an answer of the store, and whether the store turns this entry away. */
	private noteAnswer<TValue extends { readonly era?: StoreEra | undefined }>(
		state: PrefixState,
		answer: Result<TValue, StoreError>,
	): Result<TValue, StoreError> {
		const era = answer.isOk() ? answer.value.era : answer.error.era;
		if (era !== undefined && era > (this.era ?? 0)) {
			this.era = era;
		}
		if (answer.isErr() && isUnanswered(answer.error)) {
			state.isFailing = true;
			state.turnedAwayUntilMs = this.timers.getNow() + turnedAwayMs;
		} else {
			state.turnedAwayUntilMs = 0;
			state.isFailing = false;
			state.askedCount = 0;
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
			turnedAwayUntilMs: 0,
			isFailing: false,
			isProbing: false,
			askedCount: 0,
			isDirect: false,
		};
		this.prefixes.set(prefix, state);
		return state;
	}
}

function createAnswer(message: ReceivedMessage, afterRevision: number): StoreWatchResult {
	const { written, removed, revision, era, asOfMs } = message;
	return {
		changes: [
			...written.map(item => ({ kind: StoreChangeKind.Written as const, item })),
			...removed.map(key => ({ kind: StoreChangeKind.Removed as const, key, revision })),
		],
		revision: Math.max(revision, afterRevision),
		era,
		asOfMs,
		isRelayed: true,
	};
}

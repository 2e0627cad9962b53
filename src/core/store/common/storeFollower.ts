/**
 * Tracks the items below one prefix of the store: lists them once, then repeats watch calls (long polling).
 *
 * Failures and how they are handled:
 *
 * - The store is down, rejects calls, or its answers are lost. Calls are repeated after a pause, and calls do not wait
 *   at the store until one has been answered; otherwise the end of an outage could be detected too late by a whole wait.
 * - The store no longer keeps the changes from which a watch would continue. All items are listed again.
 * - The store is restored from an older copy. Its revisions go back and are assigned again, so a watch that
 *   continues from the last known revision could miss changes. Each answer includes the store's era; when it
 *   increases, everything is listed again.
 * - A connection stops delivering data without being closed. The store is asked to end a watch after a maximum wait,
 *   and a call that takes longer than that wait and a margin is aborted. This bounds the delay of changes.
 */

import type { Stream } from 'most';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Channel } from '../../../base/common/channel';
import type { IClock } from '../../../base/common/elapsedClock';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { waitFor } from '../../../base/common/waitFor';
import type { WatchTimings } from '../../following/common/watchBackoff';
import { computeWatchTimings, WatchBackoff } from '../../following/common/watchBackoff';
import type { IStoreClient, StoreEra, StoreError, StoreItem, StorePage } from './storeClient';
import { StoreErrorKind } from './storeClient';
import type { MirrorChange } from './storeMirror';
import { hasChangedItems, StoreMirror } from './storeMirror';
import { computeWatchAsOfMs } from './watchAge';

/** A change of the items below the prefix. The first one is emitted even if there are no items. */
export interface FollowedChange extends MirrorChange {
	readonly revision: number;
	/**
	 * Whether the store has just recovered from an outage or was restored from an older copy. Healthy targets may
	 * write missing entries again shortly.
	 */
	readonly isAfterOutage: boolean;
}

/** The store became unreachable or reachable. */
export interface StoreReachability {
	readonly isReached: boolean;
	/** Why the store is unreachable; empty when it is reachable again. */
	readonly detail: string;
	/** Duration of the outage in milliseconds; 0 when it begins. */
	readonly awayMs: number;
}

/** The store was restored from an older copy. */
export interface StoreRestore {
	readonly fromEra: StoreEra;
	readonly toEra: StoreEra;
	/** The revision up to which all changes had been applied. */
	readonly heldRevision: number;
	/** The store's revision in the answer that revealed the restore, if it included one. */
	readonly foundRevision: number | undefined;
}

/** Kind of a call to the store. */
export enum StoreCallKind {
	List = 'list',
	Watch = 'watch',
}

/** Result of a call to the store; emitted for every call, so that an outage can be analysed call by call. */
export interface StoreCallEnd {
	readonly call: StoreCallKind;
	/** The revision up to which all changes had been applied when the call was made. */
	readonly heldRevision: number;
	/** How long the store was asked to wait for a change, in milliseconds. */
	readonly waitMs: number;
	readonly tookMs: number;
	/** Whether the answer contained items or changes. */
	readonly hasData: boolean;
	/** Why the call failed, or undefined if it was answered. */
	readonly fault: StoreError | undefined;
	readonly era: StoreEra | undefined;
	/** Whether another process answered for the store. */
	readonly isRelayed: boolean;
}

/** How far the changes of the store are known. Revisions are comparable only within one era. */
export interface StorePosition {
	readonly revision: number;
	readonly era: StoreEra | undefined;
}

/** The listing since which all changes are known. */
export interface FollowStart extends StorePosition {
	/** In monotonic milliseconds. */
	readonly sinceMs: number;
}

/** How the age of what a follower knows is measured and kept low. */
export interface FollowedAge {
	/** Also counts the time for which the machine is suspended. */
	readonly clock: IClock;
}

/** Shorter periods of failed calls are not an outage, since entries do not expire within them. */
const minOutageMs = 1_000;

/** How long after an outage a change may still be an effect of it. */
const recoveryGraceMs = 2_500;

/** A listing does not show what was written and removed before it. Shorter times since the last known state are no gap. */
const maxUnseenMs = 2_000;

/** Emits the changes of one prefix until it is disposed. */
export class StoreFollower extends Disposable {
	private readonly abort = new AbortController();
	private readonly mirror = new StoreMirror();
	private readonly changes = this.register(new Channel<FollowedChange>());
	private readonly reachabilityChanges = this.register(new Channel<StoreReachability>());
	private readonly callEnds = this.register(new Channel<StoreCallEnd>());
	private readonly restores = this.register(new Channel<StoreRestore>());
	private readonly timings: WatchTimings;
	private readonly backoff: WatchBackoff;
	private currentCall: AbortController | undefined;
	/** Resolves the pending `refresh` calls when the next read ends. */
	private readonly pendingRefreshes: (() => void)[] = [];
	private era: StoreEra | undefined;
	/** Number of restores detected; if it changes, a listing is restarted and a failed read is repeated without a pause. */
	private restoreCount = 0;
	private lastAnswerMs: number | undefined;
	private readonly ageClock: IClock;
	/** The items are known as they were at this time of the age clock. */
	private currentAsOfMs: number | undefined;
	/** All changes since this time of the age clock are known. */
	private followedSinceMs: number | undefined;
	/** The position of the listing at that time; undefined if a restore was noticed while it was applied. */
	private followedFrom: StorePosition | undefined;
	/** All changes up to this position have been emitted. */
	private emittedPosition: StorePosition | undefined;
	/** The time of the state that the answer of the last call describes, by the age clock. */
	private answerAsOfMs = 0;
	private isAnswerListed = false;
	private isAnswerRelayed = false;
	/** When the next answer is due at the latest, or the pause before the next call ends. */
	private nextReadMs: number;
	private pause: AbortController | undefined;
	private unreachableSinceMs: number | undefined;
	private recoveredMs = Number.NEGATIVE_INFINITY;

	readonly onDidChange: Stream<FollowedChange> = this.changes.stream;
	readonly onDidChangeReachability: Stream<StoreReachability> = this.reachabilityChanges.stream;
	readonly onDidEndCall: Stream<StoreCallEnd> = this.callEnds.stream;
	readonly onDidRestore: Stream<StoreRestore> = this.restores.stream;

	/**
	 * @param maxDelayMs Maximum delay in milliseconds with which a change is received while the store answers.
	 * @param age If given, the age of what is known stays below that delay while the store answers.
	 */
	constructor(
		private readonly prefix: string,
		private readonly client: IStoreClient,
		private readonly timers: ITimerService,
		random: IRandom,
		maxDelayMs: number,
		private readonly age?: FollowedAge,
	) {
		super();
		this.ageClock = age?.clock ?? timers;
		this.nextReadMs = timers.getNow();
		this.timings = computeWatchTimings(maxDelayMs);
		this.backoff = new WatchBackoff(this.timings, random);
		this.register(
			toDisposable(() => {
				this.abort.abort();
			}),
		);
	}

	/** Reads changes until disposed. */
	async follow(): Promise<void> {
		while (!this.abort.signal.aborted) {
			await this.readOnce();
		}
	}

	/** Milliseconds since the store last answered, or undefined before the first answer. */
	getTimeSinceAnswerMs(): number | undefined {
		return this.lastAnswerMs === undefined ? undefined : this.timers.getNow() - this.lastAnswerMs;
	}

	/** The items are known as they were at this time, in monotonic milliseconds; undefined before the first answer. */
	getCurrentAsOfMs(): number | undefined {
		return this.toMonotonic(this.currentAsOfMs);
	}

	/** All changes since this time are known, in monotonic milliseconds; undefined before the first answer. */
	getFollowedSinceMs(): number | undefined {
		return this.toMonotonic(this.followedSinceMs);
	}

	/** The listing since which all changes are known; undefined before the first one. */
	getFollowStart(): FollowStart | undefined {
		const sinceMs = this.getFollowedSinceMs();
		return sinceMs === undefined || this.followedFrom === undefined
			? undefined
			: { ...this.followedFrom, sinceMs };
	}

	/** The position up to which all changes have been emitted; undefined before the first listing and after a restore. */
	getEmittedPosition(): StorePosition | undefined {
		return this.emittedPosition;
	}

	/** Milliseconds since the items were known to be those of the store; undefined before the first answer. */
	getAgeMs(): number | undefined {
		return this.currentAsOfMs === undefined ? undefined : this.ageClock.getNow() - this.currentAsOfMs;
	}

	/** Milliseconds until the current call ends at the latest, or until the store is asked again after a failure. */
	getNextReadInMs(): number {
		return Math.max(0, this.nextReadMs - this.timers.getNow());
	}

	/** Whether the latest call was answered. */
	isReached(): boolean {
		return this.lastAnswerMs !== undefined && this.unreachableSinceMs === undefined;
	}

	/**
	 * Aborts the current call and asks the store for the present state without waiting. Resolves when that read has
	 * succeeded or failed. Used after the process was suspended, when the connection of the current call may be dead.
	 */
	async refresh(): Promise<void> {
		this.backoff.markStale();
		await new Promise<void>(resolve => {
			this.pendingRefreshes.push(resolve);
			this.currentCall?.abort();
			this.pause?.abort();
		});
	}

	/** The revision up to which all changes are applied; 0 while the items are listed. */
	getRevision(): number {
		return this.mirror.revision;
	}

	listItems(): readonly StoreItem[] {
		return this.mirror.listItems();
	}

	/** The highest era seen, or undefined before the first answer that includes one. */
	getEra(): StoreEra | undefined {
		return this.era;
	}

	/** Applies the era seen by another follower of the same store; if it is higher than the known one, lists again. */
	updateEra(era: StoreEra): void {
		if (this.era !== undefined && era > this.era) {
			this.handleRestore(era, undefined);
			this.currentCall?.abort();
		}
	}

	private toMonotonic(ageClockMs: number | undefined): number | undefined {
		if (this.age === undefined || ageClockMs === undefined) {
			return ageClockMs;
		}
		return this.timers.getNow() - (this.ageClock.getNow() - ageClockMs);
	}

	private async readOnce(): Promise<void> {
		const refreshes = this.pendingRefreshes.splice(0);
		await this.readAndEmit();
		for (const resolve of refreshes) {
			resolve();
		}
	}

	private async readAndEmit(): Promise<void> {
		const { restoreCount } = this;
		const read = this.mirror.revision === 0 ? await this.listAll() : await this.watchOnce();
		const isRestored = restoreCount !== this.restoreCount;
		if (this.abort.signal.aborted || (read.isErr() && (isRestored || this.pendingRefreshes.length > 0))) {
			return;
		}
		if (read.isErr()) {
			this.recordFailure(read.error);
			await this.waitBeforeNextRead();
			return;
		}
		this.recordAnswer();
		const isFirst = this.emittedPosition === undefined;
		if (isFirst || hasChangedItems(read.value)) {
			const nowMs = this.timers.getNow();
			this.changes.emit({
				...read.value,
				revision: this.mirror.revision,
				isAfterOutage: nowMs - this.recoveredMs < recoveryGraceMs,
			});
		}
		const { revision } = this.mirror;
		this.emittedPosition = revision === 0 ? undefined : { revision, era: this.era };
		const unseenMs = this.answerAsOfMs - (this.currentAsOfMs ?? Number.NEGATIVE_INFINITY);
		if (this.isAnswerListed && unseenMs > maxUnseenMs) {
			this.followedSinceMs = this.answerAsOfMs;
			this.followedFrom = this.emittedPosition;
		}
		// All changes up to the time known before stay applied if a later answer describes an earlier time. A listing does not
		// go on from what was known.
		this.currentAsOfMs = this.isAnswerListed
			? this.answerAsOfMs
			: Math.max(this.answerAsOfMs, this.currentAsOfMs ?? Number.NEGATIVE_INFINITY);
	}

	private async waitBeforeNextRead(): Promise<void> {
		const pauseMs = this.backoff.computePauseMs();
		const pause = new AbortController();
		this.pause = pause;
		this.nextReadMs = this.timers.getNow() + pauseMs;
		await waitFor(this.timers, pauseMs, AbortSignal.any([this.abort.signal, pause.signal]));
		this.pause = undefined;
	}

	/**
	 * How long the next watch may wait. An answer with changes counts from the start of its call. So that the age stays below
	 * the longest wait, the next watch waits for less; it asks for the present state if nothing is left.
	 */
	private computeWaitMs(): number {
		const waitMs = this.backoff.computeWaitMs();
		const ageMs = this.age === undefined || this.isAnswerRelayed ? undefined : this.getAgeMs();
		return ageMs === undefined ? waitMs : Math.max(0, Math.floor(waitMs - ageMs));
	}

	private async watchOnce(): Promise<Result<MirrorChange, StoreError>> {
		const { minPauseMs } = this.timings;
		const waitMs = this.computeWaitMs();
		const startedMs = this.timers.getNow();
		const sentMs = this.ageClock.getNow();
		const result = await this.fetchWithTimeout(
			StoreCallKind.Watch,
			waitMs,
			signal => this.client.watch(this.prefix, this.mirror.revision, waitMs, signal),
			({ changes }) => changes.length > 0,
		);
		if (result.isErr() && isListingNeeded(result.error)) {
			return this.listAll();
		}
		const isEmpty = result.isOk() && result.value.changes.length === 0;
		const tookMs = this.timers.getNow() - startedMs;
		const asOfMs = result.isOk() ? result.value.asOfMs : undefined;
		this.answerAsOfMs = asOfMs ?? computeWatchAsOfMs({ sentMs, waitMs, tookMs, isEmpty });
		this.isAnswerListed = false;
		this.isAnswerRelayed = result.isOk() && result.value.isRelayed === true;
		if (isEmpty && waitMs > 0 && this.timers.getNow() - startedMs < minPauseMs) {
			// Prevents a tight loop if the store ends watches without waiting.
			await waitFor(this.timers, minPauseMs, this.abort.signal);
		}
		return result.map(value => this.mirror.apply(value));
	}

	private async listAll(): Promise<Result<MirrorChange, StoreError>> {
		const items: StoreItem[] = [];
		const { restoreCount } = this;
		this.answerAsOfMs = this.ageClock.getNow();
		this.isAnswerListed = true;
		this.isAnswerRelayed = false;
		let revision: number | undefined;
		for (;;) {
			const afterKey = items.at(-1)?.key;
			const page = await this.fetchWithTimeout(
				StoreCallKind.List,
				0,
				signal => this.client.list(this.prefix, afterKey, signal),
				({ items: listed }) => listed.length > 0,
			);
			if (page.isErr()) {
				return err(page.error);
			}
			if (restoreCount !== this.restoreCount) {
				return err({
					kind: StoreErrorKind.Restored,
					detail: 'store restored between two pages of a listing',
				});
			}
			items.push(...page.value.items);
			revision ??= page.value.revision;
			this.answerAsOfMs = Math.min(this.answerAsOfMs, page.value.asOfMs ?? this.answerAsOfMs);
			this.isAnswerRelayed ||= page.value.isRelayed === true;
			if (!page.value.hasMore || page.value.items.length === 0) {
				return ok(this.mirror.putAll(items, revision));
			}
		}
	}

	/** Makes a call and aborts it if it takes longer than its wait and the answer timeout. */
	private async fetchWithTimeout<TValue extends Partial<Pick<StorePage, 'revision' | 'era' | 'isRelayed'>>>(
		call: StoreCallKind,
		waitMs: number,
		fetch: (signal: AbortSignal) => Promise<Result<TValue, StoreError>>,
		hasData: (answer: TValue) => boolean,
	): Promise<Result<TValue, StoreError>> {
		const startedMs = this.timers.getNow();
		const heldRevision = this.mirror.revision;
		const callController = new AbortController();
		this.currentCall = callController;
		this.nextReadMs = startedMs + waitMs + this.timings.answerTimeoutMs;
		const timer = this.timers.schedule(waitMs + this.timings.answerTimeoutMs, () => {
			callController.abort();
		});
		try {
			const answer = await fetch(AbortSignal.any([this.abort.signal, callController.signal]));
			this.callEnds.emit({
				call,
				heldRevision,
				waitMs,
				tookMs: this.timers.getNow() - startedMs,
				hasData: answer.isOk() && hasData(answer.value),
				fault: answer.isErr() ? answer.error : undefined,
				era: getEra(answer),
				isRelayed: answer.isOk()
					? answer.value.isRelayed === true
					: answer.error.kind === StoreErrorKind.ListingReady,
			});
			return this.checkEra(answer);
		} finally {
			this.currentCall = undefined;
			timer.dispose();
		}
	}

	/** Returns an error for the first answer of a higher era and for every answer of a lower era. */
	private checkEra<TValue extends Partial<Pick<StorePage, 'revision' | 'era'>>>(
		answer: Result<TValue, StoreError>,
	): Result<TValue, StoreError> {
		const era = getEra(answer);
		if (era === undefined || era === this.era) {
			return answer;
		}
		if (this.era === undefined) {
			this.era = era;
			return answer;
		}
		if (era < this.era) {
			const detail = `answer of era ${era} received after era ${this.era}`;
			return err({ kind: StoreErrorKind.Outdated, detail });
		}
		this.handleRestore(era, answer.isOk() ? answer.value.revision : undefined);
		return err({ kind: StoreErrorKind.Restored, detail: `store restored, era is now ${era}` });
	}

	private handleRestore(toEra: StoreEra, foundRevision: number | undefined): void {
		const fromEra = this.era ?? toEra;
		const heldRevision = this.mirror.revision;
		this.era = toEra;
		this.restoreCount++;
		this.emittedPosition = undefined;
		this.recoveredMs = this.timers.getNow();
		this.mirror.markRestored();
		this.restores.emit({ fromEra, toEra, heldRevision, foundRevision });
	}

	private recordFailure({ detail }: StoreError): void {
		this.backoff.recordFailure();
		if (this.unreachableSinceMs !== undefined) {
			return;
		}
		this.unreachableSinceMs = this.timers.getNow();
		this.reachabilityChanges.emit({ isReached: false, detail, awayMs: 0 });
	}

	private recordAnswer(): void {
		const nowMs = this.timers.getNow();
		this.backoff.recordAnswer();
		this.lastAnswerMs = nowMs;
		if (this.unreachableSinceMs === undefined) {
			return;
		}
		const awayMs = nowMs - this.unreachableSinceMs;
		this.unreachableSinceMs = undefined;
		if (awayMs >= minOutageMs) {
			this.recoveredMs = nowMs;
		}
		this.reachabilityChanges.emit({ isReached: true, detail: '', awayMs });
	}
}

function getEra(answer: Result<{ readonly era?: StoreEra | undefined }, StoreError>): StoreEra | undefined {
	return answer.isOk() ? answer.value.era : answer.error.era;
}

function isListingNeeded({ kind }: StoreError): boolean {
	return kind === StoreErrorKind.HistoryGone || kind === StoreErrorKind.ListingReady;
}

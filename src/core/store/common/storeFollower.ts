/**
 * Follows the items below one prefix of the store: lists them once, then hangs on a watch again and again.
 *
 * What goes wrong and how it is met:
 *
 * - The store is away, turns this process away, or its answers are lost. Calls are made again after a pause,
 *   and none hangs before one was answered, or the store's return would be noticed a whole wait late.
 * - The history that a watch would go on from is gone. Everything is listed anew.
 * - The store is restored from an older copy. Its revisions go back and are assigned again, so a watch that
 *   continues from the last known revision could miss changes. Each answer includes the store's era; when it
 *   increases, everything is listed again.
 * - A connection falls silent for good. A watch is asked to end after a wait, and one that has not ended
 *   a margin later is given up; news are then late by that much and no more.
 */

import type { Stream } from 'most';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Channel } from '../../../base/common/channel';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { waitFor } from '../../../base/common/waitFor';
import type { WatchFigures } from '../../following/common/watchPace';
import { planWatch, WatchPace } from '../../following/common/watchPace';
import type { IStoreClient, StoreEra, StoreFault, StoreItem, StorePage } from './storeClient';
import { StoreFaultKind } from './storeClient';
import type { MirrorChange } from './storeMirror';
import { StoreMirror } from './storeMirror';

/** A change of the items followed. */
export interface FollowedChange extends MirrorChange {
	readonly revision: number;
	/**
	 * The store has just come back from an outage or was restored from an older copy: healthy targets may write
	 * missing entries again shortly.
	 */
	readonly isAfterOutage: boolean;
}

/** The store was lost or is back. */
export interface StoreReach {
	readonly isReached: boolean;
	/** Why it was lost. */
	readonly detail: string;
	/** How long it was away, in milliseconds; 0 for a loss. */
	readonly awayMs: number;
}

/** The store was restored from an older copy. */
export interface StoreRestore {
	readonly fromEra: StoreEra;
	readonly toEra: StoreEra;
	/** The revision up to which all changes were held. */
	readonly heldRevision: number;
	/** The store's revision in the answer that showed the restore, if it included one. */
	readonly foundRevision: number | undefined;
}

/** What a call to the store asks. */
export enum StoreCallKind {
	List = 'list',
	Watch = 'watch',
}

/** How a call to the store ended; told of each call, so that an outage can be followed call by call. */
export interface StoreCallEnd {
	readonly call: StoreCallKind;
	/** The revision up to which all changes were held when the call was made. */
	readonly heldRevision: number;
	/** How long the store was asked to hold the call, in milliseconds. */
	readonly waitMs: number;
	readonly tookMs: number;
	/** It was answered with items or changes. */
	readonly hasNews: boolean;
	/** Why it gave nothing, or undefined for an answer. */
	readonly fault: StoreFault | undefined;
	readonly era: StoreEra | undefined;
}

/** Calls that fail for less than this are no outage: entries do not lapse in it. */
const outageMs = 1_000;

/** How long after an outage its traces may last. */
const settleMs = 2_500;

/** Emits the changes of one prefix until disposed of. */
export class StoreFollower extends Disposable {
	private readonly abort = new AbortController();
	private readonly mirror = new StoreMirror();
	private readonly changes = this.register(new Channel<FollowedChange>());
	private readonly reaches = this.register(new Channel<StoreReach>());
	private readonly callEnds = this.register(new Channel<StoreCallEnd>());
	private readonly restores = this.register(new Channel<StoreRestore>());
	private readonly figures: WatchFigures;
	private readonly pace: WatchPace;
	private hanging: AbortController | undefined;
	/** Those who wait for the next read to end. */
	private readonly refreshing: (() => void)[] = [];
	private era: StoreEra | undefined;
	/** Number of restores detected; a listing during which it changes is restarted, a failed read repeated at once. */
	private restoreCount = 0;
	private reachedMs: number | undefined;
	private lostMs: number | undefined;
	private regainedMs = Number.NEGATIVE_INFINITY;

	readonly onDidChange: Stream<FollowedChange> = this.changes.stream;
	readonly onDidChangeReach: Stream<StoreReach> = this.reaches.stream;
	readonly onDidEndCall: Stream<StoreCallEnd> = this.callEnds.stream;
	readonly onDidRestore: Stream<StoreRestore> = this.restores.stream;

	/** @param newsWithinMs By how many milliseconds a change may be late once the store answers. */
	constructor(
		private readonly prefix: string,
		private readonly client: IStoreClient,
		private readonly timers: ITimerService,
		random: IRandom,
		newsWithinMs: number,
	) {
		super();
		this.figures = planWatch(newsWithinMs);
		this.pace = new WatchPace(this.figures, random);
		this.register(
			toDisposable(() => {
				this.abort.abort();
			}),
		);
	}

	/** Follows until disposed of. */
	async follow(): Promise<void> {
		while (!this.abort.signal.aborted) {
			await this.readOnce();
		}
	}

	/** Milliseconds since the store last answered, or undefined before the first answer. */
	getSilenceMs(): number | undefined {
		return this.reachedMs === undefined ? undefined : this.timers.getNow() - this.reachedMs;
	}

	/**
	 * Asks the store for what there is now in place of hanging on; ends when it has answered or failed to. After
	 * a sleep the call that hangs may be on a connection that is long gone.
	 */
	async refresh(): Promise<void> {
		this.pace.noteDoubted();
		await new Promise<void>(resolve => {
			this.refreshing.push(resolve);
			this.hanging?.abort();
		});
	}

	/** The highest era seen, or undefined before the first answer that includes one. */
	getEra(): StoreEra | undefined {
		return this.era;
	}

	/** Takes the era seen by another follower of the same store; if it is higher than the known one, lists again. */
	noteEra(era: StoreEra): void {
		if (this.era !== undefined && era > this.era) {
			this.noteRestored(era, undefined);
			this.hanging?.abort();
		}
	}

	private async readOnce(): Promise<void> {
		const refreshing = this.refreshing.splice(0);
		await this.readAndTell();
		for (const resolve of refreshing) {
			resolve();
		}
	}

	private async readAndTell(): Promise<void> {
		const { restoreCount } = this;
		const read = this.mirror.revision === 0 ? await this.listAll() : await this.watchOnce();
		const isRestored = restoreCount !== this.restoreCount;
		if (this.abort.signal.aborted || (read.isErr() && (isRestored || this.refreshing.length > 0))) {
			return;
		}
		if (read.isErr()) {
			this.noteFault(read.error);
			await waitFor(this.timers, this.pace.computePauseMs(), this.abort.signal);
			return;
		}
		this.noteReached();
		if (read.value.written.length > 0 || read.value.removed.length > 0) {
			const nowMs = this.timers.getNow();
			this.changes.emit({
				...read.value,
				revision: this.mirror.revision,
				isAfterOutage: nowMs - this.regainedMs < settleMs,
			});
		}
	}

	private async watchOnce(): Promise<Result<MirrorChange, StoreFault>> {
		const { leastPauseMs } = this.figures;
		const waitMs = this.pace.planWaitMs();
		const startedMs = this.timers.getNow();
		const news = await this.fetchWithin(
			StoreCallKind.Watch,
			waitMs,
			signal => this.client.watch(this.prefix, this.mirror.revision, waitMs, signal),
			({ changes }) => changes.length > 0,
		);
		if (news.isErr() && news.error.kind === StoreFaultKind.HistoryGone) {
			return this.listAll();
		}
		const isEmpty = news.isOk() && news.value.changes.length === 0;
		if (isEmpty && waitMs > 0 && this.timers.getNow() - startedMs < leastPauseMs) {
			// A store that ends a waiting watch at once must not be asked again in a tight loop.
			await waitFor(this.timers, leastPauseMs, this.abort.signal);
		}
		return news.map(value => this.mirror.apply(value));
	}

	private async listAll(): Promise<Result<MirrorChange, StoreFault>> {
		const items: StoreItem[] = [];
		const { restoreCount } = this;
		let revision: number | undefined;
		for (;;) {
			const afterKey = items.at(-1)?.key;
			const page = await this.fetchWithin(
				StoreCallKind.List,
				0,
				signal => this.client.list(this.prefix, afterKey, signal),
				({ items: found }) => found.length > 0,
			);
			if (page.isErr()) {
				return err(page.error);
			}
			if (restoreCount !== this.restoreCount) {
				return err({
					kind: StoreFaultKind.Restored,
					detail: 'store restored between two pages of a listing',
				});
			}
			items.push(...page.value.items);
			revision ??= page.value.revision;
			if (!page.value.hasMore || page.value.items.length === 0) {
				return ok(this.mirror.putAll(items, revision));
			}
		}
	}

	/** A call that is given up when it takes longer than its wait and the margin. */
	private async fetchWithin<TValue extends Partial<Pick<StorePage, 'revision' | 'era'>>>(
		call: StoreCallKind,
		waitMs: number,
		fetch: (signal: AbortSignal) => Promise<Result<TValue, StoreFault>>,
		hasNews: (answer: TValue) => boolean,
	): Promise<Result<TValue, StoreFault>> {
		const startedMs = this.timers.getNow();
		const heldRevision = this.mirror.revision;
		const limit = new AbortController();
		this.hanging = limit;
		const timer = this.timers.schedule(waitMs + this.figures.answerMs, () => {
			limit.abort();
		});
		try {
			const answer = await fetch(AbortSignal.any([this.abort.signal, limit.signal]));
			this.callEnds.emit({
				call,
				heldRevision,
				waitMs,
				tookMs: this.timers.getNow() - startedMs,
				hasNews: answer.isOk() && hasNews(answer.value),
				fault: answer.isErr() ? answer.error : undefined,
				era: getEra(answer),
			});
			return this.checkEra(answer);
		} finally {
			this.hanging = undefined;
			timer.dispose();
		}
	}

	/** Returns a fault for the first answer of a higher era and for every answer of a lower era. */
	private checkEra<TValue extends Partial<Pick<StorePage, 'revision' | 'era'>>>(
		answer: Result<TValue, StoreFault>,
	): Result<TValue, StoreFault> {
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
			return err({ kind: StoreFaultKind.Outdated, detail });
		}
		this.noteRestored(era, answer.isOk() ? answer.value.revision : undefined);
		return err({ kind: StoreFaultKind.Restored, detail: `store restored, era is now ${era}` });
	}

	private noteRestored(toEra: StoreEra, foundRevision: number | undefined): void {
		const fromEra = this.era ?? toEra;
		const heldRevision = this.mirror.revision;
		this.era = toEra;
		this.restoreCount++;
		this.regainedMs = this.timers.getNow();
		this.mirror.noteRestored();
		this.restores.emit({ fromEra, toEra, heldRevision, foundRevision });
	}

	private noteFault({ detail }: StoreFault): void {
		this.pace.noteFailed();
		if (this.lostMs !== undefined) {
			return;
		}
		this.lostMs = this.timers.getNow();
		this.reaches.emit({ isReached: false, detail, awayMs: 0 });
	}

	private noteReached(): void {
		const nowMs = this.timers.getNow();
		this.pace.noteAnswered();
		this.reachedMs = nowMs;
		if (this.lostMs === undefined) {
			return;
		}
		const awayMs = nowMs - this.lostMs;
		this.lostMs = undefined;
		if (awayMs >= outageMs) {
			this.regainedMs = nowMs;
		}
		this.reaches.emit({ isReached: true, detail: '', awayMs });
	}
}

function getEra(answer: Result<{ readonly era?: StoreEra | undefined }, StoreFault>): StoreEra | undefined {
	return answer.isOk() ? answer.value.era : answer.error.era;
}

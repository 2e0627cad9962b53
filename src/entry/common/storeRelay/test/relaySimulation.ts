/**
 * Entries of one or more regions on a virtual clock that read a store over the real follower, client and feeds. Entries can be
 * killed, suspended, cut off from each other and from the store, and know only some of the others. Messages can be held up.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { subscribeTo } from '../../../../base/common/channel';
import { ElapsedClock } from '../../../../base/common/elapsedClock';
import type { IDisposable } from '../../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId } from '../../../../core/ids/common/ids';
import type {
	IStoreClient,
	IStoreProbe,
	StoreError,
	StorePage,
	StoreWatchResult,
} from '../../../../core/store/common/storeClient';
import { StoreErrorKind } from '../../../../core/store/common/storeClient';
import { StoreFollower } from '../../../../core/store/common/storeFollower';
import { advanceInSteps, ModelStore } from '../../../../core/store/test/modelStore';
import { RelayedStoreClient } from '../relayedStoreClient';
import type { FeedRequest, IFeedObserver, IFeedOpener } from '../storeFeed';
import { computeFeedTimes } from '../storeFeed';
import { StoreFeeds } from '../storeFeeds';
import { pickOtherAnywhere, pickWatcher } from '../watcherRanking';
import { SuspendableTimers } from './suspendableTimers';

export const maxDelayMs = 5_000;
export const prefix = 'servers/';
/** The shortest time in which a change has to be known to all entries in touch with the store. */
export const knownWithinMs = 0.6 * maxDelayMs;
/** The longest wait of a read. */
const readMs = 0.6 * maxDelayMs;
const phaseStepMs = 300;
/** Times from the begin of a read, over its whole length. */
export const readPhases = Array.from({ length: readMs / phaseStepMs }, (_, index) => index * phaseStepMs);
const peerDelayMs = 2;
const clockCheckMs = 250;

/** Counts the calls of one entry, and keeps those from answering that are made while it is cut off from the store. */
class CountedStore implements IStoreClient, IStoreProbe {
	calls = 0;
	probes = 0;
	isCut = false;
	/** Whether the store turns this entry away. */
	isRefused = false;
	/** The store ends watches without changes after this time. */
	endsWatchesAfterMs = Number.POSITIVE_INFINITY;
	/** Answers are held up on the way for this time. */
	answerDelayMs = 0;
	/** Calls that begin meanwhile are never answered, as on a connection that has gone silent; later ones are. */
	isSilent = false;
	private readonly openCalls = new Set<AbortController>();

	constructor(
		private readonly store: ModelStore,
		private readonly timers: SuspendableTimers,
	) {}

	async list(
		below: string,
		afterKey: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>> {
		return this.countAnswer(signal, callSignal => this.store.list(below, afterKey, callSignal));
	}

	async watch(
		below: string,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		return this.countAnswer(signal, callSignal =>
			this.store.watch(below, after, Math.min(waitMs, this.endsWatchesAfterMs), callSignal),
		);
	}

	async probe(signal: AbortSignal): Promise<Result<undefined, StoreError>> {
		this.probes++;
		return this.carryAnswer(signal, ok(undefined));
	}

	close(): Promise<void> {
		return Promise.resolve();
	}

	/** Ends all open calls as if their connections were reset. */
	endOpenCalls(): void {
		for (const call of this.openCalls) {
			call.abort();
		}
	}

	/** An answer that arrives during a cut is lost, so that the call ends with its timeout. */
	private async countAnswer<TValue>(
		signal: AbortSignal,
		ask: (signal: AbortSignal) => Promise<Result<TValue, StoreError>>,
	): Promise<Result<TValue, StoreError>> {
		this.calls++;
		if (this.isRefused) {
			return err({ kind: StoreErrorKind.Refused, detail: 'turned away' });
		}
		if (this.isSilent) {
			return waitUntilAborted(signal);
		}
		const connection = new AbortController();
		this.openCalls.add(connection);
		const answer = await ask(AbortSignal.any([signal, connection.signal]));
		this.openCalls.delete(connection);
		return this.carryAnswer(signal, answer);
	}

	private async carryAnswer<TValue>(
		signal: AbortSignal,
		answer: Result<TValue, StoreError>,
	): Promise<Result<TValue, StoreError>> {
		if (this.answerDelayMs > 0) {
			await new Promise<void>(resolve => this.timers.schedule(this.answerDelayMs, resolve));
		}
		await this.timers.waitUntilAwake();
		return this.isCut ? waitUntilAborted(signal) : answer;
	}
}

/** Returns the end of a call that is never answered. */
async function waitUntilAborted<TValue>(signal: AbortSignal): Promise<Result<TValue, StoreError>> {
	await new Promise<void>(resolve => {
		if (signal.aborted) {
			resolve();
		}
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
	return err({ kind: StoreErrorKind.Unreachable, detail: 'no answer' });
}

export class RelayEntry extends Disposable {
	readonly ownStore: CountedStore;
	readonly follower: StoreFollower;
	readonly client: RelayedStoreClient;
	readonly feeds: StoreFeeds;
	/** Values by key, as the entry knows them. */
	readonly held = new Map<string, number>();
	/** Keys whose values went back. */
	readonly setBack: string[] = [];
	isFrozen = false;
	readonly known: Set<InstanceId>;
	readonly timers: SuspendableTimers;

	constructor(
		readonly id: InstanceId,
		private readonly site: RelaySite,
		knownIds: readonly InstanceId[],
		seed: number,
	) {
		super();
		const { maxDelayMs: siteDelayMs, isAgeBounded } = site;
		const times = computeFeedTimes(siteDelayMs, isAgeBounded);
		const random = new SeededRandom(seed);
		const timers = new SuspendableTimers(site.timers);
		this.timers = timers;
		const ageClock = isAgeBounded
			? this.register(new ElapsedClock(timers, () => site.timers.getNow()))
			: undefined;
		this.known = new Set(knownIds.filter(other => other !== id));
		this.ownStore = new CountedStore(site.siteStore, timers);
		this.feeds = this.register(new StoreFeeds(times, timers));
		this.client = new RelayedStoreClient(
			this.ownStore,
			new SimulatedOpener(this, site),
			{
				pick: (excluded, isOwnExcluded, isAnyRegion = false) => {
					const listIn = (region: number): InstanceId[] =>
						[...this.known].filter(other => site.getRegion(other) === region && !excluded.has(other));
					const region = site.getRegion(id);
					const others = listIn(region);
					if (!site.isRelaying) {
						return undefined;
					}
					const elsewhere = site.listRegions().filter(other => other !== region);
					return isOwnExcluded
						? pickOtherAnywhere(id, others, elsewhere.map(listIn), isAnyRegion)
						: pickWatcher(id, others);
				},
				isRead: below => this.feeds.isRead(below),
			},
			times,
			timers,
			random,
			{ noteSource: () => undefined, noteUnanswered: () => undefined },
			ageClock,
		);
		const age = ageClock && { clock: ageClock };
		this.follower = this.register(new StoreFollower(prefix, this.client, timers, random, siteDelayMs, age));
		this.feeds.addSource(
			prefix,
			this.follower,
			() => this.client.isDirect(prefix),
			() => this.client.isFailing(prefix),
		);
		if (ageClock !== undefined) {
			this.register(
				subscribeTo(ageClock.onDidJump, () => {
					void this.follower.refresh();
				}),
			);
			this.register(subscribeTo(timers.watchTicks(clockCheckMs), () => ageClock.getNow()));
		}
		this.register(
			subscribeTo(this.follower.onDidChange, ({ written, removed, isRestored }) => {
				for (const { key, value } of written) {
					const number = Number(Buffer.from(value).toString());
					if (!isRestored && number < (this.held.get(key) ?? 0)) {
						this.setBack.push(key);
					}
					this.held.set(key, number);
				}
				for (const key of removed) {
					this.held.delete(key);
				}
			}),
		);
		this.register(
			toDisposable(() => {
				void this.client.close();
			}),
		);
		void this.follower.follow();
	}

	addReader(request: FeedRequest, observer: IFeedObserver): IDisposable {
		const reader = this.feeds.add(request, observer);
		this.client.noteReader(request.prefix);
		return reader;
	}

	isConnectedTo(other: RelayEntry): boolean {
		return !this.isFrozen && !other.isFrozen && !this.site.isCut(this.id, other.id);
	}
}

class SimulatedOpener implements IFeedOpener {
	constructor(
		private readonly reader: RelayEntry,
		private readonly site: RelaySite,
	) {}

	open(watcher: InstanceId, request: FeedRequest, observer: IFeedObserver): IDisposable {
		const { reader, site } = this;
		let isOpen = true;
		let feed: IDisposable | undefined;
		let lastDueMs = 0;
		const deliver = (apply: () => void): void => {
			// A connection keeps the order of its messages.
			lastDueMs = Math.max(lastDueMs, site.timers.getNow() + site.getDelayMs(watcher, reader.id));
			site.timers.schedule(lastDueMs - site.timers.getNow(), () => {
				void reader.timers.waitUntilAwake().then(() => {
					const entry = site.entries.get(watcher);
					if (isOpen && entry !== undefined && reader.isConnectedTo(entry)) {
						apply();
					}
				});
			});
		};
		site.timers.schedule(peerDelayMs, () => {
			const entry = site.entries.get(watcher);
			if (entry === undefined) {
				observer.end('connection refused');
			} else if (isOpen && reader.isConnectedTo(entry) && !entry.timers.isSuspended) {
				feed = entry.addReader(request, {
					receive: message => {
						deliver(() => {
							observer.receive(message);
						});
					},
					end: reason => {
						deliver(() => {
							observer.end(reason);
						});
					},
				});
			}
		});
		return toDisposable(() => {
			isOpen = false;
			feed?.dispose();
		});
	}
}

export interface SiteSetup {
	readonly regions?: number;
	/** Maximum delay of a change in milliseconds; ages are bounded if it is given. */
	readonly boundedDelayMs?: number;
}

export class RelaySite extends Disposable {
	readonly timers = new ManualTimerService();
	readonly siteStore = new ModelStore(this.timers);
	readonly entries = new Map<InstanceId, RelayEntry>();
	readonly ids: readonly InstanceId[];
	/** Whether two entries cannot reach each other. */
	isCut: (left: InstanceId, right: InstanceId) => boolean = () => false;
	/** Time that a message between two entries takes. */
	getDelayMs: (from: InstanceId, to: InstanceId) => number = () => peerDelayMs;
	readonly maxDelayMs: number;
	readonly isAgeBounded: boolean;
	private readonly regions: number;
	private count = 0;

	/**
	 * @param isRelaying Whether entries use each other's feeds; if not, each watches the store.
	 * @param setup The regions, over which the entries are spread in turn, and the maximum delay where ages are bounded.
	 */
	constructor(
		count: number,
		readonly isRelaying: boolean,
		private readonly random: SeededRandom,
		knownShare = 1,
		setup: SiteSetup = {},
	) {
		super();
		this.maxDelayMs = setup.boundedDelayMs ?? maxDelayMs;
		this.isAgeBounded = setup.boundedDelayMs !== undefined;
		this.regions = setup.regions ?? 1;
		this.ids = Array.from({ length: count }, (_, index) => `entry-${index}` as InstanceId);
		for (const id of this.ids) {
			this.startEntry(
				id,
				this.ids.filter(() => this.random.pickFraction() < knownShare),
			);
		}
	}

	getRegion(id: InstanceId): number {
		return this.ids.indexOf(id) % this.regions;
	}

	listRegions(): readonly number[] {
		return Array.from({ length: this.regions }, (_, region) => region);
	}

	startEntry(id: InstanceId, known: readonly InstanceId[] = this.ids): void {
		this.entries.set(id, new RelayEntry(id, this, known, ++this.count));
	}

	kill(id: InstanceId): void {
		this.entries.get(id)?.dispose();
		this.entries.delete(id);
	}

	/** The entries that watch the store at present. */
	listWatchers(): readonly RelayEntry[] {
		return [...this.entries.values()].filter(({ client }) => client.isDirect(prefix));
	}

	countCalls(): number {
		return [...this.entries.values()].reduce((sum, { ownStore }) => sum + ownStore.calls, 0);
	}

	async advance(durationMs: number): Promise<void> {
		await advanceInSteps(this.timers, durationMs);
	}

	override dispose(): void {
		for (const id of [...this.entries.keys()]) {
			this.kill(id);
		}
		super.dispose();
	}
}

/** Waits until entries have a key, and returns the time since it was written, in milliseconds. */
export async function measureDelay(
	site: RelaySite,
	entries: readonly RelayEntry[],
	key: string,
	writtenMs: number,
): Promise<number> {
	while (entries.some(({ held }) => !held.has(key)) && site.timers.getNow() - writtenMs < 2 * maxDelayMs) {
		await site.advance(20);
	}
	return site.timers.getNow() - writtenMs;
}

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { subscribeTo } from '../../../base/common/channel';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import type {
	IStoreClient,
	StoreChange,
	StoreError,
	StoreItem,
	StoreWatchResult,
	StorePage,
} from '../common/storeClient';
import { StoreChangeKind, StoreErrorKind } from '../common/storeClient';
import type { FollowedChange, StoreCallEnd, StoreReachability } from '../common/storeFollower';
import { StoreCallKind, StoreFollower } from '../common/storeFollower';
import { StoreMirror } from '../common/storeMirror';

const maxDelayMs = 5_000;

function createItem(key: string, revision: number): StoreItem {
	return { key, value: Buffer.from(key), revision };
}

function createWrite(key: string, revision: number): StoreChange {
	return { kind: StoreChangeKind.Written, item: createItem(key, revision) };
}

function createRemoval(key: string, revision: number): StoreChange {
	return { kind: StoreChangeKind.Removed, key, revision };
}

type Answer<TValue> = Result<TValue, StoreError>;

/** A store whose calls are answered by the test. */
class ScriptedStore implements IStoreClient {
	readonly calls: string[] = [];
	private readonly answers: ((answer: Answer<never>) => void)[] = [];

	list(prefix: string, afterKey: string | undefined, signal: AbortSignal): Promise<Answer<StorePage>> {
		return this.open(`list ${prefix} after ${afterKey ?? 'nothing'}`, signal);
	}

	watch(
		prefix: string,
		after: number,
		_waitMs: number,
		signal: AbortSignal,
	): Promise<Answer<StoreWatchResult>> {
		return this.open(`watch ${prefix} after ${after}`, signal);
	}

	close(): Promise<void> {
		return Promise.resolve();
	}

	async answer(value: StorePage | StoreWatchResult): Promise<void> {
		this.answers.shift()?.(ok(value) as unknown as Answer<never>);
		await waitForPromises();
	}

	async fail(kind: StoreErrorKind): Promise<void> {
		this.answers.shift()?.(err({ kind, detail: 'scripted error' }));
		await waitForPromises();
	}

	private async open<TValue>(call: string, signal: AbortSignal): Promise<Answer<TValue>> {
		this.calls.push(call);
		return new Promise(resolve => {
			const answer = resolve as (answer: Answer<never>) => void;
			this.answers.push(answer);
			signal.addEventListener('abort', () => {
				this.answers.splice(this.answers.indexOf(answer), 1);
				resolve(err({ kind: StoreErrorKind.Unreachable, detail: 'call aborted' }));
			});
		});
	}
}

async function waitForPromises(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

interface Following {
	readonly follower: StoreFollower;
	readonly store: ScriptedStore;
	readonly timers: ManualTimerService;
	readonly changes: FollowedChange[];
	readonly reachabilityChanges: StoreReachability[];
	readonly callEnds: StoreCallEnd[];
	advance(ms: number): Promise<void>;
	stop(): void;
}

async function startFollowing(): Promise<Following> {
	const store = new ScriptedStore();
	const timers = new ManualTimerService();
	const follower = new StoreFollower('servers/', store, timers, new SeededRandom(1), maxDelayMs);
	const changes: FollowedChange[] = [];
	const reachabilityChanges: StoreReachability[] = [];
	const callEnds: StoreCallEnd[] = [];
	subscribeTo(follower.onDidChange, change => changes.push(change));
	subscribeTo(follower.onDidChangeReachability, reach => reachabilityChanges.push(reach));
	subscribeTo(follower.onDidEndCall, end => callEnds.push(end));
	void follower.follow();
	await waitForPromises();
	return {
		follower,
		store,
		timers,
		changes,
		reachabilityChanges,
		callEnds,
		advance: async ms => {
			timers.advance(ms);
			await waitForPromises();
		},
		stop: () => {
			follower.dispose();
		},
	};
}

describe('StoreMirror', () => {
	it('ignores a change that a page already included', () => {
		const mirror = new StoreMirror();
		mirror.putAll([createItem('a', 5), createItem('b', 9)], 7);
		const change = mirror.apply({ changes: [createWrite('b', 9), createWrite('c', 10)], revision: 10 });
		expect(change.written.map(({ key }) => key)).toEqual(['c']);
		expect(mirror.revision).toBe(10);
	});

	it('reports a key that was removed and written again only as written', () => {
		const mirror = new StoreMirror();
		mirror.putAll([createItem('a', 1)], 1);
		const change = mirror.apply({ changes: [createRemoval('a', 2), createWrite('a', 3)], revision: 3 });
		expect(change.written.map(({ revision }) => revision)).toEqual([3]);
		expect(change.removed).toEqual([]);
	});

	// Guards against values that are lost because they came and went between two answers.
	it('reports items that were replaced or removed within one answer', () => {
		const mirror = new StoreMirror();
		mirror.putAll([createItem('a', 1), createItem('b', 2)], 2);
		const changes = [
			createWrite('a', 3),
			createWrite('c', 4),
			createWrite('a', 5),
			createRemoval('c', 6),
			createRemoval('b', 7),
		];
		const { written, removed, superseded } = mirror.apply({ changes, revision: 7 });
		expect(superseded.map(({ key, revision }) => [key, revision])).toEqual([
			['a', 3],
			['c', 4],
		]);
		expect(written.map(({ revision }) => revision)).toEqual([5]);
		expect(removed).toEqual(['c', 'b']);
	});
});

describe('StoreFollower', () => {
	// Guards against items taken for all that there were, although others came and went while changes were lost.
	it('has followed the store since the last listing that left a gap', async () => {
		const { store, follower, advance, stop } = await startFollowing();
		expect(follower.getFollowedSinceMs()).toBeUndefined();
		await advance(100);
		await store.answer({ items: [], hasMore: false, revision: 1 });
		expect(follower.getFollowedSinceMs()).toBe(0);
		await advance(1_500);
		await store.fail(StoreErrorKind.HistoryGone);
		await store.answer({ items: [], hasMore: false, revision: 2 });
		expect(follower.getFollowedSinceMs()).toBe(0);
		await advance(2_500);
		await store.fail(StoreErrorKind.HistoryGone);
		await store.answer({ items: [], hasMore: false, revision: 3 });
		expect(follower.getFollowedSinceMs()).toBe(4_100);
		expect(follower.getFollowStart()).toEqual({ sinceMs: 4_100, revision: 3, era: undefined });
		stop();
	});

	// Guards against changes that another entry takes for known although this one has not emitted them, or that a restore took back.
	it('is at a position once all changes up to it have been emitted, until the store is restored', async () => {
		const { store, follower, stop } = await startFollowing();
		const positions: unknown[] = [];
		follower.onDidChange.observe(() => positions.push(follower.getEmittedPosition())).catch(() => undefined);
		expect(follower.getEmittedPosition()).toBeUndefined();
		await store.answer({ items: [createItem('a', 1)], hasMore: false, revision: 4, era: 1 });
		expect(follower.getEmittedPosition()).toEqual({ revision: 4, era: 1 });
		await store.answer({ changes: [createWrite('b', 6)], revision: 6, era: 1 });
		expect(positions).toEqual([undefined, { revision: 4, era: 1 }]);
		expect(follower.getEmittedPosition()).toEqual({ revision: 6, era: 1 });
		follower.updateEra(2);
		expect(follower.getEmittedPosition()).toBeUndefined();
		stop();
	});

	it('lists all pages and continues from the revision of the first', async () => {
		const { store, changes, stop } = await startFollowing();
		await store.answer({ items: [createItem('servers/a', 3)], hasMore: true, revision: 4 });
		await store.answer({ items: [createItem('servers/b', 5)], hasMore: false, revision: 6 });
		expect(store.calls).toEqual([
			'list servers/ after nothing',
			'list servers/ after servers/a',
			'watch servers/ after 4',
		]);
		expect(changes[0]?.written.map(({ key }) => key)).toEqual(['servers/a', 'servers/b']);
		stop();
	});

	// Guards against a follower that repeats a watch from a revision that the store no longer keeps, and so never
	// receives a change again.
	it('lists again when the store no longer keeps the history', async () => {
		const { store, changes, stop } = await startFollowing();
		await store.answer({ items: [createItem('servers/a', 3)], hasMore: false, revision: 4 });
		await store.fail(StoreErrorKind.HistoryGone);
		await store.answer({ items: [createItem('servers/b', 9)], hasMore: false, revision: 9 });
		expect(changes.at(-1)).toMatchObject({ removed: ['servers/a'], revision: 9, isAfterOutage: false });
		expect(store.calls.at(-1)).toBe('watch servers/ after 9');
		stop();
	});

	// Guards against an unbounded wait when a connection stops delivering data and the watch neither ends nor fails: a
	// target that leaves would continue to receive requests.
	it('aborts a watch that exceeds its wait and calls again', async () => {
		const { store, advance, reachabilityChanges, stop } = await startFollowing();
		await store.answer({ items: [createItem('servers/a', 3)], hasMore: false, revision: 4 });
		await advance(7_000);
		await advance(2_000);
		expect(store.calls.filter(call => call.startsWith('watch'))).toHaveLength(2);
		expect(reachabilityChanges.map(({ isReached }) => isReached)).toEqual([false]);
		stop();
	});

	// Guards against removing all targets of a region after each outage of the store: registrations expire during the
	// outage, so the first changes read after it must be marked.
	it('marks changes read just after an outage', async () => {
		const { store, advance, changes, reachabilityChanges, stop } = await startFollowing();
		await store.answer({ items: [createItem('servers/a', 3)], hasMore: false, revision: 4 });
		await store.fail(StoreErrorKind.Refused);
		await advance(1_500);
		await store.fail(StoreErrorKind.Refused);
		await advance(1_500);
		await store.answer({ changes: [createRemoval('servers/a', 6)], revision: 6 });
		expect(changes.at(-1)).toMatchObject({ removed: ['servers/a'], isAfterOutage: true });
		expect(reachabilityChanges.map(({ isReached }) => isReached)).toEqual([false, true]);
		stop();
	});

	// Guards against outages that cannot be analysed: the log must show which calls were made during an outage, with
	// their parameters and durations, and not only that the store was unreachable.
	it('emits the parameters, duration and error of each call', async () => {
		const { store, advance, callEnds, stop } = await startFollowing();
		await store.answer({ items: [createItem('servers/a', 3)], hasMore: false, revision: 4 });
		await advance(300);
		await store.fail(StoreErrorKind.Refused);
		expect(callEnds).toMatchObject([
			{ call: StoreCallKind.List, heldRevision: 0, waitMs: 0, tookMs: 0, hasData: true, fault: undefined },
			{
				call: StoreCallKind.Watch,
				heldRevision: 4,
				tookMs: 300,
				fault: { kind: StoreErrorKind.Refused },
			},
		]);
		stop();
	});

	// Guards against waiting on a dead connection after the process was frozen for some seconds: the first requests
	// would be held for state that never arrives, or served by outdated state.
	it('aborts the waiting watch on refresh and resolves after the next answer', async () => {
		const { store, follower, changes, reachabilityChanges, stop } = await startFollowing();
		await store.answer({ items: [createItem('servers/a', 3)], hasMore: false, revision: 4 });
		let isRefreshed = false;
		void follower.refresh().then(() => {
			isRefreshed = true;
		});
		await waitForPromises();
		expect(store.calls.slice(1)).toEqual(['watch servers/ after 4', 'watch servers/ after 4']);
		expect(isRefreshed).toBe(false);
		await store.answer({ changes: [createRemoval('servers/a', 6)], revision: 6 });
		expect(isRefreshed).toBe(true);
		expect(changes.at(-1)).toMatchObject({ removed: ['servers/a'] });
		expect(reachabilityChanges).toEqual([]);
		stop();
	});

	it('pauses between failed calls', async () => {
		const { store, advance, stop } = await startFollowing();
		await store.fail(StoreErrorKind.Unreachable);
		expect(store.calls).toHaveLength(1);
		await advance(1_200);
		expect(store.calls).toHaveLength(2);
		stop();
	});
});

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import type { IStoreClient, StoreError, StorePage, StoreWatchResult } from '../common/storeClient';
import { StoreChangeKind, StoreErrorKind } from '../common/storeClient';
import { StoreFollower } from '../common/storeFollower';

const maxDelayMs = 3_000;
const waitMs = 0.6 * maxDelayMs;
const answerTimeoutMs = 0.3 * maxDelayMs;

type WatchAnswer = Result<StoreWatchResult, StoreError>;

/** A store whose watches are answered by the test. */
class WatchedStore implements IStoreClient {
	readonly waitsMs: number[] = [];
	private answers: ((answer: WatchAnswer) => void)[] = [];

	list(): Promise<Result<StorePage, StoreError>> {
		return Promise.resolve(ok({ items: [], hasMore: false, revision: 1 }));
	}

	async watch(_prefix: string, _after: number, wait: number, signal: AbortSignal): Promise<WatchAnswer> {
		this.waitsMs.push(wait);
		return new Promise(resolve => {
			this.answers.push(resolve);
			signal.addEventListener('abort', () => {
				resolve(err({ kind: StoreErrorKind.Unreachable, detail: 'aborted' }));
			});
		});
	}

	close(): Promise<void> {
		return Promise.resolve();
	}

	answer(result: Partial<StoreWatchResult> = {}): void {
		this.answers.shift()?.(ok({ changes: [], revision: 1, ...result }));
	}

	fail(): void {
		this.answers.shift()?.(err({ kind: StoreErrorKind.Refused, detail: 'scripted' }));
	}
}

interface Following {
	readonly timers: ManualTimerService;
	readonly store: WatchedStore;
	readonly follower: StoreFollower;
	advance(durationMs: number): Promise<void>;
}

async function startFollowing(isAgeBounded = true): Promise<Following> {
	const timers = new ManualTimerService();
	const store = new WatchedStore();
	const age = isAgeBounded ? { clock: timers } : undefined;
	const follower = new StoreFollower('op/', store, timers, new SeededRandom(1), maxDelayMs, age);
	void follower.follow();
	const advance = async (durationMs: number): Promise<void> => {
		timers.advance(durationMs);
		for (let turn = 0; turn < 40; turn++) {
			await Promise.resolve();
		}
	};
	await advance(0);
	return { timers, store, follower, advance };
}

const change = {
	kind: StoreChangeKind.Written as const,
	item: { key: 'op/config', value: Buffer.from('{}'), revision: 2 },
};

describe('the age of what a follower knows', () => {
	// Guards against a store that ends watches early, for example while it stops, and so makes old state appear young.
	it('counts a watch without changes that ends early from its start', async () => {
		const { store, follower, advance } = await startFollowing();
		await advance(waitMs - 100);
		store.answer();
		await advance(0);
		await advance(100);
		expect(follower.getAgeMs()).toBe(waitMs);
	});

	it('counts a watch without changes that lasts for its whole wait from the end of the wait', async () => {
		const { store, follower, advance } = await startFollowing();
		await advance(waitMs + 30);
		store.answer();
		await advance(0);
		expect(follower.getAgeMs()).toBe(30);
	});

	it('counts a watch with changes from its start, and waits for less afterwards', async () => {
		const { store, follower, advance } = await startFollowing();
		await advance(1_500);
		store.answer({ changes: [change], revision: 2 });
		await advance(0);
		expect(follower.getAgeMs()).toBe(1_500);
		expect(store.waitsMs).toEqual([waitMs, waitMs - 1_500]);
	});

	// Guards against an age that is twice as high after a change at the end of a wait.
	it('asks for the present state if a change took the whole wait', async () => {
		const { store, follower, advance } = await startFollowing();
		await advance(waitMs + 20);
		store.answer({ changes: [change], revision: 2 });
		await advance(0);
		expect(store.waitsMs).toEqual([waitMs, 0]);
		await advance(5);
		store.answer();
		await advance(0);
		expect(follower.getAgeMs()).toBe(5);
	});

	it('does not go up when a later answer describes an earlier time', async () => {
		const { store, follower, advance } = await startFollowing();
		await advance(waitMs);
		store.answer();
		await advance(0);
		await advance(100);
		store.answer({ asOfMs: 300, isRelayed: true });
		await advance(60);
		expect(follower.getAgeMs()).toBe(160);
	});

	// Guards against more calls to the store of deployments that have set no bound.
	it('does not shorten waits without a bound', async () => {
		const { store, advance } = await startFollowing(false);
		await advance(1_500);
		store.answer({ changes: [change], revision: 2 });
		await advance(0);
		expect(store.waitsMs).toEqual([waitMs, waitMs]);
	});
});

describe('the time until the next read', () => {
	// Guards against a Retry-After at which the store has not been asked again.
	it('is the end of the current call at the latest, then the end of the pause', async () => {
		const { store, follower, advance } = await startFollowing();
		expect(follower.getNextReadInMs()).toBe(waitMs + answerTimeoutMs);
		await advance(1_000);
		expect(follower.getNextReadInMs()).toBe(waitMs + answerTimeoutMs - 1_000);
		store.fail();
		await advance(0);
		const pauseMs = follower.getNextReadInMs();
		expect(pauseMs).toBeLessThanOrEqual(0.04 * maxDelayMs);
		expect(store.waitsMs).toHaveLength(1);
		await advance(pauseMs);
		expect(store.waitsMs).toEqual([waitMs, 0]);
		expect(follower.getNextReadInMs()).toBe(answerTimeoutMs);
	});

	// Guards against a read after a suspension that waits for the end of a pause.
	it('is over at once if a refresh is asked for during a pause', async () => {
		const { store, follower, advance } = await startFollowing();
		store.fail();
		await advance(0);
		expect(store.waitsMs).toHaveLength(1);
		void follower.refresh();
		await advance(0);
		expect(store.waitsMs).toEqual([waitMs, 0]);
	});
});

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { subscribeTo } from '../../../base/common/channel';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import type { Silence } from '../../following/test/silentPublisher';
import { SilentPublisher } from '../../following/test/silentPublisher';
import type { IStoreClient, StoreError, StoreItem, StoreWatchResult, StorePage } from '../common/storeClient';
import { StoreChangeKind, StoreErrorKind } from '../common/storeClient';
import { StoreFollower } from '../common/storeFollower';

/** An entry is held to what was confirmed once the store has been well for this long. */
const defaultMaxDelayMs = 5_000;
const stepsInBound = 100;

/** A store with one item, written anew when its silence ends. */
class SilentStore implements IStoreClient {
	constructor(private readonly publisher: SilentPublisher) {}

	list(
		_prefix: string,
		_after: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>> {
		return withAbort(
			this.publisher.read(0, 0).then(() => {
				const { version: revision } = this.publisher;
				return ok({ items: [createItem(revision)], hasMore: false, revision });
			}),
			signal,
		);
	}

	watch(
		_prefix: string,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		return withAbort(
			this.publisher.read(after, waitMs).then(() => {
				const { version: revision } = this.publisher;
				const change = { kind: StoreChangeKind.Written as const, item: createItem(revision) };
				return ok({ changes: revision > after ? [change] : [], revision });
			}),
			signal,
		);
	}

	close(): Promise<void> {
		return Promise.resolve();
	}
}

function createItem(revision: number): StoreItem {
	return { key: 'op/config', value: Buffer.from(String(revision)), revision };
}

function withAbort<TValue>(
	answer: Promise<Result<TValue, StoreError>>,
	signal: AbortSignal,
): Promise<Result<TValue, StoreError>> {
	const aborted = new Promise<Result<TValue, StoreError>>(resolve => {
		signal.addEventListener('abort', () => {
			resolve(err({ kind: StoreErrorKind.Unreachable, detail: 'given up' }));
		});
	});
	return Promise.race([answer, aborted]);
}

async function waitForPromises(): Promise<void> {
	for (let turn = 0; turn < 12; turn++) {
		await Promise.resolve();
	}
}

/** Milliseconds from the end of a silence, when an item is written anew, until a follower has it. */
async function measureDelay(silence: Silence, maxDelayMs: number, seed: number): Promise<number> {
	const timers = new ManualTimerService();
	const store = new SilentStore(new SilentPublisher(timers, silence));
	const follower = new StoreFollower('op/', store, timers, new SeededRandom(seed), maxDelayMs);
	let heldRevision = 0;
	subscribeTo(follower.onDidChange, ({ revision }) => {
		heldRevision = revision;
	});
	void follower.follow();
	while (heldRevision < 2 && timers.getNow() < silence.toMs + 4 * maxDelayMs) {
		await waitForPromises();
		timers.advance(maxDelayMs / stepsInBound);
	}
	follower.dispose();
	return timers.getNow() - silence.toMs;
}

describe('StoreFollower after an outage in which the store is silent', () => {
	// The store falls silent for some seconds: it refuses nothing, calls just hang. Once it is back operators
	// change the configuration, and five seconds later requests are still handled by the one before, so a caller
	// gets the old service and the old timeout. All entries are late together, since none has news for the others.
	// The watch that followed the first failure was begun in the silence and hung for its whole wait, past the
	// store's return: `"call":"watch","heldRevision":11,"waitMs":5000,"tookMs":6501,"fault":"unreachable"`, begun
	// 3.9 s before the return and given up 2.6 s after it. A store that counts its calls saw none from any entry
	// for 3.5 s after its return, and the configuration was in force 5.8 to 6.2 s after it.
	it.each([1, 2, 3])(
		'has what was written when the store came back five seconds later, seed %i',
		async seed => {
			const delays: number[] = [];
			for (let lengthMs = 100; lengthMs <= 14_000; lengthMs += 100) {
				delays.push(await measureDelay({ fromMs: 5_000, toMs: 5_000 + lengthMs }, defaultMaxDelayMs, seed));
			}
			expect(Math.max(...delays)).toBeLessThanOrEqual(defaultMaxDelayMs);
		},
	);

	// Connections to the store fall silent for good in the middle of a watch, while new ones work, and a target
	// leaves just then. A deployment that allows less time than another must hear of it sooner.
	it.each([1_000, 3_000, 6_000, 9_000])(
		'hears of a change within %i ms where a watch fell silent',
		async newsWithinMs => {
			const delays: number[] = [];
			for (let share = 0; share < 1; share += 0.01) {
				const fromMs = Math.floor((1 + share) * newsWithinMs);
				delays.push(await measureDelay({ fromMs, toMs: fromMs + 1 }, newsWithinMs, 1));
			}
			expect(Math.max(...delays)).toBeLessThanOrEqual(newsWithinMs);
		},
	);
});

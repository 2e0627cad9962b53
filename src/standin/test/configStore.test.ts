import { ManualTimerService } from '../../base/common/manualTimerService';
import type { VersionedDocument } from '../common/configStore';
import { ConfigStore } from '../common/configStore';
import { ReadBudget } from '../common/readBudget';

function createStore(): { store: ConfigStore; timers: ManualTimerService } {
	const timers = new ManualTimerService();
	return { store: new ConfigStore(timers), timers };
}

function createDocument(text: string): Buffer {
	return Buffer.from(text);
}

function watchOnce(store: ConfigStore, after: number, waitMs: number): (VersionedDocument | undefined)[] {
	const seen: (VersionedDocument | undefined)[] = [];
	store.watch(after, waitMs, found => seen.push(found));
	return seen;
}

describe('ConfigStore', () => {
	it('counts versions up and serves the newest', () => {
		const { store } = createStore();
		expect(store.read()).toBeUndefined();
		expect([store.put(createDocument('a')), store.put(createDocument('b'))]).toEqual([1, 2]);
		expect(store.read()).toEqual({ version: 2, bytes: createDocument('b') });
	});

	it('goes on from the highest version after one that was forced', () => {
		const { store } = createStore();
		store.put(createDocument('a'), 7);
		store.put(createDocument('older'), 3);
		expect(store.read()?.version).toBe(3);
		expect(store.put(createDocument('b'))).toBe(8);
	});

	it('answers a watch when a newer version comes, and at its end without one', () => {
		const { store, timers } = createStore();
		store.put(createDocument('a'));
		const first = watchOnce(store, 1, 500);
		const second = watchOnce(store, 2, 500);
		store.put(createDocument('b'));
		expect(first.map(found => found?.version)).toEqual([2]);
		expect(second).toEqual([]);
		timers.advance(500);
		expect(second).toEqual([undefined]);
		expect(first).toHaveLength(1);
		expect(store.countWatches()).toBe(0);
	});

	it('hides newer versions while it is stale, from watches too', () => {
		// A replica of the configuration service has stopped following. Readers go on getting a version that
		// was replaced long ago, without any error.
		const { store } = createStore();
		store.put(createDocument('a'));
		store.setStaleVersion(1);
		const seen = watchOnce(store, 1, 500);
		store.put(createDocument('b'));
		expect(store.read()?.version).toBe(1);
		expect(seen).toEqual([]);
		store.setStaleVersion(null);
		expect(seen.map(found => found?.version)).toEqual([2]);
	});
});

describe('ReadBudget', () => {
	it('refuses what is over the limit of one second and says when the next begins', () => {
		const budget = new ReadBudget(2);
		expect([budget.take(100), budget.take(200), budget.take(300)]).toEqual([undefined, undefined, 800]);
		expect(budget.take(1_100)).toBeUndefined();
		expect(budget.getPeakReads()).toBe(3);
		expect(budget.countRefused()).toBe(1);
	});
});

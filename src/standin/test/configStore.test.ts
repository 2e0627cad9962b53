import { ManualTimerService } from '../../base/common/manualTimerService';
import type { VersionedDocument } from '../common/configStore';
import { ConfigStore } from '../common/configStore';
import { ReadRateLimiter } from '../common/readRateLimiter';

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
	it('assigns increasing versions and serves the latest document', () => {
		const { store } = createStore();
		expect(store.read()).toBeUndefined();
		expect([store.put(createDocument('a')), store.put(createDocument('b'))]).toEqual([1, 2]);
		expect(store.read()).toEqual({ version: 2, bytes: createDocument('b') });
	});

	it('continues from the highest version after a forced version', () => {
		const { store } = createStore();
		store.put(createDocument('a'), 7);
		store.put(createDocument('older'), 3);
		expect(store.read()?.version).toBe(3);
		expect(store.put(createDocument('b'))).toBe(8);
	});

	it('answers a watch when a newer version is published or when its wait time ends', () => {
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

	it('hides newer versions from reads and watches while it is stale', () => {
		// Simulates a replica of the configuration service that has stopped replicating: readers keep getting an
		// outdated version without any error.
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
	it('refuses reads over the limit per second and returns the time until the next second', () => {
		const limiter = new ReadRateLimiter(2);
		expect([limiter.take(100), limiter.take(200), limiter.take(300)]).toEqual([undefined, undefined, 800]);
		expect(limiter.take(1_100)).toBeUndefined();
		expect(limiter.getPeakReadsPerSecond()).toBe(3);
		expect(limiter.countRefused()).toBe(1);
	});
});

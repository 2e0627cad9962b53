import { SeededRandom } from '../../base/common/random';
import { CacheEventKind, CacheEventLog } from '../common/cacheEvents';
import type { EngineOrder } from '../common/engineOrders';
import { EngineOrderProcessor, OrderVerdict } from '../common/engineOrders';
import { LaggedValue } from '../common/laggedValue';
import { PrefixCache } from '../common/prefixCache';

function createProcessor(checksFencing: boolean): EngineOrderProcessor {
	return new EngineOrderProcessor(checksFencing, {
		model: undefined,
		version: undefined,
		adapters: [],
		role: 'serve',
		fence: undefined,
		loading: false,
	});
}

function createOrder(fence: number, version: string): EngineOrder {
	return { fence, model: 'rounds', version, adapters: [], role: 'serve' };
}

describe('EngineOrderDesk', () => {
	it('refuses a lower fencing number and accepts a repeated one if it checks fencing numbers', () => {
		const processor = createProcessor(true);
		expect(processor.apply(createOrder(2, 'v2'))).toBe(OrderVerdict.LoadStarted);
		expect(processor.apply(createOrder(2, 'v2'))).toBe(OrderVerdict.Applied);
		expect(processor.apply(createOrder(1, 'v1'))).toBe(OrderVerdict.Superseded);
		expect(processor.getState().version).toBe('v2');
	});

	it('applies all orders and counts the outdated ones if it does not check fencing numbers', () => {
		const processor = createProcessor(false);
		processor.apply(createOrder(2, 'v2'));
		expect(processor.apply(createOrder(1, 'v1'))).toBe(OrderVerdict.LoadStarted);
		expect(processor.getCounters().obeyedOlder).toBe(1);
	});

	it('reports loading until the load of the last order has finished', () => {
		const processor = createProcessor(true);
		processor.apply(createOrder(1, 'v1'));
		const firstLoad = processor.getLatestLoadId();
		processor.apply(createOrder(2, 'v2'));
		processor.finishLoad(firstLoad);
		expect(processor.getState().loading).toBe(true);
		processor.finishLoad(processor.getLatestLoadId());
		expect(processor.getState().loading).toBe(false);
	});
});

describe('PrefixCache', () => {
	it('returns the cached tokens of a prefix and evicts the least recently used prefix', () => {
		const evicted: string[] = [];
		const cache = new PrefixCache(
			100,
			() => undefined,
			prefixKey => evicted.push(prefixKey),
		);
		expect(cache.recordUse('a', 60)).toBe(0);
		expect(cache.recordUse('b', 40)).toBe(0);
		expect(cache.recordUse('a', 60)).toBe(60);
		expect(cache.recordUse('c', 30)).toBe(0);
		expect(evicted).toEqual(['b']);
		expect(cache.getCounters()).toEqual({ hits: 1, misses: 3, tokensHeld: 90 });
	});

	it('does not store a prefix that exceeds its capacity', () => {
		const cache = new PrefixCache(
			10,
			() => undefined,
			() => undefined,
		);
		cache.recordUse('large', 11);
		expect(cache.recordUse('large', 11)).toBe(0);
	});
});

describe('CacheEventLog', () => {
	it('publishes events after the lag and leaves a gap in the sequence for a lost event', () => {
		const log = new CacheEventLog(new SeededRandom(1));
		log.record(CacheEventKind.Stored, 'a', 0, 0);
		log.record(CacheEventKind.Stored, 'lost', 0, 100);
		log.record(CacheEventKind.Evicted, 'a', 50, 0);
		expect(log.list(0, 99, 100)).toEqual([]);
		expect(log.list(0, 150, 100).map(event => event.sequence)).toEqual([1, 3]);
		expect(log.list(1, 150, 100).map(event => event.sequence)).toEqual([3]);
	});
});

describe('LaggedValue', () => {
	it('returns the value that was current before the lag', () => {
		const value = new LaggedValue('first', 1_000);
		value.set('second', 100);
		value.set('third', 200);
		expect([value.get(250, 0), value.get(250, 100), value.get(250, 200)]).toEqual([
			'third',
			'second',
			'first',
		]);
		value.set('fourth', 5_000);
		expect(value.get(5_100, 1_000)).toBe('third');
	});
});

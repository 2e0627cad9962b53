import { SeededRandom } from '../../base/common/random';
import { CacheEventKind, CacheEventLog } from '../common/cacheEvents';
import type { EngineOrder } from '../common/engineOrders';
import { EngineOrderDesk, OrderVerdict } from '../common/engineOrders';
import { LaggedValue } from '../common/laggedValue';
import { PrefixCache } from '../common/prefixCache';

function createDesk(checksFencing: boolean): EngineOrderDesk {
	return new EngineOrderDesk(checksFencing, {
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
	it('refuses an older fencing number where it checks them, and repeats the same one freely', () => {
		const desk = createDesk(true);
		expect(desk.apply(createOrder(2, 'v2'))).toBe(OrderVerdict.LoadStarted);
		expect(desk.apply(createOrder(2, 'v2'))).toBe(OrderVerdict.Applied);
		expect(desk.apply(createOrder(1, 'v1'))).toBe(OrderVerdict.Superseded);
		expect(desk.getState().version).toBe('v2');
	});

	it('obeys anything where it checks none, and counts what went back', () => {
		const desk = createDesk(false);
		desk.apply(createOrder(2, 'v2'));
		expect(desk.apply(createOrder(1, 'v1'))).toBe(OrderVerdict.LoadStarted);
		expect(desk.getCounters().obeyedOlder).toBe(1);
	});

	it('is loading until the load of its newest order has ended', () => {
		const desk = createDesk(true);
		desk.apply(createOrder(1, 'v1'));
		const firstLoad = desk.getLoadNumber();
		desk.apply(createOrder(2, 'v2'));
		desk.finishLoad(firstLoad);
		expect(desk.getState().loading).toBe(true);
		desk.finishLoad(desk.getLoadNumber());
		expect(desk.getState().loading).toBe(false);
	});
});

describe('PrefixCache', () => {
	it('saves what it holds and evicts the prefix used least lately', () => {
		const evicted: string[] = [];
		const cache = new PrefixCache(
			100,
			() => undefined,
			prefixKey => evicted.push(prefixKey),
		);
		expect(cache.take('a', 60)).toBe(0);
		expect(cache.take('b', 40)).toBe(0);
		expect(cache.take('a', 60)).toBe(60);
		expect(cache.take('c', 30)).toBe(0);
		expect(evicted).toEqual(['b']);
		expect(cache.getCounters()).toEqual({ hits: 1, misses: 3, tokensHeld: 90 });
	});

	it('holds no prefix that is larger than itself', () => {
		const cache = new PrefixCache(
			10,
			() => undefined,
			() => undefined,
		);
		cache.take('large', 11);
		expect(cache.take('large', 11)).toBe(0);
	});
});

describe('CacheEventLog', () => {
	it('publishes late, and shows a lost event by the gap in the numbers', () => {
		const log = new CacheEventLog(new SeededRandom(1));
		log.note(CacheEventKind.Stored, 'a', 0, 0);
		log.note(CacheEventKind.Stored, 'lost', 0, 100);
		log.note(CacheEventKind.Evicted, 'a', 50, 0);
		expect(log.list(0, 99, 100)).toEqual([]);
		expect(log.list(0, 150, 100).map(event => event.sequence)).toEqual([1, 3]);
		expect(log.list(1, 150, 100).map(event => event.sequence)).toEqual([3]);
	});
});

describe('LaggedValue', () => {
	it('shows what was true a while ago', () => {
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

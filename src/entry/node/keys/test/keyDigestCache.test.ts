import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { computeKeyDigest } from '../keyDigest';
import { KeyDigestCache } from '../keyDigestCache';

interface Fixture {
	readonly cache: KeyDigestCache;
	readonly timers: ManualTimerService;
	/** Requests with the key, which an organisation has. Returns how many keys have been hashed so far. */
	countHashed(key: string): number;
}

function createFixture(): Fixture {
	const timers = new ManualTimerService();
	let hashed = 0;
	const cache = new KeyDigestCache(timers, key => {
		hashed++;
		return computeKeyDigest(key);
	});
	const countHashed = (key: string): number => {
		cache.keep(key, cache.computeDigest(key));
		return hashed;
	};
	return { cache, timers, countHashed };
}

describe('the cache of digests', () => {
	it('hashes a key once for many requests', () => {
		const { cache, countHashed } = createFixture();
		expect([countHashed('a'), countHashed('a'), countHashed('b'), countHashed('a')]).toEqual([1, 1, 2, 2]);
		expect(cache.computeDigest('a')).toBe(computeKeyDigest(Buffer.from('a')));
	});

	// Guards against keys that can be read in the memory of a process long after their last request.
	it('forgets every key five seconds after the first at the latest, also without further requests', () => {
		const { timers, countHashed } = createFixture();
		countHashed('a');
		timers.advance(4_999);
		expect(countHashed('b')).toBe(2);
		timers.advance(1);
		expect([countHashed('a'), countHashed('b')]).toEqual([3, 4]);
		timers.advance(5_000);
		expect(countHashed('a')).toBe(5);
	});

	// Guards against memory that grows with the number of keys.
	it('holds at most 1,024 keys', () => {
		const { countHashed } = createFixture();
		for (let number = 0; number < 1_100; number++) {
			countHashed(`key-${number}`);
		}
		expect([countHashed('key-1023'), countHashed('key-1024')]).toEqual([1_100, 1_101]);
	});
});

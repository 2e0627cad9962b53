import { fc, test } from '@fast-check/jest';
import { SeededRandom } from '../../base/common/random';
import { burstPeakMs, burstPeriodMs, planArrivals } from '../common/arrivalPlan';
import { ArrivalProfile } from '../common/loadOptions';

describe('planArrivals', () => {
	test.prop(
		[fc.constantFrom(...Object.values(ArrivalProfile)), fc.integer({ min: 1, max: 1_000 }), fc.integer()],
		{ seed: 11, numRuns: 100 },
	)('plans ascending times below the duration and repeats them for the same seed', (profile, rate, seed) => {
		const options = { profile, ratePerSecond: rate, durationMs: 4_000 };
		const arrivals = planArrivals(options, new SeededRandom(seed));
		expect(arrivals).toEqual(planArrivals(options, new SeededRandom(seed)));
		expect(arrivals.every((atMs, index) => atMs >= (arrivals[index - 1] ?? 0) && atMs < 4_000)).toBe(true);
	});

	it('spaces the arrivals of a steady run evenly', () => {
		const options = { profile: ArrivalProfile.Steady, ratePerSecond: 10, durationMs: 500 };
		expect(planArrivals(options, new SeededRandom(1))).toEqual([0, 100, 200, 300, 400]);
	});

	it.each(Object.values(ArrivalProfile))('keeps the mean rate of a %s run', profile => {
		const options = { profile, ratePerSecond: 2_000, durationMs: 20_000 };
		const count = planArrivals(options, new SeededRandom(3)).length;
		expect(count).toBeGreaterThan(39_000);
		expect(count).toBeLessThan(41_000);
	});

	it('places about 55 percent of the arrivals of a burst run in its peaks', () => {
		const options = { profile: ArrivalProfile.Burst, ratePerSecond: 2_000, durationMs: 20_000 };
		const arrivals = planArrivals(options, new SeededRandom(3));
		const inPeaks = arrivals.filter(atMs => atMs % burstPeriodMs < burstPeakMs);
		expect(inPeaks.length / arrivals.length).toBeCloseTo(0.55, 1);
	});
});

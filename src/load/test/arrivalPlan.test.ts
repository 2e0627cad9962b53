import { fc, test } from '@fast-check/jest';
import { SeededRandom } from '../../base/common/random';
import { burstLengthMs, burstPeriodMs, planArrivals } from '../common/arrivalPlan';
import { ArrivalProfile } from '../common/loadOptions';

describe('planArrivals', () => {
	test.prop(
		[fc.constantFrom(...Object.values(ArrivalProfile)), fc.integer({ min: 1, max: 1_000 }), fc.integer()],
		{ seed: 11, numRuns: 100 },
	)('plans ascending times below the duration, the same for the same seed', (profile, rate, seed) => {
		const question = { profile, ratePerSecond: rate, durationMs: 4_000 };
		const arrivals = planArrivals(question, new SeededRandom(seed));
		expect(arrivals).toEqual(planArrivals(question, new SeededRandom(seed)));
		expect(arrivals.every((atMs, index) => atMs >= (arrivals[index - 1] ?? 0) && atMs < 4_000)).toBe(true);
	});

	it('sends a steady run at equal distances', () => {
		const question = { profile: ArrivalProfile.Steady, ratePerSecond: 10, durationMs: 500 };
		expect(planArrivals(question, new SeededRandom(1))).toEqual([0, 100, 200, 300, 400]);
	});

	it.each(Object.values(ArrivalProfile))('keeps the mean rate of a %s run', profile => {
		const question = { profile, ratePerSecond: 2_000, durationMs: 20_000 };
		const count = planArrivals(question, new SeededRandom(3)).length;
		expect(count).toBeGreaterThan(39_000);
		expect(count).toBeLessThan(41_000);
	});

	it('puts more than half of a burst run into its peaks', () => {
		const question = { profile: ArrivalProfile.Burst, ratePerSecond: 2_000, durationMs: 20_000 };
		const arrivals = planArrivals(question, new SeededRandom(3));
		const inPeaks = arrivals.filter(atMs => atMs % burstPeriodMs < burstLengthMs);
		expect(inPeaks.length / arrivals.length).toBeCloseTo(0.55, 1);
	});
});

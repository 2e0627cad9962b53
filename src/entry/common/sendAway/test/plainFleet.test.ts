import type { PlainFleetOptions } from './plainFleet';
import { movingPeak, runPlainFleet } from './plainFleet';

const timeoutMs = 60_000;

/** Every region has nine tenths of what its targets can do. */
const evenLoad: PlainFleetOptions = {
	...movingPeak,
	peakPerSecond: 120,
	quietPerSecond: 120,
	peakMs: 5_000,
	peaks: 2,
};

// A region at several times its mean load fills its plain targets and its entries keep requests that then come late,
// while the targets of other regions, one round trip away, are idle.
describe('plain requests of a region at 1.9 times what its targets can do', () => {
	it.each([1, 2, 3])(
		'are mostly answered in time, and those of the other regions as before (seed %i)',
		seed => {
			expect(runPlainFleet(movingPeak, seed, true).peak.inAim).toBeGreaterThan(0.99);
			const { peak, quiet } = runPlainFleet(movingPeak, seed);
			expect(peak.inAim).toBeGreaterThan(0.96);
			expect(peak.refused).toBeLessThan(0.02);
			expect(quiet.inAim).toBeGreaterThan(0.99);
		},
		timeoutMs,
	);

	// Guards against regions that exchange their requests, which costs each a round trip and gains nothing.
	it(
		'stay in their region if all regions are equally loaded',
		() => {
			const { peak, quiet, sent } = runPlainFleet(evenLoad, 1);
			expect(sent).toBeLessThan(0.1);
			expect(Math.min(peak.inAim, quiet.inAim)).toBeGreaterThan(0.98);
		},
		timeoutMs,
	);
});

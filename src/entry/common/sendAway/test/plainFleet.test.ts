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

	// An entry with many requests gets a few offers, each of which is replaced after seconds. If the work that it sent there
	// counted as waiting until then, it would send a few requests for each offer and refuse a third of the others.
	it(
		'are sent to the other regions by a single entry in each region as well',
		() => {
			const { peak } = runPlainFleet({ ...movingPeak, entriesPerRegion: 1 }, 1);
			expect(peak.inAim).toBeGreaterThan(0.85);
			expect(peak.refused).toBeLessThan(0.08);
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

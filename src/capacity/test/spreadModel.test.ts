import { computeSpread } from '../common/spreadModel';

describe('computeSpread', () => {
	// One instance alone sees the platform. If its news did not reach every other one within nine seconds, two
	// versions of the manifest would be in force side by side for longer than operators accept.
	it('finds a manifest that one of 360 nodes saw at all of them within nine rounds', () => {
		expect(computeSpread(360, 4).roundsToAll).toBeLessThanOrEqual(9);
	});
});

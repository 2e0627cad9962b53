import { runGossipModel } from '../common/gossipModel';

describe('computeSpread', () => {
	// If only one instance reaches the platform, the manifest propagates from there to all other instances. If that
	// took more than nine seconds, two manifest versions would be active at once for longer than operators accept.
	it('propagates a manifest from one node to all 360 nodes within nine rounds', () => {
		expect(runGossipModel(360, 4).roundsToAll).toBeLessThanOrEqual(9);
	});
});

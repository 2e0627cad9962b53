import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import { ExchangePlanner } from '../../../common/fleetView/exchangePlanner';
import { FleetView } from '../../../common/fleetView/fleetView';
import { PeerContacts } from '../peerContacts';
import { createView } from './views';

const seed = 'http://gone:2';

function createContacts(views: FleetView): PeerContacts {
	const random = new SeededRandom(7);
	const place = { region: 'khomas' as RegionName, zone: 'khomas-a' as ZoneName };
	const own = { id: 'self' as InstanceId, peerUrl: 'http://self:2', seeds: [seed, 'http://entry-1:2'] };
	return new PeerContacts(own, views, new ExchangePlanner(place, views, random), random);
}

function countSeedContacts(contacts: PeerContacts, fromMs: number, periods: number): number {
	let count = 0;
	for (let period = 0; period < periods; period++) {
		const picked = contacts.pick(fromMs);
		count += picked.filter(({ peerUrl }) => peerUrl === seed).length;
	}
	return count;
}

describe('Contacts', () => {
	// A seed in the settings was replaced long ago and does not answer. Contacting it every second would waste the
	// byte budget of the control traffic; never contacting it would make a partition permanent.
	it('contacts an unanswered seed less and less often, but never stops', () => {
		const views = new FleetView('self' as InstanceId);
		views.merge([createView('entry-1')], 0);
		const contacts = createContacts(views);
		expect(countSeedContacts(contacts, 0, 200)).toBeLessThan(40);
		expect(countSeedContacts(contacts, 0, 200)).toBeGreaterThan(0);
	});

	// All other entries are silent, as in a partition. The first one that returns must be found immediately.
	it('contacts a seed in every period while no other instance is live', () => {
		const contacts = createContacts(new FleetView('self' as InstanceId));
		const picked = Array.from({ length: 50 }, () => contacts.pick(0).length);
		expect(new Set(picked)).toEqual(new Set([1]));
	});
});

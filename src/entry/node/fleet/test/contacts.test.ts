import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import { ExchangePlanner } from '../../../common/fleetView/exchangePlanner';
import { FleetView } from '../../../common/fleetView/fleetView';
import { Contacts } from '../contacts';
import { createView } from './views';

const seed = 'http://gone:2';

function createContacts(views: FleetView): Contacts {
	const random = new SeededRandom(7);
	const place = { region: 'khomas' as RegionName, zone: 'khomas-a' as ZoneName };
	const own = { id: 'self' as InstanceId, peerUrl: 'http://self:2', seeds: [seed, 'http://entry-1:2'] };
	return new Contacts(own, views, new ExchangePlanner(place, views, random), random);
}

function countSeedAsks(contacts: Contacts, fromMs: number, periods: number): number {
	let asks = 0;
	for (let period = 0; period < periods; period++) {
		const picked = contacts.pick(fromMs);
		asks += picked.filter(({ peerUrl }) => peerUrl === seed).length;
	}
	return asks;
}

describe('Contacts', () => {
	// An instance that the settings name was replaced long ago and nobody answers there. Asking it each second
	// would spend the budget of control on it; never asking it would keep two halves apart for good.
	it('asks a seed that nobody answers for ever more rarely, and never gives it up', () => {
		const views = new FleetView('self' as InstanceId);
		views.merge([createView('entry-1')], 0);
		const contacts = createContacts(views);
		expect(countSeedAsks(contacts, 0, 200)).toBeLessThan(40);
		expect(countSeedAsks(contacts, 0, 200)).toBeGreaterThan(0);
	});

	// All others fell silent, as in a partition: whoever comes back first must be found at once.
	it('asks the seeds in every period while nobody else lives', () => {
		const contacts = createContacts(new FleetView('self' as InstanceId));
		const picked = Array.from({ length: 50 }, () => contacts.pick(0).length);
		expect(new Set(picked)).toEqual(new Set([1]));
	});
});

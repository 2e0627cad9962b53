import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { RingAuditTrail } from '../../../../core/audit/common/ringAuditTrail';
import type { InstanceId, ZoneName } from '../../../../core/ids/common/ids';
import type { PeerClients } from '../../peers/peerClients';
import { EntryFleet } from '../entryFleet';
import { encodeView } from '../viewCodec';
import { createView, region } from './views';

/** A fleet view of one entry, and the addresses of the peers that it has called. */
interface RecordedFleet {
	readonly fleet: EntryFleet;
	/** Returns the peers with which views were exchanged since the last call. */
	takeContacted(): readonly string[];
}

function createRecordedFleet(others: number): RecordedFleet {
	const contacted: string[] = [];
	const peers = {
		open: (peerUrl: string) => ({
			client: {
				exchangeViews: () => {
					contacted.push(peerUrl);
					return Promise.resolve({ views: [] });
				},
			},
		}),
		closeAbsent: () => undefined,
	};
	const location = {
		id: 'self' as InstanceId,
		region,
		zone: 'khomas-a' as ZoneName,
		peerUrl: 'http://self:2',
		seeds: [],
	};
	const timers = new ManualTimerService();
	const fleet = new EntryFleet(
		location,
		() => createView('self'),
		peers as unknown as PeerClients,
		timers,
		new SeededRandom(3),
		new RingAuditTrail(100, () => new Date(0)),
	);
	fleet.receiveViews(Array.from({ length: others }, (_, index) => encodeView(createView(`entry-${index}`))));
	return { fleet, takeContacted: () => contacted.splice(0) };
}

describe('a new manifest', () => {
	async function listContactedAfter(others: number, manifests: number): Promise<readonly string[]> {
		const { fleet, takeContacted } = createRecordedFleet(others);
		let contacted: readonly string[] = [];
		for (let count = 0; count < manifests; count++) {
			await fleet.shareManifest();
			contacted = takeContacted();
		}
		return contacted;
	}

	// Guards against entries that do nothing else for a second after a change, since each exchanges views with each other.
	it('starts no more exchanges in a fleet of hundreds than in one of dozens', async () => {
		const inDozens = await listContactedAfter(30, 2);
		const inHundreds = await listContactedAfter(300, 2);
		expect(inHundreds).toHaveLength(inDozens.length);
		expect(new Set(inHundreds).size).toBe(inHundreds.length);
	});

	it('is announced to all entries of a small fleet', async () => {
		expect(await listContactedAfter(6, 2)).toHaveLength(6);
	});

	it('is announced to all entries if it is the first one', async () => {
		expect(await listContactedAfter(300, 1)).toHaveLength(300);
	});
});

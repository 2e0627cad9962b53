import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { RingAuditTrail } from '../../../../core/audit/common/ringAuditTrail';
import type {
	ManifestVersion,
	RegionName,
	ServiceName,
	TargetId,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { checkManifest } from '../../../../core/manifest/common/manifest';
import { ListedState } from '../../../../core/platformClient/common/instanceList';
import { ManifestIndex } from '../../../common/placement/manifestIndex';
import type { IndexedManifest } from '../../manifest/manifestKeeper';
import { TargetRegistry } from '../targetRegistry';

const first = 'bookings-1' as TargetId;

function createManifest(): IndexedManifest {
	const place = { region: 'kingston', zone: 'kingston-a' };
	const manifest = checkManifest({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [{ name: 'bookings', kind: 'plain', residency: 'any', repeat: 'idempotent' }],
		targets: [1, 2].map(number => ({
			...place,
			id: `bookings-${number}`,
			service: 'bookings',
			url: `http://127.0.0.1:${number}`,
		})),
	})._unsafeUnwrap();
	const accepted = { version: 1 as ManifestVersion, digest: '', document: '', manifest, source: 'platform' };
	return { accepted, index: new ManifestIndex(manifest) };
}

function createRegistry(): TargetRegistry {
	const trail = new RingAuditTrail(10, () => new Date(0));
	const place = { region: 'kingston' as RegionName, zone: 'kingston-a' as ZoneName };
	return new TargetRegistry(place, trail, new ManualTimerService());
}

function listUsable(registry: TargetRegistry): string[] {
	return ['bookings-1', 'bookings-2'].filter(id => registry.getLifecycles().isUsable(id as TargetId));
}

describe('a target that the instance list reports as leaving', () => {
	const leaving = { targets: [{ id: first, kind: 'target' as const, state: ListedState.Leaving }] };

	// The platform is about to stop a target that does not announce it itself. Requests sent to the target until
	// its port closes would end with a connection reset.
	it('receives no more requests', () => {
		const registry = createRegistry();
		registry.setManifest(createManifest());
		expect(listUsable(registry)).toEqual(['bookings-1', 'bookings-2']);
		registry.setInstanceList(leaving);
		expect(listUsable(registry)).toEqual(['bookings-2']);
		const described = registry.listSummaries('bookings' as ServiceName).find(({ id }) => id === first);
		expect(described?.lastSign).toBe('instance list');
		registry.dispose();
	});

	// An entry starts and reads the instance list before the manifest. If the list were lost, the new entry
	// would be the only one that still sends requests to the target.
	it('receives none from an entry that read the list before the manifest', () => {
		const registry = createRegistry();
		registry.setInstanceList(leaving);
		registry.setManifest(createManifest());
		expect(listUsable(registry)).toEqual(['bookings-2']);
		registry.dispose();
	});
});

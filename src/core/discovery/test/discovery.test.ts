import { RingAuditTrail } from '../../audit/common/ringAuditTrail';
import type {
	BootId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	TargetId,
	ZoneName,
} from '../../ids/common/ids';
import type { DiscoveredTarget } from '../common/discoveredTarget';
import { Discovery, reregistrationGraceMs } from '../common/discovery';

const id = 'engine-1' as TargetId;
const zone = 'kingston-a' as ZoneName;

function createTarget(change: Partial<DiscoveredTarget> = {}): DiscoveredTarget {
	return {
		id,
		service: 'round-assistant' as ServiceName,
		region: 'kingston' as RegionName,
		zone,
		url: 'http://127.0.0.1:9001',
		slots: 8,
		isLeaving: false,
		remainingMs: undefined,
		coldLeftMs: 0,
		boot: '1' as BootId,
		version: 'v1' as SoftwareVersion,
		...change,
	};
}

function createDiscovery(...targets: DiscoveredTarget[]): Discovery {
	const discovery = new Discovery(new RingAuditTrail(100, () => new Date(0)));
	discovery.applyRegistrations({ registered: targets, removed: [], isAfterOutage: false }, 0);
	return discovery;
}

describe('Discovery', () => {
	it('removes a target whose registration is removed', () => {
		const discovery = createDiscovery(createTarget());
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: false }, 10);
		expect(discovery.list()).toEqual([]);
	});

	// Guards against refused requests after each outage of the store: the registrations of healthy targets expire during
	// the outage, and removing them at once would leave a region without targets for a second.
	it('waits for a target to register again after an outage of the store', () => {
		const discovery = createDiscovery(createTarget());
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 100);
		discovery.expire(100 + reregistrationGraceMs - 1);
		expect(discovery.list()).toHaveLength(1);
		discovery.applyRegistrations({ registered: [createTarget()], removed: [], isAfterOutage: true }, 900);
		discovery.expire(100 + reregistrationGraceMs);
		expect(discovery.list()).toHaveLength(1);
	});

	it('removes a target that does not register again after an outage of the store', () => {
		const discovery = createDiscovery(createTarget());
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 100);
		discovery.expire(100 + reregistrationGraceMs);
		expect(discovery.list()).toEqual([]);
	});

	it('removes a leaving target at once, also after an outage', () => {
		const discovery = createDiscovery(createTarget({ isLeaving: true }));
		discovery.applyRegistrations({ registered: [], removed: [id], isAfterOutage: true }, 100);
		expect(discovery.list()).toEqual([]);
	});

	// Guards against using connections and cached state of a target that crashed and restarted under the same id before
	// its registration expired.
	it('increments the generation when a target restarts', () => {
		const discovery = createDiscovery(createTarget());
		const again = createTarget({ boot: '2' as BootId });
		discovery.applyRegistrations({ registered: [again], removed: [], isAfterOutage: false }, 10);
		expect(discovery.find(id)?.generation).toBe(2);
		discovery.applyRegistrations({ registered: [again], removed: [], isAfterOutage: false }, 20);
		expect(discovery.find(id)?.generation).toBe(2);
	});

	// Guards against sending the full load to targets that were restarted while their zone was evacuated: registrations
	// that show them as cold arrive late, and the targets would crash.
	it('treats the targets of a zone as cold when it is no longer evacuated', () => {
		const discovery = createDiscovery(createTarget());
		discovery.setEvacuated(new Set([zone]), 3_000, 100);
		expect(discovery.isEvacuated(zone)).toBe(true);
		discovery.setEvacuated(new Set(), 3_000, 5_000);
		expect(discovery.isEvacuated(zone)).toBe(false);
		expect(discovery.find(id)?.coldUntilMs).toBe(8_000);
	});

	it('provides the announced end of a target', () => {
		const discovery = createDiscovery();
		const spot = createTarget({ isLeaving: true, remainingMs: 2_000 });
		discovery.applyRegistrations({ registered: [spot], removed: [], isAfterOutage: false }, 500);
		expect(discovery.find(id)?.endsMs).toBe(2_500);
	});
});

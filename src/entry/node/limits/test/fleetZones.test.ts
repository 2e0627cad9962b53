import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { InstanceId, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import type { FleetPosition } from '../../../common/fleetView/fleetRoster';
import type { KnownInstance } from '../../../common/fleetView/fleetView';
import { createView } from '../../fleet/test/views';
import { FleetZones } from '../fleetZones';

const own = {
	id: 'entry-1' as InstanceId,
	region: 'kingston' as RegionName,
	zone: 'kingston-a' as ZoneName,
	isLeaving: () => false,
	listRegions: () => ['kingston' as RegionName],
};

function createKnown(instance: string): KnownInstance {
	const view = createView(instance, { region: own.region, zone: own.zone });
	return { view, ageMs: 0, isSuspect: false };
}

function createZones(timers: ManualTimerService, views: readonly KnownInstance[]): FleetZones {
	const position: FleetPosition = { entries: Number.POSITIVE_INFINITY, rank: 0, startedMs: timers.getNow() };
	return new FleetZones(own, { listViews: () => views, getFleetPosition: () => position }, timers);
}

describe('the size of the fleet after a start', () => {
	// Guards against refusing all requests of limited organisations for seconds after a restart of all entries.
	it('is the number of the entries known so far as soon as they had time to find each other', () => {
		const timers = new ManualTimerService();
		const zones = createZones(timers, [createKnown('entry-2'), createKnown('entry-3')]);
		expect(zones.countFleet()).toBe(Number.POSITIVE_INFINITY);
		timers.advance(600);
		expect(zones.countFleet()).toBe(3);
	});

	// Guards against an entry that is cut off after its start and would use the limit of the whole fleet.
	it('stays unknown while no other entry is known', () => {
		const timers = new ManualTimerService();
		const zones = createZones(timers, []);
		timers.advance(60_000);
		expect(zones.countFleet()).toBe(Number.POSITIVE_INFINITY);
	});
});

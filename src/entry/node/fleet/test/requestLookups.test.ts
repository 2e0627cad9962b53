/**
 * Counts the records of other entries and of targets that are visited for the questions that requests ask, in fleets of
 * several sizes.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { RingAuditTrail } from '../../../../core/audit/common/ringAuditTrail';
import type { DiscoveredTarget } from '../../../../core/discovery/common/discoveredTarget';
import { Discovery } from '../../../../core/discovery/common/discovery';
import type {
	BootId,
	InstanceId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	TargetId,
	TargetUrl,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { PeerClients } from '../../peers/peerClients';
import { DiscoveredTargetRegistry } from '../../targets/discoveredTargetRegistry';
import { EntryFleet } from '../entryFleet';
import { encodeView } from '../viewCodec';
import { createView } from './views';

const regions = ['khomas', 'erongo', 'oshana'] as RegionName[];
const service = 'report-writer' as ServiceName;
const requestCount = 130;

function createTrail(): RingAuditTrail {
	return new RingAuditTrail(10, () => new Date(0));
}

function pickRegion(index: number): RegionName {
	return regions[index % regions.length]!;
}

function createFleet(size: number, timers: ManualTimerService): EntryFleet {
	const place = {
		id: 'self' as InstanceId,
		region: regions[0]!,
		zone: 'a' as ZoneName,
		peerUrl: 'http://self:2',
	};
	const fleet = new EntryFleet(
		{ ...place, seeds: [] },
		() => createView('self'),
		new PeerClients({}, undefined),
		timers,
		new SeededRandom(3),
		createTrail(),
	);
	for (let index = 1; index < size; index++) {
		fleet.receiveViews([encodeView(createView(`entry-${index}`, { region: pickRegion(index) }))]);
	}
	return fleet;
}

function createTarget(index: number): DiscoveredTarget {
	const region = pickRegion(index);
	return {
		id: `target-${index}` as TargetId,
		service,
		region,
		zone: `${region}-a` as ZoneName,
		url: `http://127.0.0.1:${9_000 + index}` as TargetUrl,
		slots: 8,
		isLeaving: false,
		remainingMs: undefined,
		coldLeftMs: 0,
		boot: '1' as BootId,
		version: 'v1' as SoftwareVersion,
	};
}

function createRegistry(targets: number, timers: ManualTimerService): [Discovery, DiscoveredTargetRegistry] {
	const discovery = new Discovery(createTrail());
	const registry = new DiscoveredTargetRegistry(
		{ region: regions[0]!, zone: 'a' as ZoneName },
		discovery,
		timers,
	);
	register(discovery, targets);
	return [discovery, registry];
}

function register(discovery: Discovery, targets: number): void {
	const registered = Array.from({ length: targets }, (_, index) => createTarget(index));
	discovery.applyRegistrations({ registered, removed: [], isAfterOutage: false }, 0);
}

/** Asks what the path of a request asks of the fleet. */
function askFleet(fleet: EntryFleet): void {
	fleet.getFleetPosition();
	fleet.getEntrySharing();
	for (const region of fleet.listLiveRegions()) {
		fleet.countLive(region, regions[0]!);
		fleet.listLiveIn(region);
	}
}

describe('the records visited for requests', () => {
	// Guards against lists of the whole fleet that each request builds anew.
	it.each([10, 85, 300])('of %i entries are none while no entry changes', size => {
		const fleet = createFleet(size, new ManualTimerService());
		askFleet(fleet);
		const before = fleet.visitCount;
		for (let request = 0; request < requestCount; request++) {
			const renewed = createView(`entry-${1 + (request % (size - 1))}`, {
				region: pickRegion(1 + (request % (size - 1))),
				sequence: 2 + request,
			});
			fleet.receiveViews([encodeView(renewed)]);
			askFleet(fleet);
		}
		expect(fleet.visitCount - before).toBe(0);
	});

	it.each([10, 85, 300])('of %i entries are at most two for each, once for a change', size => {
		const fleet = createFleet(size, new ManualTimerService());
		askFleet(fleet);
		const before = fleet.visitCount;
		fleet.receiveViews([
			encodeView(createView('entry-1', { region: regions[1]!, sequence: 2, isLeaving: true })),
		]);
		for (let request = 0; request < requestCount; request++) {
			askFleet(fleet);
		}
		expect(fleet.visitCount - before).toBeLessThanOrEqual(2 * size);
		expect(fleet.listLiveIn(regions[1]!).map(({ view }) => view.instance)).not.toContain('entry-1');
	});

	// Guards against targets that are ranked anew for each prompt, and schedulers updated for each renewed registration.
	it.each([9, 78, 890])('of %i targets are none while registrations are only renewed', size => {
		const timers = new ManualTimerService();
		const [discovery, registry] = createRegistry(size, timers);
		let changes = 0;
		discovery.onDidChange.observe(() => changes++).catch(() => undefined);
		const ask = (part: number): void => {
			registry.isServed(service, regions[1]!);
			registry.findOwnerRegion(service, `part-${part}`, undefined);
		};
		ask(0);
		const before = registry.visitCount;
		for (let request = 1; request < requestCount; request++) {
			register(discovery, size);
			ask(request);
		}
		expect(registry.visitCount - before).toBe(0);
		expect(changes).toBe(0);
		registry.dispose();
	});
});

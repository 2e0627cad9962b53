/**
 * The view that an entry of a synthetic fleet tells of itself: as long as a real one with seven services,
 * so that what carries it costs what it would cost.
 */

import type { EntryView } from '../../entry/common/fleetView/entryView';
import type {
	BootId,
	InstanceId,
	ManifestVersion,
	RegionName,
	ServiceName,
	ZoneName,
} from '../../core/ids/common/ids';
import { createPlace } from './syntheticFleet';

const services = 7;
const firstVersion = 1 as ManifestVersion;

/** The view of the entry with this index in the fleet, on the first manifest. */
export function createSyntheticView(index: number, sequence: number, peerUrl: string): EntryView {
	const { id, region, zone } = createPlace(index);
	return {
		instance: id as InstanceId,
		bootId: `boot0000${index}` as BootId,
		sequence,
		region: region as RegionName,
		zone: zone as ZoneName,
		callerUrl: peerUrl,
		peerUrl,
		isLeaving: false,
		manifestVersion: firstVersion,
		manifestDigest: '0123456789abcdef',
		ageMs: 0,
		rooms: Array.from({ length: services }, (_, service) => ({
			service: `service-${service}` as ServiceName,
			room: { waitMs: 12, freeSlots: 40, running: 24, queued: 3 },
		})),
		leavingTargets: [],
		crashSightings: [],
	};
}

/**
 * Creates the views that the entries of a synthetic fleet publish. Each is as large as a real view with seven
 * services, so that sending and processing it costs the same.
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
import { createSyntheticInstance } from './syntheticFleet';

const serviceCount = 7;
const defaultServices = Array.from({ length: serviceCount }, (_, service) => `service-${service}`);
const firstManifestVersion = 1 as ManifestVersion;

/** Returns a view of the entry with this index, with the first manifest version and capacity for the services. */
export function createSyntheticView(
	index: number,
	sequence: number,
	peerUrl: string,
	services: readonly string[] = defaultServices,
): EntryView {
	const { id, region, zone } = createSyntheticInstance(index);
	return {
		instance: id as InstanceId,
		bootId: `boot0000${index}` as BootId,
		sequence,
		region: region as RegionName,
		zone: zone as ZoneName,
		callerUrl: peerUrl,
		peerUrl,
		isLeaving: false,
		manifestVersion: firstManifestVersion,
		manifestDigest: '0123456789abcdef',
		ageMs: 0,
		rooms: services.map(service => ({
			service: service as ServiceName,
			room: { waitMs: 12, freeSlots: 40, running: 24, queued: 3 },
		})),
		leavingTargets: [],
		crashSightings: [],
		regionSizes: [],
		cutServices: [],
		keepsStreamOrigins: true,
		countsAttempts: true,
		relaysStore: true,
		confirmsKeys: true,
	};
}

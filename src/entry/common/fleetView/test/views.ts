/** Creates views of entries for tests. */

import type {
	BootId,
	InstanceId,
	ManifestVersion,
	RegionName,
	ServiceName,
	ZoneName,
} from '../../../../core/ids/common/ids';
import type { EntryView } from '../entryView';

export const service = 'report-writer' as ServiceName;

/** Creates a view with capacity for one service. */
export function createView(instance: string, more: Partial<EntryView> = {}): EntryView {
	return {
		instance: instance as InstanceId,
		bootId: 'boot-1' as BootId,
		sequence: 1,
		region: 'khomas' as RegionName,
		zone: 'khomas-a' as ZoneName,
		callerUrl: 'http://10.0.0.1:7001',
		peerUrl: 'http://10.0.0.1:7002',
		isLeaving: false,
		manifestVersion: 1 as ManifestVersion,
		manifestDigest: '0123456789abcdef',
		ageMs: 0,
		rooms: [{ service, room: { waitMs: 100, freeSlots: 4, running: 2, queued: 0 } }],
		leavingTargets: [],
		crashSightings: [],
		regionSizes: [],
		cutServices: [],
		keepsStreamOrigins: true,
		countsAttempts: true,
		relaysStore: true,
		confirmsKeys: true,
		...more,
	};
}

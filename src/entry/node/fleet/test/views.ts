/** Creates views of other entries for tests. */

import type { InstanceId, ManifestVersion, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import type { EntryView } from '../../../common/fleetView/entryView';

export const region = 'khomas' as RegionName;

/** Creates a view that its entry has just sent. */
export function createView(instance: string, overrides: Partial<EntryView> = {}): EntryView {
	return {
		instance: instance as InstanceId,
		bootId: `boot-of-${instance}` as EntryView['bootId'],
		sequence: 1,
		region,
		zone: 'khomas-a' as ZoneName,
		callerUrl: `http://${instance}:1`,
		peerUrl: `http://${instance}:2`,
		isLeaving: false,
		manifestVersion: 3 as ManifestVersion,
		manifestDigest: 'abcd',
		ageMs: 0,
		rooms: [],
		leavingTargets: [],
		crashSightings: [],
		regionSizes: [],
		cutServices: [],
		keepsStreamOrigins: true,
		countsAttempts: true,
		relaysStore: true,
		confirmsKeys: true,
		...overrides,
	};
}

/** Views of other entries as tests make them. */

import type { InstanceId, ManifestVersion, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import type { EntryView } from '../../../common/fleetView/entryView';

export const region = 'khomas' as RegionName;

/** A view of an entry that has just spoken. */
export function createView(instance: string, more: Partial<EntryView> = {}): EntryView {
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
		...more,
	};
}

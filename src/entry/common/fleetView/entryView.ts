/**
 * What one entry says of itself, as entries pass it on.
 */

import type {
	BootId,
	Fingerprint,
	InstanceId,
	ManifestVersion,
	RegionName,
	ServiceName,
	TargetId,
	ZoneName,
} from '../../../core/ids/common/ids';
import type { ServiceRoom } from '../scheduling/serviceScheduler';

/** Room of one service at one entry. */
export interface ServiceRoomView {
	readonly service: ServiceName;
	readonly room: ServiceRoom;
}

/** A request that was in flight when its target died. */
export interface CrashSightingView {
	readonly fingerprint: Fingerprint;
	readonly target: TargetId;
	readonly ageMs: number;
}

/** A view; a higher sequence of the same boot replaces a lower one. */
export interface EntryView {
	readonly instance: InstanceId;
	readonly bootId: BootId;
	readonly sequence: number;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly callerUrl: string;
	readonly peerUrl: string;
	readonly isLeaving: boolean;
	readonly manifestVersion: ManifestVersion;
	readonly manifestDigest: string;
	/** Milliseconds since the entry spoke, added up along the way. */
	readonly ageMs: number;
	readonly rooms: readonly ServiceRoomView[];
	readonly leavingTargets: readonly TargetId[];
	readonly crashSightings: readonly CrashSightingView[];
}

/** The room that a view tells of a service. */
export function findRoom(view: EntryView, service: ServiceName): ServiceRoom | undefined {
	return view.rooms.find(told => told.service === service)?.room;
}

/** Tags, lengths and numbers of a view beside its texts. */
const fixedBytes = 40;
const roomBytes = 14;
const sightingBytes = 10;

/** Bytes of a view on the wire, to within a few. */
export function estimateViewBytes(view: EntryView): number {
	const texts = [
		view.instance,
		view.bootId,
		view.region,
		view.zone,
		view.callerUrl,
		view.peerUrl,
		view.manifestDigest,
		...view.leavingTargets,
	];
	const rooms = view.rooms.reduce((sum, { service }) => sum + service.length + roomBytes, 0);
	const sightings = view.crashSightings.reduce(
		(sum, { fingerprint, target }) => sum + fingerprint.length + target.length + sightingBytes,
		0,
	);
	return fixedBytes + texts.reduce((sum, text) => sum + text.length + 2, 0) + rooms + sightings;
}

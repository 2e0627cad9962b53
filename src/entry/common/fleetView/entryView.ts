/**
 * The state that an entry publishes about itself, as entries exchange and pass it on.
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

/** Capacity of one entry for one service. */
export interface ServiceRoomView {
	readonly service: ServiceName;
	readonly room: ServiceRoom;
}

/** A request, or a part of prompts, that was in flight when its target crashed. */
export interface CrashSightingView {
	readonly fingerprint: Fingerprint;
	readonly target: TargetId;
	readonly ageMs: number;
	/** Instead of a crash: the part was answered. */
	readonly isAnswered?: boolean;
}

/** Number of entries of a region that were known lately. */
export interface RegionSize {
	readonly region: RegionName;
	readonly entries: number;
}

/** The published state of one entry. A higher sequence of the same boot replaces a lower one. */
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
	/** Milliseconds since the entry published the view. Each entry that passes the view on adds its own delay. */
	readonly ageMs: number;
	readonly rooms: readonly ServiceRoomView[];
	readonly leavingTargets: readonly TargetId[];
	readonly crashSightings: readonly CrashSightingView[];
	/** The entries of each region that this one has known lately. Not passed on by others. */
	readonly regionSizes: readonly RegionSize[];
	/** Services of which the entry reaches no target. */
	readonly cutServices: readonly ServiceName[];
	/** Whether the entry knows origins of streams, unlike entries of earlier releases. */
	readonly keepsStreamOrigins: boolean;
	/** Whether the entry reports the attempts of forwarded requests, unlike entries of earlier releases. */
	readonly countsAttempts: boolean;
	/** Whether the entry passes the changes of the store on, unlike entries of earlier releases. */
	readonly relaysStore: boolean;
	/** Whether the entry confirms the keys of forwarded requests, unlike entries of earlier releases. */
	readonly confirmsKeys: boolean;
}

/** Returns the capacity that a view reports for a service. */
export function findRoom(view: EntryView, service: ServiceName): ServiceRoom | undefined {
	return view.rooms.find(reported => reported.service === service)?.room;
}

/** Encoded bytes of a view apart from its texts: tags, lengths and numbers. */
const fixedBytes = 43;
const roomBytes = 14;
const sightingBytes = 10;
const sizeBytes = 6;

/** Estimates the bytes of a view on the wire, accurate to a few bytes. */
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
		...view.cutServices,
	];
	const rooms = view.rooms.reduce((sum, { service }) => sum + service.length + roomBytes, 0);
	const sightings = view.crashSightings.reduce((sum, sighting) => sum + estimateSightingBytes(sighting), 0);
	const sizes = view.regionSizes.reduce((sum, { region }) => sum + region.length + sizeBytes, 0);
	return fixedBytes + texts.reduce((sum, text) => sum + text.length + 2, 0) + rooms + sightings + sizes;
}

/** Estimates the bytes of a crash sighting on the wire. */
export function estimateSightingBytes({ fingerprint, target }: CrashSightingView): number {
	return fingerprint.length + target.length + sightingBytes;
}

/** Returns the view without its crash sightings. */
export function removeSightings(view: EntryView): EntryView {
	return view.crashSightings.length === 0 ? view : { ...view, crashSightings: [] };
}

/** Returns the part of a view that is passed on to others. */
export function removeUnrelayed(view: EntryView): EntryView {
	const { crashSightings, regionSizes } = view;
	const isRelayed = crashSightings.length === 0 && regionSizes.length === 0;
	return isRelayed ? view : { ...view, crashSightings: [], regionSizes: [] };
}

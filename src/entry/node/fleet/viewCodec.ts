/**
 * Converts views between the entry's own types and the peer protocol's messages. Numbers are clamped to the 32 bits
 * that the protocol has for them, because the predicted wait of an entry without targets is infinite.
 */

import { create } from '@bufbuild/protobuf';
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
import type {
	CrashSighting as WireSighting,
	EntryView as WireView,
	ServiceRoom as WireRoom,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import {
	CrashSightingSchema,
	EntryViewSchema,
	ServiceRoomSchema,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { CrashSightingView, EntryView, ServiceRoomView } from '../../common/fleetView/entryView';

const maxUint32 = 0xffff_ffff;

/**
 * Levels of the protocol between entries from which an entry knows origins of streams, reports attempts, passes the
 * changes of the store on, and confirms the keys of forwarded requests.
 */
const originsLevel = 1;
const attemptsLevel = 2;
const relayLevel = 3;
const keysLevel = 4;

function encodeProtocolLevel(view: EntryView): number {
	if (!view.keepsStreamOrigins) {
		return 0;
	}
	if (!view.countsAttempts) {
		return originsLevel;
	}
	if (!view.relaysStore) {
		return attemptsLevel;
	}
	return view.confirmsKeys ? keysLevel : relayLevel;
}

/** Encodes a view as a protocol message. */
export function encodeView(view: EntryView): WireView {
	return create(EntryViewSchema, {
		instanceId: view.instance,
		bootId: view.bootId,
		sequence: BigInt(view.sequence),
		region: view.region,
		zone: view.zone,
		callerUrl: view.callerUrl,
		peerUrl: view.peerUrl,
		isLeaving: view.isLeaving,
		manifestVersion: BigInt(view.manifestVersion),
		manifestDigest: view.manifestDigest,
		ageMs: toUint32(view.ageMs),
		services: view.rooms.map(encodeRoom),
		leavingTargets: [...view.leavingTargets],
		crashSightings: view.crashSightings.map(encodeSighting),
		cutServices: [...view.cutServices],
		protocolLevel: encodeProtocolLevel(view),
		regionSizes: view.regionSizes.map(({ region, entries }) => ({ region, entries: toUint32(entries) })),
	});
}

const tenthsPerUnit = 10;

/** Decodes the view in a protocol message. */
export function decodeView(message: WireView): EntryView {
	return {
		instance: message.instanceId as InstanceId,
		bootId: message.bootId as BootId,
		sequence: Number(message.sequence),
		region: message.region as RegionName,
		zone: message.zone as ZoneName,
		callerUrl: message.callerUrl,
		peerUrl: message.peerUrl,
		isLeaving: message.isLeaving,
		manifestVersion: Number(message.manifestVersion) as ManifestVersion,
		manifestDigest: message.manifestDigest,
		ageMs: message.ageMs,
		rooms: message.services.map(decodeRoom),
		leavingTargets: message.leavingTargets as TargetId[],
		crashSightings: message.crashSightings.map(decodeSighting),
		cutServices: message.cutServices as ServiceName[],
		keepsStreamOrigins: message.protocolLevel >= originsLevel,
		countsAttempts: message.protocolLevel >= attemptsLevel,
		relaysStore: message.protocolLevel >= relayLevel,
		confirmsKeys: message.protocolLevel >= keysLevel,
		regionSizes: message.regionSizes.map(({ region, entries }) => ({
			region: region as RegionName,
			entries,
		})),
	};
}

function encodeRoom({ service, room }: ServiceRoomView): WireRoom {
	return create(ServiceRoomSchema, {
		service,
		waitMs: toUint32(Math.ceil(room.waitMs)),
		freeSlots: toUint32(Math.floor(room.freeSlots)),
		running: toUint32(room.running),
		queued: toUint32(room.queued),
		runningPerTargetTenths: toUint32((room.runningPerTarget ?? 0) * tenthsPerUnit),
	});
}

function decodeRoom({ service, runningPerTargetTenths, ...fields }: WireRoom): ServiceRoomView {
	const { waitMs, freeSlots, running, queued } = fields;
	const runningPerTarget = runningPerTargetTenths / tenthsPerUnit;
	return { service: service as ServiceName, room: { waitMs, freeSlots, running, queued, runningPerTarget } };
}

/** Encodes a crash sighting as a protocol message. */
export function encodeSighting({ fingerprint, target, ageMs, isAnswered }: CrashSightingView): WireSighting {
	return create(CrashSightingSchema, {
		fingerprint,
		target,
		ageMs: toUint32(ageMs),
		...(isAnswered === true ? { isAnswered } : {}),
	});
}

/** Decodes the crash sighting in a protocol message. */
export function decodeSighting({ fingerprint, target, ageMs, isAnswered }: WireSighting): CrashSightingView {
	return {
		fingerprint: fingerprint as Fingerprint,
		target: target as TargetId,
		ageMs,
		...(isAnswered ? { isAnswered } : {}),
	};
}

function toUint32(value: number): number {
	return Math.min(maxUint32, Math.max(0, Math.round(value)));
}

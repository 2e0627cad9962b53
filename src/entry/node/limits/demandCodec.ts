/**
 * Converts the messages of shared limits between the entry's own types and those of the peer protocol. Each kind of value
 * is one packed list, which takes a third of the bytes of a message for each organisation.
 */

import { create } from '@bufbuild/protobuf';
import type { BootId, InstanceId, ManifestVersion, ZoneName } from '../../../core/ids/common/ids';
import type {
	EntryDemand,
	ShareDemandRequest,
	ShareDemandResponse,
	ZoneDemand,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import { ShareDemandRequestSchema, ShareDemandResponseSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { DemandAnswer, DemandReport, ZoneSums } from '../../common/limits/limitMessages';
import type { OrganisationKey } from '../../common/limits/limitTable';

const fractionUnits = 10_000;
const maxUint32 = 0xffff_ffff;
const maxInt32 = 0x7fff_ffff;

export function encodeReport(report: DemandReport): ShareDemandRequest {
	const { instance, zone, manifestVersion, overMs, items } = report;
	const value = {
		instanceId: instance,
		zone,
		manifestVersion: BigInt(manifestVersion),
		overMs: toUint32(overMs),
		organisationKeys: items.map(({ key }) => key),
		asked: items.map(({ asked }) => toUint32(asked)),
		admitted: items.map(({ admitted }) => toInt32(admitted)),
	};
	return create(ShareDemandRequestSchema, { part: { case: 'entry', value } });
}

export function decodeReport(message: EntryDemand): DemandReport {
	return {
		instance: message.instanceId as InstanceId,
		zone: message.zone as ZoneName,
		manifestVersion: Number(message.manifestVersion) as ManifestVersion,
		overMs: message.overMs,
		items: message.organisationKeys.map((key, index) => ({
			key: key as OrganisationKey,
			asked: message.asked[index] ?? 0,
			admitted: message.admitted[index] ?? 0,
		})),
	};
}

export function encodeSums(sums: ZoneSums): ShareDemandRequest {
	const { counts } = sums;
	const value = {
		instanceId: sums.instance,
		bootId: sums.boot,
		zone: sums.zone,
		manifestVersion: BigInt(sums.manifestVersion),
		countedMs: toUint32(sums.countedMs),
		intervalMs: toUint32(sums.intervalMs),
		reportingEntries: sums.reporting,
		knownEntries: sums.known,
		receivedZones: [...sums.receivedZones],
		organisationKeys: counts.map(({ key }) => key),
		asked: counts.map(({ asked }) => asked),
		admitted: counts.map(({ admitted }) => admitted),
		levels: counts.map(({ level }) => toInt32(level)),
	};
	return create(ShareDemandRequestSchema, { part: { case: 'zone', value } });
}

export function decodeSums(message: ZoneDemand): ZoneSums {
	return {
		instance: message.instanceId as InstanceId,
		boot: message.bootId as BootId,
		zone: message.zone as ZoneName,
		manifestVersion: Number(message.manifestVersion) as ManifestVersion,
		countedMs: message.countedMs,
		intervalMs: message.intervalMs,
		reporting: message.reportingEntries,
		known: message.knownEntries,
		receivedZones: message.receivedZones as ZoneName[],
		counts: message.organisationKeys.map((key, index) => ({
			key: key as OrganisationKey,
			asked: message.asked[index] ?? 0,
			admitted: message.admitted[index] ?? 0,
			level: message.levels[index] ?? 0,
		})),
	};
}

/** A fraction is rounded down, so that one below 1 stays below. */
export function encodeAnswer({ isReady, isClose, fractions }: DemandAnswer): ShareDemandResponse {
	return create(ShareDemandResponseSchema, {
		isReady,
		isClose,
		organisationKeys: fractions.map(({ key }) => key),
		fractions: fractions.map(({ fraction }) => Math.floor(fraction * fractionUnits)),
		fleetDemands: fractions.map(({ fleetDemand }) => toUint32(fleetDemand)),
	});
}

export function decodeAnswer(message: ShareDemandResponse): DemandAnswer {
	return {
		isReady: message.isReady,
		isClose: message.isClose,
		fractions: message.organisationKeys.map((key, index) => ({
			key: key as OrganisationKey,
			fraction: (message.fractions[index] ?? 0) / fractionUnits,
			fleetDemand: message.fleetDemands[index] ?? 0,
		})),
	};
}

function toUint32(value: number): number {
	return Math.min(maxUint32, Math.max(0, Math.round(value)));
}

function toInt32(value: number): number {
	return Math.min(maxInt32, Math.max(-maxInt32, Math.round(value)));
}

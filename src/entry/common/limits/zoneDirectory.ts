/**
 * What the sharing of limits needs to know of the fleet, and how it reaches other entries.
 */

import type { InstanceId, ManifestVersion, ZoneName } from '../../../core/ids/common/ids';
import type { DemandAnswer, DemandReport, ZoneSums } from './limitMessages';

/** The entries of one zone. */
export interface ZoneEntries {
	readonly zone: ZoneName;
	/** The entries that may coordinate: live and not leaving. */
	readonly live: readonly InstanceId[];
	/** Number of entries that were known lately, whether they are live or not. */
	readonly known: number;
}

/** The zones of the fleet, as one entry knows them. */
export interface IZoneDirectory {
	/** Lists all zones with known entries. Includes this entry in its own zone, unless it is leaving. */
	listZones(): readonly ZoneEntries[];
	/** Number of entries of all zones; infinite if it is not known. */
	countFleet(): number;
}

/** Why a peer did not answer. */
export enum PeerFailure {
	Unreachable = 'unreachable',
	/** The peer is of an earlier release, and does not know the call. */
	Unsupported = 'unsupported',
}

/** Called once with the answer or the failure. */
export type ObserveAnswer<TAnswer> = (answer: TAnswer | undefined, failure: PeerFailure | undefined) => void;

/** Sends messages to other entries. */
export interface ILimitPeers {
	sendReport(instance: InstanceId, report: DemandReport, observe: ObserveAnswer<DemandAnswer>): void;
	sendSums(instance: InstanceId, sums: ZoneSums, observe: ObserveAnswer<true>): void;
}

/** Called when another entry has a manifest of a higher version. */
export type ObserveNewerManifest = (instance: InstanceId, version: ManifestVersion) => void;

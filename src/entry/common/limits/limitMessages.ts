/**
 * The messages by which entries share the limits of organisations: reports of entries to the coordinator of their zone,
 * its answers, and the sums that coordinators send each other.
 */

import type { BootId, InstanceId, ManifestVersion, ZoneName } from '../../../core/ids/common/ids';
import type { OrganisationKey } from './limitTable';

/** What an entry received and admitted of one organisation since its last report, in units. */
export interface ReportedDemand {
	readonly key: OrganisationKey;
	readonly asked: number;
	/** Below zero if more was credited than admitted. */
	readonly admitted: number;
}

/** A report of an entry to the coordinator of its zone. */
export interface DemandReport {
	readonly instance: InstanceId;
	readonly zone: ZoneName;
	readonly manifestVersion: ManifestVersion;
	/** Milliseconds that the report covers. */
	readonly overMs: number;
	readonly items: readonly ReportedDemand[];
}

/** The part of an organisation's demand that may be admitted. */
export interface AdmittedFraction {
	readonly key: OrganisationKey;
	/** From 0 to below 1. */
	readonly fraction: number;
	/** Units per second over all zones. */
	readonly fleetDemand: number;
}

/** A coordinator's answer to a report. */
export interface DemandAnswer {
	/** False while the coordinator has just started and does not know the demand of its zone yet. */
	readonly isReady: boolean;
	/** Whether the demand of an organisation is so high that a jump would soon exceed its limit. */
	readonly isClose: boolean;
	/** Organisations that are not listed may be admitted completely. */
	readonly fractions: readonly AdmittedFraction[];
}

/** Cumulative counts of one organisation over the entries that report to one coordinator. */
export interface ZoneCount {
	readonly key: OrganisationKey;
	/** Units modulo 2^32, since the coordinator's process started to count. */
	readonly asked: number;
	readonly admitted: number;
	/** Level of the coordinator's token bucket, in units. */
	readonly level: number;
}

/** The sums of one zone, from its coordinator to those of the other zones. */
export interface ZoneSums {
	readonly instance: InstanceId;
	readonly boot: BootId;
	readonly zone: ZoneName;
	readonly manifestVersion: ManifestVersion;
	/** Milliseconds since the sender began to count. */
	readonly countedMs: number;
	/** Milliseconds until the next message at the latest. */
	readonly intervalMs: number;
	/** Number of entries of the zone that report to the sender. */
	readonly reporting: number;
	/** Number of entries of the zone that the sender knows. */
	readonly known: number;
	/** The zones whose sums arrive at the sender. */
	readonly receivedZones: readonly ZoneName[];
	readonly counts: readonly ZoneCount[];
}

/** Returns the difference of two counts modulo 2^32; below zero if more was credited than counted. */
export function computeCountDifference(later: number, earlier: number): number {
	return (later - earlier) | 0;
}

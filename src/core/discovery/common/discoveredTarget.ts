/**
 * A target that registers itself with the platform instead of being listed in the manifest.
 */

import type {
	BootId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	TargetId,
	TargetUrl,
	ZoneName,
} from '../../ids/common/ids';

/** The latest registration of a target. */
export interface DiscoveredTarget {
	readonly id: TargetId;
	readonly service: ServiceName;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly url: TargetUrl;
	/** Number of requests that the target runs concurrently. */
	readonly slots: number;
	/** The target asked for no new requests. */
	readonly isLeaving: boolean;
	/** Remaining lifetime in milliseconds when the registration was written, if the target announced its end. */
	readonly remainingMs: number | undefined;
	/** How long the target remains cold after the registration was received, in milliseconds; 0 if it is warm. */
	readonly coldLeftMs: number;
	/** Identifies the start of the target's process; undefined if the registration does not include it. */
	readonly boot: BootId | undefined;
	/** The version of the target's software; undefined if the registration does not include it. */
	readonly version: SoftwareVersion | undefined;
}

/**
 * The interfaces through which request handling and the operator views access the targets of a region: their
 * clients, addresses and states.
 */

import type { Stream } from 'most';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { VersionHistory } from '../../../core/discovery/common/seenVersions';
import type {
	InstanceId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	TargetId,
	ZoneName,
} from '../../../core/ids/common/ids';
import type { ManifestService } from '../../../core/manifest/common/manifest';
import type { AnswerHead } from '../../common/callers/answerSink';
import type { EntryRoster } from '../../common/fleetView/entryRoster';
import type { TargetSoftware } from '../../common/streams/streamOrigin';
import type { AnswerMetadata } from '../../common/dialect/targetDialect';
import type { ProbeRound } from '../../common/paths/targetPaths';
import type { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import type { IndexedManifest } from '../manifest/manifestKeeper';
import type { RequestRun } from '../requests/requestRun';
import type { ITargetClient } from './targetClient';

/** Returns a software version, or undefined if it is not certain. */
export type FindVersion = () => SoftwareVersion | undefined;

/** Looks up the client of a target, and receives what attempts observe about the target. */
export interface ITargetDirectory {
	findClient(target: TargetId): ITargetClient | undefined;
	/** The host and port of a target. */
	findAddress(target: TargetId): string | undefined;
	/** The software that a target runs; undefined if the target does not register it. */
	findSoftware(target: TargetId): TargetSoftware | undefined;
	/**
	 * Returns a function that finds the software version of the process which runs at the target now, once that is certain. It stays
	 * undefined if the target has started again by then.
	 */
	observeVersion(target: TargetId): FindVersion;
	/** Records the head of an answer, which may announce that the target is shutting down (leaving). */
	noteAnswerHead(target: TargetId, head: AnswerHead, reading: AnswerMetadata): void;
	/** Records how an attempt ended. Failed connections count against the target. */
	noteAttemptEnd(target: TargetId, end: AttemptEnd, run: RequestRun): void;
}

/** The state of a target as shown to operators. */
export interface TargetSummary {
	readonly id: TargetId;
	readonly zone: ZoneName;
	/** The lifecycle state. */
	readonly state: string;
	/** The signal that caused the last state change; empty if the state has never changed. */
	readonly lastSign: string;
}

/** How the entries of a region share its targets. */
export interface EntrySharing {
	/** Number of live entries, including this one. */
	readonly entries: number;
	/** The entries that may send to the targets, whether they are live or not. */
	readonly roster: EntryRoster;
}

/** Owns the connections to the region's targets and tracks their lifecycle states. */
export interface ITargetRegistry extends ITargetDirectory, IDisposable {
	/** Emits the name of a service when its list of targets or the usability of one of them changes. */
	readonly onDidChange: Stream<ServiceName>;
	setManifest(manifest: IndexedManifest): void;
	/** Lists the service's targets in this region as input for its scheduler. */
	listSchedulable(service: ManifestService, sharing: EntrySharing): readonly SchedulableTarget[];
	listSummaries(service: ServiceName): readonly TargetSummary[];
	/**
	 * Whether a region may have usable targets for the service, of the given version if there is one. The capacity that an entry there reported is some
	 * seconds old, so without this check requests would still be sent to a zone that was evacuated since.
	 */
	isServed(service: ServiceName, region: RegionName, version?: SoftwareVersion): boolean;
	/** The only version that targets of the service have run lately, or undefined if that is not certain. */
	findOnlyVersion(service: ServiceName): SoftwareVersion | undefined;
	/** Whether this entry has seen one version alone, also if it has not followed the registrations for long enough. */
	hasOneVersion(service: ServiceName): boolean;
	/** Whether new registrations reach this entry at present, as far as it knows. */
	isStoreReached(): boolean;
	/** Describes the versions that were registered lately for another entry; undefined if they are not certain. */
	describeVersionHistory(): VersionHistory | undefined;
	/** Takes over the versions that another entry knows for the time before this one followed the registrations. */
	addVersionHistory(history: VersionHistory, from: InstanceId): void;
	/**
	 * Finds the region of the target that ranks highest for a shared prompt part, among the allowed regions or,
	 * if none are given, among all. Undefined if the targets of other regions are not known.
	 */
	findOwnerRegion(
		service: ServiceName,
		sharedPartId: string,
		allowedRegions: ReadonlySet<RegionName> | undefined,
	): RegionName | undefined;
	/** Opens a new connection to the target to determine whether the target crashed. */
	probeForCrash(target: TargetId): Promise<boolean>;
	/** Opens new connections to some of the service's targets in this region, to others in the next round. */
	probePaths(service: ServiceName, round: number): Promise<ProbeRound>;
	/** Records targets that announced to other entries that they are leaving. */
	noteLeavingReportedByPeer(targets: readonly TargetId[]): void;
	/** Lists the targets that announced to this entry directly that they are leaving. */
	listSelfReportedLeaving(): readonly TargetId[];
}

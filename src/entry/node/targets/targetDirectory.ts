/**
 * What those who run requests need of the targets.
 */

import type { Stream } from 'most';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { RegionName, ServiceName, TargetId, ZoneName } from '../../../core/ids/common/ids';
import type { ManifestService } from '../../../core/manifest/common/manifest';
import type { AnswerHead } from '../../common/callers/answerSink';
import type { AnswerMetadata } from '../../common/dialect/targetDialect';
import type { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import type { IndexedManifest } from '../manifest/manifestKeeper';
import type { RequestRun } from '../requests/requestRun';
import type { ITargetClient } from './targetClient';

/** Finds a target's client, and hears what attempts learn of the target. */
export interface ITargetDirectory {
	findClient(target: TargetId): ITargetClient | undefined;
	/** The IP number and port of a target. */
	findAddress(target: TargetId): string | undefined;
	/** An answer's head: it may say that the target is leaving. */
	noteAnswerHead(target: TargetId, head: AnswerHead, reading: AnswerMetadata): void;
	/** An attempt ended; connections that fail are a sign about the target. */
	noteAttemptEnd(target: TargetId, end: AttemptEnd, run: RequestRun): void;
}

/** A target as operators see it. */
export interface DescribedTarget {
	readonly id: TargetId;
	readonly zone: ZoneName;
	/** The state of its life. */
	readonly state: string;
	/** What led to that state; empty where it never changed. */
	readonly lastSign: string;
}

/** How the entries of a region share its targets. */
export interface EntrySharing {
	/** Live entries, this one included. */
	readonly entries: number;
	/** The place of this one among them by their ids, from 0. */
	readonly place: number;
}

/** Owns the connections and the lives of the region's targets. */
export interface ITargetRegistry extends ITargetDirectory, IDisposable {
	/** A service whose targets, or their usability, changed. */
	readonly onDidChange: Stream<ServiceName>;
	setManifest(manifest: IndexedManifest): void;
	/** The service's targets in this region, as its scheduler sees them. */
	listSchedulable(service: ManifestService, sharing: EntrySharing): readonly SchedulableTarget[];
	listDescribed(service: ServiceName): readonly DescribedTarget[];
	/**
	 * Whether a region may have targets in use. What an entry there said of its room is some seconds old; a zone
	 * that was evacuated since would go on being sent requests.
	 */
	isServed(service: ServiceName, region: RegionName): boolean;
	/**
	 * The region of the target that comes first for a shared part, of all regions or of those allowed;
	 * undefined where targets of other regions are not known.
	 */
	findOwnerRegion(
		service: ServiceName,
		partId: string,
		allowed: ReadonlySet<RegionName> | undefined,
	): RegionName | undefined;
	/** Whether the target died, found out by a new connection. */
	probeDeath(target: TargetId): Promise<boolean>;
	/** Peers had it from targets that they are leaving. */
	notePeerWords(targets: readonly TargetId[]): void;
	/** Targets that told this entry itself that they are leaving. */
	listLeavingByOwnWord(): readonly TargetId[];
}

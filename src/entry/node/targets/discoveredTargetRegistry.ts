/**
 * The targets of this entry's region that registered themselves with the platform: their connections, and
 * whether they may be used according to their registrations and the evacuations of zones. Their health is not
 * tracked here: the scheduler derives it from their answers.
 */

import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { Discovery, KnownTarget } from '../../../core/discovery/common/discovery';
import type { VersionHistory } from '../../../core/discovery/common/seenVersions';
import type {
	InstanceId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	TargetId,
} from '../../../core/ids/common/ids';
import type { ManifestService } from '../../../core/manifest/common/manifest';
import { computeSenderRank } from '../../common/fleetView/entryRoster';
import { findBestRanked } from '../../common/scheduling/prefixRanking';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import type { TargetSoftware } from '../../common/streams/streamOrigin';
import type { IndexedManifest } from '../manifest/manifestKeeper';
import { pickProbed } from '../../common/paths/targetPaths';
import type { ProbeRound } from '../../common/paths/targetPaths';
import { PortState, probePort, probePorts } from './portProbe';
import type { IOwnedTargetClient } from './targetClient';
import { TargetClient } from './targetClient';
import type { EntrySharing, FindVersion, ITargetRegistry, TargetSummary } from './targetDirectory';
import { TargetIndex } from './targetIndex';
import type { EntryLocation } from './targetRegistry';

/** Interval at which removals that were delayed by an outage of the store are checked. */
const expiryCheckIntervalMs = 250;

/** Exceeds the time from the first event of a stream to the try in which a caller resumes it, in milliseconds. */
const onlyVersionSpanMs = 15_000;

/** Creates the client of the target at a URL. */
export type CreateTargetClient = (url: string) => IOwnedTargetClient;

interface OpenClient {
	readonly client: IOwnedTargetClient;
	/** The start of the target process that the connections belong to. */
	readonly generation: number;
}

/** Owns the connections to the region's registered targets. */
export class DiscoveredTargetRegistry extends Disposable implements ITargetRegistry {
	private readonly clients = new Map<TargetId, OpenClient>();
	private readonly changes = this.register(new Channel<ServiceName>());
	private readonly index: TargetIndex;
	private services: readonly ServiceName[] = [];

	readonly onDidChange: Stream<ServiceName> = this.changes.stream;

	constructor(
		private readonly location: EntryLocation,
		private readonly discovery: Discovery,
		private readonly timers: ITimerService,
		private readonly createClient: CreateTargetClient = url => new TargetClient(url, timers),
	) {
		super();
		this.index = new TargetIndex(location.region, discovery);
		this.register(
			subscribeTo(discovery.onDidChange, () => {
				this.index.clear();
				const outdated = this.updateClients();
				this.emitAllServices();
				for (const client of outdated) {
					void client.close();
				}
			}),
		);
		this.register(
			subscribeTo(timers.watchTicks(expiryCheckIntervalMs), ({ nowMs }) => {
				discovery.expire(nowMs);
			}),
		);
		this.register(
			toDisposable(() => {
				for (const { client } of this.clients.values()) {
					void client.close();
				}
			}),
		);
	}

	setManifest({ accepted }: IndexedManifest): void {
		this.services = accepted.manifest.services.map(({ name }) => name);
		this.emitAllServices();
	}

	listSchedulable(service: ManifestService, { entries, roster }: EntrySharing): readonly SchedulableTarget[] {
		const { warmUp, promptCache } = service;
		return this.index.find(service.name).local.map(({ target, coldUntilMs, endsMs, generation }) => ({
			id: target.id,
			zone: target.zone,
			isSameZone: target.zone === this.location.zone,
			slots: target.slots,
			share: 1 / entries,
			isLeaving: !this.index.isUsable(target),
			registered: {
				generation,
				coldUntilMs,
				coldRequestsPerSecond: warmUp?.requestsPerSecond ?? Infinity,
				entries: roster.size,
				senderRank: computeSenderRank(roster, target.id),
				endsMs,
				cacheTokens: promptCache?.tokens ?? 0,
				version: target.version,
				findCertainVersion: () => this.findCertainVersion(target.id, this.timers.getNow()),
			},
		}));
	}

	listSummaries(service: ServiceName): readonly TargetSummary[] {
		const nowMs = this.timers.getNow();
		return this.index.find(service).local.map(known => ({
			id: known.target.id,
			zone: known.target.zone,
			state: this.describeState(known, nowMs),
			lastSign: 'registration',
		}));
	}

	findClient(target: TargetId): IOwnedTargetClient | undefined {
		return this.clients.get(target)?.client;
	}

	findAddress(target: TargetId): string | undefined {
		const url = this.discovery.find(target)?.target.url;
		return url === undefined ? undefined : new URL(url).host;
	}

	findSoftware(target: TargetId): TargetSoftware | undefined {
		return this.discovery.find(target)?.target;
	}

	observeVersion(target: TargetId): FindVersion {
		const client = this.findClient(target);
		const sinceMs = this.timers.getNow();
		return () => (this.findClient(target) === client ? this.findCertainVersion(target, sinceMs) : undefined);
	}

	findOnlyVersion(service: ServiceName): SoftwareVersion | undefined {
		return this.discovery.findOnlyVersion(service, onlyVersionSpanMs, this.timers.getNow());
	}

	hasOneVersion(service: ServiceName): boolean {
		return this.discovery.hasOneVersion(service, onlyVersionSpanMs, this.timers.getNow());
	}

	isStoreReached(): boolean {
		return this.discovery.isStoreReached();
	}

	describeVersionHistory(): VersionHistory | undefined {
		return this.discovery.describeVersionHistory(this.timers.getNow());
	}

	addVersionHistory(history: VersionHistory, from: InstanceId): void {
		this.discovery.addVersionHistory(history, from, this.timers.getNow());
	}

	noteAnswerHead(): void {
		return;
	}

	noteAttemptEnd(): void {
		return;
	}

	isServed(service: ServiceName, region: RegionName, version?: SoftwareVersion): boolean {
		const versions = this.index.find(service).versionsByRegion.get(region);
		return versions !== undefined && (version === undefined || versions.has(version));
	}

	findOwnerRegion(
		service: ServiceName,
		sharedPartId: string,
		allowedRegions: ReadonlySet<RegionName> | undefined,
	): RegionName | undefined {
		const { usable } = this.index.find(service);
		const allowed =
			allowedRegions === undefined ? usable : usable.filter(({ region }) => allowedRegions.has(region));
		return findBestRanked(allowed, sharedPartId, 1)[0]?.region;
	}

	/** Number of targets visited so far to answer requests. */
	get visitCount(): number {
		return this.index.visitCount;
	}

	async probeForCrash(target: TargetId): Promise<boolean> {
		const url = this.discovery.find(target)?.target.url;
		const state = url === undefined ? undefined : await probePort(new URL(url));
		if (state === PortState.Open) {
			this.clients.get(target)?.client.continuity.noteAccepted(this.timers.getNow());
		}
		return state === PortState.Closed;
	}

	async probePaths(service: ServiceName, round: number): Promise<ProbeRound> {
		const usable = this.index.find(service).local.filter(({ target }) => this.index.isUsable(target));
		return probePorts(pickProbed(usable, round).map(({ target }) => new URL(target.url)));
	}

	/** Does nothing: every entry reads the registrations itself. */
	noteLeavingReportedByPeer(): void {
		return;
	}

	listSelfReportedLeaving(): readonly TargetId[] {
		return [];
	}

	/** Returns the version of the process that has run at the target since `sinceMs`, if that is certain. */
	private findCertainVersion(target: TargetId, sinceMs: number): SoftwareVersion | undefined {
		const confirmation = this.discovery.findConfirmation(target);
		const client = this.findClient(target);
		const isConfirmed =
			confirmation !== undefined &&
			client?.continuity.isConfirmed(confirmation, this.timers.getNow(), sinceMs) === true;
		return isConfirmed ? this.discovery.find(target)?.target.version : undefined;
	}

	private describeState({ target, coldUntilMs }: KnownTarget, nowMs: number): string {
		if (target.isLeaving) {
			return 'leaving';
		}
		if (this.discovery.isEvacuated(target.zone)) {
			return 'evacuated';
		}
		return nowMs < coldUntilMs ? 'cold' : 'live';
	}

	/**
	 * Connections belong to one start of the target process, so a restarted target gets a new client. Returns those that
	 * are to be closed, once the schedulers have the new targets: the attempts that they fail are scheduled again.
	 */
	private updateClients(): readonly IOwnedTargetClient[] {
		const outdated: IOwnedTargetClient[] = [];
		for (const [id, { client, generation }] of [...this.clients]) {
			if (this.discovery.find(id)?.generation !== generation) {
				this.clients.delete(id);
				outdated.push(client);
			}
		}
		for (const { target, generation } of this.discovery.list()) {
			if (target.region === this.location.region && !this.clients.has(target.id)) {
				this.clients.set(target.id, { client: this.createClient(target.url), generation });
			}
		}
		return outdated;
	}

	private emitAllServices(): void {
		for (const service of this.services) {
			this.changes.emit(service);
		}
	}
}

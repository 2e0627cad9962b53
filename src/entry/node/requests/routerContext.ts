/**
 * Gives the request router access to the rest of the entry: service runners, peers, and the capacity that other
 * regions offer.
 */

import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type {
	InstanceId,
	ManifestVersion,
	RegionName,
	ServiceName,
	StreamId,
} from '../../../core/ids/common/ids';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import type { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import { ByteDirection, SentAwayResult } from '../../../core/telemetry/common/entryMetricLabels';
import type { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import type { ManifestLink } from '../../../core/manifest/common/manifest';
import { ResidencyRule } from '../../../core/manifest/common/manifest';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { findSharedPart } from '../../common/prompts/promptShape';
import { NeighbourPicker } from '../../common/sendAway/neighbourPicker';
import type { ISendAwayPolicy, OwnerRegion, RemoteOffer } from '../../common/sendAway/sendAwayPolicy';
import { defaultWorkPolicy } from '../../common/workScheduling/workPolicy';
import type { EntryView } from '../../common/fleetView/entryView';
import { findRoom } from '../../common/fleetView/entryView';
import type { VersionRequirement } from '../../common/scheduling/versionMatch';
import type { KnownOrigin } from '../../common/streams/streamOrigin';
import type { OnlyVersionFinder } from '../streams/onlyVersionFinder';
import type { StreamOriginKeeper } from '../streams/streamOriginKeeper';
import type { EntryFleet } from '../fleet/entryFleet';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { ForwardEnd, ForwardSender } from '../peers/forwardRun';
import { ForwardEndKind } from '../peers/forwardRun';
import type { PeerConnection } from '../peers/peerClients';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { ActiveRuns, RefusedCall } from './activeRuns';
import type { IRequestFallback } from './requestFallback';
import type { IRouterContext } from './requestRouter';
import type { AcceptedCall, RequestRun } from './requestRun';
import type { ServiceRunner } from './serviceRunner';
import type { ServiceRunners } from './serviceRunners';

/**
 * Assumed if the manifest describes no links: the latency between regions of one continent, and the bandwidth of
 * the slowest link in use.
 */
const defaultLink = { oneWayMs: 55, megabitsPerSecond: 90, sharePercent: 50 };

/** Converts megabits per second to bytes per millisecond. */
const bytesPerMsPerMegabitPerSecond = 125;
const fullPercent = 100;

const sentAwayResults: Readonly<Partial<Record<ForwardEndKind, SentAwayResult>>> = {
	[ForwardEndKind.Answered]: SentAwayResult.Answered,
	[ForwardEndKind.Unconfirmed]: SentAwayResult.Answered,
	[ForwardEndKind.Refused]: SentAwayResult.Refused,
	[ForwardEndKind.NotConnected]: SentAwayResult.Failed,
	[ForwardEndKind.Failed]: SentAwayResult.Failed,
};

/** The source of an origin for a caller that does not name the stream which it resumes. */
const onlyVersionSource = 'the only version in service';

/**
 * Whether an entry reaches targets of the service. An entry of an earlier release would resume a stream at any
 * version, and run a request whose key has been withdrawn, so it gets none.
 */
function isReaching(
	{ cutServices, keepsStreamOrigins, confirmsKeys }: EntryView,
	service: ServiceName,
	required: VersionRequirement | undefined,
	isKeyed: boolean,
): boolean {
	const isFit = (required === undefined || keepsStreamOrigins) && (!isKeyed || confirmsKeys);
	return !cutServices.includes(service) && isFit;
}

/** Implements the router's context on top of the parts of one entry. */
export class RouterContext implements IRouterContext {
	private readonly neighbours: NeighbourPicker;

	constructor(
		private readonly ownInstance: EntrySettings['instance'],
		private readonly manifests: ManifestKeeper,
		private readonly runners: ServiceRunners,
		private readonly targets: ITargetRegistry,
		private readonly fleet: EntryFleet,
		private readonly runs: ActiveRuns,
		private readonly metrics: EntryMetrics,
		private readonly timers: ITimerService,
		private readonly streams: Pick<StreamOriginKeeper, 'find'>,
		private readonly onlyVersions: Pick<OnlyVersionFinder, 'find'>,
		random: IRandom,
	) {
		this.neighbours = new NeighbourPicker(random);
	}

	getRunner(service: ServiceName): ServiceRunner {
		return this.runners.getRunner(service);
	}

	getSendAwayPolicy(service: ServiceName): ISendAwayPolicy {
		return this.runners.getSendAwayPolicy(service);
	}

	listOffers(service: ServiceName, required?: VersionRequirement, isKeyed = false): readonly RemoteOffer[] {
		return this.fleet
			.listLiveRegions()
			.filter(
				region =>
					region !== this.ownInstance.region && this.targets.isServed(service, region, required?.version),
			)
			.flatMap(region => this.createOffers(service, region, required, isKeyed));
	}

	async findStreamOrigin(
		service: ServiceName,
		stream: StreamId | undefined,
	): Promise<KnownOrigin | undefined> {
		if (stream !== undefined) {
			return this.streams.find(stream);
		}
		const version = await this.onlyVersions.find(service);
		return version && { service, version, source: onlyVersionSource, learnedMs: this.timers.getNow() };
	}

	isCut(service: ServiceName): boolean {
		return this.runners.isCut(service);
	}

	pickNeighbour(
		service: ServiceName,
		triedEntries: readonly InstanceId[],
		required?: VersionRequirement,
		isKeyed = false,
	): InstanceId | undefined {
		const candidates = this.fleet
			.listLiveIn(this.ownInstance.region)
			.filter(
				({ view }) => isReaching(view, service, required, isKeyed) && !triedEntries.includes(view.instance),
			)
			.map(({ view }) => ({ instance: view.instance, waitMs: findRoom(view, service)?.waitMs ?? 0 }));
		return this.neighbours.pick(candidates, this.timers.getNow());
	}

	noteRelayEnd(instance: InstanceId, end: ForwardEnd): void {
		this.neighbours.noteEnd(instance, end.error?.kind, this.timers.getNow());
	}

	setFallback(fallback: IRequestFallback): void {
		this.runners.setFallback(fallback);
	}

	isCountingAttempts(instance: InstanceId): boolean {
		return this.fleet.isCountingAttempts(instance);
	}

	isConfirmingKeys(instance: InstanceId): boolean {
		return this.fleet.isConfirmingKeys(instance);
	}

	findPeer(instance: InstanceId): PeerConnection | undefined {
		return this.fleet.findPeer(instance);
	}

	findRegion(instance: InstanceId): RegionName | undefined {
		return this.fleet.findEntry(instance)?.region;
	}

	describeSender(): ForwardSender {
		return {
			instance: this.ownInstance.id,
			region: this.ownInstance.region,
			manifestVersion: this.manifests.getVersion() as ManifestVersion,
		};
	}

	findOwnerRegion({ call }: RequestRun): OwnerRegion | undefined {
		const prompt = call.head.routed?.prompt;
		const shared = prompt && findSharedPart(prompt, defaultWorkPolicy.choice.minSharedTokens);
		if (shared === undefined) {
			return undefined;
		}
		const region = this.targets.findOwnerRegion(call.head.service, shared.id, call.plan.allowedRegions);
		return region && { region, isLocal: region === this.ownInstance.region, tokens: shared.tokens };
	}

	noteTicket(result: TicketResult): void {
		this.metrics.noteTicket(result);
	}

	recordRefused(call: RefusedCall, error: RequestError): void {
		this.runs.recordRefused(call, error);
	}

	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun {
		return this.runs.open(call, sink);
	}

	noteForwardEnd(service: ServiceName, region: RegionName, end: ForwardEnd): void {
		const result = sentAwayResults[end.kind];
		if (result !== undefined) {
			this.metrics.noteSentAway(service, region, result);
		}
		this.metrics.noteLinkBytes(region, ByteDirection.Sent, end.sentBytes);
		this.metrics.noteLinkBytes(region, ByteDirection.Received, end.receivedBytes);
	}

	private createOffers(
		service: ServiceName,
		region: RegionName,
		required: VersionRequirement | undefined,
		isKeyed: boolean,
	): RemoteOffer[] {
		const link = this.findLink(region);
		if (link === undefined) {
			return [];
		}
		const nowMs = this.timers.getNow();
		const linkBytesPerMs = this.computeOwnLinkRate(link);
		const reaching = this.fleet
			.listLiveIn(region)
			.filter(({ view }) => isReaching(view, service, required, isKeyed));
		return reaching.flatMap(({ view, reportedMs }) => {
			const room = findRoom(view, service);
			const { instance } = view;
			const ageMs = nowMs - reportedMs;
			const { oneWayMs } = link;
			return room === undefined ? [] : [{ instance, region, room, ageMs, oneWayMs, linkBytesPerMs }];
		});
	}

	/**
	 * Computes this entry's share of a link for one service. Every entry of the region may send requests of every
	 * service that may leave the region, without coordination. Equal shares keep the total below the cap.
	 */
	private computeOwnLinkRate(link: ManifestLink): number {
		const cap = (link.megabitsPerSecond * bytesPerMsPerMegabitPerSecond * link.sharePercent) / fullPercent;
		const services = this.manifests.getCurrent()?.accepted.manifest.services ?? [];
		const servicesUsingLinks = services.filter(service =>
			[service, ...service.rules].some(rule => rule.residency === ResidencyRule.Any),
		);
		const entries = this.fleet.getEntrySharing().roster.size;
		return cap / Math.max(1, servicesUsingLinks.length * entries);
	}

	/** Finds the link to a region. If the manifest describes no links at all, a default link is assumed. */
	private findLink(region: RegionName): ManifestLink | undefined {
		const links = this.manifests.getCurrent()?.accepted.manifest.links ?? [];
		if (links.length === 0) {
			return { between: [this.ownInstance.region, region], ...defaultLink };
		}
		return links.find(({ between }) => between.includes(region) && between.includes(this.ownInstance.region));
	}
}

/**
 * The router's view of the entry: runners, offers of other regions, peers.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { InstanceId, ManifestVersion, RegionName, ServiceName } from '../../../core/ids/common/ids';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import type { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import { ByteDirection, SentAwayResult } from '../../../core/telemetry/common/entryMetricLabels';
import type { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import type { ManifestLink } from '../../../core/manifest/common/manifest';
import { ResidencyRule } from '../../../core/manifest/common/manifest';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { findSharedPart } from '../../common/prompts/promptShape';
import type { ISendAwayPolicy, OwnerRegion, RemoteOffer } from '../../common/sendAway/sendAwayPolicy';
import { defaultWorkPolicy } from '../../common/workScheduling/workPolicy';
import { findRoom } from '../../common/fleetView/entryView';
import type { KnownInstance } from '../../common/fleetView/fleetView';
import type { EntryFleet } from '../fleet/entryFleet';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { ForwardEnd, ForwardSender } from '../peers/forwardRun';
import { ForwardEndKind } from '../peers/forwardRun';
import type { PeerConnection } from '../peers/peerClients';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { ActiveRuns, RefusedCall } from './activeRuns';
import type { IRouterSurroundings } from './requestRouter';
import type { AcceptedCall, RequestRun } from './requestRun';
import type { ServiceRunner } from './serviceRunner';
import type { ServiceRunners } from './serviceRunners';

/** A link that nobody described: as far as regions of one continent, and as thin as the thinnest in use. */
const untoldLink = { oneWayMs: 55, megabitsPerSecond: 90, sharePercent: 50 };

/** A megabit a second in bytes a millisecond. */
const bytesPerMsOfMegabit = 125;
const wholePercent = 100;

const resultsOfEnds: Readonly<Partial<Record<ForwardEndKind, SentAwayResult>>> = {
	[ForwardEndKind.Answered]: SentAwayResult.Answered,
	[ForwardEndKind.Refused]: SentAwayResult.Refused,
	[ForwardEndKind.NotConnected]: SentAwayResult.Failed,
	[ForwardEndKind.Failed]: SentAwayResult.Failed,
};

/** What one entry's router works with. */
export class RouterSurroundings implements IRouterSurroundings {
	constructor(
		private readonly own: EntrySettings['instance'],
		private readonly manifests: ManifestKeeper,
		private readonly runners: ServiceRunners,
		private readonly targets: ITargetRegistry,
		private readonly fleet: EntryFleet,
		private readonly runs: ActiveRuns,
		private readonly metrics: EntryMetrics,
	) {}

	getRunner(service: ServiceName): ServiceRunner {
		return this.runners.getRunner(service);
	}

	getSendAwayPolicy(service: ServiceName): ISendAwayPolicy {
		return this.runners.getSendAwayPolicy(service);
	}

	listOffers(service: ServiceName): readonly RemoteOffer[] {
		const elsewhere = this.fleet.listLiveViews(
			view => view.region !== this.own.region && this.targets.isServed(service, view.region),
		);
		return elsewhere.flatMap(aged => this.createOffer(service, aged));
	}

	findPeer(instance: InstanceId): PeerConnection | undefined {
		return this.fleet.findPeer(instance);
	}

	findRegion(instance: InstanceId): RegionName | undefined {
		return this.fleet.findEntry(instance)?.region;
	}

	describeSender(): ForwardSender {
		return {
			instance: this.own.id,
			region: this.own.region,
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
		return region && { region, isOwn: region === this.own.region, tokens: shared.tokens };
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
		const result = resultsOfEnds[end.kind];
		if (result !== undefined) {
			this.metrics.noteSentAway(service, region, result);
		}
		this.metrics.noteLinkBytes(region, ByteDirection.Sent, end.sentBytes);
		this.metrics.noteLinkBytes(region, ByteDirection.Received, end.receivedBytes);
	}

	private createOffer(service: ServiceName, { view, ageMs }: KnownInstance): RemoteOffer[] {
		const room = findRoom(view, service);
		const { region } = view;
		const link = this.findLink(region);
		if (room === undefined || link === undefined) {
			return [];
		}
		return [
			{
				instance: view.instance,
				region,
				room: { ...room },
				ageMs,
				oneWayMs: link.oneWayMs,
				linkBytesPerMs: this.computeOwnLinkRate(link),
			},
		];
	}

	/**
	 * This entry's part of a link, for one service. Each entry of the region sends for each service that may
	 * leave it, and none knows what the others send; parts of the whole keep their sum under the cap.
	 */
	private computeOwnLinkRate(link: ManifestLink): number {
		const cap = (link.megabitsPerSecond * bytesPerMsOfMegabit * link.sharePercent) / wholePercent;
		const services = this.manifests.getCurrent()?.accepted.manifest.services ?? [];
		const leaving = services.filter(service =>
			[service, ...service.rules].some(rule => rule.residency === ResidencyRule.Any),
		);
		const entries = this.fleet.countLive(this.own.region, this.own.region);
		return cap / Math.max(1, leaving.length * entries);
	}

	/** A manifest that tells of no links leaves regions connected all the same, only nobody said how well. */
	private findLink(region: RegionName): ManifestLink | undefined {
		const links = this.manifests.getCurrent()?.accepted.manifest.links ?? [];
		if (links.length === 0) {
			return { between: [this.own.region, region], ...untoldLink };
		}
		return links.find(({ between }) => between.includes(region) && between.includes(this.own.region));
	}
}

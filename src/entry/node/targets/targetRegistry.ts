/**
 * The targets that the manifest lists for this entry's region: their connections, their lifecycle states, and
 * the probes that return a failed target to use. Emits an event whenever the list of targets of a service may
 * have changed.
 */

import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import { AuditKind } from '../../../core/audit/common/auditTrail';
import type { RegionName, ServiceName, TargetId, ZoneName } from '../../../core/ids/common/ids';
import type { ManifestService, ManifestTarget } from '../../../core/manifest/common/manifest';
import { TargetRole } from '../../../core/manifest/common/manifest';
import type { InstanceList } from '../../../core/platformClient/common/instanceList';
import { ListedState } from '../../../core/platformClient/common/instanceList';
import type { ListedTarget } from '../../../core/targets/common/targetLifecycle';
import { TargetLifecycles } from '../../../core/targets/common/targetLifecycles';
import type { AnswerHead } from '../../common/callers/answerSink';
import { findHeader } from '../../common/callers/callHead';
import type { AnswerMetadata } from '../../common/dialect/targetDialect';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import type { ProbeRound } from '../../common/paths/targetPaths';
import { pickProbed } from '../../common/paths/targetPaths';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { IndexedManifest } from '../manifest/manifestKeeper';
import type { FindVersion, EntrySharing, ITargetRegistry, TargetSummary } from './targetDirectory';
import { TargetClient } from './targetClient';
import { probePorts } from './portProbe';
import { hasCloseOption, isTargetDown, probeTarget } from './targetProbe';

/** The region and availability zone of this entry. */
export interface EntryLocation {
	readonly region: RegionName;
	readonly zone: ZoneName;
}

const probeCheckIntervalMs = 250;

interface OpenClient {
	readonly url: string;
	readonly client: TargetClient;
}

/** Owns the connections and lifecycle states of the targets that the manifest lists for the region. */
export class TargetRegistry extends Disposable implements ITargetRegistry {
	private readonly clients = new Map<TargetId, OpenClient>();
	private readonly changes = this.register(new Channel<ServiceName>());
	private readonly lifecycles: TargetLifecycles;
	private readonly lastSigns = new Map<string, string>();
	private manifest: IndexedManifest | undefined;
	private listedTargets: ReadonlyMap<TargetId, ListedTarget> | undefined;

	/** Emits the name of a service when its list of targets or the usability of one of them changes. */
	readonly onDidChange: Stream<ServiceName> = this.changes.stream;

	constructor(
		private readonly location: EntryLocation,
		auditTrail: IAuditTrail,
		private readonly timers: ITimerService,
	) {
		super();
		this.lifecycles = this.register(new TargetLifecycles(auditTrail));
		this.register(
			subscribeTo(auditTrail.onDidRecord, ({ kind, subject, sign }) => {
				if (kind === AuditKind.Target) {
					this.lastSigns.set(subject, sign);
				}
			}),
		);
		this.register(
			subscribeTo(this.lifecycles.onDidChange, target => {
				this.emitServiceChange(target);
			}),
		);
		this.register(
			subscribeTo(timers.watchTicks(probeCheckIntervalMs), ({ nowMs }) => {
				this.startDueProbes(nowMs);
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

	setManifest(manifest: IndexedManifest): void {
		this.manifest = manifest;
		const { version, manifest: document } = manifest.accepted;
		const localTargets = document.targets.filter(target => target.region === this.location.region);
		this.lifecycles.setManifest(localTargets, version, this.timers.getNow());
		this.applyInstanceList();
		this.updateClients(localTargets);
		for (const service of document.services) {
			this.changes.emit(service.name);
		}
	}

	/** Applies the platform's instance list, and keeps it for targets that a later manifest adds. */
	setInstanceList({ targets }: Pick<InstanceList, 'targets'>): void {
		this.listedTargets = new Map(
			targets.map(({ id, boot, state }) => [id, { isLeaving: state === ListedState.Leaving, boot }]),
		);
		this.applyInstanceList();
	}

	noteLeavingReportedByPeer(targets: readonly TargetId[]): void {
		this.lifecycles.noteLeavingReportedByPeer(targets, this.timers.getNow());
	}

	listSelfReportedLeaving(): readonly TargetId[] {
		return this.lifecycles.listSelfReportedLeaving();
	}

	/** Lists the service's targets in this region as input for its scheduler. */
	listSchedulable(service: ManifestService, { entries }: EntrySharing): SchedulableTarget[] {
		return this.listManifestTargets(service.name)
			.filter(target => target.role === TargetRole.Serve)
			.map(target => ({
				id: target.id,
				zone: target.zone,
				isSameZone: target.zone === this.location.zone,
				slots: target.slots ?? service.slotsPerTarget,
				share: 1 / entries,
				isLeaving: !this.lifecycles.isUsable(target.id),
			}));
	}

	listManifestTargets(service: ServiceName): readonly ManifestTarget[] {
		return this.manifest?.index.listTargets(service, this.location.region) ?? [];
	}

	listSummaries(service: ServiceName): readonly TargetSummary[] {
		return this.listManifestTargets(service).map(({ id, zone }) => ({
			id,
			zone,
			state: this.lifecycles.findLifecycle(id)?.getState() ?? 'unknown',
			lastSign: this.lastSigns.get(id) ?? '',
		}));
	}

	getLifecycles(): TargetLifecycles {
		return this.lifecycles;
	}

	findClient(target: TargetId): TargetClient | undefined {
		return this.clients.get(target)?.client;
	}

	/** Returns undefined: the manifest doesn't describe the software of its targets. */
	findSoftware(): undefined {
		return undefined;
	}

	observeVersion(): FindVersion {
		return () => undefined;
	}

	findOnlyVersion(): undefined {
		return undefined;
	}

	hasOneVersion(): boolean {
		return false;
	}

	isStoreReached(): boolean {
		return false;
	}

	describeVersionHistory(): undefined {
		return undefined;
	}

	addVersionHistory(): void {
		return;
	}

	findAddress(target: TargetId): string | undefined {
		const url = this.clients.get(target)?.url;
		return url === undefined ? undefined : new URL(url).host;
	}

	noteAnswerHead(target: TargetId, head: AnswerHead, { isLeaving }: Pick<AnswerMetadata, 'isLeaving'>): void {
		const lifecycle = this.lifecycles.findLifecycle(target);
		if (isLeaving) {
			lifecycle?.noteSelfReport(this.timers.getNow());
			return;
		}
		lifecycle?.noteAnswer(hasCloseOption(findHeader(head.lines, 'connection')), this.timers.getNow());
	}

	/** Always true: the targets of another region are tracked only by the entries there. */
	isServed(): boolean {
		return true;
	}

	/** Always undefined: an entry tracks only the targets that the manifest lists for its own region. */
	findOwnerRegion(): undefined {
		return undefined;
	}

	/** Opens a new connection to the target to determine whether the target crashed. */
	async probePaths(service: ServiceName, round: number): Promise<ProbeRound> {
		const targets = this.manifest?.index.listTargets(service, this.location.region) ?? [];
		return probePorts(pickProbed(targets, round).map(({ url }) => new URL(url)));
	}

	async probeForCrash(target: TargetId): Promise<boolean> {
		const url = this.clients.get(target)?.url;
		return url !== undefined && (await isTargetDown(url));
	}

	noteAttemptEnd(target: TargetId, end: AttemptEnd): void {
		if (end === AttemptEnd.NotConnected || end === AttemptEnd.Failed) {
			this.lifecycles.findLifecycle(target)?.noteFailure(this.timers.getNow());
		}
	}

	private applyInstanceList(): void {
		if (this.listedTargets !== undefined) {
			this.lifecycles.setInstanceList(this.listedTargets, this.timers.getNow());
		}
	}

	private updateClients(targets: readonly ManifestTarget[]): void {
		const urls = new Map(targets.map(target => [target.id, target.url]));
		const outdated: TargetClient[] = [];
		for (const [id, { url, client }] of [...this.clients]) {
			if (urls.get(id) !== url) {
				this.clients.delete(id);
				outdated.push(client);
			}
		}
		for (const { id, url } of targets) {
			if (!this.clients.has(id)) {
				this.clients.set(id, { url, client: new TargetClient(new URL(url).origin, this.timers) });
			}
		}
		for (const client of outdated) {
			void client.close();
		}
	}

	private emitServiceChange(target: TargetId): void {
		const service = this.manifest?.index.findTarget(target)?.service;
		if (service !== undefined) {
			this.changes.emit(service);
		}
	}

	private startDueProbes(nowMs: number): void {
		for (const target of this.lifecycles.startDueProbes(nowMs)) {
			void this.probe(target);
		}
	}

	private async probe(target: TargetId): Promise<void> {
		const url = this.clients.get(target)?.url;
		const lifecycle = this.lifecycles.findLifecycle(target);
		if (url === undefined || lifecycle === undefined) {
			return;
		}
		const answer = await probeTarget(url);
		if (answer === undefined) {
			lifecycle.noteProbeFailed(this.timers.getNow());
			return;
		}
		if (answer.isLeaving) {
			lifecycle.noteSelfReport(this.timers.getNow());
			return;
		}
		lifecycle.noteProbeAnswered(answer.isClosingConnection, this.timers.getNow());
	}
}

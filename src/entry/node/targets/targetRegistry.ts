/**
 * The targets of this entry's region: their connections, their lives, and the probes that bring one back.
 * Whoever schedules requests is told whenever a service's list may have changed.
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
import type { AnswerReading } from '../../common/dialect/targetDialect';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { IndexedManifest } from '../manifest/manifestKeeper';
import type { DescribedTarget, EntrySharing, ITargetRegistry } from './targetDirectory';
import { TargetClient } from './targetClient';
import { isClosing, isTargetDead, probeTarget } from './targetProbe';

/** Where this entry stands. */
export interface Place {
	readonly region: RegionName;
	readonly zone: ZoneName;
}

const trialTickMs = 250;

interface KnownTarget {
	readonly url: string;
	readonly client: TargetClient;
}

/** Owns the connections and the lives of the region's targets. */
export class TargetRegistry extends Disposable implements ITargetRegistry {
	private readonly known = new Map<TargetId, KnownTarget>();
	private readonly changes = this.register(new Channel<ServiceName>());
	private readonly lives: TargetLifecycles;
	private readonly lastSigns = new Map<string, string>();
	private manifest: IndexedManifest | undefined;
	private listed: ReadonlyMap<TargetId, ListedTarget> | undefined;

	/** A service whose targets, or their usability, changed. */
	readonly onDidChange: Stream<ServiceName> = this.changes.stream;

	constructor(
		private readonly place: Place,
		auditTrail: IAuditTrail,
		private readonly timers: ITimerService,
	) {
		super();
		this.lives = this.register(new TargetLifecycles(auditTrail));
		this.register(
			subscribeTo(auditTrail.onDidRecord, ({ kind, subject, sign }) => {
				if (kind === AuditKind.Target) {
					this.lastSigns.set(subject, sign);
				}
			}),
		);
		this.register(
			subscribeTo(this.lives.onDidChange, target => {
				this.emitChangeOf(target);
			}),
		);
		this.register(
			subscribeTo(timers.watchTicks(trialTickMs), ({ nowMs }) => {
				this.startTrials(nowMs);
			}),
		);
		this.register(
			toDisposable(() => {
				for (const { client } of this.known.values()) {
					void client.close();
				}
			}),
		);
	}

	setManifest(manifest: IndexedManifest): void {
		this.manifest = manifest;
		const { version, manifest: document } = manifest.accepted;
		const own = document.targets.filter(target => target.region === this.place.region);
		this.lives.setManifest(own, version, this.timers.getNow());
		this.applyInstanceList();
		this.setClients(own);
		for (const service of document.services) {
			this.changes.emit(service.name);
		}
	}

	/** Kept for the targets that a later manifest names. */
	setInstanceList({ targets }: Pick<InstanceList, 'targets'>): void {
		this.listed = new Map(
			targets.map(({ id, boot, state }) => [id, { isLeaving: state === ListedState.Leaving, boot }]),
		);
		this.applyInstanceList();
	}

	notePeerWords(targets: readonly TargetId[]): void {
		this.lives.noteLeavingReportedByPeer(targets, this.timers.getNow());
	}

	listLeavingByOwnWord(): readonly TargetId[] {
		return this.lives.listSelfReportedLeaving();
	}

	/** The service's targets in this region, as its scheduler sees them. */
	listSchedulable(service: ManifestService, { entries }: EntrySharing): SchedulableTarget[] {
		return this.listOf(service.name)
			.filter(target => target.role === TargetRole.Serve)
			.map(target => ({
				id: target.id,
				zone: target.zone,
				isSameZone: target.zone === this.place.zone,
				slots: target.slots ?? service.slotsPerTarget,
				share: 1 / entries,
				isLeaving: !this.lives.isUsable(target.id),
			}));
	}

	listOf(service: ServiceName): readonly ManifestTarget[] {
		return this.manifest?.index.listTargets(service, this.place.region) ?? [];
	}

	listDescribed(service: ServiceName): readonly DescribedTarget[] {
		return this.listOf(service).map(({ id, zone }) => ({
			id,
			zone,
			state: this.lives.findLifecycle(id)?.getState() ?? 'unknown',
			lastSign: this.lastSigns.get(id) ?? '',
		}));
	}

	getLives(): TargetLifecycles {
		return this.lives;
	}

	findClient(target: TargetId): TargetClient | undefined {
		return this.known.get(target)?.client;
	}

	findAddress(target: TargetId): string | undefined {
		const url = this.known.get(target)?.url;
		return url === undefined ? undefined : new URL(url).host;
	}

	noteAnswerHead(target: TargetId, head: AnswerHead, { isLeaving }: Pick<AnswerReading, 'isLeaving'>): void {
		const life = this.lives.findLifecycle(target);
		if (isLeaving) {
			life?.noteSelfReport(this.timers.getNow());
			return;
		}
		life?.noteAnswer(isClosing(findHeader(head.lines, 'connection')), this.timers.getNow());
	}

	/** The targets of other regions are their entries' matter. */
	isServed(): boolean {
		return true;
	}

	/** Each entry of the manifest's regions knows its own region's targets only. */
	findOwnerRegion(): undefined {
		return undefined;
	}

	/** Whether the target died, found out by a new connection. */
	async probeDeath(target: TargetId): Promise<boolean> {
		const url = this.known.get(target)?.url;
		return url !== undefined && (await isTargetDead(url));
	}

	noteAttemptEnd(target: TargetId, end: AttemptEnd): void {
		if (end === AttemptEnd.NotConnected || end === AttemptEnd.Failed) {
			this.lives.findLifecycle(target)?.noteFailure(this.timers.getNow());
		}
	}

	private applyInstanceList(): void {
		if (this.listed !== undefined) {
			this.lives.setInstanceList(this.listed, this.timers.getNow());
		}
	}

	private setClients(targets: readonly ManifestTarget[]): void {
		const urls = new Map(targets.map(target => [target.id, target.url]));
		for (const [id, { url, client }] of [...this.known]) {
			if (urls.get(id) !== url) {
				this.known.delete(id);
				void client.close();
			}
		}
		for (const { id, url } of targets) {
			if (!this.known.has(id)) {
				this.known.set(id, { url, client: new TargetClient(new URL(url).origin) });
			}
		}
	}

	private emitChangeOf(target: TargetId): void {
		const service = this.manifest?.index.findTarget(target)?.service;
		if (service !== undefined) {
			this.changes.emit(service);
		}
	}

	private startTrials(nowMs: number): void {
		for (const target of this.lives.startDueProbes(nowMs)) {
			void this.probe(target);
		}
	}

	private async probe(target: TargetId): Promise<void> {
		const url = this.known.get(target)?.url;
		const life = this.lives.findLifecycle(target);
		if (url === undefined || life === undefined) {
			return;
		}
		const answer = await probeTarget(url);
		if (answer === undefined) {
			life.noteProbeFailed(this.timers.getNow());
			return;
		}
		if (answer.isLeaving) {
			life.noteSelfReport(this.timers.getNow());
			return;
		}
		life.noteProbeAnswered(answer.isClosing, this.timers.getNow());
	}
}

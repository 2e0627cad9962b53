/**
 * The limits of organisations at one entry: connects the shared limits to the manifest, the fleet, the metrics and the log.
 */

import type { Logger } from 'pino';
import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId, ManifestVersion, OrganisationName, RegionName } from '../../../core/ids/common/ids';
import type { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import { LimitTable } from '../../common/limits/limitTable';
import type { ILimitObserver, LimitStatus } from '../../common/limits/sharedLimits';
import { SharedLimits } from '../../common/limits/sharedLimits';
import type { OwnInstance } from '../callHandler';
import type { EntryFleet } from '../fleet/entryFleet';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import { DemandPeers } from './demandPeers';
import { FleetZones } from './fleetZones';
import { LimitGate } from './limitGate';

/** The parts of an entry that its limits use. */
export interface EntryLimitsParts {
	readonly instance: OwnInstance;
	readonly isLeaving: () => boolean;
	readonly manifests: Pick<ManifestKeeper, 'getCurrent' | 'fetchFromPeer' | 'onDidAccept'>;
	readonly fleet: Pick<EntryFleet, 'findPeer' | 'getFleetPosition' | 'listViews'>;
	readonly metrics: EntryMetrics;
	readonly timers: ITimerService;
	readonly random: IRandom;
	readonly logger: Logger;
}

export class EntryLimits extends Disposable implements ILimitObserver {
	readonly shared: SharedLimits;
	readonly gate: LimitGate;

	constructor(private readonly parts: EntryLimitsParts) {
		super();
		const { instance, isLeaving, manifests, fleet, metrics, timers, random } = parts;
		const { id, region, zone, boot } = instance;
		const listRegions = (): readonly RegionName[] =>
			manifests.getCurrent()?.accepted.manifest.regions.map(({ name }) => name) ?? [];
		this.shared = this.register(
			new SharedLimits({
				self: { instance: id, boot, zone },
				directory: new FleetZones({ id, region, zone, isLeaving, listRegions }, fleet, timers),
				peers: new DemandPeers(
					peer => fleet.findPeer(peer),
					(kind, result) => {
						metrics.noteLimitMessage(kind, result);
					},
				),
				timers,
				random,
				observer: this,
			}),
		);
		this.gate = new LimitGate(this.shared, metrics);
		this.register(
			subscribeTo(manifests.onDidAccept, ({ version, manifest }) => {
				this.shared.setTable(new LimitTable(version, manifest.organisations));
			}),
		);
	}

	noteCoordinator(coordinator: InstanceId, reason: string): void {
		this.parts.logger.info({ coordinator, reason }, 'limit coordinator changed');
	}

	noteLimited(organisation: OrganisationName, isLimited: boolean, fraction: number): void {
		const message = isLimited ? 'organisation limited' : 'organisation no longer limited';
		this.parts.logger.info({ organisation, fraction }, message);
	}

	/** A coordinator with an older manifest would hold limits that are no longer in force. */
	noteNewerManifest(instance: InstanceId, version: ManifestVersion): void {
		const peer = this.parts.fleet.findPeer(instance);
		if (peer !== undefined) {
			void this.parts.manifests.fetchFromPeer(instance, version, peer);
		}
	}

	/** Whether it is known what this entry may admit: no organisation has a limit, or the coordinator has answered. */
	isShareKnown(): boolean {
		return this.shared.isShareKnown();
	}

	/** Lists each limit with what this entry knows of its use. */
	listStatus(): readonly LimitStatus[] {
		return this.shared.listStatus();
	}

	/** Sets the gauges; without limits none is set. */
	updateMetrics(): void {
		const { shared } = this;
		const coordinator = shared.getCoordinator();
		if (coordinator !== undefined) {
			const isCoordinator = coordinator === this.parts.instance.id;
			this.parts.metrics.setLimits(shared.countLimited(), isCoordinator, shared.getAnswerAgeMs());
		}
	}
}

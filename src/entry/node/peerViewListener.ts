/**
 * Applies what peers report in their views: newer manifests, targets that are leaving, and the requests that were
 * in flight when targets crashed.
 */

import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { RegionName } from '../../core/ids/common/ids';
import type { CrashSightingView, EntryView } from '../common/fleetView/entryView';
import type { CrashReporter } from '../common/quarantine/crashReporter';
import type { Quarantine } from '../common/quarantine/quarantine';
import type { EntryFleet } from './fleet/entryFleet';
import { ManifestFetcher } from './fleet/manifestFetcher';
import type { ManifestKeeper } from './manifest/manifestKeeper';
import type { ITargetRegistry } from './targets/targetDirectory';

/** The components that are updated, and the region of this entry. */
export interface PeerViewListenerComponents {
	readonly region: RegionName;
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly fleet: EntryFleet;
	readonly quarantine: Quarantine;
	readonly crashReporter: CrashReporter;
	readonly timers: ITimerService;
}

/** Applies peer views until it is disposed of. */
export class PeerViewListener extends Disposable {
	private readonly manifestFetcher: ManifestFetcher;

	constructor(private readonly components: PeerViewListenerComponents) {
		super();
		const { manifests, fleet, timers } = components;
		this.manifestFetcher = new ManifestFetcher(manifests, timers);
		this.register(
			subscribeTo(manifests.onDidAccept, () => {
				this.applyManifest();
			}),
		);
		this.register(
			subscribeTo(fleet.onDidReceive, view => {
				this.applyView(view);
			}),
		);
		this.register(
			subscribeTo(fleet.onDidReportCrashes, report => {
				this.applyCrashSightings(report.region, report.sightings, 0);
			}),
		);
	}

	private applyManifest(): void {
		const current = this.components.manifests.getCurrent();
		if (current !== undefined) {
			this.components.targets.setManifest(current);
		}
	}

	private applyView(view: EntryView): void {
		this.components.targets.noteLeavingReportedByPeer(view.leavingTargets);
		this.applyCrashSightings(view.region, view.crashSightings, view.ageMs);
		const peer = this.components.fleet.findPeer(view.instance);
		if (peer !== undefined) {
			void this.manifestFetcher.fetch(view.instance, view.manifestVersion, peer);
		}
	}

	/** Ignores crash sightings from other regions, because each target belongs to one region. */
	private applyCrashSightings(
		region: RegionName,
		sightings: readonly CrashSightingView[],
		reportAgeMs: number,
	): void {
		const { quarantine, crashReporter, region: ownRegion, timers } = this.components;
		if (region !== ownRegion) {
			return;
		}
		const aged = sightings.map(sighting => ({ ...sighting, ageMs: sighting.ageMs + reportAgeMs }));
		crashReporter.sendIfRefused(quarantine.noteCrashSightings(aged, timers.getNow()));
	}
}

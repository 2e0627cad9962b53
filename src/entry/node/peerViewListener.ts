/**
 * Applies what peers report in their views: newer manifests, targets that are leaving, and the requests that were
 * in flight when targets crashed.
 */

import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { RegionName } from '../../core/ids/common/ids';
import type { CrashSightingView, EntryView } from '../common/fleetView/entryView';
import { isPartFingerprint } from '../common/quarantine/promptPartQuarantine';
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

	/**
	 * Of other regions, only the crashes under parts of prompts matter: a target belongs to one region, and so do the
	 * requests in flight there, but prompts with the same parts come to all. The first entries of the region that
	 * refuse a part because of them report it to the others.
	 */
	private applyCrashSightings(
		region: RegionName,
		sightings: readonly CrashSightingView[],
		reportAgeMs: number,
	): void {
		const { quarantine, crashReporter, fleet, region: ownRegion, timers } = this.components;
		const applied =
			region === ownRegion
				? sightings
				: sightings.filter(({ fingerprint }) => isPartFingerprint(fingerprint));
		if (applied.length === 0) {
			return;
		}
		const aged = applied.map(sighting => ({ ...sighting, ageMs: sighting.ageMs + reportAgeMs }));
		const refused = quarantine.noteCrashSightings(aged, timers.getNow());
		crashReporter.sendIfRefused(refused);
		if (region !== ownRegion && refused.size > 0) {
			const passedOn = aged.filter(({ fingerprint }) => refused.has(fingerprint));
			void fleet.sendCrashReportWithin(ownRegion, passedOn);
		}
	}
}

/**
 * What one entry takes over from the views of its peers: newer manifests, signs that targets leave, and the
 * requests that were in flight when targets died.
 */

import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { RegionName } from '../../core/ids/common/ids';
import type { EntryView } from '../common/fleetView/entryView';
import type { Quarantine } from '../common/quarantine/quarantine';
import type { EntryFleet } from './fleet/entryFleet';
import { ManifestFetches } from './fleet/manifestFetches';
import type { ManifestKeeper } from './manifest/manifestKeeper';
import type { ITargetRegistry } from './targets/targetDirectory';

/** The parts that are told. */
export interface PeerFollowingParts {
	readonly region: RegionName;
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly fleet: EntryFleet;
	readonly quarantine: Quarantine;
	readonly timers: ITimerService;
}

/** Follows until disposed of. */
export class PeerFollowing extends Disposable {
	private readonly fetches: ManifestFetches;

	constructor(private readonly parts: PeerFollowingParts) {
		super();
		const { manifests, fleet, timers } = parts;
		this.fetches = new ManifestFetches(manifests, timers);
		this.register(
			subscribeTo(manifests.onDidAccept, () => {
				this.noteManifest();
			}),
		);
		this.register(
			subscribeTo(fleet.onDidReceive, view => {
				this.noteView(view);
			}),
		);
	}

	private noteManifest(): void {
		const current = this.parts.manifests.getCurrent();
		if (current !== undefined) {
			this.parts.targets.setManifest(current);
		}
	}

	private noteView(view: EntryView): void {
		this.parts.targets.noteLeavingReportedByPeer(view.leavingTargets);
		this.noteSightings(view);
		const peer = this.parts.fleet.findPeer(view.instance);
		if (peer !== undefined) {
			void this.fetches.fetch(view.instance, view.manifestVersion, peer);
		}
	}

	/** Targets belong to one region, so only its own entries' sightings concern this one. */
	private noteSightings(view: EntryView): void {
		const { quarantine, region, timers } = this.parts;
		if (view.region !== region) {
			return;
		}
		for (const { fingerprint, target, ageMs } of view.crashSightings) {
			quarantine.noteCrashSighting({ fingerprint, target, ageMs: ageMs + view.ageMs }, timers.getNow());
		}
	}
}

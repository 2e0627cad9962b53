/**
 * What this entry says of itself to its peers.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { BootId, ManifestVersion, ServiceName } from '../../../core/ids/common/ids';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import type { EntryView } from '../../common/fleetView/entryView';
import type { Quarantine } from '../../common/quarantine/quarantine';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { ServiceRunners } from '../requests/serviceRunners';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { LookupCandidate } from './entryFleet';

/** Enough of a digest to tell two documents of one version apart in a view. */
const digestCharacters = 16;

/** The parts that a view tells of. */
export interface OwnViewParts {
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly runners: ServiceRunners;
	readonly quarantine: Quarantine;
	readonly timers: ITimerService;
}

/** Makes this entry's view; each one made counts the sequence up. */
export class OwnView {
	private sequence = 0;
	private hasLeft = false;
	private refuses = false;
	private endsMs = Number.POSITIVE_INFINITY;

	constructor(
		private readonly settings: EntrySettings,
		private readonly boot: BootId,
		private readonly parts: OwnViewParts,
	) {}

	isLeaving(): boolean {
		return this.hasLeft;
	}

	setLeaving(): void {
		this.hasLeft = true;
	}

	/** When this entry ends at the latest, in monotonic milliseconds; infinite while it is not being stopped. */
	getEndsMs(): number {
		return this.endsMs;
	}

	setStopping(endsMs: number): void {
		this.endsMs = endsMs;
	}

	/** Whether new work is refused; an entry that leaves may serve for a while those who do not know it yet. */
	isRefusing(): boolean {
		return this.refuses;
	}

	setRefusing(): void {
		this.refuses = true;
	}

	/** This entry as lookups name it; `service` chooses the room told. */
	describeCandidate(service: ServiceName | undefined): LookupCandidate {
		const { instance, callers } = this.settings;
		return {
			instance: instance.id,
			region: instance.region,
			zone: instance.zone,
			callerUrl: callers.url,
			isLeaving: this.hasLeft,
			isSuspect: false,
			room: service === undefined ? undefined : this.parts.runners.getRunner(service).measureRoom(),
			ageMs: 0,
		};
	}

	describe(): EntryView {
		const { instance, callers, peers } = this.settings;
		const { manifests, targets, runners, quarantine, timers } = this.parts;
		const accepted = manifests.getCurrent()?.accepted;
		this.sequence++;
		return {
			instance: instance.id,
			bootId: this.boot,
			sequence: this.sequence,
			region: instance.region,
			zone: instance.zone,
			callerUrl: callers.url,
			peerUrl: peers.url,
			isLeaving: this.hasLeft,
			manifestVersion: accepted?.version ?? (0 as ManifestVersion),
			manifestDigest: accepted?.digest.slice(0, digestCharacters) ?? '',
			ageMs: 0,
			rooms: runners
				.listServices()
				.map(service => ({ service, room: runners.getRunner(service).measureRoom() })),
			leavingTargets: [...targets.listSelfReportedLeaving()],
			crashSightings: [...quarantine.listCrashSightings(timers.getNow())],
		};
	}
}

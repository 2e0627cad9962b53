/**
 * Creates the view of this entry that is sent to its peers.
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

/** Length of the manifest digest in a view; sufficient to distinguish two documents with the same version. */
const digestPrefixLength = 16;

/** The components whose state is reported in a view. */
export interface OwnViewComponents {
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly runners: ServiceRunners;
	readonly quarantine: Quarantine;
	readonly timers: ITimerService;
}

/** Creates this entry's views with increasing sequence numbers, and holds its leaving state. */
export class OwnView {
	private sequence = 0;
	private hasStartedLeaving = false;
	private refusesNewWork = false;
	private latestEndMs = Number.POSITIVE_INFINITY;

	constructor(
		private readonly settings: EntrySettings,
		private readonly bootId: BootId,
		private readonly components: OwnViewComponents,
	) {}

	isLeaving(): boolean {
		return this.hasStartedLeaving;
	}

	setLeaving(): void {
		this.hasStartedLeaving = true;
	}

	/** Time by which this entry ends, in monotonic milliseconds; infinite until a stop is requested. */
	getLatestEndMs(): number {
		return this.latestEndMs;
	}

	setLatestEnd(latestEndMs: number): void {
		this.latestEndMs = latestEndMs;
	}

	/**
	 * Whether new work is refused. A leaving entry accepts work for some time after announcing that it leaves, because
	 * the announcement has not reached all callers yet.
	 */
	isRefusing(): boolean {
		return this.refusesNewWork;
	}

	setRefusing(): void {
		this.refusesNewWork = true;
	}

	/** Describes this entry as a lookup result, with its free capacity for `service`. */
	describeCandidate(service: ServiceName | undefined): LookupCandidate {
		const { instance, callers } = this.settings;
		return {
			instance: instance.id,
			region: instance.region,
			zone: instance.zone,
			callerUrl: callers.url,
			isLeaving: this.hasStartedLeaving,
			isSuspect: false,
			room: service === undefined ? undefined : this.components.runners.getRunner(service).measureRoom(),
			ageMs: 0,
		};
	}

	createView(): EntryView {
		const { instance, callers, peers } = this.settings;
		const { manifests, targets, runners, quarantine, timers } = this.components;
		const accepted = manifests.getCurrent()?.accepted;
		this.sequence++;
		return {
			instance: instance.id,
			bootId: this.bootId,
			sequence: this.sequence,
			region: instance.region,
			zone: instance.zone,
			callerUrl: callers.url,
			peerUrl: peers.url,
			isLeaving: this.hasStartedLeaving,
			manifestVersion: accepted?.version ?? (0 as ManifestVersion),
			manifestDigest: accepted?.digest.slice(0, digestPrefixLength) ?? '',
			ageMs: 0,
			rooms: runners
				.listServices()
				.map(service => ({ service, room: runners.getRunner(service).measureRoom() })),
			leavingTargets: [...targets.listSelfReportedLeaving()],
			crashSightings: [...quarantine.listCrashSightings(timers.getNow())],
			regionSizes: [],
			cutServices: [...runners.listCutServices()],
			keepsStreamOrigins: true,
			countsAttempts: true,
			relaysStore: true,
			confirmsKeys: true,
		};
	}
}

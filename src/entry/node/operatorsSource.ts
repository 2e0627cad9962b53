/**
 * Provides the data of the operators' HTTP interface, collected from the entry's components on each request.
 */

import type { ITimerService } from '../../base/common/timerService';
import type { AuditRecord, IAuditTrail } from '../../core/audit/common/auditTrail';
import type { IRequestJournal, RequestRecord } from '../../core/explain/common/requestJournal';
import type { RequestId } from '../../core/ids/common/ids';
import type { IOperatorsSource, ManifestInForce } from '../../core/operators/common/operatorsSource';
import type {
	EntryStatus,
	PeerStatus,
	Readiness,
	ServiceStatus,
	TargetStatus,
} from '../../core/status/common/entryStatus';
import type { OrganisationsAnswer, SlownessAnswer } from '../../core/status/common/organisationsStatus';
import type { OwnInstance } from './callHandler';
import type { CallHandler } from './callHandler';
import type { HeldBytes } from './callers/bodyReader';
import type { EntryFleet } from './fleet/entryFleet';
import type { EntryLimits } from './limits/entryLimits';
import type { ManifestKeeper } from './manifest/manifestKeeper';
import type { KeyAges } from './organisationsSource';
import { describeKeyKnowledge, describeOrganisations, describeSlowness } from './organisationsSource';
import type { ServiceRunners } from './requests/serviceRunners';
import type { ITargetRegistry } from './targets/targetDirectory';
import type { TicketService } from './tickets/ticketService';

/** The subset of the fleet that lists peers and their states. */
export type PeerStates = Pick<EntryFleet, 'getLifecycles' | 'listViews'>;

/** Identity of the entry with its program version. */
export type VersionedInstance = OwnInstance & { readonly version: string };

/** The components that the status is collected from. */
export interface OperatorsSourceComponents {
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly fleet: EntryFleet;
	readonly runners: ServiceRunners;
	readonly callHandler: CallHandler;
	readonly tickets: TicketService;
	readonly limits: Pick<EntryLimits, 'listStatus'>;
	/** Undefined if the settings set no bound for withdrawn keys. */
	readonly keyAges: KeyAges | undefined;
	readonly heldBytes: HeldBytes;
	readonly trail: IAuditTrail;
	readonly journal: IRequestJournal;
	/** Milliseconds since the platform last answered; undefined if it never has. */
	readonly getPlatformSilenceMs: () => number | undefined;
	readonly timers: ITimerService;
}

/** Collects the status of one entry. */
export class EntryOperatorsSource implements IOperatorsSource {
	private readonly startedMs: number;

	constructor(
		private readonly ownInstance: VersionedInstance,
		private readonly mostHeldBytes: number,
		private readonly components: OperatorsSourceComponents,
	) {
		this.startedMs = components.timers.getNow();
	}

	getReadiness(): Readiness {
		return this.components.callHandler.getReadiness();
	}

	getStatus(): EntryStatus {
		const { id, boot, region, zone, version } = this.ownInstance;
		const { components } = this;
		return {
			instance: id,
			boot,
			region,
			zone,
			version,
			uptimeMs: Math.round(components.timers.getNow() - this.startedMs),
			readiness: this.getReadiness(),
			isLeaving: components.callHandler.isLeaving(),
			manifest: this.describeManifest(),
			platform: { lastReadAgeMs: formatAge(components.getPlatformSilenceMs()) },
			peers: this.listPeers(),
			targets: this.listTargets(),
			services: this.listServices(),
			ticketsOutstanding: components.tickets.countUsedTickets(),
			heldBytes: components.heldBytes.getTotal(),
			mostHeldBytes: this.mostHeldBytes,
		};
	}

	getOrganisations(): OrganisationsAnswer {
		const { manifests, limits, keyAges } = this.components;
		const accepted = manifests.getCurrent()?.accepted;
		return {
			instance: this.ownInstance.id,
			manifestVersion: accepted?.version ?? null,
			requiresKeys: accepted?.manifest.requiresKeys ?? false,
			keyKnowledge: describeKeyKnowledge(keyAges),
			organisations:
				accepted === undefined ? [] : describeOrganisations(accepted.manifest, limits.listStatus()),
		};
	}

	getSlowness(): SlownessAnswer {
		const { runners } = this.components;
		const targets = runners.listServices().flatMap(service =>
			runners
				.getRunner(service)
				.listSlowness()
				.map(slowness => describeSlowness(service, slowness)),
		);
		return { instance: this.ownInstance.id, targets };
	}

	findRecord(id: RequestId): RequestRecord | undefined {
		return this.components.journal.find(id);
	}

	listTrail(maxRecords: number): readonly AuditRecord[] {
		return this.components.trail.list(maxRecords);
	}

	getManifest(): ManifestInForce | undefined {
		const accepted = this.components.manifests.getCurrent()?.accepted;
		if (accepted === undefined) {
			return undefined;
		}
		return { version: accepted.version, digest: accepted.digest, text: accepted.document };
	}

	private describeManifest(): EntryStatus['manifest'] {
		const accepted = this.components.manifests.getCurrent()?.accepted;
		if (accepted === undefined) {
			return null;
		}
		const ageMs = formatAge(this.components.manifests.getAgeMs()) ?? 0;
		return { version: accepted.version, digest: accepted.digest, ageMs };
	}

	private listPeers(): PeerStatus[] {
		const lifecycles = this.components.fleet.getLifecycles();
		return this.components.fleet.listViews().map(({ view, ageMs }) => ({
			instance: view.instance,
			region: view.region,
			zone: view.zone,
			state: lifecycles.findBoot(view.bootId)?.lifecycle.getState() ?? 'gone',
			viewAgeMs: Math.round(ageMs),
			manifestVersion: view.manifestVersion,
		}));
	}

	private listTargets(): TargetStatus[] {
		const { targets, runners } = this.components;
		return runners.listServices().flatMap(service =>
			targets.listSummaries(service).map(({ id, zone, state, lastSign }) => ({
				id,
				service,
				zone,
				state,
				...runners.getRunner(service).measureTarget(id),
				lastSign,
			})),
		);
	}

	private listServices(): ServiceStatus[] {
		return this.components.runners.listServices().map(service => {
			const { queued, running, waitMs } = this.components.runners.getRunner(service).measureRoom();
			return { service, queued, running, waitMs: Math.round(waitMs) };
		});
	}
}

/** Counts the other entries by state for the metrics. Process starts that have expired are left out. */
export function countPeersByState(fleet: PeerStates): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const { view } of fleet.listViews()) {
		const state = fleet.getLifecycles().findBoot(view.bootId)?.lifecycle.getState();
		if (state !== undefined) {
			counts.set(state, (counts.get(state) ?? 0) + 1);
		}
	}
	return counts;
}

function formatAge(ageMs: number | undefined): number | null {
	return ageMs === undefined ? null : Math.round(ageMs);
}

/**
 * What an entry tells its operators, gathered from its parts at the time of asking.
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
import type { OwnInstance } from './callHandler';
import type { CallHandler } from './callHandler';
import type { HeldBytes } from './callers/bodyReader';
import type { EntryFleet } from './fleet/entryFleet';
import type { ManifestKeeper } from './manifest/manifestKeeper';
import type { ServiceRunners } from './requests/serviceRunners';
import type { ITargetRegistry } from './targets/targetDirectory';
import type { TicketService } from './tickets/ticketService';

/** The part of the fleet that knows the peers. */
export type PeersInView = Pick<EntryFleet, 'getLives' | 'listViews'>;

/** The entry and the version of its program. */
export type DescribedInstance = OwnInstance & { readonly version: string };

/** The parts that are asked. */
export interface OperatorsParts {
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly fleet: EntryFleet;
	readonly runners: ServiceRunners;
	readonly callHandler: CallHandler;
	readonly tickets: TicketService;
	readonly held: HeldBytes;
	readonly trail: IAuditTrail;
	readonly journal: IRequestJournal;
	/** Milliseconds since the platform last answered, or undefined where it never did. */
	readonly getPlatformSilenceMs: () => number | undefined;
	readonly timers: ITimerService;
}

/** Gathers the status of one entry. */
export class EntryOperatorsSource implements IOperatorsSource {
	private readonly startedMs: number;

	constructor(
		private readonly own: DescribedInstance,
		private readonly mostHeldBytes: number,
		private readonly parts: OperatorsParts,
	) {
		this.startedMs = parts.timers.getNow();
	}

	getReadiness(): Readiness {
		return this.parts.callHandler.getReadiness();
	}

	getStatus(): EntryStatus {
		const { id, boot, region, zone, version } = this.own;
		const { parts } = this;
		return {
			instance: id,
			boot,
			region,
			zone,
			version,
			uptimeMs: Math.round(parts.timers.getNow() - this.startedMs),
			readiness: this.getReadiness(),
			isLeaving: parts.callHandler.isLeaving(),
			manifest: this.describeManifest(),
			platform: { lastReadAgeMs: formatAge(parts.getPlatformSilenceMs()) },
			peers: this.listPeers(),
			targets: this.listTargets(),
			services: this.listServices(),
			ticketsOutstanding: parts.tickets.countSpent(),
			heldBytes: parts.held.getHeld(),
			mostHeldBytes: this.mostHeldBytes,
		};
	}

	findRecord(id: RequestId): RequestRecord | undefined {
		return this.parts.journal.find(id);
	}

	listTrail(most: number): readonly AuditRecord[] {
		return this.parts.trail.list(most);
	}

	getManifest(): ManifestInForce | undefined {
		const accepted = this.parts.manifests.getCurrent()?.accepted;
		if (accepted === undefined) {
			return undefined;
		}
		return { version: accepted.version, digest: accepted.digest, text: accepted.document };
	}

	private describeManifest(): EntryStatus['manifest'] {
		const accepted = this.parts.manifests.getCurrent()?.accepted;
		if (accepted === undefined) {
			return null;
		}
		const ageMs = formatAge(this.parts.manifests.getAgeMs()) ?? 0;
		return { version: accepted.version, digest: accepted.digest, ageMs };
	}

	private listPeers(): PeerStatus[] {
		const lives = this.parts.fleet.getLives();
		return this.parts.fleet.listViews().map(({ view, ageMs }) => ({
			instance: view.instance,
			region: view.region,
			zone: view.zone,
			state: lives.findBoot(view.bootId)?.lifecycle.getState() ?? 'gone',
			viewAgeMs: Math.round(ageMs),
			manifestVersion: view.manifestVersion,
		}));
	}

	private listTargets(): TargetStatus[] {
		const { targets, runners } = this.parts;
		return runners.listServices().flatMap(service =>
			targets.listDescribed(service).map(({ id, zone, state, lastSign }) => ({
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
		return this.parts.runners.listServices().map(service => {
			const { queued, running, waitMs } = this.parts.runners.getRunner(service).measureRoom();
			return { service, queued, running, waitMs: Math.round(waitMs) };
		});
	}
}

/** Other entries in view by state, for the metrics. A boot that is gone is no longer in view. */
export function countPeers(fleet: PeersInView): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const { view } of fleet.listViews()) {
		const state = fleet.getLives().findBoot(view.bootId)?.lifecycle.getState();
		if (state !== undefined) {
			counts.set(state, (counts.get(state) ?? 0) + 1);
		}
	}
	return counts;
}

function formatAge(ageMs: number | undefined): number | null {
	return ageMs === undefined ? null : Math.round(ageMs);
}

/**
 * Feeds the metrics of one entry from its parts: what happens is counted as it happens, what stands is
 * looked at once a second.
 */

import { subscribeTo } from '../../base/common/channel';
import type { ServiceName } from '../../core/ids/common/ids';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { IAuditTrail } from '../../core/audit/common/auditTrail';
import type { IEntrySources } from './environment/entryEnvironment';
import type { EntryMetrics } from '../../core/telemetry/node/entryMetrics';
import type { CallHandler } from './callHandler';
import type { HeldBytes } from './callers/bodyReader';
import type { EntryFleet } from './fleet/entryFleet';
import type { ManifestKeeper } from './manifest/manifestKeeper';
import { countPeers } from './operatorsSource';
import type { ServiceRunners } from './requests/serviceRunners';
import type { ITargetRegistry } from './targets/targetDirectory';
import type { TicketService } from './tickets/ticketService';

const gaugesMs = 1_000;

/** The parts that are looked at. */
export interface TelemetryParts {
	readonly trail: IAuditTrail;
	readonly sources: Pick<IEntrySources, 'onDidEndRead'>;
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly fleet: EntryFleet;
	readonly runners: ServiceRunners;
	readonly tickets: TicketService;
	readonly callHandler: CallHandler;
	readonly held: HeldBytes;
	readonly timers: ITimerService;
}

/** Keeps the metrics fed until disposed of. */
export class EntryTelemetry extends Disposable {
	constructor(
		private readonly metrics: EntryMetrics,
		private readonly parts: TelemetryParts,
	) {
		super();
		this.register(
			subscribeTo(parts.trail.onDidRecord, record => {
				metrics.noteAuditRecord(record.kind);
			}),
		);
		this.register(
			subscribeTo(parts.sources.onDidEndRead, ({ kind, result }) => {
				metrics.notePlatformRead(kind, result);
			}),
		);
		this.register(
			subscribeTo(parts.manifests.onDidAccept, ({ version, manifest }) => {
				metrics.setManifestVersion(version);
				metrics.setServices(manifest.services.map(service => service.name));
			}),
		);
		this.register(
			subscribeTo(parts.timers.watchTicks(gaugesMs), () => {
				this.setGauges();
			}),
		);
	}

	private setGauges(): void {
		const { held, tickets, callHandler, fleet, runners, targets } = this.parts;
		this.metrics.setHeldBytes(held.getHeld());
		this.metrics.setTicketsOutstanding(tickets.countSpent());
		this.metrics.setReady(callHandler.getReadiness().isReady);
		this.metrics.setLeaving(callHandler.isLeaving());
		this.metrics.setPeers(countPeers(fleet));
		for (const service of runners.listServices()) {
			const room = runners.getRunner(service).measureRoom();
			this.metrics.setService(service, { ...room, targetsByState: countStates(targets, service) });
		}
	}
}

/** Targets of a service by their state. */
function countStates(targets: ITargetRegistry, service: ServiceName): Map<string, number> {
	const counts = new Map<string, number>();
	for (const { state } of targets.listSummaries(service)) {
		counts.set(state, (counts.get(state) ?? 0) + 1);
	}
	return counts;
}

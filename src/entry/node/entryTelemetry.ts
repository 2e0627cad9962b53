/**
 * Updates the metrics of one entry from its components. Counters follow events as they occur; gauges are sampled
 * once a second.
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
import type { KeyChecker } from './keyChecker';
import type { EntryLimits } from './limits/entryLimits';
import type { ManifestKeeper } from './manifest/manifestKeeper';
import { countPeersByState } from './operatorsSource';
import type { ActiveRuns } from './requests/activeRuns';
import type { ServiceRunners } from './requests/serviceRunners';
import type { ITargetRegistry } from './targets/targetDirectory';
import type { TicketService } from './tickets/ticketService';

const gaugeIntervalMs = 1_000;

/** The components whose events and state are measured. */
export interface TelemetryComponents {
	readonly trail: IAuditTrail;
	readonly sources: Pick<IEntrySources, 'onDidEndRead'>;
	readonly manifests: ManifestKeeper;
	readonly targets: ITargetRegistry;
	readonly fleet: EntryFleet;
	readonly runners: ServiceRunners;
	readonly activeRuns: Pick<ActiveRuns, 'measureLongestWaitMs'>;
	readonly tickets: TicketService;
	readonly callHandler: CallHandler;
	readonly heldBytes: HeldBytes;
	/** Given if the settings bound the time until a withdrawn key stops working. */
	readonly keyChecker: Pick<KeyChecker, 'getAgeMs'> | undefined;
	readonly limits: Pick<EntryLimits, 'updateMetrics'>;
	readonly timers: ITimerService;
}

/** Updates the metrics until it is disposed of. */
export class EntryTelemetry extends Disposable {
	constructor(
		private readonly metrics: EntryMetrics,
		private readonly components: TelemetryComponents,
	) {
		super();
		this.register(
			subscribeTo(components.trail.onDidRecord, record => {
				metrics.noteAuditRecord(record.kind);
			}),
		);
		this.register(
			subscribeTo(components.sources.onDidEndRead, ({ kind, result }) => {
				metrics.notePlatformRead(kind, result);
			}),
		);
		this.register(
			subscribeTo(components.manifests.onDidAccept, ({ version, manifest }) => {
				metrics.setManifestVersion(version);
				metrics.setServices(manifest.services.map(service => service.name));
			}),
		);
		this.register(
			subscribeTo(components.timers.watchTicks(gaugeIntervalMs), () => {
				this.setGauges();
			}),
		);
	}

	private setGauges(): void {
		const { heldBytes, limits, tickets, callHandler, fleet, runners, activeRuns, targets } = this.components;
		limits.updateMetrics();
		this.metrics.setHeldBytes(heldBytes.getTotal());
		this.metrics.setTicketsOutstanding(tickets.countUsedTickets());
		this.metrics.setReady(callHandler.getReadiness().isReady);
		this.metrics.setLeaving(callHandler.isLeaving());
		const keyAgeMs = this.components.keyChecker?.getAgeMs();
		if (keyAgeMs !== undefined) {
			this.metrics.setKeyKnowledgeAge(keyAgeMs);
		}
		this.metrics.setPeers(countPeersByState(fleet));
		for (const service of runners.listServices()) {
			const room = runners.getRunner(service).measureRoom();
			this.metrics.setService(service, {
				...room,
				longestWaitMs: activeRuns.measureLongestWaitMs(service),
				isCut: runners.isCut(service),
				targetsByState: countTargetsByState(targets, service),
			});
		}
	}
}

/** Counts the targets of a service by their state. */
function countTargetsByState(targets: ITargetRegistry, service: ServiceName): Map<string, number> {
	const counts = new Map<string, number>();
	for (const { state } of targets.listSummaries(service)) {
		counts.set(state, (counts.get(state) ?? 0) + 1);
	}
	return counts;
}

/**
 * One entry: puts the parts together, starts them and ends them. No part knows the entry; each is handed
 * what it needs.
 */

import { randomBytes, randomInt } from 'node:crypto';
import type { Logger } from 'pino';
import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { AuditKind } from '../../core/audit/common/auditTrail';
import { RingAuditTrail } from '../../core/audit/common/ringAuditTrail';
import { LoggedJournal } from '../../core/explain/common/loggedJournal';
import type { IRequestJournal } from '../../core/explain/common/requestJournal';
import { RingRequestJournal } from '../../core/explain/common/ringRequestJournal';
import type { BootId } from '../../core/ids/common/ids';
import type { ManifestCallerLimits } from '../../core/manifest/common/routes';
import { OperatorsServer } from '../../core/operators/node/operatorsServer';
import type { EntrySettings } from '../../core/settings/common/entrySettings';
import { EntryMetrics } from '../../core/telemetry/node/entryMetrics';
import { DecisionLogger, writeAuditLines } from '../../core/telemetry/node/logger';
import { computeAcceptMs } from '../common/leaving/shutdownPlan';
import { RequestIntake } from '../common/intake/requestIntake';
import { Quarantine } from '../common/quarantine/quarantine';
import { HeldBytes } from './callers/bodyReader';
import type { CallerLimits } from './callers/callerServer';
import { CallerServer } from './callers/callerServer';
import { CallHandler } from './callHandler';
import { EntryCertificates } from './entryCertificates';
import { EntryTelemetry } from './entryTelemetry';
import { ImmediateTurnScheduler } from './immediateTurnScheduler';
import type { EntryPlatform, IEntryEnvironment, IEntryPort } from './environment/entryEnvironment';
import { EntryFleet } from './fleet/entryFleet';
import { OwnView } from './fleet/ownView';
import { ManifestKeeper } from './manifest/manifestKeeper';
import { describeOfferState } from './manifest/offerMetrics';
import { EntryOperatorsSource } from './operatorsSource';
import { PeerClients } from './peers/peerClients';
import { PeerFollowing } from './peerFollowing';
import { PeerServer } from './peers/peerServer';
import { ActiveRuns } from './requests/activeRuns';
import { CrashDetector } from './requests/crashDetector';
import { RequestRouter } from './requests/requestRouter';
import { RouterContext } from './requests/routerContext';
import type { IServicePolicies } from './requests/serviceRunners';
import { ServiceRunners } from './requests/serviceRunners';
import { SleepDetector } from './sleepDetector';
import { StartHold } from './startHold';
import { createTicketService } from './tickets/createTicketService';
import type { TicketService } from './tickets/ticketService';

const trailCapacity = 4_096;
const journalCapacity = 10_000;
const bootIdBytes = 6;
const housekeepingMs = 1_000;
/** How often the last entry of a region looks for another one, in milliseconds. */
const successorCheckMs = 100;
const largestSeed = 0x7fff_ffff;

/** One running entry. */
export class Entry extends Disposable {
	private readonly boot = randomBytes(bootIdBytes).toString('hex') as BootId;
	private readonly timers = this.register(new SystemTimerService());
	private readonly random = new SeededRandom(randomInt(largestSeed));
	private readonly trail = this.register(new RingAuditTrail(trailCapacity, () => new Date()));
	private readonly journal: IRequestJournal;
	private readonly quarantine = new Quarantine();
	private readonly metrics: EntryMetrics;
	private readonly certificates: EntryCertificates;
	private readonly held: HeldBytes;
	private readonly platform: EntryPlatform;
	private readonly manifests: ManifestKeeper;
	private readonly peers: PeerClients;
	private readonly fleet: EntryFleet;
	private readonly runners: ServiceRunners;
	private readonly ownView: OwnView;
	private readonly runs: ActiveRuns;
	private readonly sleepDetector: SleepDetector;
	private readonly startHold: StartHold;
	private readonly tickets: TicketService;
	private readonly callHandler: CallHandler;
	private readonly callers: CallerServer;
	private readonly peerServer: PeerServer;
	private readonly operators: OperatorsServer;
	private readonly ports: readonly IEntryPort[];
	private stopping: Promise<void> | undefined;

	constructor(
		private readonly settings: EntrySettings,
		private readonly environment: IEntryEnvironment,
		private readonly logger: Logger,
		programVersion: string,
	) {
		super();
		const { id, region, zone } = settings.instance;
		this.journal = this.createJournal();
		this.metrics = new EntryMetrics({ version: programVersion, instance: id, region, zone });
		this.certificates = this.register(new EntryCertificates(settings, this.trail, this.metrics));
		this.held = new HeldBytes(settings.limits.max_held_bytes);
		this.manifests = this.register(
			new ManifestKeeper(
				this.trail,
				state => {
					this.metrics.noteManifest(describeOfferState(state));
				},
				this.timers,
			),
		);
		this.peers = this.register(new PeerClients(settings.peer_routes, this.certificates.peers));
		this.fleet = this.register(
			new EntryFleet(
				{ id, region, zone, peerUrl: settings.peers.url, seeds: settings.peers.seeds },
				() => this.ownView.describe(),
				this.peers,
				this.timers,
				this.random,
				this.trail,
			),
		);
		this.platform = this.openPlatform();
		const { targets } = this.platform;
		this.runners = this.register(
			new ServiceRunners(
				this.manifests,
				targets,
				() => this.fleet.describeSharing(region),
				new CrashDetector(
					this.quarantine,
					target => targets.probeForCrash(target),
					() => this.fleet.exchangeWithRegion(region),
					this.timers,
				),
				this.createPolicies(),
				this.timers,
			),
		);
		this.ownView = new OwnView(settings, this.boot, {
			manifests: this.manifests,
			targets,
			runners: this.runners,
			quarantine: this.quarantine,
			timers: this.timers,
		});
		this.runs = new ActiveRuns(this.journal, this.metrics, this.held, this.timers);
		this.tickets = createTicketService(settings, this.boot, this.fleet);
		this.sleepDetector = this.register(this.createSleepDetector());
		this.startHold = this.register(this.createStartHold());
		this.callHandler = this.createCallHandler();
		const intake = new RequestIntake(new ImmediateTurnScheduler(), this.timers, this.random, waitedMs => {
			this.metrics.noteStartWait(waitedMs);
		});
		this.callers = new CallerServer(
			this.callHandler,
			environment.callers,
			this.held,
			{ mostHeadBytes: settings.limits.max_head_bytes, mostBodyBytes: settings.limits.max_body_bytes },
			intake,
			this.timers,
		);
		this.peerServer = new PeerServer(
			this.callHandler,
			this.held,
			settings.limits.max_body_bytes,
			intake,
			this.timers,
			this.certificates.peers,
		);
		this.operators = this.register(this.createOperatorsServer(programVersion));
		this.ports = environment.createPorts(this.callHandler);
		this.subscribeParts();
	}

	/** Opens the ports and starts to follow the platform. */
	async start(): Promise<void> {
		const { settings } = this;
		const operators = await this.operators.start(settings.operators.listen);
		const peers = await this.peerServer.listen(settings.peers.listen);
		const callers = await this.callers.listen(settings.callers.listen);
		await Promise.all(this.ports.map(port => port.listen()));
		this.platform.sources.start();
		void this.fleet.exchangeWithAll();
		this.recordProcess('stopped', 'started', `boot ${this.boot}`);
		this.logger.info({ callers: callers.port, peers: peers.port, operators: operators.port }, 'listening');
	}

	/**
	 * Leaves without cutting off anybody: says so, refuses new work with other entries named, and ends when
	 * the last request in progress has ended and the grace is over.
	 */
	stop(sign: string): Promise<void> {
		this.stopping ??= this.finishAndEnd(sign);
		return this.stopping;
	}

	private async finishAndEnd(sign: string): Promise<void> {
		const startedMs = this.timers.getNow();
		const { refuseMs: refusesMs, exitMs: endsMs } = this.environment.leaving;
		this.ownView.setStopping(startedMs + endsMs);
		const waitUntil = (ms: number): Promise<void> => this.waitFor(startedMs + ms - this.timers.getNow());
		await this.waitForSuccessor(sign);
		this.ownView.setLeaving();
		this.recordProcess('started', 'leaving', sign);
		void this.fleet.exchangeWithAll();
		const takingMs = computeAcceptMs(this.environment.leaving, this.timers.getNow() - startedMs);
		await waitUntil(takingMs);
		this.ownView.setRefusing();
		await waitUntil(takingMs + refusesMs);
		await Promise.race([this.runs.waitUntilIdle(), waitUntil(endsMs)]);
		const left = this.runs.count();
		const closed = [this.callers, this.peerServer, ...this.ports].map(port => port.close());
		await Promise.race([Promise.all(closed), waitUntil(endsMs)]);
		this.recordProcess('leaving', 'stopped', `${left} requests in progress`);
		this.dispose();
		await Promise.race([this.platform.sources.close(), waitUntil(endsMs)]);
	}

	/** Ends when another entry of the region takes callers, or when this one can stay no longer. */
	private async waitForSuccessor(sign: string): Promise<void> {
		const endsMs = this.timers.getNow() + this.environment.leaving.maxAnnounceDelayMs;
		let isTold = false;
		while (!this.hasSuccessor() && this.timers.getNow() < endsMs) {
			if (!isTold) {
				this.recordProcess('started', 'staying', `${sign}, the last of its region`);
				isTold = true;
			}
			await this.waitFor(Math.min(successorCheckMs, endsMs - this.timers.getNow()));
		}
	}

	private hasSuccessor(): boolean {
		const { region } = this.settings.instance;
		return this.fleet
			.listCandidates(undefined)
			.some(entry => entry.region === region && !entry.isLeaving && !entry.isSuspect);
	}

	/** Never ends for an infinite time. The timer keeps the process alive, since nothing else may do so then. */
	private async waitFor(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			if (Number.isFinite(delayMs)) {
				setTimeout(resolve, Math.max(0, delayMs));
			}
		});
	}

	private createJournal(): IRequestJournal {
		const ring = new RingRequestJournal(journalCapacity, () => new Date());
		const log = new DecisionLogger(this.logger);
		return new LoggedJournal(ring, log, () => this.manifests.getVersion());
	}

	private openPlatform(): EntryPlatform {
		const { manifests, fleet, trail, timers, random, logger } = this;
		const platform = this.environment.openPlatform({ manifests, fleet, trail, timers, random, logger });
		this.register(platform.targets);
		this.register(platform.sources);
		return platform;
	}

	private createPolicies(): IServicePolicies {
		const { environment, random } = this;
		const countEntries = (): number => this.fleet.listLiveViews(() => true).length + 1;
		return {
			targets: environment.targets,
			createScheduler: () => environment.createScheduler({ random, countEntries }),
			createSendAway: () => environment.createSendAway(random),
		};
	}

	private subscribeParts(): void {
		this.register(
			new EntryTelemetry(this.metrics, {
				trail: this.trail,
				sources: this.platform.sources,
				manifests: this.manifests,
				targets: this.platform.targets,
				fleet: this.fleet,
				runners: this.runners,
				tickets: this.tickets,
				callHandler: this.callHandler,
				held: this.held,
				timers: this.timers,
			}),
		);
		this.register(writeAuditLines(this.logger, this.trail));
		this.register(
			new PeerFollowing({
				region: this.settings.instance.region,
				manifests: this.manifests,
				targets: this.platform.targets,
				fleet: this.fleet,
				quarantine: this.quarantine,
				timers: this.timers,
			}),
		);
		this.register(
			subscribeTo(this.manifests.onDidAccept, ({ manifest }) => {
				this.callers.setLimits(this.createCallerLimits(manifest.callerLimits));
				// A view made before the first manifest tells of no room, and peers would send nothing here.
				void this.fleet.exchangeWithAll();
			}),
		);
		this.register(
			subscribeTo(this.fleet.getLives().onDidChange, () => {
				this.runners.updateAll();
			}),
		);
		this.register(
			subscribeTo(this.timers.watchTicks(housekeepingMs), ({ nowMs }) => {
				this.quarantine.expire(nowMs);
			}),
		);
	}

	/** What the manifest says of callers goes before the settings, but heads never get larger than these allow. */
	private createCallerLimits(told: ManifestCallerLimits | undefined): CallerLimits {
		const { max_head_bytes: mostHeadBytes, max_body_bytes: mostBodyBytes } = this.settings.limits;
		if (told === undefined) {
			return { mostHeadBytes, mostBodyBytes };
		}
		return {
			mostHeadBytes: Math.min(mostHeadBytes, told.headBytes),
			mostBodyBytes: told.bodyBytes,
			headTimeoutMs: told.headTimeoutMs,
			idleTimeoutMs: told.idleTimeoutMs,
		};
	}

	private recordProcess(from: string, to: string, sign: string): void {
		this.trail.record({
			kind: AuditKind.Process,
			subject: this.settings.instance.id,
			from,
			to,
			sign,
			manifestVersion: this.manifests.getCurrent()?.accepted.version,
		});
	}

	private createSleepDetector(): SleepDetector {
		return new SleepDetector(
			async () => {
				const { sources } = this.platform;
				await Promise.all([sources.readManifestAnew(), this.fleet.exchangeWithAll()]);
			},
			sleptMs => {
				this.recordProcess('asleep', 'awake', `no beat for ${Math.round(sleptMs)} ms`);
			},
			this.timers,
		);
	}

	private createStartHold(): StartHold {
		const { sources } = this.platform;
		return new StartHold(
			() => this.manifests.getCurrent() !== undefined && sources.listMissing().length === 0,
			this.timers,
		);
	}

	private createCallHandler(): CallHandler {
		const surroundings = new RouterContext(
			this.settings.instance,
			this.manifests,
			this.runners,
			this.platform.targets,
			this.fleet,
			this.runs,
			this.metrics,
		);
		const router = new RequestRouter(surroundings, this.tickets, this.timers);
		return new CallHandler(
			{ ...this.settings.instance, boot: this.boot },
			this.environment.callers,
			this.manifests,
			this.fleet,
			this.ownView,
			{ findHold: () => this.sleepDetector.findHold() ?? this.startHold.findHold() },
			this.tickets,
			router,
			this.runs,
			this.platform.sources,
			this.metrics,
			this.timers,
			this.random,
		);
	}

	private createOperatorsServer(programVersion: string): OperatorsServer {
		const source = new EntryOperatorsSource(
			{ ...this.settings.instance, boot: this.boot, version: programVersion },
			this.settings.limits.max_held_bytes,
			{
				manifests: this.manifests,
				targets: this.platform.targets,
				fleet: this.fleet,
				runners: this.runners,
				callHandler: this.callHandler,
				tickets: this.tickets,
				held: this.held,
				trail: this.trail,
				journal: this.journal,
				getPlatformSilenceMs: () => this.platform.sources.getPlatformSilenceMs(),
				timers: this.timers,
			},
		);
		return new OperatorsServer(source, this.metrics, this.certificates.operators);
	}
}

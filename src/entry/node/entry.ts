/**
 * Composition root of one entry: creates its components, starts them and stops them. No component refers to the
 * entry; each gets its dependencies through its constructor.
 */

import { randomBytes, randomInt } from 'node:crypto';
import type { Logger } from 'pino';
import { subscribeTo } from '../../base/common/channel';
import { ElapsedClock } from '../../base/common/elapsedClock';
import { Disposable } from '../../base/common/lifecycle';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { createRequestError, ErrorKind } from '../../core/errors/common/errorKinds';
import { AuditKind } from '../../core/audit/common/auditTrail';
import { RingAuditTrail } from '../../core/audit/common/ringAuditTrail';
import { LoggedJournal } from '../../core/explain/common/loggedJournal';
import type { IRequestJournal } from '../../core/explain/common/requestJournal';
import { RingRequestJournal } from '../../core/explain/common/ringRequestJournal';
import type { BootId } from '../../core/ids/common/ids';
import type { ManifestCallerLimits } from '../../core/manifest/common/routes';
import { OperatorsServer } from '../../core/operators/node/operatorsServer';
import type { EntrySettings } from '../../core/settings/common/entrySettings';
import { computeMaxHeldBytes } from '../../core/settings/common/entrySettings';
import { EntryMetrics } from '../../core/telemetry/node/entryMetrics';
import { DecisionLogger, writeAuditLines } from '../../core/telemetry/node/logger';
import { EventLoopMonitor } from '../common/eventLoop/eventLoopMonitor';
import type { WorkCounts } from '../common/eventLoop/workCounts';
import { computeAcceptMs } from '../common/leaving/shutdownPlan';
import { LoopLagGate } from '../common/intake/loopLagGate';
import { RequestIntake } from '../common/intake/requestIntake';
import { CrashReporter } from '../common/quarantine/crashReporter';
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
import { KeyChecker } from './keyChecker';
import { EntryLimits } from './limits/entryLimits';
import { ManifestKeeper } from './manifest/manifestKeeper';
import { getManifestResult } from './manifest/manifestMetrics';
import { EntryOperatorsSource } from './operatorsSource';
import { PeerClients } from './peers/peerClients';
import { PeerViewListener } from './peerViewListener';
import { PeerServer } from './peers/peerServer';
import { readProcessUsage } from './processUsage';
import { ActiveRuns } from './requests/activeRuns';
import { CrashDetector } from './requests/crashDetector';
import { RequestRouter } from './requests/requestRouter';
import { RouterContext } from './requests/routerContext';
import type { IServicePolicies } from './requests/serviceRunners';
import { ServiceRunners } from './requests/serviceRunners';
import { UnreadableLoads } from './requests/unreadableLoads';
import { SleepDetector } from './sleepDetector';
import { StartHold } from './startHold';
import { OnlyVersionFinder } from './streams/onlyVersionFinder';
import { OriginPeers } from './streams/originPeers';
import { StreamOriginKeeper } from './streams/streamOriginKeeper';
import { createTicketService } from './tickets/createTicketService';
import type { TicketService } from './tickets/ticketService';

const auditTrailCapacity = 4_096;
const journalCapacity = 10_000;
const bootIdBytes = 6;
const quarantineExpiryIntervalMs = 1_000;
/** How often the last entry of a region checks whether another one is available, in milliseconds. */
const successorCheckIntervalMs = 100;
const maxSeed = 0x7fff_ffff;

/** One running entry process. */
export class Entry extends Disposable {
	private readonly bootId = randomBytes(bootIdBytes).toString('hex') as BootId;
	private readonly timers = this.register(new SystemTimerService());
	private readonly random = new SeededRandom(randomInt(maxSeed));
	private readonly auditTrail = this.register(new RingAuditTrail(auditTrailCapacity, () => new Date()));
	private readonly journal: IRequestJournal;
	private readonly quarantine = new Quarantine();
	private readonly metrics: EntryMetrics;
	private readonly certificates: EntryCertificates;
	private readonly heldBytes: HeldBytes;
	private readonly platform: EntryPlatform;
	private readonly ageClock: ElapsedClock | undefined;
	private readonly keyChecker: KeyChecker | undefined;
	private readonly manifests: ManifestKeeper;
	private readonly peers: PeerClients;
	private readonly fleet: EntryFleet;
	private readonly crashReporter: CrashReporter;
	private readonly startGate: LoopLagGate;
	private readonly runners: ServiceRunners;
	private readonly ownView: OwnView;
	private readonly limits: EntryLimits;
	private readonly activeRuns: ActiveRuns;
	private readonly streams: StreamOriginKeeper;
	private readonly onlyVersions: OnlyVersionFinder;
	private readonly sleepDetector: SleepDetector;
	private readonly startHold: StartHold;
	private readonly tickets: TicketService;
	private readonly callHandler: CallHandler;
	private readonly intake: RequestIntake;
	private readonly callers: CallerServer;
	private readonly peerServer: PeerServer;
	private readonly operators: OperatorsServer;
	private readonly ports: readonly IEntryPort[];
	private stopPromise: Promise<void> | undefined;

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
		this.certificates = this.register(new EntryCertificates(settings, this.auditTrail, this.metrics));
		this.heldBytes = new HeldBytes(computeMaxHeldBytes(settings.limits));
		this.manifests = this.register(
			new ManifestKeeper(
				this.auditTrail,
				state => {
					this.metrics.noteManifest(getManifestResult(state));
				},
				this.timers,
			),
		);
		this.peers = this.register(new PeerClients(settings.peer_routes, this.certificates.peers));
		this.fleet = this.register(
			new EntryFleet(
				{
					id,
					region,
					zone,
					peerUrl: settings.peers.url,
					seeds: settings.peers.seeds,
					listRegions: () =>
						this.manifests.getCurrent()?.accepted.manifest.regions.map(({ name }) => name) ?? [],
				},
				() => this.ownView.createView(),
				this.peers,
				this.timers,
				this.random,
				this.auditTrail,
			),
		);
		this.ageClock = this.createAgeClock();
		this.platform = this.openPlatform();
		const { targets } = this.platform;
		this.keyChecker = this.createKeyChecker();
		this.crashReporter = this.register(
			new CrashReporter(sightings => this.fleet.sendCrashReport(region, sightings), this.timers),
		);
		const turnScheduler = new ImmediateTurnScheduler();
		this.startGate = this.register(new LoopLagGate(turnScheduler, this.timers));
		this.runners = this.register(
			new ServiceRunners(
				this.manifests,
				targets,
				() => this.fleet.getEntrySharing(),
				new CrashDetector(
					this.quarantine,
					target => targets.probeForCrash(target),
					crash => this.crashReporter.share(crash),
					this.timers,
				),
				this.createPolicies(),
				this.timers,
				this.startGate,
				this.auditTrail,
				this.keyChecker,
				new UnreadableLoads(this.metrics, (fields, message) => {
					this.logger.warn(fields, message);
				}),
			),
		);
		this.ownView = new OwnView(settings, this.bootId, {
			manifests: this.manifests,
			targets,
			runners: this.runners,
			quarantine: this.quarantine,
			timers: this.timers,
		});
		const originPeers = new OriginPeers(id, this.fleet);
		this.streams = this.register(
			new StreamOriginKeeper({ instance: id, region, zone }, originPeers, this.timers),
		);
		this.onlyVersions = new OnlyVersionFinder(region, targets, originPeers, this.timers, this.random);
		this.limits = this.register(this.createLimits());
		this.activeRuns = new ActiveRuns(
			this.journal,
			this.metrics,
			this.heldBytes,
			this.timers,
			this.streams,
			this.limits.gate,
		);
		this.tickets = createTicketService(settings, this.bootId, this.fleet);
		this.sleepDetector = this.register(this.createSleepDetector());
		this.startHold = this.register(this.createStartHold());
		this.callHandler = this.createCallHandler();
		this.intake = new RequestIntake(turnScheduler, this.timers, this.random, waitedMs => {
			this.metrics.noteStartWait(waitedMs);
		});
		this.callers = new CallerServer(
			this.callHandler,
			environment.callers,
			this.heldBytes,
			{ maxHeadBytes: settings.limits.max_head_bytes, maxBodyBytes: settings.limits.max_body_bytes },
			this.intake,
			this.timers,
			this.startGate,
		);
		this.peerServer = new PeerServer(
			this.callHandler,
			this.heldBytes,
			settings.limits.max_body_bytes,
			this.intake,
			this.timers,
			this.startGate,
			this.certificates.peers,
			this.platform.relay,
			this.limits.shared,
			targets,
		);
		this.operators = this.register(this.createOperatorsServer(programVersion));
		this.ports = environment.createPorts(this.callHandler);
		this.subscribeComponents();
	}

	/** Opens the ports and starts to follow the manifest and the instance list. */
	async start(): Promise<void> {
		const { settings } = this;
		const operators = await this.operators.start(settings.operators.listen);
		const peers = await this.peerServer.listen(settings.peers.listen);
		const callers = await this.callers.listen(settings.callers.listen);
		await Promise.all(this.ports.map(port => port.listen()));
		this.platform.sources.start();
		void this.fleet.exchangeWithSome();
		this.recordProcess('stopped', 'started', `boot ${this.bootId}`);
		this.logger.info({ callers: callers.port, peers: peers.port, operators: operators.port }, 'listening');
	}

	/**
	 * Stops without interrupting requests: announces that this entry is leaving, then refuses new work and names
	 * other entries instead, and ends when the last active request has ended or the time limit is reached. Requests that
	 * are still active then are refused or cut off.
	 */
	stop(reason: string): Promise<void> {
		this.stopPromise ??= this.drainAndClose(reason);
		return this.stopPromise;
	}

	private async drainAndClose(reason: string): Promise<void> {
		const startedMs = this.timers.getNow();
		const { refuseMs: refusesMs, endRequestsMs, exitMs: endsMs } = this.environment.leaving;
		this.ownView.setLatestEnd(startedMs + endsMs);
		const waitUntil = (ms: number): Promise<void> => this.waitFor(startedMs + ms - this.timers.getNow());
		await this.waitForSuccessor(reason);
		this.ownView.setLeaving();
		this.platform.relay?.stopFeeding();
		this.recordProcess('started', 'leaving', reason);
		this.fleet.exchangeWithRegion();
		const acceptingMs = computeAcceptMs(this.environment.leaving, this.timers.getNow() - startedMs);
		await waitUntil(acceptingMs);
		this.ownView.setRefusing();
		await waitUntil(acceptingMs + refusesMs);
		await Promise.race([this.activeRuns.waitUntilIdle(), waitUntil(endRequestsMs)]);
		const unfinished = this.activeRuns.count();
		this.runners.stop();
		this.activeRuns.stopAll(createRequestError(ErrorKind.Leaving, 'the time for this stop is over'));
		const closed = [this.callers, this.peerServer, ...this.ports].map(port => port.close());
		await Promise.race([Promise.all(closed), waitUntil(endsMs)]);
		this.callers.cutUnsentAnswers();
		this.recordProcess('leaving', 'stopped', `${unfinished} requests in progress`);
		this.dispose();
		await Promise.race([this.platform.sources.close(), waitUntil(endsMs)]);
	}

	/** Waits until another entry of the region accepts callers, or until this one has to stop anyway. */
	private async waitForSuccessor(reason: string): Promise<void> {
		const endsMs = this.timers.getNow() + this.environment.leaving.maxAnnounceDelayMs;
		let isRecorded = false;
		while (!this.hasSuccessor() && this.timers.getNow() < endsMs) {
			if (!isRecorded) {
				this.recordProcess('started', 'staying', `${reason}, the last entry of its region`);
				isRecorded = true;
			}
			await this.waitFor(Math.min(successorCheckIntervalMs, endsMs - this.timers.getNow()));
		}
	}

	private hasSuccessor(): boolean {
		const { region } = this.settings.instance;
		return this.fleet
			.listCandidates(undefined)
			.some(entry => entry.region === region && !entry.isLeaving && !entry.isSuspect);
	}

	/**
	 * Never resolves for an infinite delay. Uses a timer that keeps the process alive, because by then nothing else
	 * may be keeping it alive.
	 */
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
		const { manifests, fleet, auditTrail: trail, timers, ageClock, random, logger } = this;
		const platform = this.environment.openPlatform({
			manifests,
			fleet,
			trail,
			timers,
			ageClock,
			random,
			logger,
		});
		this.register(platform.targets);
		this.register(platform.sources);
		if (platform.relay !== undefined) {
			this.register(platform.relay);
		}
		return platform;
	}

	private createAgeClock(): ElapsedClock | undefined {
		return this.settings.keys.withdrawn_within_ms === undefined
			? undefined
			: this.register(new ElapsedClock(this.timers, () => Date.now()));
	}

	private createKeyChecker(): KeyChecker | undefined {
		const { withdrawn_within_ms: withdrawnWithinMs } = this.settings.keys;
		const { getKeyKnowledge } = this.platform;
		if (withdrawnWithinMs === undefined || getKeyKnowledge === undefined) {
			return undefined;
		}
		return this.register(
			new KeyChecker(withdrawnWithinMs, this.manifests, getKeyKnowledge, this.timers, this.logger),
		);
	}

	private createPolicies(): IServicePolicies {
		const { environment, random } = this;
		return {
			targets: environment.targets,
			createScheduler: () =>
				environment.createScheduler({ random, getFleetPosition: () => this.fleet.getFleetPosition() }),
			createSendAway: () => environment.createSendAway(random),
		};
	}

	private subscribeComponents(): void {
		this.register(
			new EntryTelemetry(this.metrics, {
				trail: this.auditTrail,
				sources: this.platform.sources,
				manifests: this.manifests,
				targets: this.platform.targets,
				fleet: this.fleet,
				runners: this.runners,
				activeRuns: this.activeRuns,
				tickets: this.tickets,
				callHandler: this.callHandler,
				heldBytes: this.heldBytes,
				keyChecker: this.keyChecker,
				limits: this.limits,
				timers: this.timers,
			}),
		);
		if (this.ageClock !== undefined) {
			this.register(
				subscribeTo(this.ageClock.onDidJump, jumpMs => {
					this.sleepDetector.recordSleep(jumpMs);
				}),
			);
		}
		this.register(this.createEventLoopMonitor());
		this.register(writeAuditLines(this.logger, this.auditTrail));
		this.register(
			new PeerViewListener({
				region: this.settings.instance.region,
				manifests: this.manifests,
				targets: this.platform.targets,
				fleet: this.fleet,
				quarantine: this.quarantine,
				crashReporter: this.crashReporter,
				timers: this.timers,
			}),
		);
		this.register(
			subscribeTo(this.manifests.onDidAccept, ({ manifest }) => {
				this.callers.setLimits(this.createCallerLimits(manifest.callerLimits));
				this.fleet.shareManifest();
			}),
		);
		this.register(
			subscribeTo(this.fleet.getLifecycles().onDidChange, () => {
				this.runners.updateSharing();
			}),
		);
		this.register(
			subscribeTo(this.timers.watchTicks(quarantineExpiryIntervalMs), ({ nowMs }) => {
				this.quarantine.expire(nowMs);
			}),
		);
	}

	/**
	 * The limits in the manifest override those in the settings. The maximum head size can only be lowered, since
	 * the HTTP server was created with the size from the settings.
	 */
	private createCallerLimits(manifestLimits: ManifestCallerLimits | undefined): CallerLimits {
		const { max_head_bytes: maxHeadBytes, max_body_bytes: maxBodyBytes } = this.settings.limits;
		if (manifestLimits === undefined) {
			return { maxHeadBytes, maxBodyBytes };
		}
		return {
			maxHeadBytes: Math.min(maxHeadBytes, manifestLimits.headBytes),
			maxBodyBytes: manifestLimits.bodyBytes,
			headTimeoutMs: manifestLimits.headTimeoutMs,
			idleTimeoutMs: manifestLimits.idleTimeoutMs,
		};
	}

	private recordProcess(from: string, to: string, reason: string): void {
		this.auditTrail.record({
			kind: AuditKind.Process,
			subject: this.settings.instance.id,
			from,
			to,
			sign: reason,
			manifestVersion: this.manifests.getCurrent()?.accepted.version,
		});
	}

	private createSleepDetector(): SleepDetector {
		return new SleepDetector(
			async () => {
				const { sources } = this.platform;
				await Promise.all([sources.refreshManifest(), this.fleet.exchangeWithSome()]);
			},
			sleptMs => {
				this.recordProcess('asleep', 'awake', `no clock check for ${Math.round(sleptMs)} ms`);
			},
			this.timers,
		);
	}

	private createEventLoopMonitor(): EventLoopMonitor {
		return new EventLoopMonitor(
			{ readUsage: readProcessUsage, countWork: () => this.countWork() },
			{
				noteLate: lateMs => {
					this.metrics.noteEventLoopLate(lateMs);
				},
				writeWindow: window => {
					this.logger.warn({ eventLoop: window }, 'event loop late');
				},
			},
			this.timers,
		);
	}

	private countWork(): WorkCounts {
		return {
			...this.fleet.getWorkCounts(),
			...this.activeRuns.getWorkCounts(),
			connectionsAccepted: this.intake.connectionCount,
			targetUpdates: this.runners.targetUpdateCount,
		};
	}

	private createStartHold(): StartHold {
		const { sources } = this.platform;
		return new StartHold(
			() =>
				this.manifests.getCurrent() !== undefined &&
				sources.listMissing().length === 0 &&
				this.limits.isShareKnown(),
			this.timers,
		);
	}

	private createCallHandler(): CallHandler {
		const context = new RouterContext(
			this.settings.instance,
			this.manifests,
			this.runners,
			this.platform.targets,
			this.fleet,
			this.activeRuns,
			this.metrics,
			this.timers,
			this.streams,
			this.onlyVersions,
			this.random,
		);
		const router = new RequestRouter(context, this.tickets, this.timers, this.startGate, this.keyChecker);
		return new CallHandler(
			{ ...this.settings.instance, boot: this.bootId },
			this.environment.callers,
			this.manifests,
			this.fleet,
			this.ownView,
			{ findHold: () => this.sleepDetector.findHold() ?? this.startHold.findHold() },
			this.tickets,
			router,
			this.activeRuns,
			this.platform.sources,
			this.streams,
			this.metrics,
			this.timers,
			this.random,
			this.limits.gate,
			this.keyChecker,
		);
	}

	private createLimits(): EntryLimits {
		return new EntryLimits({
			instance: { ...this.settings.instance, boot: this.bootId },
			isLeaving: () => this.ownView.isLeaving(),
			manifests: this.manifests,
			fleet: this.fleet,
			metrics: this.metrics,
			timers: this.timers,
			random: this.random,
			logger: this.logger,
		});
	}

	private createOperatorsServer(programVersion: string): OperatorsServer {
		const source = new EntryOperatorsSource(
			{ ...this.settings.instance, boot: this.bootId, version: programVersion },
			computeMaxHeldBytes(this.settings.limits),
			{
				manifests: this.manifests,
				targets: this.platform.targets,
				fleet: this.fleet,
				runners: this.runners,
				callHandler: this.callHandler,
				tickets: this.tickets,
				limits: this.limits,
				keyAges: this.keyChecker,
				heldBytes: this.heldBytes,
				trail: this.auditTrail,
				journal: this.journal,
				getPlatformSilenceMs: () => this.platform.sources.getPlatformSilenceMs(),
				timers: this.timers,
			},
		);
		return new OperatorsServer(source, this.metrics, this.certificates.operators);
	}
}

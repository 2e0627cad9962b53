/**
 * Simulates the entries of two regions and their targets on a virtual clock. Each entry is made of its real fleet
 * view, registry, runners and router; the network between entries, and from entries to targets, is scripted. Paths
 * from entries to targets can be cut while everything else is reached.
 */

import { DisposableStore, toDisposable } from '../../../base/common/lifecycle';
import type { IDisposable } from '../../../base/common/lifecycle';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import { AuditKind } from '../../../core/audit/common/auditTrail';
import { RingAuditTrail } from '../../../core/audit/common/ringAuditTrail';
import { Discovery } from '../../../core/discovery/common/discovery';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../core/explain/common/ringRequestJournal';
import type {
	BootId,
	InstanceId,
	OrganisationName,
	RegionName,
	RequestId,
	ServiceName,
	TargetId,
	TargetUrl,
	ZoneName,
} from '../../../core/ids/common/ids';
import { checkManifest, RepeatRule, UnticketedRule } from '../../../core/manifest/common/manifest';
import { RouteKind } from '../../../core/manifest/common/routes';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import type {
	EntryView as WireView,
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import { NativeTargetDialect } from '../../common/dialect/nativeTargetDialect';
import type { CallHead } from '../../common/callers/callHead';
import { openStartGate } from '../../common/intake/test/startGates';
import { planCall } from '../../common/placement/callPlan';
import { ManifestIndex } from '../../common/placement/manifestIndex';
import { Quarantine } from '../../common/quarantine/quarantine';
import { FirstByteSendAwayPolicy } from '../../common/sendAway/firstByteSendAwayPolicy';
import { WorkScheduler } from '../../common/workScheduling/workScheduler';
import { HeldBytes } from '../callers/bodyReader';
import { EntryFleet } from '../fleet/entryFleet';
import { OwnView } from '../fleet/ownView';
import type { IndexedManifest, ManifestKeeper } from '../manifest/manifestKeeper';
import { createForwardedCall } from '../peers/forwardedCall';
import { PeerSink } from '../peers/peerSink';
import { ActiveRuns } from '../requests/activeRuns';
import { CrashDetector } from '../requests/crashDetector';
import { RequestRouter } from '../requests/requestRouter';
import type { AcceptedCall } from '../requests/requestRun';
import { RouterContext } from '../requests/routerContext';
import { ServiceRunners } from '../requests/serviceRunners';
import { CapturingSink, createCall } from '../requests/test/flowFixtures';
import { DiscoveredTargetRegistry } from '../targets/discoveredTargetRegistry';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { TicketService } from '../tickets/ticketService';
import { CutOffPeers, networkMs } from './cutOffPeers';
import type { RoutedRequest } from './routedRequests';
import { createRoutedCall, setCertainVersion, softwareVersion } from './routedRequests';
import type { CutMode, Reply } from './scriptedTargetClient';
import { ScriptedTargetClient, wholeReply } from './scriptedTargetClient';

const service = 'bookings' as ServiceName;
const regions = ['kingston', 'montego'] as const;
const stepMs = 10;
const runOnceRule = {
	method: 'POST',
	path: '/run',
	repeat: RepeatRule.AtMostOnce,
	unticketed: UnticketedRule.RunOnce,
};

/** The entries and targets of each region, and the callers of each entry. */
export interface CutOffOptions {
	readonly entriesPerRegion: number;
	readonly targetsPerRegion: number;
	readonly requestsPerSecond: number;
	readonly isRegionRequired: boolean;
	/** Whether calls may run more than once. */
	readonly isRepeatable: boolean;
	readonly mode: CutMode;
	readonly seed: number;
	/** Returns how a target answers the next attempt; every one answers in whole by default. */
	readonly pickReply?: (random: SeededRandom) => Reply;
}

/** What the callers of one entry got within a time span. */
export interface CallerCounts {
	sent: number;
	served: number;
	/** Requests that were neither served nor refused within a short moment. */
	keptWaiting: number;
}

/** The longest check whether a target is down, and how often one is. */
const maxProbeMs = 1_000;
const crashShare = 0.1;

/** Time after which a caller counts a request as failed. */
const patienceMs = 2_400;

/** Time within which a request that can't be served has to be refused. */
const promptRefusalMs = 300;

/** The entries of two regions. */
export class CutOffRegions implements IDisposable {
	readonly timers = new ManualTimerService();
	readonly random: SeededRandom;
	readonly entries: CutOffEntry[] = [];
	/** The number of times that each request was run by a target. */
	readonly runs = new Map<RequestId, number>();
	readonly manifest: IndexedManifest;
	/** What the callers of routes asked for. */
	readonly routed = new Map<RequestId, RoutedRequest>();
	private readonly cutEntries = new Set<InstanceId>();
	/** Pairs of entries, as `from to`, of which the first does not reach the second. */
	private readonly cutPeers = new Set<string>();
	private readonly sinks = new Map<RequestId, CapturingSink>();
	private requests = 0;

	constructor(readonly options: CutOffOptions) {
		this.random = new SeededRandom(options.seed);
		const manifest = checkManifest({
			regions: regions.map(name => ({ name, zones: [`${name}-a`] })),
			organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
			services: [
				{
					name: service,
					kind: 'plain',
					residency: options.isRegionRequired ? 'home' : 'any',
					repeat: options.isRepeatable ? RepeatRule.Idempotent : RepeatRule.AtMostOnce,
					rules: options.isRepeatable ? [] : [runOnceRule],
				},
			],
		})._unsafeUnwrap();
		this.manifest = {
			index: new ManifestIndex(manifest),
			accepted: { manifest, version: 1, digest: 'd', document: '' },
		} as unknown as IndexedManifest;
		for (const region of regions) {
			for (let index = 0; index < options.entriesPerRegion; index++) {
				this.entries.push(new CutOffEntry(`${region}-${index}` as InstanceId, region as RegionName, this));
			}
		}
	}

	async advance(durationMs: number): Promise<void> {
		const untilMs = this.timers.getNow() + durationMs;
		while (this.timers.getNow() < untilMs) {
			this.timers.advance(stepMs);
			await new Promise(resolve => setImmediate(resolve));
		}
	}

	listIn(region: string): readonly CutOffEntry[] {
		return this.entries.filter(entry => entry.region === region);
	}

	cut(entries: readonly CutOffEntry[]): void {
		for (const { id } of entries) {
			this.cutEntries.add(id);
		}
	}

	openPaths(entries: readonly CutOffEntry[] = this.entries): void {
		for (const { id } of entries) {
			this.cutEntries.delete(id);
		}
	}

	/** Cuts the paths between two entries in both directions, or opens them again. */
	setPeersCut(one: CutOffEntry, other: CutOffEntry, isCut: boolean): void {
		for (const pair of [`${one.id} ${other.id}`, `${other.id} ${one.id}`]) {
			if (isCut) {
				this.cutPeers.add(pair);
			} else {
				this.cutPeers.delete(pair);
			}
		}
	}

	isPeerCut(from: InstanceId, to: InstanceId): boolean {
		return this.cutPeers.has(`${from} ${to}`);
	}

	/** Sends a request by a route to an entry. */
	sendRouted(entry: CutOffEntry, routed: RoutedRequest): CapturingSink {
		const sink = new CapturingSink();
		const id = `request-${++this.requests}` as RequestId;
		this.routed.set(id, routed);
		this.sinks.set(id, sink);
		entry.accept(id, sink);
		return sink;
	}

	/** The number of whole events of a stream that its caller has. */
	countEvents(id: RequestId): number {
		return (this.sinks.get(id)?.text.match(/\n\n/g) ?? []).length;
	}

	isCut(entry: InstanceId): boolean {
		return this.cutEntries.has(entry);
	}

	/** Sends requests to each entry of a region for a time and returns what their callers got, by entry. */
	async runCallers(region: string, durationMs: number): Promise<ReadonlyMap<InstanceId, CallerCounts>> {
		const counts = new Map<InstanceId, CallerCounts>();
		for (const entry of this.listIn(region)) {
			const own: CallerCounts = { sent: 0, served: 0, keptWaiting: 0 };
			counts.set(entry.id, own);
			this.scheduleCalls(entry, own, this.timers.getNow() + durationMs);
		}
		await this.advance(durationMs + patienceMs);
		return counts;
	}

	/** Whether a target whose connection broke is down; known after a while. */
	async probeForCrash(): Promise<boolean> {
		if (this.options.pickReply === undefined) {
			return false;
		}
		await new Promise<void>(resolve => this.timers.schedule(this.random.pickBelow(maxProbeMs), resolve));
		return this.random.pickFraction() < crashShare;
	}

	dispose(): void {
		for (const entry of this.entries) {
			entry.dispose();
		}
	}

	private scheduleCalls(entry: CutOffEntry, counts: CallerCounts, untilMs: number): void {
		const pauseMs = (-Math.log(1 - this.random.pickFraction()) * 1_000) / this.options.requestsPerSecond;
		if (this.timers.getNow() + pauseMs >= untilMs) {
			return;
		}
		this.timers.schedule(pauseMs, () => {
			this.sendCall(entry, counts);
			this.scheduleCalls(entry, counts, untilMs);
		});
	}

	private sendCall(entry: CutOffEntry, counts: CallerCounts): void {
		const sink = new CapturingSink();
		const sentMs = this.timers.getNow();
		const id = `request-${++this.requests}` as RequestId;
		counts.sent++;
		entry.accept(id, sink);
		const watch = (): void => {
			const tookMs = this.timers.getNow() - sentMs;
			if (sink.hasEnded) {
				counts.served++;
			} else if (sink.refusal !== undefined) {
				counts.keptWaiting += tookMs > promptRefusalMs ? 1 : 0;
			} else if (tookMs < patienceMs) {
				this.timers.schedule(stepMs, watch);
			} else {
				counts.keptWaiting++;
				sink.abandon?.();
			}
		};
		this.timers.schedule(stepMs, watch);
	}
}

/** One entry, made of its real parts around a scripted network. */
export class CutOffEntry implements IDisposable {
	private readonly store = new DisposableStore();
	private readonly fleet: EntryFleet;
	private readonly runners: ServiceRunners;
	private readonly router: RequestRouter;
	private readonly metrics: EntryMetrics;
	private readonly runs: ActiveRuns;
	private readonly discovery: Discovery;
	private isStopped = false;
	private readonly clients = new Map<TargetId, ScriptedTargetClient>();
	private readonly trail = new RingAuditTrail(100, () => new Date(0));

	constructor(
		readonly id: InstanceId,
		readonly region: RegionName,
		private readonly site: CutOffRegions,
	) {
		const { timers, manifest } = site;
		const random = new SeededRandom(site.random.pickBelow(1_000_000));
		const settings = this.createSettings();
		const manifests = { getCurrent: () => manifest, getVersion: () => 1 } as unknown as ManifestKeeper;
		this.fleet = this.store.add(
			new EntryFleet(
				{
					...settings.instance,
					peerUrl: settings.peers.url,
					seeds: regions.map(name => `http://${name}-0:2`),
				},
				() => ownView.createView(),
				new CutOffPeers(id, site).createClients(),
				timers,
				random,
				this.trail,
			),
		);
		this.discovery = this.store.add(new Discovery(this.trail));
		const targets = this.createTargets();
		this.runners = this.store.add(
			new ServiceRunners(
				manifests,
				targets,
				() => this.fleet.getEntrySharing(),
				new CrashDetector(
					new Quarantine(),
					() => site.probeForCrash(),
					() => Promise.resolve(),
					timers,
				),
				{
					targets: new NativeTargetDialect(),
					createScheduler: () => new WorkScheduler(random, () => this.fleet.getFleetPosition()),
					createSendAway: () => new FirstByteSendAwayPolicy(random),
				},
				timers,
				openStartGate,
				this.trail,
			),
		);
		const ownView: OwnView = new OwnView(settings, `boot-${id}` as BootId, {
			manifests,
			targets,
			runners: this.runners,
			quarantine: new Quarantine(),
			timers,
		});
		this.metrics = new EntryMetrics({ version: '1', instance: id, region, zone: `${region}-a` });
		const journal = new RingRequestJournal(10_000, () => new Date(0));
		this.runs = new ActiveRuns(journal, this.metrics, new HeldBytes(1_000_000_000), timers, {
			noteBegun: () => undefined,
		});
		const context = new RouterContext(
			settings.instance,
			manifests,
			this.runners,
			targets,
			this.fleet,
			this.runs,
			this.metrics,
			timers,
			{ find: async () => Promise.resolve(undefined) },
			{ find: async () => Promise.resolve(undefined) },
			random,
		);
		this.router = new RequestRouter(context, {} as unknown as TicketService, timers, openStartGate);
		this.runners.getRunner(service);
		void this.fleet.exchangeWithSome();
	}

	dispose(): void {
		this.store.dispose();
	}

	/** Ends all requests as at the end of a stop. */
	stop(): void {
		this.isStopped = true;
		this.runners.stop();
		this.runs.stopAll(createRequestError(ErrorKind.Leaving, 'the time for this stop is over'));
	}

	/** Takes a target out of use. */
	removeTarget(index: number): void {
		const removed = [`${this.region}-target-${index}` as TargetId];
		this.discovery.applyRegistrations(
			{ registered: [], removed, isAfterOutage: false },
			this.site.timers.getNow(),
		);
	}

	/** Lists the counts of requests that nothing had ended by their deadline. */
	async listOverdue(): Promise<readonly string[]> {
		const page = await this.metrics.render();
		return page.split('\n').filter(line => line.startsWith('anvilroad_overdue_requests_total{'));
	}

	hasStopped(): boolean {
		return this.isStopped;
	}

	/** Accepts a request of a caller. */
	accept(id: RequestId, sink: CapturingSink): void {
		this.router.dispatch(this.createCall(id), sink);
	}

	receiveViews(views: readonly WireView[]): WireView[] {
		return this.fleet.receiveViews(views);
	}

	listPathChanges(): readonly string[] {
		return this.trail
			.list()
			.filter(({ kind }) => kind === AuditKind.Paths)
			.map(({ from, to }) => `${from} -> ${to}`);
	}

	/** Serves a request that another entry forwarded. */
	async *serveForwarded(
		requests: AsyncIterable<ForwardRequestRequest>,
		signal: AbortSignal,
	): AsyncGenerator<ForwardRequestResponse> {
		let call: AcceptedCall | undefined;
		for await (const { part } of requests) {
			if (part.case === 'head') {
				const { requestId, hops, lastEventId } = part.value;
				expect(hops).toBe(1);
				const { head, plan, body } = this.createCall(requestId as RequestId);
				const readTime = { readMs: this.site.timers.getNow(), lagMs: 0 };
				const lastId = lastEventId === '' ? undefined : lastEventId;
				const routed = head.routed && { ...head.routed, lastEventId: lastId };
				const forwarded: CallHead = routed === undefined ? head : { ...head, routed };
				call = createForwardedCall(part.value, forwarded, plan, body, readTime);
			}
		}
		const sink = new PeerSink();
		signal.addEventListener('abort', () => {
			sink.abandon();
		});
		this.router.dispatch(call!, sink);
		yield* sink.takeMessages();
	}

	private createCall(id: RequestId): AcceptedCall {
		const { index } = this.site.manifest;
		const organisation = 'harbour-hotel' as OrganisationName;
		// Calls have to be answered in their home region if it is required, and their callers are there.
		const planned = planCall(index, regions[0] as RegionName, {
			service,
			organisation,
			method: 'POST',
			path: '/run',
		});
		const call = createCall(id, planned._unsafeUnwrap(), 'work', this.site.timers.getNow());
		const routed = this.site.routed.get(id);
		return routed === undefined ? call : createRoutedCall(call, routed);
	}

	private createSettings(): EntrySettings {
		return {
			instance: { id: this.id, region: this.region, zone: `${this.region}-a` as ZoneName },
			callers: { url: `http://${this.id}:1` },
			peers: { url: `http://${this.id}:2` },
		} as unknown as EntrySettings;
	}

	/** The real registry, with connections that a script answers. */
	private createTargets(): ITargetRegistry {
		const { timers, options } = this.site;
		const { discovery } = this;
		const location = { region: this.region, zone: `${this.region}-a` as ZoneName };
		const registry = this.store.add(new DiscoveredTargetRegistry(location, discovery, timers));
		const registered = regions.flatMap(region =>
			Array.from({ length: options.targetsPerRegion }, (_, index) => ({
				id: `${region}-target-${index}` as TargetId,
				service,
				region: region as RegionName,
				zone: `${region}-a` as ZoneName,
				url: 'http://127.0.0.1:9001' as TargetUrl,
				slots: 12,
				isLeaving: false,
				remainingMs: undefined,
				coldLeftMs: 0,
				boot: '1' as BootId,
				version: softwareVersion,
			})),
		);
		discovery.applyRegistrations({ registered, removed: [], isAfterOutage: false }, 0);
		registry.setManifest(this.site.manifest);
		const isCut = (): boolean => this.site.isCut(this.id);
		return new Proxy(registry, {
			get: (object, name) => {
				if (name === 'findClient') {
					return (target: TargetId) =>
						object.findClient(target) === undefined ? undefined : this.findClient(target, isCut);
				}
				if (name === 'observeVersion') {
					return () => () => softwareVersion;
				}
				if (name === 'listSchedulable') {
					return (...described: Parameters<ITargetRegistry['listSchedulable']>) =>
						object.listSchedulable(...described).map(setCertainVersion);
				}
				if (name === 'probePaths') {
					return async () => {
						const probed = Math.min(3, options.targetsPerRegion);
						await new Promise<void>(resolve => timers.schedule(isCut() ? 300 : networkMs, resolve));
						return { probed, reached: isCut() ? 0 : probed };
					};
				}
				const value: unknown = Reflect.get(object, name);
				return typeof value === 'function' ? (value.bind(object) as unknown) : value;
			},
		});
	}

	private findClient(target: TargetId, isCut: () => boolean): ScriptedTargetClient {
		const known = this.clients.get(target);
		if (known !== undefined) {
			return known;
		}
		const { site } = this;
		const created = new ScriptedTargetClient(site.timers, isCut, site.options.mode, {
			noteRun: request => {
				site.runs.set(request, (site.runs.get(request) ?? 0) + 1);
			},
			pickReply: () => site.options.pickReply?.(site.random) ?? wholeReply,
			isStream: request => site.routed.get(request)?.kind === RouteKind.Stream,
			countEvents: request => site.countEvents(request),
		});
		this.clients.set(target, created);
		this.store.add(
			toDisposable(() => {
				this.clients.delete(target);
			}),
		);
		return created;
	}
}

/**
 * Tracks the other entries: exchanges views with them as heartbeats, stores their views, and lists the entries that
 * may be named to callers. `entry/common/fleetView` decides which views to keep and which peers to exchange with;
 * this module connects those decisions to the network, the instance list and the instance lifecycles.
 */

import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import type { InstanceId, RegionName, ServiceName, ZoneName } from '../../../core/ids/common/ids';
import { InstanceState } from '../../../core/instances/common/instanceLifecycle';
import { InstanceLifecycles } from '../../../core/instances/common/instanceLifecycles';
import type { InstanceList, ListedInstance } from '../../../core/platformClient/common/instanceList';
import { ListedState } from '../../../core/platformClient/common/instanceList';
import type { EntryView as WireView, ShareCrashesRequest } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { FleetWorkCounts } from '../../common/eventLoop/workCounts';
import type { CrashSightingView, EntryView } from '../../common/fleetView/entryView';
import { findRoom } from '../../common/fleetView/entryView';
import { ExchangePlanner, isFromNewPeer } from '../../common/fleetView/exchangePlanner';
import type { FleetPosition } from '../../common/fleetView/fleetRoster';
import { FleetRoster } from '../../common/fleetView/fleetRoster';
import type { KnownInstance } from '../../common/fleetView/fleetView';
import { FleetView } from '../../common/fleetView/fleetView';
import type { CandidateEntry as LookupEntry } from '../../common/lookup/rankEntries';
import { defaultFleetViewParameters } from '../../common/scheduling/policy';
import type { IEntryDirectory, EntryIdentity } from '../../common/tickets/ticketRoute';
import type { PeerClients, PeerConnection } from '../peers/peerClients';
import type { TrackedInstance } from '../../common/fleetView/trustedInstances';
import type { EntrySharing } from '../targets/targetDirectory';
import { CrashReportSender } from './crashReportSender';
import type { ExchangeContact } from './peerContacts';
import { PeerContacts } from './peerContacts';
import { FleetSilenceLimits } from './fleetSilenceLimits';
import { LiveEntries } from './liveEntries';
import { decodeSighting, decodeView, encodeView } from './viewCodec';

/** Creates the current view of this entry. */
export type CreateOwnView = () => EntryView;

/** Identity, location and addresses of this entry. */
export interface LocalEntry {
	readonly id: InstanceId;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly peerUrl: string;
	/** Addresses of peers to contact while no others are known. */
	readonly seeds: readonly string[];
	/** Lists all configured regions. */
	readonly listRegions?: () => readonly RegionName[];
}

/** An entry that a lookup can return, with the address for callers. */
export interface LookupCandidate extends LookupEntry {
	readonly callerUrl: string;
}

/** Crashes of targets of a region, as reported by another entry. */
export interface CrashReport {
	readonly region: RegionName;
	readonly sightings: readonly CrashSightingView[];
}

const { periodMs } = defaultFleetViewParameters;
const exchangeTimeoutMs = 2_000;
/**
 * Maximum number of exchanges that this entry starts at one moment. Includes all contacts of a small fleet. Many
 * entries of a large fleet start, stop or resume together, and exchanges of all with all would occupy their processors.
 */
const maxImmediateExchanges = 8;
/** Interval between groups of exchanges, so that a processor shared with requests is not occupied by them. */
const exchangeGroupIntervalMs = 100;

/** Exchanges views with the other entries and provides their state. */
export class EntryFleet extends Disposable implements IEntryDirectory {
	private readonly fleetView: FleetView;
	private readonly exchangePlan: ExchangePlanner;
	private readonly contacts: PeerContacts;
	private readonly lifecycles: InstanceLifecycles;
	private readonly liveEntries: LiveEntries;
	private readonly roster: FleetRoster;
	private readonly crashReports: CrashReportSender;
	private readonly work = { exchangesReceived: 0, exchangesStarted: 0, crashReportsReceived: 0 };
	private hasSharedManifest = false;
	private groupTimer: IDisposable | undefined;
	private readonly viewReceived = this.register(new Channel<EntryView>());

	/** Emits each view that is newer than the stored one, with its age on arrival. */
	readonly onDidReceive: Stream<EntryView> = this.viewReceived.stream;

	private readonly crashesReported = this.register(new Channel<CrashReport>());

	/** Emits the crashes that other entries report. */
	readonly onDidReportCrashes: Stream<CrashReport> = this.crashesReported.stream;

	constructor(
		private readonly localEntry: LocalEntry,
		private readonly createOwnView: CreateOwnView,
		private readonly peers: PeerClients,
		private readonly timers: ITimerService,
		random: IRandom,
		auditTrail: IAuditTrail,
	) {
		super();
		this.fleetView = new FleetView(localEntry.id);
		this.exchangePlan = new ExchangePlanner(localEntry, this.fleetView, random);
		this.contacts = new PeerContacts(localEntry, this.fleetView, this.exchangePlan, random);
		this.lifecycles = this.register(
			new InstanceLifecycles(auditTrail, new FleetSilenceLimits(this.fleetView)),
		);
		this.roster = new FleetRoster(
			localEntry,
			this.fleetView,
			() => this.contacts.listWithoutView(),
			localEntry.seeds.some(seed => seed !== localEntry.peerUrl),
			timers.getNow(),
			localEntry.listRegions,
		);
		this.liveEntries = new LiveEntries(
			this.fleetView,
			this.contacts,
			boot => this.lifecycles.findBoot(boot)?.lifecycle.getState() === InstanceState.Live,
		);
		this.crashReports = new CrashReportSender(
			{
				listLiveRegions: () => this.listLiveRegions(),
				listContactsIn: region => this.listContactsIn(region),
				orderRandomly: known => this.contacts.orderRandomly(known),
			},
			peers,
		);
		this.register(
			subscribeTo(this.lifecycles.onDidChange, () => {
				this.liveEntries.clear();
			}),
		);
		this.register(
			subscribeTo(timers.watchTicks(periodMs), ({ nowMs, elapsedMs }) => {
				this.noteOwnSleep(Math.max(0, elapsedMs - periodMs));
				this.expire(nowMs);
				this.exchangeWithPicked(nowMs);
			}),
		);
		this.register(
			toDisposable(() => {
				this.groupTimer?.dispose();
			}),
		);
	}

	/** Number of records of other entries visited so far to list the live ones. */
	get visitCount(): number {
		return this.liveEntries.visitCount;
	}

	/** Returns the numbers of messages to and from other entries so far. */
	getWorkCounts(): FleetWorkCounts {
		return this.work;
	}

	getLifecycles(): InstanceLifecycles {
		return this.lifecycles;
	}

	setInstanceList(list: InstanceList): void {
		this.contacts.setListedInstances(list.instances);
		for (const { id, state } of list.instances) {
			if (state === ListedState.Leaving) {
				this.lifecycles.noteListedLeaving(id);
			} else {
				this.lifecycles.noteListedLive(id);
			}
		}
	}

	/** Merges views received from a peer, and returns the views to answer with. */
	receiveViews(messages: readonly WireView[]): WireView[] {
		this.work.exchangesReceived++;
		const views = messages.map(decodeView);
		const sender = views[0];
		this.mergeViews(views, sender?.instance ?? 'unknown');
		return this.listViewsFor(sender?.instance, sender !== undefined && isFromNewPeer(sender));
	}

	/**
	 * Exchanges views after a manifest was accepted: with the region after the first one, because earlier views of this
	 * entry report no capacity, and later with a few contacts.
	 */
	shareManifest(): void {
		if (this.hasSharedManifest) {
			void this.exchangeWithSome();
			return;
		}
		this.hasSharedManifest = true;
		this.exchangeWithRegion();
	}

	/** Exchanges views immediately with a few contacts, for example after this process was suspended. */
	async exchangeWithSome(): Promise<void> {
		await this.exchangeWithEach(this.contacts.pickSome(maxImmediateExchanges, this.timers.getNow()));
	}

	/**
	 * Exchanges views with a few contacts immediately, and in groups with the other entries of the region, which name this
	 * one to callers and share its targets. Entries elsewhere receive its view from these.
	 */
	exchangeWithRegion(): void {
		const first = this.contacts.pickSome(maxImmediateExchanges, this.timers.getNow());
		const firstUrls = new Set(first.map(({ peerUrl }) => peerUrl));
		const others = this.listContactsIn(this.localEntry.region).filter(
			({ peerUrl }) => !firstUrls.has(peerUrl),
		);
		this.exchangeInGroups([...first, ...this.contacts.orderRandomly(others)]);
	}

	/**
	 * Reports crashes of targets to the live entries of their region, and those under parts of prompts to some entries of
	 * each other region as well; resolves when those of the region have answered. The sightings are also part of the next
	 * views, for entries that cannot be reached now.
	 */
	async sendCrashReport(region: RegionName, sightings: readonly CrashSightingView[]): Promise<void> {
		await this.crashReports.send(region, sightings);
	}

	/** Reports crashes to the live entries of a region alone; resolves when these have answered. */
	async sendCrashReportWithin(region: RegionName, sightings: readonly CrashSightingView[]): Promise<void> {
		await this.crashReports.sendWithin(region, sightings);
	}

	/** Records crashes that another entry reported. */
	receiveCrashReport({ region, crashSightings }: ShareCrashesRequest): void {
		this.work.crashReportsReceived++;
		const sightings = crashSightings.map(decodeSighting);
		this.crashesReported.emit({ region: region as RegionName, sightings });
	}

	/** Lists all stored views with their current age. */
	listViews(): readonly KnownInstance[] {
		return this.fleetView.list(this.timers.getNow());
	}

	/** Lists the entries that a lookup may return, except this one, with their free capacity for `service`. */
	listCandidates(service: ServiceName | undefined): readonly LookupCandidate[] {
		const withView = this.listViews().map(known => this.createCandidate(known, service));
		return [...withView, ...this.contacts.listWithoutView().map(createListedCandidate)];
	}

	findEntry(instance: InstanceId): EntryIdentity | undefined {
		const view = this.fleetView.find(instance, this.timers.getNow())?.view;
		return view === undefined ? undefined : { own: { instance, boot: view.bootId }, region: view.region };
	}

	/** Whether an entry reports the attempts of requests that are forwarded to it. */
	isCountingAttempts(instance: InstanceId): boolean {
		return this.fleetView.find(instance, this.timers.getNow())?.view.countsAttempts === true;
	}

	/** Whether an entry confirms the keys of requests that are forwarded to it. */
	isConfirmingKeys(instance: InstanceId): boolean {
		return this.fleetView.find(instance, this.timers.getNow())?.view.confirmsKeys === true;
	}

	findPeer(instance: InstanceId): PeerConnection | undefined {
		const url = this.contacts.findUrl(instance, this.timers.getNow());
		return url === undefined ? undefined : this.peers.open(url);
	}

	/** Lists the regions that have other live entries. */
	listLiveRegions(): readonly RegionName[] {
		return this.liveEntries.listRegions(this.timers.getNow());
	}

	/** Lists the other live entries of a region. Their views are replaced when newer ones arrive. */
	listLiveIn(region: RegionName): readonly TrackedInstance[] {
		return this.liveEntries.listIn(region, this.timers.getNow());
	}

	private listContactsIn(region: RegionName): readonly ExchangeContact[] {
		return this.listLiveIn(region).map(({ view: { instance, peerUrl } }) => ({ instance, peerUrl }));
	}

	/**
	 * Counts the live entries of a region, including this one if it belongs to the region. Listed instances without a
	 * view are counted too: a newly started entry receives the views of the others one by one, and would otherwise
	 * use too large a share of the targets until it has received all of them.
	 */
	countLive(region: RegionName, ownRegion: RegionName): number {
		return this.liveEntries.countIn(region, this.timers.getNow()) + (region === ownRegion ? 1 : 0);
	}

	/** Returns the place of this entry among those of all regions, which share limits of the fleet. */
	getFleetPosition(): FleetPosition {
		return this.roster.getPosition(this.timers.getNow());
	}

	/** How the entries of this entry's region share its targets. */
	getEntrySharing(): EntrySharing {
		const { region } = this.localEntry;
		return { entries: this.countLive(region, region), roster: this.roster.getRoster(this.timers.getNow()) };
	}

	private findState(view: EntryView): InstanceState {
		return this.lifecycles.findBoot(view.bootId)?.lifecycle.getState() ?? InstanceState.Gone;
	}

	private createCandidate(known: KnownInstance, service: ServiceName | undefined): LookupCandidate {
		const { view, ageMs } = known;
		const state = this.findState(view);
		return {
			instance: view.instance,
			region: view.region,
			zone: view.zone,
			callerUrl: view.callerUrl,
			isLeaving: view.isLeaving || state === InstanceState.Leaving || state === InstanceState.ListedLeaving,
			isSuspect: known.isSuspect || state !== InstanceState.Live,
			room: service === undefined ? undefined : findRoom(view, service),
			ageMs,
		};
	}

	private mergeViews(views: readonly EntryView[], source: string): void {
		const nowMs = this.timers.getNow();
		const [sender] = views;
		if (sender !== undefined && sender.instance !== this.localEntry.id) {
			this.roster.notePeer(sender, isFromNewPeer(sender), nowMs);
		}
		for (const view of this.fleetView.merge(views, nowMs)) {
			const { instance, bootId, peerUrl, isLeaving, ageMs } = view;
			this.lifecycles.noteReport(
				{ instance, boot: bootId, peerUrl, isLeaving, ageMs },
				`peer ${source}`,
				nowMs,
			);
			this.viewReceived.emit(view);
		}
	}

	/** Does not count time that this process was suspended as silence of the other entries. */
	private noteOwnSleep(sleptMs: number): void {
		this.fleetView.noteOwnSleep(sleptMs);
		this.lifecycles.noteProcessPause(sleptMs);
	}

	private expire(nowMs: number): void {
		this.lifecycles.expire(nowMs);
		this.fleetView.expire(nowMs);
		this.peers.closeAbsent(new Set(this.contacts.listAll(nowMs).map(({ peerUrl }) => peerUrl)));
	}

	private exchangeWithPicked(nowMs: number): void {
		for (const contact of this.contacts.pick(nowMs)) {
			void this.exchangeWith(contact);
		}
	}

	private exchangeInGroups(contacts: readonly ExchangeContact[]): void {
		this.groupTimer?.dispose();
		void this.exchangeWithEach(contacts.slice(0, maxImmediateExchanges));
		const remaining = contacts.slice(maxImmediateExchanges);
		if (remaining.length > 0) {
			this.groupTimer = this.timers.schedule(exchangeGroupIntervalMs, () => {
				this.exchangeInGroups(remaining);
			});
		}
	}

	private async exchangeWithEach(contacts: readonly ExchangeContact[]): Promise<void> {
		await Promise.all(contacts.map(contact => this.exchangeWith(contact)));
	}

	private async exchangeWith({ instance, peerUrl }: ExchangeContact): Promise<void> {
		this.work.exchangesStarted++;
		try {
			const answer = await this.peers
				.open(peerUrl)
				.client.exchangeViews({ views: this.listViewsFor(instance) }, { timeoutMs: exchangeTimeoutMs });
			const views = answer.views.map(decodeView);
			this.mergeViews(views, views[0]?.instance ?? peerUrl);
			this.recordExchange(instance, true);
		} catch {
			// Consecutive failures mark the peer as suspect; newer views of it relayed by other peers clear that.
			this.recordExchange(instance, false);
		}
	}

	private recordExchange(instance: InstanceId | undefined, isSuccessful: boolean): void {
		if (instance !== undefined) {
			this.fleetView.recordExchange(instance, isSuccessful);
		}
	}

	private listViewsFor(peer: InstanceId | undefined, isPeerNew = false): WireView[] {
		const own = { ...this.createOwnView(), regionSizes: this.roster.listSizes() };
		return this.exchangePlan.listViews(own, peer, this.timers.getNow(), isPeerNew).map(encodeView);
	}
}

function createListedCandidate(listed: ListedInstance): LookupCandidate {
	const { id, region, zone, callerUrl } = listed;
	const isSuspect = false;
	return { instance: id, region, zone, callerUrl, isLeaving: false, isSuspect, room: undefined, ageMs: 0 };
}

/**
 * The other entries: heartbeats with them, what is held of them, and who may be named to callers. What is
 * held and with whom to exchange is decided in `entry/common/fleetView`; here the decisions meet the
 * network, the instance list and the lives of the instances.
 */

import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import type { InstanceId, RegionName, ServiceName, ZoneName } from '../../../core/ids/common/ids';
import { InstanceState } from '../../../core/instances/common/instanceLifecycle';
import { InstanceLifecycles } from '../../../core/instances/common/instanceLifecycles';
import type { InstanceList, ListedInstance } from '../../../core/platformClient/common/instanceList';
import { ListedState } from '../../../core/platformClient/common/instanceList';
import type { EntryView as WireView } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { EntryView } from '../../common/fleetView/entryView';
import { findRoom } from '../../common/fleetView/entryView';
import { ExchangePlan } from '../../common/fleetView/exchangePlan';
import type { KnownInstance } from '../../common/fleetView/fleetView';
import { FleetView } from '../../common/fleetView/fleetView';
import type { KnownEntry as LookupEntry } from '../../common/lookup/rankEntries';
import { defaultFleetViewFigures } from '../../common/scheduling/policy';
import type { IEntryDirectory, KnownEntry } from '../../common/tickets/ticketRoute';
import type { PeerClients, PeerConnection } from '../peers/peerClients';
import type { EntrySharing } from '../targets/targetDirectory';
import type { ExchangeContact } from './contacts';
import { Contacts } from './contacts';
import { FleetSilenceLimits } from './fleetSilenceLimits';
import { decodeView, encodeView } from './viewCodec';

/** What this entry says of itself at present. */
export type DescribeSelf = () => EntryView;

/** Where this entry stands among the others. */
export interface FleetPlace {
	readonly id: InstanceId;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly peerUrl: string;
	/** Peers to ask before others are known. */
	readonly seeds: readonly string[];
}

/** An entry that a lookup can name, with the address that callers use. */
export interface LookupCandidate extends LookupEntry {
	readonly callerUrl: string;
}

const { periodMs } = defaultFleetViewFigures;
const exchangeTimeoutMs = 2_000;

/** Holds what is known of the other entries. */
export class EntryFleet extends Disposable implements IEntryDirectory {
	private readonly views: FleetView;
	private readonly plan: ExchangePlan;
	private readonly contacts: Contacts;
	private readonly lives: InstanceLifecycles;
	private readonly received = this.register(new Channel<EntryView>());

	/** Each view that is newer than what was held, with the age that it had when it arrived. */
	readonly onDidReceive: Stream<EntryView> = this.received.stream;

	constructor(
		private readonly place: FleetPlace,
		private readonly describeSelf: DescribeSelf,
		private readonly peers: PeerClients,
		private readonly timers: ITimerService,
		random: IRandom,
		auditTrail: IAuditTrail,
	) {
		super();
		this.views = new FleetView(place.id);
		this.plan = new ExchangePlan(place, this.views, random);
		this.contacts = new Contacts(place, this.views, this.plan, random);
		this.lives = this.register(new InstanceLifecycles(auditTrail, new FleetSilenceLimits(this.views)));
		this.register(
			subscribeTo(timers.watchTicks(periodMs), ({ nowMs, elapsedMs }) => {
				this.noteOwnSleep(Math.max(0, elapsedMs - periodMs));
				this.expire(nowMs);
				this.exchangeWithSome(nowMs);
			}),
		);
	}

	getLives(): InstanceLifecycles {
		return this.lives;
	}

	setInstanceList(list: InstanceList): void {
		this.contacts.setListed(list.instances);
		for (const { id, state } of list.instances) {
			if (state === ListedState.Leaving) {
				this.lives.noteListedLeaving(id);
			} else {
				this.lives.noteListedLive(id);
			}
		}
	}

	/** Views that arrived, and the answer to them. */
	receiveViews(messages: readonly WireView[]): WireView[] {
		const views = messages.map(decodeView);
		const sender = views[0]?.instance;
		this.receive(views, sender ?? 'unknown');
		return this.listViewsFor(sender);
	}

	/** Tells everybody at once, as when this entry begins to leave. */
	async exchangeWithAll(): Promise<void> {
		const contacts = this.contacts.listAll(this.timers.getNow());
		await Promise.all(contacts.map(contact => this.exchangeWith(contact)));
	}

	/** Tells the live entries of a region at once what this entry's view says. */
	async exchangeWithRegion(region: RegionName): Promise<void> {
		const near = this.listLiveViews(view => view.region === region);
		await Promise.all(
			near.map(({ view }) => this.exchangeWith({ instance: view.instance, peerUrl: view.peerUrl })),
		);
	}

	/** All views held, with their present age. */
	listViews(): readonly KnownInstance[] {
		return this.views.list(this.timers.getNow());
	}

	/** The entries that a lookup may name, this one not among them; `service` chooses the room told. */
	listCandidates(service: ServiceName | undefined): readonly LookupCandidate[] {
		const heard = this.listViews().map(known => this.createCandidate(known, service));
		return [...heard, ...this.contacts.listSilent().map(createListedCandidate)];
	}

	findEntry(instance: InstanceId): KnownEntry | undefined {
		const view = this.views.find(instance, this.timers.getNow())?.view;
		return view === undefined ? undefined : { own: { instance, boot: view.bootId }, region: view.region };
	}

	findPeer(instance: InstanceId): PeerConnection | undefined {
		const url = this.contacts.findUrl(instance, this.timers.getNow());
		return url === undefined ? undefined : this.peers.open(url);
	}

	/** Entries that live and are wanted, with the age of what they say. */
	listLiveViews(isWanted: (view: EntryView) => boolean): readonly KnownInstance[] {
		return this.listViews().filter(known => isWanted(known.view) && this.isLive(known));
	}

	/**
	 * Live entries of a region, this one included where it stands there. Those that the instance list names
	 * and that have not spoken yet count: an entry that has just started hears of the others one by one, and
	 * would take too large a part of the targets for itself until it has heard of all.
	 */
	countLive(region: RegionName, ownRegion: RegionName): number {
		return this.listOthers(region).length + (region === ownRegion ? 1 : 0);
	}

	/** How the live entries of this one's region share its targets. */
	describeSharing(ownRegion: RegionName): EntrySharing {
		const others = this.listOthers(ownRegion);
		const place = others.filter(instance => instance < this.place.id).length;
		return { entries: others.length + 1, place };
	}

	private listOthers(region: RegionName): InstanceId[] {
		const heard = this.listLiveViews(view => view.region === region).map(({ view }) => view.instance);
		const silent = this.contacts.listSilent().filter(listed => listed.region === region);
		return [...heard, ...silent.map(({ id }) => id)];
	}

	private isLive({ view, isSuspect }: KnownInstance): boolean {
		return !isSuspect && this.findState(view) === InstanceState.Live;
	}

	private findState(view: EntryView): InstanceState {
		return this.lives.findBoot(view.bootId)?.lifecycle.getState() ?? InstanceState.Gone;
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

	private receive(views: readonly EntryView[], from: string): void {
		const nowMs = this.timers.getNow();
		for (const view of this.views.merge(views, nowMs)) {
			const { instance, bootId, peerUrl, isLeaving, ageMs } = view;
			this.lives.noteReport({ instance, boot: bootId, peerUrl, isLeaving, ageMs }, `peer ${from}`, nowMs);
			this.received.emit(view);
		}
	}

	/** What was not heard while this process slept is no silence of the others. */
	private noteOwnSleep(sleptMs: number): void {
		this.views.noteOwnSleep(sleptMs);
		this.lives.noteProcessPause(sleptMs);
	}

	private expire(nowMs: number): void {
		this.lives.expire(nowMs);
		this.views.expire(nowMs);
		this.peers.closeOthers(new Set(this.contacts.listAll(nowMs).map(({ peerUrl }) => peerUrl)));
	}

	private exchangeWithSome(nowMs: number): void {
		for (const contact of this.contacts.pick(nowMs)) {
			void this.exchangeWith(contact);
		}
	}

	private async exchangeWith({ instance, peerUrl }: ExchangeContact): Promise<void> {
		try {
			const answer = await this.peers
				.open(peerUrl)
				.client.exchangeViews({ views: this.listViewsFor(instance) }, { timeoutMs: exchangeTimeoutMs });
			const views = answer.views.map(decodeView);
			this.receive(views, views[0]?.instance ?? peerUrl);
			this.noteExchange(instance, true);
		} catch {
			// Failures in a row make it suspected; its views that others pass on make it trusted again.
			this.noteExchange(instance, false);
		}
	}

	private noteExchange(instance: InstanceId | undefined, isReached: boolean): void {
		if (instance !== undefined) {
			this.views.noteExchange(instance, isReached);
		}
	}

	private listViewsFor(peer: InstanceId | undefined): WireView[] {
		return this.plan.listViews(this.describeSelf(), peer, this.timers.getNow()).map(encodeView);
	}
}

function createListedCandidate(listed: ListedInstance): LookupCandidate {
	const { id, region, zone, callerUrl } = listed;
	const isSuspect = false;
	return { instance: id, region, zone, callerUrl, isLeaving: false, isSuspect, room: undefined, ageMs: 0 };
}

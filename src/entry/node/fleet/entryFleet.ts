/**
 * The other entries: heartbeats with them, what they say of themselves, and who may be named to callers.
 * Views travel once a second to a few peers, with what was heard of the others lately, so that two entries
 * that cannot reach each other directly still hear of each other.
 */

import { create } from '@bufbuild/protobuf';
import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../platform/audit/common/auditTrail';
import type { NamedEntry } from '../../../platform/errors/common/errorKinds';
import type { BootId, InstanceId, RegionName, ServiceName } from '../../../platform/ids/common/ids';
import { InstanceState } from '../../../platform/instances/common/instanceLife';
import { InstanceLives } from '../../../platform/instances/common/instanceLives';
import type { InstanceList, ListedInstance } from '../../../platform/platformClient/common/instanceList';
import { ListedState } from '../../../platform/platformClient/common/instanceList';
import type { EntryView } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { EntryViewSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { IEntryDirectory, KnownEntry } from '../../common/tickets/ticketRoute';
import type { PeerClients, PeerConnection } from '../peers/peerClients';

/** What this entry says of itself at present. */
export type DescribeSelf = () => EntryView;

/** A view as it stands here. */
interface HeldView {
	readonly view: EntryView;
	/** Monotonic time of this process at which the entry spoke, as far as ages tell. */
	readonly spokeMs: number;
}

/** A view with its present age. */
export interface AgedView {
	readonly view: EntryView;
	readonly ageMs: number;
}

const exchangeMs = 1_000;
const exchangeTimeoutMs = 2_000;
/** Peers spoken to in one second; the number that bounds control traffic whatever the fleet's size. */
const exchangesPerTick = 3;
/** Views older than this are not passed on. */
const relayedAgeMs = 10_000;
/** Other entries' views in one message. */
const mostRelayed = 16;
/** After this much silence a view is no longer held. */
const heldAgeMs = 120_000;

/** Holds what is known of the other entries. */
export class EntryFleet extends Disposable implements IEntryDirectory {
	private readonly lives: InstanceLives;
	private readonly views = new Map<InstanceId, HeldView>();
	private readonly received = this.register(new Channel<EntryView>());
	private listed: readonly ListedInstance[] = [];

	/** Each view that is newer than what was held. */
	readonly onDidReceive: Stream<EntryView> = this.received.stream;

	constructor(
		private readonly own: InstanceId,
		private readonly ownPeerUrl: string,
		private readonly describeSelf: DescribeSelf,
		private readonly seeds: readonly string[],
		private readonly peers: PeerClients,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		auditTrail: IAuditTrail,
	) {
		super();
		this.lives = this.register(new InstanceLives(auditTrail));
		this.register(
			subscribeTo(timers.watchTicks(exchangeMs), tick => {
				this.lives.noteOwnSleep(Math.max(0, tick.elapsedMs - exchangeMs));
				this.expire(tick.nowMs);
				this.exchangeWithSome();
			}),
		);
	}

	getLives(): InstanceLives {
		return this.lives;
	}

	setInstanceList(list: InstanceList): void {
		this.listed = list.instances.filter(instance => instance.id !== this.own);
		for (const { id, state } of this.listed) {
			if (state === ListedState.Leaving) {
				this.lives.noteListedLeaving(id);
			}
		}
	}

	/** Views that arrived, and the answer to them. */
	receiveViews(views: readonly EntryView[]): EntryView[] {
		for (const view of views) {
			this.receive(view, views[0]?.instanceId ?? '');
		}
		return this.listViewsToSend();
	}

	/** Tells everybody at once, as when this entry begins to leave. */
	async exchangeWithAll(): Promise<void> {
		await Promise.all(this.listPeerUrls().map(url => this.exchangeWith(url)));
	}

	/** Tells the entries of one region at once, of those that have spoken. */
	async exchangeWithRegion(region: RegionName): Promise<void> {
		const peers = this.listViews().filter(({ view }) => view.region === region);
		await Promise.all(peers.map(({ view }) => this.exchangeWith(view.peerUrl)));
	}

	listViews(): readonly AgedView[] {
		const nowMs = this.timers.getNow();
		return [...this.views.values()].map(held => ({ view: held.view, ageMs: nowMs - held.spokeMs }));
	}

	/** The entries that callers may be sent to, this one not among them. */
	listNamed(): readonly NamedEntry[] {
		const heard = [...this.views.values()]
			.filter(held => this.isLive(held.view))
			.map(held => createNamed(held.view));
		const silent = this.listed.filter(({ id, state }) => state === ListedState.Live && !this.views.has(id));
		return [...heard, ...silent.map(createNamedFromList)];
	}

	findEntry(instance: InstanceId): KnownEntry | undefined {
		const view = this.views.get(instance)?.view;
		if (view === undefined) {
			return undefined;
		}
		return { own: { instance, boot: view.bootId as BootId }, region: view.region as RegionName };
	}

	findPeer(instance: InstanceId): PeerConnection | undefined {
		const url =
			this.views.get(instance)?.view.peerUrl ?? this.listed.find(({ id }) => id === instance)?.peerUrl;
		return url === undefined ? undefined : this.peers.open(url);
	}

	/** Live entries of one region that offer a service, with the age of what they say. */
	listLiveViews(isWanted: (view: EntryView) => boolean): readonly AgedView[] {
		return this.listViews().filter(({ view }) => this.isLive(view) && isWanted(view));
	}

	/** Live entries of a region, this one included where it stands there. */
	countLive(region: RegionName, ownRegion: RegionName): number {
		const others = this.listLiveViews(view => view.region === region).length;
		return others + (region === ownRegion ? 1 : 0);
	}

	private isLive(view: EntryView): boolean {
		return this.lives.findBoot(view.bootId as BootId)?.life.getState() === InstanceState.Live;
	}

	private receive(view: EntryView, from: string): void {
		const instance = view.instanceId as InstanceId;
		if (instance === this.own) {
			return;
		}
		const nowMs = this.timers.getNow();
		const spokeMs = nowMs - view.ageMs;
		const held = this.views.get(instance);
		this.lives.noteHeard(
			{
				instance,
				boot: view.bootId as BootId,
				peerUrl: view.peerUrl,
				isLeaving: view.isLeaving,
				ageMs: view.ageMs,
			},
			`peer ${from}`,
			nowMs,
		);
		if (held !== undefined && !isNewer(view, spokeMs, held)) {
			return;
		}
		this.views.set(instance, { view, spokeMs });
		this.received.emit(view);
	}

	private expire(nowMs: number): void {
		this.lives.expire(nowMs);
		for (const [instance, { spokeMs }] of [...this.views]) {
			if (nowMs - spokeMs >= heldAgeMs) {
				this.views.delete(instance);
			}
		}
		this.peers.closeOthers(new Set(this.listPeerUrls()));
	}

	private listPeerUrls(): string[] {
		const urls = new Set([...this.views.values()].map(({ view }) => view.peerUrl));
		for (const { id, peerUrl } of this.listed) {
			if (!this.views.has(id)) {
				urls.add(peerUrl);
			}
		}
		for (const seed of this.seeds) {
			urls.add(seed);
		}
		urls.delete(this.ownPeerUrl);
		return [...urls];
	}

	private exchangeWithSome(): void {
		const urls = this.listPeerUrls();
		const count = Math.min(exchangesPerTick, urls.length);
		const start = urls.length <= exchangesPerTick ? 0 : this.random.pickBelow(urls.length);
		for (let step = 0; step < count; step++) {
			const url = urls[(start + step) % urls.length];
			if (url !== undefined) {
				void this.exchangeWith(url);
			}
		}
	}

	private async exchangeWith(url: string): Promise<void> {
		try {
			const answer = await this.peers
				.open(url)
				.client.exchangeViews({ views: this.listViewsToSend() }, { timeoutMs: exchangeTimeoutMs });
			for (const view of answer.views) {
				this.receive(view, answer.views[0]?.instanceId ?? url);
			}
		} catch {
			// Silence is judged by the ages of views, whichever way they come; one failed exchange is none.
		}
	}

	private listViewsToSend(): EntryView[] {
		const fresh = this.listViews()
			.filter(({ ageMs }) => ageMs < relayedAgeMs)
			.sort((left, right) => left.ageMs - right.ageMs)
			.slice(0, mostRelayed);
		const relayed = fresh.map(({ view, ageMs }) =>
			create(EntryViewSchema, { ...view, ageMs: Math.round(ageMs) }),
		);
		return [this.describeSelf(), ...relayed];
	}
}

/** A boot's own sequence orders its views; between two boots the one that spoke later is believed. */
function isNewer(view: EntryView, spokeMs: number, held: HeldView): boolean {
	if (view.bootId === held.view.bootId) {
		return view.sequence > held.view.sequence;
	}
	return spokeMs > held.spokeMs;
}

function createNamed(view: EntryView): NamedEntry {
	return { instance: view.instanceId, region: view.region, zone: view.zone, url: view.callerUrl };
}

function createNamedFromList(listed: ListedInstance): NamedEntry {
	return { instance: listed.id, region: listed.region, zone: listed.zone, url: listed.callerUrl };
}

/** The room that a view tells of a service. */
export function findRoom(view: EntryView, service: ServiceName): EntryView['services'][number] | undefined {
	return view.services.find(room => room.service === String(service));
}

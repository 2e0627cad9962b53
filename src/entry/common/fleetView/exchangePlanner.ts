/**
 * Selects the peers to exchange views with and the views to send to them. If each node sent its view to every
 * other node, control traffic in a fleet of hundreds would grow with the square of the fleet. Here each node
 * starts one or two exchanges per period and the views in a message are limited in bytes, so that the traffic
 * of a node does not depend on the size of the fleet.
 *
 * Most exchanges stay within the local zone, because callers and routing need its capacity most up to date and
 * because the zone keeps working when it is cut off. Some exchanges leave the region, so that a manifest
 * received by one instance reaches all zones.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../core/ids/common/ids';
import type { FleetViewParameters } from '../scheduling/policy';
import { defaultFleetViewParameters } from '../scheduling/policy';
import type { EntryView } from './entryView';
import { estimateViewBytes, removeSightings, removeUnrelayed } from './entryView';
import type { FleetView, KnownInstance } from './fleetView';
import { pickSightings } from './sightingPicker';
import type { TrackedInstance } from './trustedInstances';

/** The location of this entry. */
export interface ExchangeLocation {
	readonly region: RegionName;
	readonly zone: ZoneName;
}

/** Plans the exchanges that one entry starts. */
export class ExchangePlanner {
	constructor(
		private readonly location: ExchangeLocation,
		private readonly fleet: FleetView,
		private readonly random: IRandom,
		private readonly options: FleetViewParameters = defaultFleetViewParameters,
	) {}

	/** Returns the peers to exchange views with now, without duplicates. */
	pickPeers(nowMs: number): readonly KnownInstance[] {
		const picked = new Map<InstanceId, KnownInstance>();
		for (let exchange = 0; exchange < this.fleet.exchangesPerPeriod; exchange++) {
			const peer = this.pickPeer(nowMs);
			if (peer !== undefined) {
				picked.set(peer.view.instance, peer);
			}
		}
		return [...picked.values()];
	}

	/**
	 * Returns one peer to exchange views with, or undefined if none is known. Suspected peers are retried occasionally.
	 */
	pickPeer(nowMs: number): KnownInstance | undefined {
		const known = this.fleet.list(nowMs).filter(({ view }) => !view.isLeaving);
		const trusted = known.filter(({ isSuspect }) => !isSuspect);
		const isRetry = this.random.pickFraction() < suspectRetryShare;
		const pool = trusted.length === 0 || (isRetry && known.length > 0) ? known : trusted;
		return this.pickRandomPeer(this.pickCandidates(pool));
	}

	/**
	 * Returns the views to send to a peer: this entry's own view, then random views of instances that are not suspected,
	 * until the byte limit of a message is reached. Each one is as likely to be of the peer's zone as of the others. With
	 * the zone first, the zone fills all messages of a large fleet, and its entries hear of no others for minutes. The
	 * answer to a new peer prefers its region instead, because the entries of a region share its targets.
	 *
	 * Only this entry's own view contains crash sightings, among them those that it received from its region.
	 *
	 * @param isPeerNew Whether this answers a peer that has just started. It may know next to no other entries, and a message
	 * within the budget of a large fleet would contain hardly more than this entry's own view.
	 */
	listViews(
		own: EntryView,
		peer: InstanceId | undefined,
		nowMs: number,
		isPeerNew = false,
	): readonly EntryView[] {
		const maxBytes = isPeerNew ? newPeerMessageBytes : this.computeMaxMessageBytes();
		const peerView = peer === undefined ? undefined : this.fleet.find(peer, nowMs)?.view;
		const others = this.fleet.listTrusted(nowMs).filter(({ view }) => view.instance !== peer);
		const isNear = ({ view }: TrackedInstance): boolean =>
			isPeerNew ? view.region === peerView?.region : view.zone === peerView?.zone;
		const near = others.filter(isNear).length;
		const nearWeight = Math.max(1, (others.length - near) / Math.max(1, near));
		const ordered = others
			.map(known => ({ known, key: this.pickKey(isNear(known) ? nearWeight : 1) }))
			.sort((left, right) => left.key - right.key);
		const bounded = this.applySightingLimit(own, maxBytes);
		const views = [bounded];
		let bytes = estimateViewBytes(bounded);
		for (const { known } of ordered) {
			const view = removeUnrelayed(known.view);
			const viewBytes = estimateViewBytes(view);
			if (bytes + viewBytes > maxBytes) {
				break;
			}
			bytes += viewBytes;
			views.push({ ...view, ageMs: Math.round(nowMs - known.reportedMs) });
		}
		return views;
	}

	/**
	 * Limits the crash sightings of this entry's view to half of the bytes that the rest of it leaves. If a message has
	 * space for another view, one still fits, because otherwise no view would be passed on while a request is refused.
	 */
	private applySightingLimit(own: EntryView, maxBytes: number): EntryView {
		const leftBytes = maxBytes - estimateViewBytes(removeSightings(own));
		const bytesBesideView = leftBytes - this.fleet.meanViewBytes;
		const sightingBytes = bytesBesideView < 0 ? leftBytes : Math.min(leftBytes / 2, bytesBesideView);
		return { ...own, crashSightings: pickSightings(own.crashSightings, sightingBytes, this.random) };
	}

	/** Items sorted by these keys are in the order of a random draw without replacement by their weights. */
	private pickKey(weight: number): number {
		return -Math.log(1 - this.random.pickFraction()) / weight;
	}

	/**
	 * Maximum bytes of one message. A node sends and receives a message in each exchange that it starts and in each
	 * that a peer starts, so the budget of a period is divided among all of these.
	 */
	private computeMaxMessageBytes(): number {
		const { bytesPerSecond, exchangesPerPeriod } = this.fleet;
		const messagesPerExchange = 2;
		const roles = 2;
		const periodBytes = (bytesPerSecond * this.options.periodMs) / 1_000;
		return periodBytes / (messagesPerExchange * roles * exchangesPerPeriod);
	}

	private pickCandidates(known: readonly KnownInstance[]): readonly KnownInstance[] {
		const { zone, region } = this.location;
		const { zoneShare, regionShare } = this.options;
		const inZone = known.filter(({ view }) => view.region === region && view.zone === zone);
		const inRegion = known.filter(({ view }) => view.region === region && view.zone !== zone);
		const elsewhere = known.filter(({ view }) => view.region !== region);
		const randomFraction = this.random.pickFraction();
		const candidates =
			randomFraction < zoneShare ? inZone : randomFraction < zoneShare + regionShare ? inRegion : elsewhere;
		return candidates.length > 0 ? candidates : known;
	}

	private pickRandomPeer(known: readonly KnownInstance[]): KnownInstance | undefined {
		return known[this.random.pickBelow(known.length)];
	}
}

/** Maximum bytes of an answer to a peer that has just started. */
const newPeerMessageBytes = 4_000;

/** Number of views after which the entry that created them no longer counts as just started. */
const newPeerViews = 40;

/** Whether the entry that sent this view of itself has just started. */
export function isFromNewPeer({ sequence }: EntryView): boolean {
	return sequence <= newPeerViews;
}

/** Share of the exchanges in which suspected peers are candidates too, because they may be reachable again. */
const suspectRetryShare = 0.1;

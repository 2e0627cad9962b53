/**
 * With whom views are exchanged next and which views go along. Load pattern: a fleet of hundreds. If each
 * node told every other, control traffic would grow with the square of the fleet; here each begins one or two
 * exchanges a period, and the views that go along are bounded by bytes, so that the traffic
 * of a node does not depend on the size of the fleet at all.
 *
 * Most exchanges stay in the own zone, whose room callers and routing need freshest, and which goes on when
 * it is cut off; some leave the region, so that a manifest seen by one instance reaches all zones.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../core/ids/common/ids';
import type { FleetViewParameters } from '../scheduling/policy';
import { defaultFleetViewParameters } from '../scheduling/policy';
import type { EntryView } from './entryView';
import { estimateViewBytes } from './entryView';
import type { FleetView, KnownInstance } from './fleetView';

/** Where this entry stands. */
export interface ExchangePlace {
	readonly region: RegionName;
	readonly zone: ZoneName;
}

/** Plans the exchanges of one entry. */
export class ExchangePlan {
	constructor(
		private readonly place: ExchangePlace,
		private readonly fleet: FleetView,
		private readonly random: IRandom,
		private readonly figures: FleetViewParameters = defaultFleetViewParameters,
	) {}

	/** The peers to exchange with now, each once. */
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

	/** The peer to exchange with now, or undefined where none is known. Suspected ones are tried now and then. */
	pickPeer(nowMs: number): KnownInstance | undefined {
		const known = this.fleet.list(nowMs).filter(({ view }) => !view.isLeaving);
		const trusted = known.filter(({ isSuspect }) => !isSuspect);
		const isRetry = this.random.pickFraction() < suspectShare;
		const pool = trusted.length === 0 || (isRetry && known.length > 0) ? known : trusted;
		return this.pickOne(this.pickGroup(pool));
	}

	/**
	 * The views to send to a peer: this entry's own, then others that are not suspected, the peer's zone first
	 * and drawn at random within it, until the bytes of one exchange are used up.
	 */
	listViews(own: EntryView, peer: InstanceId | undefined, nowMs: number): readonly EntryView[] {
		const peerZone = peer === undefined ? undefined : this.fleet.find(peer, nowMs)?.view.zone;
		const others = this.fleet
			.list(nowMs)
			.filter(({ view, isSuspect }) => !isSuspect && view.instance !== peer)
			.map(known => ({ known, key: this.random.pickFraction() + (known.view.zone === peerZone ? 0 : 1) }))
			.sort((left, right) => left.key - right.key);
		const views = [own];
		let bytes = estimateViewBytes(own);
		for (const { known } of others) {
			const viewBytes = estimateViewBytes(known.view);
			if (bytes + viewBytes > this.computeMostBytes()) {
				break;
			}
			bytes += viewBytes;
			views.push({ ...known.view, ageMs: Math.round(known.ageMs) });
		}
		return views;
	}

	/** Bytes of one message: a node sends and receives in the exchanges that it begins and that others begin. */
	private computeMostBytes(): number {
		const { bytesPerSecond, exchangesPerPeriod } = this.fleet;
		const messagesPerExchange = 2;
		const roles = 2;
		const periodBytes = (bytesPerSecond * this.figures.periodMs) / 1_000;
		return periodBytes / (messagesPerExchange * roles * exchangesPerPeriod);
	}

	private pickGroup(known: readonly KnownInstance[]): readonly KnownInstance[] {
		const { zone, region } = this.place;
		const { zoneShare, regionShare } = this.figures;
		const inZone = known.filter(({ view }) => view.region === region && view.zone === zone);
		const inRegion = known.filter(({ view }) => view.region === region && view.zone !== zone);
		const elsewhere = known.filter(({ view }) => view.region !== region);
		const draw = this.random.pickFraction();
		const drawn = draw < zoneShare ? inZone : draw < zoneShare + regionShare ? inRegion : elsewhere;
		return drawn.length > 0 ? drawn : known;
	}

	private pickOne(known: readonly KnownInstance[]): KnownInstance | undefined {
		return known[this.random.pickBelow(known.length)];
	}
}

/** Part of the exchanges in which suspected peers are considered too: they may be back. */
const suspectShare = 0.1;

/**
 * The other entries that accept requests, by region: not suspected, and live according to their lifecycle. Kept until an
 * entry comes, goes or changes its state, because requests ask for it far more often than that happens.
 */

import type { BootId, InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { FleetView } from '../../common/fleetView/fleetView';
import type { TrackedInstance } from '../../common/fleetView/trustedInstances';
import type { PeerContacts } from './peerContacts';

interface RegionEntries {
	readonly entries: readonly TrackedInstance[];
	/** Ids of these entries, and of listed instances in the region that have no view yet. */
	readonly ids: readonly InstanceId[];
}

const noEntries: RegionEntries = { entries: [], ids: [] };

/** Lists the live entries of an entry's fleet. */
export class LiveEntries {
	private regions: ReadonlyMap<RegionName, RegionEntries> = new Map();
	private all: readonly TrackedInstance[] = [];
	private trusted: readonly TrackedInstance[] | undefined;
	private withoutView: ReturnType<PeerContacts['listWithoutView']> = [];
	private visits = 0;

	constructor(
		private readonly fleetView: FleetView,
		private readonly contacts: PeerContacts,
		private readonly isLive: (boot: BootId) => boolean,
	) {}

	/** Number of records visited so far to answer questions. */
	get visitCount(): number {
		return this.visits + this.fleetView.visitCount;
	}

	/** Discards what is kept, after a lifecycle has changed its state. */
	clear(): void {
		this.trusted = undefined;
	}

	/** Lists the live entries of all regions. */
	list(nowMs: number): readonly TrackedInstance[] {
		this.update(nowMs);
		return this.all;
	}

	listRegions(nowMs: number): readonly RegionName[] {
		this.update(nowMs);
		return [...this.regions.keys()];
	}

	listIn(region: RegionName, nowMs: number): readonly TrackedInstance[] {
		return this.findRegion(region, nowMs).entries;
	}

	/** Counts the other live entries of a region, listed instances without a view included. */
	countIn(region: RegionName, nowMs: number): number {
		return this.findRegion(region, nowMs).ids.length;
	}

	private findRegion(region: RegionName, nowMs: number): RegionEntries {
		this.update(nowMs);
		return this.regions.get(region) ?? noEntries;
	}

	private update(nowMs: number): void {
		const trusted = this.fleetView.listTrusted(nowMs);
		const withoutView = this.contacts.listWithoutView();
		if (trusted === this.trusted && withoutView === this.withoutView) {
			return;
		}
		this.trusted = trusted;
		this.withoutView = withoutView;
		this.visits += trusted.length + withoutView.length;
		this.all = trusted.filter(({ view }) => this.isLive(view.bootId));
		const names = new Set([
			...this.all.map(({ view }) => view.region),
			...withoutView.map(({ region }) => region),
		]);
		this.regions = new Map([...names].map(name => [name, this.createRegion(name)]));
	}

	private createRegion(region: RegionName): RegionEntries {
		const entries = this.all.filter(({ view }) => view.region === region);
		const listed = this.withoutView.filter(instance => instance.region === region);
		const ids = [...entries.map(({ view }) => view.instance), ...listed.map(({ id }) => id)];
		return { entries, ids };
	}
}
